"""
eelgrassfork.http_head
~~~~~~~~~~~~~~~~~~~~~~

Reads the head of a caller's request within the limits and the account.
"""

from typing import Final, NamedTuple

import h11

from .errors import RequestError
from .http_stream import HeldStream

__all__ = ('HEAD_RECEIVE_BYTES', 'HeadLimits', 'HeadReader')

# h11 keeps what follows a head, so that less is read ahead than of a body.
HEAD_RECEIVE_BYTES: Final = 16384
# A header of a few bytes takes this much as Python objects.
_HEADER_OVERHEAD_BYTES: Final = 400


class HeadLimits(NamedTuple):
    """Largest size of a head in bytes, and time-outs in seconds."""

    max_bytes: int
    timeout_s: float
    idle_timeout_s: float


class HeadReader:
    """
    Reads the heads of the requests on one connection.

    :param protocol: state of the connection.
    :param stream: the connection.
    :param limits: limits on size and time.
    """

    def __init__(
        self, protocol: h11.Connection, stream: HeldStream, limits: HeadLimits
    ) -> None:
        self._protocol = protocol
        self._stream = stream
        self._limits = limits

    async def wait(self) -> bool:
        """
        Wait for the first bytes of a request.

        :returns: whether there are any before the idle time-out and the end
            of the connection.
        :raises RequestError: ``router_busy`` if there is no room for them.
        """
        buffered = len(self._protocol.trailing_data[0])
        # What was pipelined is now the beginning of this request.
        self._stream.holding.hold('head', buffered)
        with self._stream.new_scope(self._limits.idle_timeout_s):
            return bool(buffered) or await self._receive()
        return False

    async def read(self) -> h11.Request | None:
        """
        Read a head.

        :returns: the head; ``None`` if the connection ended before it.
        :raises RequestError: ``headers_too_large``, ``request_timeout`` or
            ``router_busy``.
        :raises h11.RemoteProtocolError: if it is invalid or too large.
        """
        with self._stream.new_scope(self._limits.timeout_s):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            self._check(event)
            return event
        raise RequestError(
            'request_timeout', 'the request headers were not received in time'
        )

    async def _next_event(self) -> object:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> bool:
        received = await self._stream.receive(HEAD_RECEIVE_BYTES)
        self._protocol.receive_data(received)
        if received:
            self._claim(len(received))
        return bool(received)

    def _check(self, request: h11.Request) -> None:
        # h11 limits the size only while the headers are incomplete.
        size = sum(len(name) + len(text) for name, text in request.headers)
        if size > self._limits.max_bytes:
            raise RequestError(
                'headers_too_large', 'the request headers are too large'
            )
        self._claim(len(request.headers) * _HEADER_OVERHEAD_BYTES)

    def _claim(self, size: int) -> None:
        holding = self._stream.holding
        if not holding.claim('head', size):
            holding.account.count('no_room')
            raise RequestError(
                'router_busy', 'this router has no room for the request now'
            )
