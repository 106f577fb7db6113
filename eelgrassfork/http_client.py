"""
eelgrassfork.http_client
~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client on h11 and trio, with a connection pool per address.
"""

import math
import re
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

import h11
import trio

from .errors import EelgrassError
from .memory_account import Account, Kind
from .memory_policy import SMALL_BYTES, Share
from .transport import TCP, Transport, is_readable, was_reset_early

__all__ = (
    'ClientRequest',
    'ClientTimeouts',
    'ConnectFailed',
    'ReceiveTimeout',
    'HttpClient',
    'HttpClientError',
    'ConnectionLost',
    'Response',
    'hold_bodies',
)

_RECEIVE_BYTES: Final = 65536
_MAX_IDLE_S: Final = 60.0
# An idle connection is dropped this long before the server's keep-alive
# time-out: a request in flight while the server closes the connection is lost.
_IDLE_MARGIN_S: Final = 0.5
_MAX_HEADER_BYTES: Final = 65536
# Requests up to this size fit into the socket send buffer, so sending them
# can't block.
_SMALL_REQUEST_BYTES: Final = 4096
# Twice the largest request body; bounds responses that never end.
_MAX_BODY_BYTES: Final = 16_777_216
# Error pages are short; one without end must not fill the memory.
_MAX_ERROR_PAGE_BYTES: Final = 65536
_FIRST_ERROR_STATUS: Final = 400
# Chunks that are read before other tasks run.
_CHUNKS_PER_TURN: Final = 32
_ROOM_POLL_S: Final = 0.05
_MAX_INFORMATIONAL: Final = 16
_FOLDED_LINE: Final = re.compile(rb'\n[ \t]')
_BODILESS_STATUSES: Final = frozenset((204, 304))
_FRAMING_HEADERS: Final = frozenset(('content-length', 'transfer-encoding'))
_BODILESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class HttpClientError(EelgrassError):
    """
    The request did not get a complete response.

    :ivar sent: whether any byte of the request may have been sent.
    """

    def __init__(self, code: str, message: str, sent: bool) -> None:
        super().__init__(code, message)
        self.sent = sent


class ConnectFailed(HttpClientError):
    """
    No connection could be opened.

    Nothing was sent, unless a pooled connection broke first.

    :ivar is_refused: whether the host answered that no process listens at the
        address.
    """

    is_refused = False


class ConnectionLost(HttpClientError):
    """The connection broke, or the peer violated the protocol."""


class ReceiveTimeout(HttpClientError):
    """The response head, or more of the body, was not received in time."""


def _always() -> bool:
    return True


class ClientTimeouts(NamedTuple):
    """
    Time-outs of a request, in seconds.

    :param connect_s: for opening a connection.
    :param first_byte_s: until the complete response head has been received.
    :param silence_s: between received bytes of the response body.
    :param should_time_out: called each time ``first_byte_s`` expires; if it
        returns ``False``, the time-out starts again.
    """

    connect_s: float = 1
    first_byte_s: float = 30
    silence_s: float = 10
    should_time_out: Callable[[], bool] = _always


class ClientRequest(NamedTuple):
    """
    A request to send.

    :param fresh: use a new connection, so that a connection that broke
        while idle can't make the outcome unknown.
    :param no_resend: don't resend the request on a new connection if a
        pooled one broke.
    :param host: ``Host`` header; the address if empty.
    """

    address: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fresh: bool = False
    no_resend: bool = False
    host: str = ''


class _Deadline:
    def __init__(
        self, wait_s: float, should_time_out: Callable[[], bool] = _always
    ) -> None:
        self._wait_s = wait_s
        self._should_time_out = should_time_out
        self.expires_at = trio.current_time() + wait_s

    def expire(self) -> None:
        if self._should_time_out():
            raise ReceiveTimeout(
                'connection_silent',
                f'receive timed out after {self._wait_s} s',
                sent=True,
            )
        self.expires_at = trio.current_time() + self._wait_s


