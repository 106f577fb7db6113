"""
eelgrassfork.http_body
~~~~~~~~~~~~~~~~~~~~~~

Reads the body of a caller's request within the limits and the account.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, NoReturn

import h11
import trio

from .errors import RequestError
from .http_stream import RECEIVE_BYTES, CallerDisconnected
from .memory_account import Holding
from .memory_policy import body_deadline_s

__all__ = ('BodyLimits', 'BodyReader', 'announced_size')

# Chunks that are parsed before other tasks run; 32 small ones take 0.3 ms.
_CHUNKS_PER_TURN: Final = 32
# Bodies of unknown length claim memory in steps.
_CLAIM_STEP_BYTES: Final = 16384


class BodyLimits(NamedTuple):
    """Largest size of a body in bytes, and longest time for it."""

    max_bytes: int
    timeout_s: float


def announced_size(request: h11.Request) -> int | None:
    """
    Return the size of a request's body as its head announces it.

    :param request: a valid head.
    :returns: size in bytes, 0 without a body; ``None`` for a chunked body.
    """
    size = 0
    for name, text in request.headers:
        if name == b'transfer-encoding':
            return None
        if name == b'content-length':
            size = int(text)
    return size


class BodyReader:
    """
    Reads one body.

    :param protocol: state of the connection, after the head.
    :param receive: waits for a number of bytes at most, and adds them to the
        protocol.
    :param holding: claims memory for the connection.
    """

    def __init__(
        self,
        protocol: h11.Connection,
        receive: Callable[[int], Awaitable[None]],
        holding: Holding,
    ) -> None:
        self._protocol = protocol
        self._receive = receive
        self._holding = holding
        self._body = bytearray()
        self._claimed = 0
        self._chunks = 0

    async def read(
        self, announced: int | None, limits: BodyLimits, scope: trio.CancelScope
    ) -> bytes:
        """
        Read the body.

        :param announced: its size in bytes; ``None`` if unknown.
        :param limits: limits on size and time.
        :param scope: scope of the reading, which others cancel to end it.
        :returns: the complete body.
        :raises RequestError: ``body_too_large``, ``router_busy`` or
            ``request_timeout``.
        :raises CallerDisconnected: if the connection ended before the body.
        """
        self._claim_announced(announced, limits)
        self._holding.start_moving()
        try:
            return await self._read_in_time(announced, limits, scope)
        finally:
            self._holding.stop_moving()
            # The traceback of an error would keep the bytes.
            self._body.clear()

    async def _read_in_time(
        self, announced: int | None, limits: BodyLimits, scope: trio.CancelScope
    ) -> bytes:
        started_at = trio.current_time()
        with scope:
            while True:
                longest_s = body_deadline_s(
                    len(self._body), announced, limits.timeout_s
                )
                scope.deadline = started_at + longest_s
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._chunks = 0
                    await self._receive(self._wanted(announced))
                elif isinstance(event, h11.Data):
                    await self._add(event, announced, limits)
                else:
                    break
            if isinstance(event, h11.EndOfMessage):
                return bytes(self._body)
            raise CallerDisconnected
        self._fail_late(trio.current_time() - started_at < limits.timeout_s)

    def _wanted(self, announced: int | None) -> int:
        if announced is None:
            return RECEIVE_BYTES
        # No pipelined request is read ahead.
        return min(RECEIVE_BYTES, max(1, announced - len(self._body)))

    async def _add(
        self, event: h11.Data, announced: int | None, limits: BodyLimits
    ) -> None:
        size = len(event.data)
        if announced is None:
            self._claim_more(len(self._body) + size, limits)
        else:
            self._holding.hold('body_announced', -size)
            self._holding.hold('body_received', size)
        self._body += event.data
        self._holding.note_progress(size)
        self._chunks += 1
        if self._chunks >= _CHUNKS_PER_TURN:
            self._chunks = 0
            async with self._holding.account.small_chunk_turn:
                await trio.lowlevel.checkpoint()

    def _claim_announced(
        self, announced: int | None, limits: BodyLimits
    ) -> None:
        if not announced:
            return
        if announced > limits.max_bytes:
            self._fail_too_large(limits)
        if not self._holding.claim('body_announced', announced):
            self._fail_busy()

    def _claim_more(self, size: int, limits: BodyLimits) -> None:
        if size > limits.max_bytes:
            self._fail_too_large(limits)
        if size > self._claimed:
            step = max(size - self._claimed, _CLAIM_STEP_BYTES)
            if not self._holding.claim('body_received', step):
                self._fail_busy()
            self._claimed += step

    def _fail_too_large(self, limits: BodyLimits) -> NoReturn:
        self._holding.account.count('body_over_limit')
        raise RequestError(
            'body_too_large', f'request body exceeds {limits.max_bytes} bytes'
        )

    def _fail_busy(self) -> NoReturn:
        self._holding.account.count('no_room')
        raise RequestError(
            'router_busy', 'this router has no room for the request body now'
        )

    def _fail_late(self, is_slow: bool) -> NoReturn:
        if self._holding.is_ended:
            raise RequestError(
                'router_busy', 'this router needs the room of a stalled body'
            )
        if is_slow:
            self._holding.account.count('slow_body')
        raise RequestError(
            'request_timeout', 'the request body was not received in time'
        )
