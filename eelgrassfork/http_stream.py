"""
eelgrassfork.http_stream
~~~~~~~~~~~~~~~~~~~~~~~~

Byte stream of a caller's connection, whose held bytes are accounted for.
"""

import math
from typing import Final

import trio

from .memory_account import Holding, ListenerShare
from .transport import (
    close_now,
    has_ended,
    is_readable,
    queued_bytes,
    send_some,
)

__all__ = ('RECEIVE_BYTES', 'CallerDisconnected', 'HeldStream')

RECEIVE_BYTES: Final = 65536
# Larger responses count as held until they are sent.
_LARGE_BYTES: Final = 16384
# After a refusal, this much of a request is discarded before the connection
# is closed; the caller could lose the response otherwise.
_MAX_DISCARDED_BYTES: Final = 262_144
# Large pieces of many refused connections fragment the heap.
_DISCARD_BYTES: Final = 16384
_DISCARD_S: Final = 1.0


class CallerDisconnected(Exception):
    """The caller closed or broke the connection before the response ended."""


class HeldStream:
    """
    One connection.

    :param stream: the connection.
    :param share: part of its listener in what the process holds.
    :param send_timeout_s: longest time without progress of a send, in
        seconds.
    :ivar holding: bytes that the connection holds.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        share: ListenerShare,
        send_timeout_s: float,
    ) -> None:
        self._stream = stream
        self._send_timeout_s = send_timeout_s
        self._scope = trio.CancelScope()
        self._is_sending = False
        self._queued_bytes = 0
        self._sent_by_listener = share.account.sent_bytes_by_listener
        self._listener = share.name
        self.holding = Holding(share, self._cancel_wait, self.has_progress)

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed the connection."""
        return has_ended(self._stream)

    def has_unread(self) -> bool:
        """
        Check whether data of the caller was not read yet.

        :returns: whether there is any.
        """
        return is_readable(self._stream)

    def has_progress(self) -> bool:
        """
        Check whether the caller has sent or read data, unnoticed so far.

        :returns: whether it has.
        """
        if not self._is_sending:
            return self.has_unread()
        before = self._queued_bytes
        self._queued_bytes = queued_bytes(self._stream)
        return self._queued_bytes < before

    def new_scope(self, timeout_s: float = math.inf) -> trio.CancelScope:
        """
        Create the scope of the next wait, which ending the connection cancels.

        :param timeout_s: time-out in seconds.
        :returns: a scope to be entered at once.
        """
        self._scope = trio.move_on_after(timeout_s)
        return self._scope

    async def receive(self, max_bytes: int) -> bytes:
        """
        Wait for data.

        :param max_bytes: largest number of bytes.
        :returns: the data; empty at the end of the stream.
        """
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b''

    async def send(self, encoded: bytes) -> None:
        """
        Send data.

        :param encoded: the data.
        :raises CallerDisconnected: if the connection broke, or the caller
            reads nothing for the time-out.
        """
        self._sent_by_listener[self._listener] += len(encoded)
        # An interim response is sent within the wait for a body.
        outer = self._scope
        if len(encoded) <= _LARGE_BYTES:
            unsent = memoryview(encoded)
            while unsent:
                unsent = unsent[await self._send_some(unsent) :]
        else:
            await self._send_large(memoryview(encoded))
        self._scope = outer

    async def _send_large(self, unsent: memoryview) -> None:
        holding = self.holding
        holding.hold('response', len(unsent))
        holding.start_moving()
        self._is_sending = True
        try:
            while unsent:
                if holding.is_ended:
                    raise CallerDisconnected
                self._queued_bytes = queued_bytes(self._stream)
                sent = await self._send_some(unsent, self._queued_bytes)
                unsent = unsent[sent:]
                holding.hold('response', -sent)
                holding.note_progress(sent)
        finally:
            self._is_sending = False
            holding.stop_moving()
            holding.hold('response', -len(unsent))

    async def discard_rest(self) -> None:
        """End the sending, and discard a bounded amount of what arrives."""
        stream = self._stream
        if not isinstance(stream, trio.abc.HalfCloseableStream):
            return
        discarded = 0
        with trio.move_on_after(_DISCARD_S):
            try:
                await stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while discarded < _MAX_DISCARDED_BYTES:
                # The data itself is not kept during the next wait.
                size = len(await self.receive(_DISCARD_BYTES))
                discarded += size
                if not size:
                    return

    def drop(self) -> None:
        """Close an idle connection at once, to free its descriptor."""
        close_now(self._stream)
        self._scope.cancel()

    async def close(self) -> None:
        """Close the connection without waiting for unsent data."""
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)

    async def _send_some(
        self, unsent: memoryview, queued: float = math.inf
    ) -> int:
        # A slow reader empties the kernel's buffer for a long time before
        # there is room for more.
        while True:
            with self.new_scope(self._send_timeout_s):
                try:
                    return await send_some(self._stream, unsent)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    raise CallerDisconnected from None
            if self.holding.is_ended:
                raise CallerDisconnected
            before, queued = queued, queued_bytes(self._stream)
            if queued >= before:
                self.holding.account.count('slow_reader')
                raise CallerDisconnected

    def _cancel_wait(self) -> None:
        self._scope.cancel()