class _Connection:
    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.keep_alive_s: float = math.inf
        self.fully_sent = True
        self._broke_while_sending = False
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        self.reused = False

    async def exchange(
        self, request: ClientRequest, bounds: ClientTimeouts
    ) -> h11.Response:
        encoded = self._encode(request)
        if len(encoded) + len(request.body) <= _SMALL_REQUEST_BYTES:
            await self._send(encoded + request.body)
            return await self._receive_head(bounds)
        pieces = (encoded, request.body)
        if len(request.body) <= _RECEIVE_BYTES:
            pieces = (encoded + request.body, b'')
        return await self._send_large_and_receive(pieces, bounds)

    def is_usable(self, max_idle_s: float) -> bool:
        # Data or an end of stream that arrives between two responses belongs
        # to no request.
        idle_s = trio.current_time() - self.idle_since
        is_fresh = idle_s <= min(max_idle_s, self.keep_alive_s)
        return is_fresh and not is_readable(self.stream)

    async def next_event(
        self, deadline: _Deadline, received: bytearray | None = None
    ) -> object:
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _connection_lost(
                    f'invalid HTTP response: {error}'
                ) from None
            if event is not h11.NEED_DATA:
                return event
            encoded = await self._receive(deadline)
            if received is not None:
                received += encoded
            self.protocol.receive_data(encoded)

    async def close(self) -> None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self.stream)

    def _encode(self, request: ClientRequest) -> bytes:
        headers = [('host', request.host or request.address), *request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            headers.insert(1, ('content-length', str(len(request.body))))
        head = h11.Request(
            method=request.method,
            target=request.target,
            # Received values were decoded by this encoding, and are sent as
            # the same bytes.
            headers=[
                (name.encode('ascii'), text.encode('latin-1'))
                for name, text in headers
            ],
        )
        encoded = self.protocol.send(head) or b''
        if request.body:
            # Returns the body itself: a large one is not copied.
            self.protocol.send_with_data_passthrough(
                h11.Data(data=request.body)
            )
        self.protocol.send(h11.EndOfMessage())
        return encoded

    async def _send(self, encoded: bytes) -> None:
        try:
            await self.stream.send_all(encoded)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise _connection_lost(
                'connection broke while sending the request'
            ) from None

    async def _send_large_and_receive(
        self, pieces: tuple[bytes, bytes], bounds: ClientTimeouts
    ) -> h11.Response:
        # A server may respond before it has read all of a large request. The
        # rest of the request is then not sent, so the connection can't be
        # reused.
        outcome: list[h11.Response | HttpClientError] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_large, pieces)
            try:
                outcome.append(await self._receive_head(bounds))
            except HttpClientError as error:
                outcome.append(error)
            nursery.cancel_scope.cancel()
        if isinstance(outcome[0], HttpClientError):
            raise outcome[0]
        return outcome[0]

    async def _send_large(self, pieces: tuple[bytes, bytes]) -> None:
        self.fully_sent = False
        try:
            for piece in pieces:
                await self.stream.send_all(piece)
        except trio.ClosedResourceError:
            return
        except trio.BrokenResourceError as error:
            self._broke_while_sending = was_reset_early(error)
            return
        self.fully_sent = True

    async def _receive_head(self, bounds: ClientTimeouts) -> h11.Response:
        deadline = _Deadline(bounds.first_byte_s, bounds.should_time_out)
        received = bytearray()
        for _ in range(_MAX_INFORMATIONAL):
            event = await self.next_event(deadline, received)
            unparsed = len(self.protocol.trailing_data[0])
            head_size = len(received) - unparsed
            _check_lines(bytes(received[:head_size]))
            del received[:head_size]
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise _connection_lost(
                    'connection was closed before a response'
                )
        raise _connection_lost('too many informational responses')

    async def _receive(self, deadline: _Deadline) -> bytes:
        while True:
            with trio.move_on_at(deadline.expires_at):
                try:
                    received = await self.stream.receive_some(_RECEIVE_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    raise _connection_lost('connection broke') from None
                # The kernel reports an error of a connection only once.  After
                # one that a send returned, the stream seems to end normally.
                if self._broke_while_sending and not received:
                    raise _connection_lost('connection broke')
                return bytes(received)
            deadline.expire()


def _check_lines(head: bytes) -> None:
    # h11 joins a line that begins with a blank to the line before, and takes a
    # bare line feed for the end of the head.  A header whose name begins with
    # such a byte would disappear, and with it the length of the body.
    if _FOLDED_LINE.search(head):
        raise _connection_lost('invalid HTTP response: folded header line')
    if head.endswith(b'\r\n\n'):
        raise _connection_lost('invalid HTTP response: line feed after CRLF')


def _parse_keep_alive(keep_alive: str) -> float:
    for option in keep_alive.split(','):
        name, _, seconds = option.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds) - _IDLE_MARGIN_S
    return math.inf


