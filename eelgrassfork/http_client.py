"""
eelgrassfork.http_client
~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client connections by h11 over trio, with a pool per address.
"""

import math
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

import h11
import trio

from .errors import EelgrassError
from .transport import TCP, Transport, is_readable

__all__ = (
    'ClientRequest',
    'ClientTimeouts',
    'ConnectFailed',
    'ReceiveTimeout',
    'HttpClient',
    'HttpClientError',
    'ConnectionLost',
    'Response',
)

_RECEIVE_BYTES: Final = 65536
_MAX_IDLE_S: Final = 60.0
# A request on its way when the server closes an idle connection is lost.
_IDLE_MARGIN_S: Final = 0.5
_MAX_HEADER_BYTES: Final = 65536
# Fits into the send buffer of a socket, so that sending can't block.
_SMALL_REQUEST_BYTES: Final = 4096
# Twice the largest request body; a longer answer has no end that can be waited
# for.
_MAX_BODY_BYTES: Final = 16_777_216
_MAX_INFORMATIONAL: Final = 16
_BODILESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class HttpClientError(EelgrassError):
    """
    A request got no whole answer.

    :ivar sent: whether any byte of the request may have left.
    """

    def __init__(self, code: str, message: str, sent: bool) -> None:
        super().__init__(code, message)
        self.sent = sent


class ConnectFailed(HttpClientError):
    """
    No connection could be opened.

    Nothing was sent, unless a pooled connection broke before.
    """


class ConnectionLost(HttpClientError):
    """The connection broke, or the peer broke the protocol."""


class ReceiveTimeout(HttpClientError):
    """No byte came within the bound on silence."""


def _at_once() -> bool:
    return True


class ClientTimeouts(NamedTuple):
    """
    Bounds on a request, in seconds.

    :param first_byte_s: until the whole head of the answer has come.
    :param silence_s: between bytes of the body.
    :param should_time_out: asked each time that the head is late; where it says no,
        the wait begins anew.
    """

    connect_s: float = 1
    first_byte_s: float = 30
    silence_s: float = 10
    should_time_out: Callable[[], bool] = _at_once


class ClientRequest(NamedTuple):
    """
    What to send.

    :param fresh: use a new connection, so that a connection that broke
        while idle can't make the outcome unknown.
    :param no_resend: never send again on a new connection after a pooled one
        broke.
    :param host: ``Host`` header; the address where it is empty.
    """

    address: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fresh: bool = False
    no_resend: bool = False
    host: str = ''


class _Wait:
    def __init__(
        self, wait_s: float, should_time_out: Callable[[], bool] = _at_once
    ) -> None:
        self._wait_s = wait_s
        self._gives_up = should_time_out
        self.until = trio.current_time() + wait_s

    def expire(self) -> None:
        if self._gives_up():
            raise ReceiveTimeout(
                'connection_silent', f'silent for {self._wait_s} s', sent=True
            )
        self.until = trio.current_time() + self._wait_s


class _Connection:
    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.kept_s: float = math.inf
        self.sent_whole = True
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        self.reused = False

    async def exchange(
        self, request: ClientRequest, bounds: ClientTimeouts
    ) -> h11.Response:
        encoded = self._encode(request)
        if len(encoded) <= _SMALL_REQUEST_BYTES:
            await self._send(encoded)
            return await self._head(bounds)
        return await self._send_and_listen(encoded, bounds)

    def is_usable(self, max_idle_s: float) -> bool:
        # Bytes or an end that come between two answers belong to no request.
        idle_s = trio.current_time() - self.idle_since
        is_fresh = idle_s <= min(max_idle_s, self.kept_s)
        return is_fresh and not is_readable(self.stream)

    async def next_event(self, wait: _Wait) -> object:
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _lost(f'not a valid answer: {error}') from None
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._receive(wait))

    async def close(self) -> None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self.stream)

    def _encode(self, request: ClientRequest) -> bytes:
        headers = [('host', request.host or request.address), *request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            headers.insert(1, ('content-length', str(len(request.body))))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        encoded = self.protocol.send(head) or b''
        if request.body:
            encoded += self.protocol.send(h11.Data(data=request.body)) or b''
        return encoded + (self.protocol.send(h11.EndOfMessage()) or b'')

    async def _send(self, encoded: bytes) -> None:
        try:
            await self.stream.send_all(encoded)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise _lost('the connection broke while sending') from None

    async def _send_and_listen(
        self, encoded: bytes, bounds: ClientTimeouts
    ) -> h11.Response:
        # A server may answer before it has read a long request.  The rest of
        # the request is not sent then, so the connection can't be reused.
        outcome: list[h11.Response | HttpClientError] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_long, encoded)
            try:
                outcome.append(await self._head(bounds))
            except HttpClientError as error:
                outcome.append(error)
            nursery.cancel_scope.cancel()
        if isinstance(outcome[0], HttpClientError):
            raise outcome[0]
        return outcome[0]

    async def _send_long(self, encoded: bytes) -> None:
        self.sent_whole = False
        try:
            await self.stream.send_all(encoded)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        self.sent_whole = True

    async def _head(self, bounds: ClientTimeouts) -> h11.Response:
        wait = _Wait(bounds.first_byte_s, bounds.should_time_out)
        for _ in range(_MAX_INFORMATIONAL):
            event = await self.next_event(wait)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise _lost('the connection was closed before an answer')
        raise _lost('too many informational answers')

    async def _receive(self, wait: _Wait) -> bytes:
        while True:
            with trio.move_on_at(wait.until):
                try:
                    return bytes(await self.stream.receive_some(_RECEIVE_BYTES))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    raise _lost('the connection broke') from None
            wait.expire()


def _kept_s(keep_alive: str) -> float:
    for option in keep_alive.split(','):
        name, _, seconds = option.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds) - _IDLE_MARGIN_S
    return math.inf


def _lost(message: str) -> ConnectionLost:
    return ConnectionLost('connection_lost', message, sent=True)