def _connection_lost(message: str) -> ConnectionLost:
    return ConnectionLost('connection_lost', message, sent=True)


class _HeldBody:
    """Memory that the body of one response takes."""

    def __init__(self, account: Account, kind: Kind) -> None:
        self._account = account
        self._kind: Kind = kind
        self._size = 0

    def claim_up_to(self, size: int) -> bool:
        more = size - self._size
        if more > 0 and not self._claim(more):
            return False
        self._size = max(size, self._size)
        return True

    def release(self) -> None:
        self._account.hold(self._kind, -self._size)
        self._size = 0

    def _claim(self, more: int) -> bool:
        if self._kind == 'control_body':
            # Peers and the store are trusted, and serve all callers.
            self._account.hold(self._kind, more)
            return True
        is_small = self._size + more <= SMALL_BYTES
        share = Share.small if is_small else Share.server_body
        return self._account.claim(self._kind, more, share, self._size)


class Response:
    """
    Response to a request; the body can be read only once, as a whole or in chunks.

    The connection returns to the pool only if the response was read to its
    end. :meth:`close` must always be called.

    :ivar status: HTTP status.
    :ivar headers: all headers in order, with lower-case names.
    :ivar headers_by_name: headers by lower-case name.
    :ivar is_cut: whether :meth:`read` has left out the end of the body.
    :ivar is_unframed: whether the body has neither a length nor chunks, so
        that it ends with the connection.
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
        self.is_unframed = (
            request.method != 'HEAD'
            and self.status not in _BODILESS_STATUSES
            and _FRAMING_HEADERS.isdisjoint(self.headers_by_name)
        )
        self._client = client
        self._connection = connection
        self._address = request.address
        self._silence_s = silence_s
        self._complete = False
        self._held = client.hold_body()
        self._is_head = request.method == 'HEAD'
        self.is_cut = False

    @property
    def surplus(self) -> bytes:
        """Bytes that were received after the end of a complete response."""
        return bytes(self._connection.protocol.trailing_data[0])

    async def chunks(self) -> AsyncIterator[bytes]:
        """
        Read the body as it arrives.

        :returns: iterator of non-empty chunks; it ends only once the response
            is complete.
        :raises HttpClientError: if the response is truncated or times out.
        """
        while chunk := await self.next_chunk():
            yield chunk

    async def next_chunk(self) -> bytes:
        """
        Read the next bytes of the body; none are lost on cancellation.

        :returns: the next bytes, empty once the response is complete.
        :raises HttpClientError: if the response is truncated or times out.
        """
        while not self._complete:
            event = await self._connection.next_event(
                _Deadline(self._silence_s)
            )
            if isinstance(event, h11.EndOfMessage):
                self._complete = True
            elif not isinstance(event, h11.Data):
                raise _connection_lost('response was truncated')
            elif event.data:
                return bytes(event.data)
        return b''

    async def read(self, max_bytes: int | None = None) -> bytes:
        """
        Read the complete body, or the beginning of one that is too large.

        :param max_bytes: length after which the body is cut; the connection
            is then closed. By default error pages are cut after 64 KiB, and
            other bodies must not have more than 16 MiB.
        :returns: the body.
        :raises HttpClientError: if the response is truncated, times out or is
            too large, or no memory is free for it in time.
        """
        if max_bytes is None and self.status >= _FIRST_ERROR_STATUS:
            max_bytes = _MAX_ERROR_PAGE_BYTES
        limit = _MAX_BODY_BYTES if max_bytes is None else max_bytes
        body = bytearray()
        chunks = 0
        await self._claim(min(self._announced_size(), limit))
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                return self._cut(body, limit, max_bytes is not None)
            await self._claim(len(body))
            chunks += 1
            if not chunks % _CHUNKS_PER_TURN:
                await trio.lowlevel.checkpoint()
        return bytes(body)

    def _cut(self, body: bytearray, limit: int, may_cut: bool) -> bytes:
        if not may_cut:
            raise _connection_lost(f'response body exceeds {limit} bytes')
        self.is_cut = True
        return bytes(body[:limit])

    def _announced_size(self) -> int:
        text = self.headers_by_name.get('content-length', '')
        return int(text) if text.isdecimal() and not self._is_head else 0

    async def _claim(self, size: int) -> None:
        if self._held.claim_up_to(size):
            return
        # The server waits meanwhile, as nothing is read.
        with trio.move_on_after(self._silence_s):
            while not self._held.claim_up_to(size):
                await trio.sleep(_ROOM_POLL_S)
            return
        raise ReceiveTimeout(
            'connection_silent', 'no memory is free for the response', sent=True
        )

    async def close(self) -> None:
        """Return the connection to the pool if it is reusable, or close it."""
        self._held.release()
        protocol = self._connection.protocol
        states = (protocol.our_state, protocol.their_state)
        clean = self._connection.fully_sent and not protocol.trailing_data[0]
        if self._complete and clean and states == (h11.DONE, h11.DONE):
            protocol.start_next_cycle()
            self._connection.keep_alive_s = _parse_keep_alive(
                self.headers_by_name.get('keep-alive', '')
            )
            await self._client.release(self._address, self._connection)
            return
        await self._connection.close()


def hold_bodies(account: Account, kind: Kind) -> Callable[[], _HeldBody]:
    """
    Count the bodies of a client's responses, from their reading to their end.

    :param account: account of the process.
    :param kind: ``server_body`` waits for room, ``control_body`` does not.
    :returns: argument of :class:`HttpClient`.
    """

    def hold_body() -> _HeldBody:
        return _HeldBody(account, kind)

    return hold_body


class HttpClient:
    """
    Sends requests over pooled connections.

    :param timeouts: default time-outs.
    :param max_idle: largest number of idle connections per address.
    :param transport: opens the connections.
    :param max_idle_s: longest time for which an idle connection is kept, in
        seconds.
    :param hold_body: from :func:`hold_bodies`; by default bodies are not
        counted.
    :ivar connections_opened: number of connections opened so far.
    """

    def __init__(
        self,
        timeouts: ClientTimeouts | None = None,
        max_idle: int = 8,
        transport: Transport = TCP,
        max_idle_s: float = _MAX_IDLE_S,
        hold_body: Callable[[], _HeldBody] | None = None,
    ) -> None:
        self._timeouts = timeouts or ClientTimeouts()
        self._max_idle = max_idle
        self._max_idle_s = max_idle_s
        self.hold_body = hold_body or hold_bodies(Account(), 'server_body')
        self.connections_opened = 0
        self._transport = transport
        self._idle_by_address: dict[str, list[_Connection]] = {}
        self._closed = False

    async def request(
        self, request: ClientRequest, timeouts: ClientTimeouts | None = None
    ) -> Response:
        """
        Send a request and wait for the head of its response.

        If a pooled connection turns out to be broken, the request is sent
        again on a new one once, unless ``request.no_resend`` is set.

        :param request: the request.
        :param timeouts: time-outs; the client's default if ``None``.
        :returns: the response, to be closed by the caller.
        :raises ConnectFailed: if no connection could be opened; ``sent`` is
            set if the request was sent on a pooled connection before.
        :raises ConnectionLost: if the connection broke.
        :raises ReceiveTimeout: if the response head did not arrive in time.
        """
        bounds = timeouts or self._timeouts
        connection = await self._take_idle(request)
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
        Send a request and read its complete response.

        :param request: the request.
        :param timeouts: time-outs; the client's default if ``None``.
        :returns: the closed response and its body.
        :raises HttpClientError: if the response is missing or incomplete.
        """
        response = await self.request(request, timeouts)
        try:
            body = await response.read()
        finally:
            await response.close()
        return response, body

    async def preconnect(self, address: str, connect_s: float) -> None:
        """
        Open a connection, and keep it for a later request.

        :param address: ``ip:port``.
        :param connect_s: time-out in seconds.
        :raises ConnectFailed: if no connection could be opened.
        """
        await self.release(address, await self._open(address, connect_s))

    async def release(self, address: str, connection: _Connection) -> None:
        """
        Return a connection to the pool.

        :param address: the address that it is connected to.
        :param connection: a connection whose last response is complete.
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

        :param address: the address that they are connected to.
        """
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        self._closed = True
        for address in list(self._idle_by_address):
            await self.close_idle(address)

    async def _take_idle(self, request: ClientRequest) -> _Connection | None:
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
                failure = ConnectFailed(
                    'connect_failed', f'{address}: {error}', sent=False
                )
                failure.is_refused = isinstance(error, ConnectionRefusedError)
                raise failure from None
        raise ConnectFailed(
            'connect_failed',
            f'{address}: connect timed out after {connect_s} s',
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