class Response:
    """
    Answer to a request; the body is read once, whole or in chunks.

    The connection goes back to the pool only after the whole answer was
    read. :meth:`close` must be called in every case.

    :ivar status: HTTP status.
    :ivar headers: all headers in order, names in lower case.
    :ivar headers_by_name: headers by lower-case name.
    """

    def __init__(
        self,
        client: 'HttpClient',
        connection: _Connection,
        request: ClientRequest,
        head: h11.Response,
        silence_s: float,
    ) -> None:
        self.status = head.status_code
        self.headers = tuple(
            (name.decode('ascii'), value.decode('latin-1'))
            for name, value in head.headers
        )
        self.headers_by_name = dict(self.headers)
        self._client = client
        self._connection = connection
        self._address = request.address
        self._silence_s = silence_s
        self._whole = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """
        Read the body as it comes.

        :returns: iterator of non-empty chunks; it ends only after a whole
            answer.
        :raises HttpClientError: if the answer is cut or goes silent.
        """
        while chunk := await self.next_chunk():
            yield chunk

    async def next_chunk(self) -> bytes:
        """
        Read some bytes of the body; no byte is lost if it is cancelled.

        :returns: the next bytes, empty once the answer is whole.
        :raises HttpClientError: if the answer is cut or goes silent.
        """
        while not self._whole:
            event = await self._connection.next_event(_Wait(self._silence_s))
            if isinstance(event, h11.EndOfMessage):
                self._whole = True
            elif not isinstance(event, h11.Data):
                raise _lost('the answer was cut')
            elif event.data:
                return bytes(event.data)
        return b''

    async def read(self) -> bytes:
        """
        Read the whole body.

        :returns: the body.
        :raises HttpClientError: if the answer is cut, goes silent or is too
            long.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > _MAX_BODY_BYTES:
                raise _lost(f'the body exceeds {_MAX_BODY_BYTES} bytes')
        return bytes(body)

    async def close(self) -> None:
        """Give the connection back if the answer is whole, or close it."""
        protocol = self._connection.protocol
        done = (protocol.our_state, protocol.their_state)
        clean = self._connection.sent_whole and not protocol.trailing_data[0]
        if self._whole and clean and done == (h11.DONE, h11.DONE):
            protocol.start_next_cycle()
            self._connection.kept_s = _kept_s(
                self.headers_by_name.get('keep-alive', '')
            )
            await self._client.give_back(self._address, self._connection)
            return
        await self._connection.close()


class HttpClient:
    """
    Sends requests over pooled connections.

    :param timeouts: default bounds.
    :param max_idle: idle connections kept per address.
    :param transport: how connections are opened.
    :param max_idle_s: longest time that an idle connection is kept, in
        seconds.
    """

    def __init__(
        self,
        timeouts: ClientTimeouts | None = None,
        max_idle: int = 8,
        transport: Transport = TCP,
        max_idle_s: float = _MAX_IDLE_S,
    ) -> None:
        self._timeouts = timeouts or ClientTimeouts()
        self._max_idle = max_idle
        self._max_idle_s = max_idle_s
        self.connections_opened = 0
        self._transport = transport
        self._idle_by_address: dict[str, list[_Connection]] = {}
        self._closed = False

    async def request(
        self, request: ClientRequest, timeouts: ClientTimeouts | None = None
    ) -> Response:
        """
        Send a request and wait for the head of its answer.

        A pooled connection that turns out to be broken is replaced by a new
        one once, unless ``request.fresh`` is set.

        :param request: what to send.
        :param timeouts: bounds; the client's own where it is ``None``.
        :returns: the answer, to be closed by the caller.
        :raises ConnectFailed: if no connection could be opened; ``sent`` is
            set if the request had left on a pooled connection.
        :raises ConnectionLost: if the connection broke.
        :raises ReceiveTimeout: if the first byte came too late.
        """
        bounds = timeouts or self._timeouts
        connection = await self._take(request)
        if connection is not None:
            try:
                return await self._exchange(connection, request, bounds)
            except ConnectionLost:
                if request.no_resend:
                    raise
                await trio.lowlevel.checkpoint()
        try:
            fresh = await self._open(request.address, bounds.connect_s)
        except ConnectFailed as error:
            error.sent = connection is not None
            raise
        return await self._exchange(fresh, request, bounds)

    async def fetch(
        self, request: ClientRequest, timeouts: ClientTimeouts | None = None
    ) -> tuple[Response, bytes]:
        """
        Send a request and read its whole answer.

        :param request: what to send.
        :param timeouts: bounds; the client's own where it is ``None``.
        :returns: the closed answer and its body.
        :raises HttpClientError: if there is no whole answer.
        """
        response = await self.request(request, timeouts)
        try:
            body = await response.read()
        finally:
            await response.close()
        return response, body

    async def give_back(self, address: str, connection: _Connection) -> None:
        """
        Keep a connection for the next request.

        :param address: where it leads.
        :param connection: a connection whose last answer is whole.
        """
        idle = self._idle_by_address.setdefault(address, [])
        if self._closed or len(idle) >= self._max_idle:
            await connection.close()
            return
        connection.reused = True
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def close_idle(self, address: str) -> None:
        """
        Close the idle connections to an address.

        :param address: where they lead.
        """
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        self._closed = True
        for address in list(self._idle_by_address):
            await self.close_idle(address)

    async def _take(self, request: ClientRequest) -> _Connection | None:
        if request.fresh:
            return None
        idle = self._idle_by_address.get(request.address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(self._max_idle_s):
                return connection
            await connection.close()
        return None

    async def _open(self, address: str, connect_s: float) -> _Connection:
        host, _, port = address.rpartition(':')
        with trio.move_on_after(connect_s):
            try:
                return await self._connect(host, int(port))
            except OSError as error:
                raise ConnectFailed(
                    'connect_failed', f'{address}: {error}', sent=False
                ) from None
        raise ConnectFailed(
            'connect_failed',
            f'{address}: no connection within {connect_s} s',
            sent=False,
        )

    async def _connect(self, host: str, port: int) -> _Connection:
        stream = await self._transport.connect(host, port)
        self.connections_opened += 1
        return _Connection(stream)

    async def _exchange(
        self,
        connection: _Connection,
        request: ClientRequest,
        bounds: ClientTimeouts,
    ) -> Response:
        try:
            head = await connection.exchange(request, bounds)
        except BaseException:
            await connection.close()
            raise
        return Response(self, connection, request, head, bounds.silence_s)
