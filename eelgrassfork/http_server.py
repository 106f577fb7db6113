"""
eelgrassfork.http_server
~~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 server on h11 and trio.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import logbook
import trio

from .errors import RequestError, error_body
from .http_body import BodyLimits, BodyReader, announced_size
from .http_head import HEAD_RECEIVE_BYTES, HeadLimits, HeadReader
from .http_stream import CallerDisconnected, HeldStream
from .memory_account import Account, ListenerShare
from .memory_policy import find_idle
from .names import new_request_id
from .transport import (
    TCP,
    BoundListeners,
    TcpListener,
    Transport,
    close_now,
)

__all__ = (
    'HOP_BY_HOP',
    'Call',
    'CallerDisconnected',
    'Handler',
    'HttpServer',
    'ServerLimits',
    'cancel_on_disconnect',
)

_log = logbook.Logger('http')

_DISCONNECT_POLL_S: Final = 0.25
_MAX_PIPELINED_BYTES: Final = 65536
_HEADERS_TOO_LARGE_STATUS: Final = 431
_JSON: Final = (('content-type', 'application/json'),)

# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class ServerLimits(NamedTuple):
    """Limits on the size of a request and on the time to receive it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 8_388_608
    header_timeout_s: float = 10
    body_timeout_s: float = 30
    idle_timeout_s: float = 75


class Call:
    """
    One request on a server connection, and the response to it.

    :ivar method: HTTP method in upper case.
    :ivar path: decoded path without the query.
    :ivar query_by_name: first value of each query parameter.
    :ivar headers: all headers in order, with lower-case names.
    :ivar headers_by_name: headers by lower-case name.
    :ivar body: the complete body.
    :ivar request_id: ID assigned to the request when it is received.
    :ivar received_at: time at which its first byte was read, on trio's clock.
    :ivar disconnected: set once the caller has closed the connection.
    """

    def __init__(
        self,
        connection: '_Connection',
        request: h11.Request,
        body: bytes,
        received_at: float,
    ) -> None:
        target = request.target.decode('ascii')
        try:
            parts = urlsplit(target)
        except ValueError:
            raise RequestError(
                'invalid_request', 'the request target is not a valid URL'
            ) from None
        self.method = request.method.decode('ascii')
        self.target = target
        self.path = unquote(parts.path)
        self.query_by_name = dict(parse_qsl(parts.query))
        self.headers = tuple(
            (name.decode('ascii'), value.decode('latin-1'))
            for name, value in request.headers
        )
        self.headers_by_name = dict(self.headers)
        self.body = body
        self.request_id = new_request_id()
        self.received_at = received_at
        self.disconnected = trio.Event()
        self.status: int | None = None
        self._connection = connection

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self.status is not None

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = _JSON,
    ) -> None:
        """
        Send a complete response.

        :param status: HTTP status.
        :param body: the complete body.
        :param headers: headers besides ``content-length`` and
            ``x-request-id``.
        """
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        await self.send(body)
        await self.finish()

    async def fail(self, error: RequestError) -> None:
        """
        Send an error response.

        :param error: code, message, outcome and retry delay.
        """
        headers: tuple[tuple[str, str], ...] = _JSON
        if error.retry_after_s is not None:
            seconds = max(1, round(error.retry_after_s))
            headers = (*headers, ('retry-after', str(seconds)))
        body = error_body(error, self.request_id)
        await self.respond(error.status, body, headers)

    async def start(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """
        Send the status line and headers of a streamed response.

        :param status: HTTP status.
        :param headers: headers; without ``content-length`` the body is
            chunked.
        """
        self.status = status
        await self._connection.send(
            h11.Response(
                status_code=status,
                headers=[
                    *headers,
                    ('x-request-id', self.request_id),
                    *self._connection.close_header(),
                ],
            ),
        )

    async def send(self, chunk: bytes) -> None:
        """
        Send a chunk of the body.

        :param chunk: the bytes to send.
        """
        if chunk and self.method != 'HEAD':
            await self._connection.send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """End the response, which marks it as complete for the caller."""
        await self._connection.send(h11.EndOfMessage())

    def has_disconnected(self) -> bool:
        """
        Check whether the caller has closed the connection.

        Polls the socket, so that a busy process notices a disconnect before
        its event loop has read the end of the stream.

        :returns: whether the connection is closed.
        """
        return self.disconnected.is_set() or self._connection.stream.has_ended

    def close_after_response(self) -> None:
        """Close the connection after the response, with ``connection: close``."""
        self._connection.closing = True

    async def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated response."""
        await self._connection.stream.close()


Handler = Callable[[Call], Awaitable[None]]


class _Connection:
    def __init__(self, stream: HeldStream, limits: ServerLimits) -> None:
        self.stream = stream
        self._limits = limits
        self._h11 = _new_protocol(limits)
        self._pipelined_bytes = 0
        self.idle_since: float | None = trio.current_time()
        self.busy = False
        self.closing = False

    def close_header(self) -> tuple[tuple[str, str], ...]:
        return (('connection', 'close'),) if self.closing else ()

    async def send(self, event: h11.Event) -> None:
        encoded = self._h11.send(event)
        if encoded:
            await self.stream.send(encoded)

    async def serve(self, handler: Handler) -> None:
        try:
            while await self._serve_request(handler):
                self._h11.start_next_cycle()
                self.idle_since = trio.current_time()
        except (CallerDisconnected, h11.LocalProtocolError):
            self.closing = True
        except Exception:
            # A failure of one connection must not end the others.
            _log.exception('http: connection handler failed')
            self.closing = True
        finally:
            self.stream.holding.release()
            await self.stream.close()

    async def _serve_request(self, handler: Handler) -> bool:
        call = await self._read_or_reject()
        if call is None:
            return False
        self.busy = True
        try:
            await self._handle_call(handler, call)
        finally:
            self.busy = False
            self.stream.holding.release()
        states = (self._h11.our_state, self._h11.their_state)
        return states == (h11.DONE, h11.DONE) and not self.closing

    async def _handle_call(self, handler: Handler, call: Call) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, call)
            try:
                await _run_handler(handler, call)
            except CallerDisconnected:
                self.closing = True
            nursery.cancel_scope.cancel()

    async def _watch_for_disconnect(self, call: Call) -> None:
        holding = self.stream.holding
        while not call.disconnected.is_set():
            size = await self._receive_ahead()
            self._pipelined_bytes += size
            if not size or self._pipelined_bytes > _MAX_PIPELINED_BYTES:
                call.disconnected.set()
            elif not holding.claim('pipelined', size):
                holding.hold('pipelined', size)
                await _poll_for_disconnect(self.stream, call)

    async def _receive_ahead(self) -> int:
        received = await self.stream.receive(HEAD_RECEIVE_BYTES)
        if received:
            self._h11.receive_data(received)
        return len(received)

    async def _read_or_reject(self) -> Call | None:
        try:
            return await self._read_call()
        except (h11.RemoteProtocolError, RequestError) as error:
            refusal = _to_request_error(error)
        # The traceback would keep received data until the connection closes.
        refusal.__traceback__ = None
        await self._reject(refusal)
        return None

    async def _read_call(self) -> Call | None:
        limits = self._limits
        self._pipelined_bytes = 0
        head_reader = HeadReader(
            self._h11,
            self.stream,
            HeadLimits(
                limits.max_header_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            ),
        )
        if not await head_reader.wait():
            return None
        received_at = trio.current_time()
        request = await head_reader.read()
        if request is None:
            return None
        self.idle_since = None
        body = await self._read_body(request)
        return Call(self, request, body, received_at)

    async def _read_body(self, request: h11.Request) -> bytes:
        limits = self._limits
        reader = BodyReader(self._h11, self._receive_body, self.stream.holding)
        return await reader.read(
            announced_size(request),
            BodyLimits(limits.max_body_bytes, limits.body_timeout_s),
            self.stream.new_scope(),
        )

    async def _receive_body(self, max_bytes: int) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        self._h11.receive_data(await self.stream.receive(max_bytes))

    async def _reject(self, error: RequestError) -> None:
        stream = self.stream
        stream.holding.release()
        if self._h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self.closing = True
        refusal = _encode_refusal(self._h11, error)
        # The old one may have received data that nobody reads any more.
        self._h11 = _new_protocol(self._limits)
        await stream.send(refusal)
        if not stream.holding.is_ended:
            await stream.discard_rest()


def _new_protocol(limits: ServerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
    )


def _encode_refusal(protocol: h11.Connection, error: RequestError) -> bytes:
    body = error_body(error, new_request_id())
    headers = [*_JSON, ('content-length', str(len(body)))]
    if error.retry_after_s is not None:
        headers.append(('retry-after', str(round(error.retry_after_s))))
    head = h11.Response(
        status_code=error.status, headers=[*headers, ('connection', 'close')]
    )
    events = (head, h11.Data(data=body), h11.EndOfMessage())
    return b''.join(protocol.send(event) or b'' for event in events)


async def _poll_for_disconnect(stream: HeldStream, call: Call) -> None:
    # Nothing more is read ahead while memory is short.
    while not stream.has_ended:
        await trio.sleep(_DISCONNECT_POLL_S)
    call.disconnected.set()


async def _run_handler(handler: Handler, call: Call) -> None:
    try:
        await handler(call)
    except RequestError as error:
        await _fail(call, error)
    except CallerDisconnected:
        raise
    except Exception:
        _log.exception('http: request {} failed', call.request_id)
        message = 'the router failed to handle the request'
        await _fail(call, RequestError('internal_error', message, 'unknown'))


async def _fail(call: Call, error: RequestError) -> None:
    if call.started:
        await call.abort()
        return
    await call.fail(error)


async def cancel_on_disconnect(call: Call, scope: trio.CancelScope) -> None:
    """
    Cancel a scope when the caller disconnects.

    :param call: call of the caller.
    :param scope: scope to cancel.
    """
    await call.disconnected.wait()
    scope.cancel()


def _to_request_error(
    error: RequestError | h11.RemoteProtocolError,
) -> RequestError:
    if isinstance(error, RequestError):
        return error
    if error.error_status_hint == _HEADERS_TOO_LARGE_STATUS:
        return RequestError(
            'headers_too_large', 'the request headers are too large'
        )
    return RequestError('invalid_request', f'invalid HTTP request: {error}')


class HttpServer:
    """
    HTTP server on one listening address.

    :param handler: called for each request; may raise
        :class:`~eelgrassfork.errors.RequestError`.
    :param limits: limits on requests.
    :param transport: accepts the connections.
    :param share: part in what the process holds; unlimited by default.
    :ivar on_failure: called when the listening socket has failed; the
        connections that it had accepted are still served.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        transport: Transport = TCP,
        share: ListenerShare | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._transport = transport
        self._share = share or ListenerShare(Account(), 'other')
        self._connections: set[_Connection] = set()
        self._connections_scope = trio.CancelScope()
        self._accept_scope = trio.CancelScope()
        self.address = ''
        self.on_failure: Callable[[], None] = _do_nothing

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Bind the socket and accept connections in the background.

        :param nursery: runs the tasks of the server.
        :param host: IP address to bind.
        :param port: port, or 0 for any free one.
        """
        listening = await self._transport.listen(host, port)
        self.address = listening.address
        nursery.start_soon(self._run, listening)

    def change_limits(self, limits: ServerLimits) -> None:
        """
        Change the request limits for connections accepted from now on.

        :param limits: limits on requests.
        """
        self._limits = limits

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return sum(connection.busy for connection in self._connections)

    def stop_accepting(self) -> None:
        """Close the listening socket, and connections after their request."""
        self._accept_scope.cancel()
        for connection in self._connections:
            connection.closing = True

    async def close(self) -> None:
        """Close the listening socket and all connections immediately."""
        self.stop_accepting()
        self._connections_scope.cancel()
        await trio.lowlevel.checkpoint()

    async def _run(self, listening: BoundListeners) -> None:
        with self._connections_scope:
            async with trio.open_nursery() as nursery:
                for listener in listening.listeners:
                    nursery.start_soon(self._accept, listener, nursery)

    async def _accept(
        self, listener: trio.abc.Listener[Any], nursery: trio.Nursery
    ) -> None:
        async with listener:
            try:
                await self._accept_until_stopped(listener, nursery)
            except OSError as error:
                _log.error(
                    'http: listener {} failed: {}', self.address, str(error)
                )
                self.on_failure()

    async def _accept_until_stopped(
        self, listener: trio.abc.Listener[Any], nursery: trio.Nursery
    ) -> None:
        with self._accept_scope:
            while True:
                self._serve_soon(await listener.accept(), nursery)
        # Connections in the kernel's accept queue are still served.
        if isinstance(listener, TcpListener):
            for stream in listener.drain():
                self._serve_soon(stream, nursery)

    def _serve_soon(
        self, stream: trio.abc.Stream, nursery: trio.Nursery
    ) -> None:
        if not self._make_room():
            self._share.account.count('no_connection')
            error = RequestError(
                'router_busy', 'this router has too many connections'
            )
            refusal = _encode_refusal(h11.Connection(h11.SERVER), error)
            close_now(stream, refusal)
            return
        held = HeldStream(stream, self._share, self._limits.idle_timeout_s)
        connection = _Connection(held, self._limits)
        connection.closing = self._accept_scope.cancel_called
        self._connections.add(connection)
        self._share.account.connections_by_listener[self._share.name] += 1
        nursery.start_soon(self._serve, connection)

    def _make_room(self) -> bool:
        if len(self._connections) < self._share.max_connections:
            return True
        idle = find_idle(self._connections, trio.current_time())
        for connection in idle:
            # A request that has arrived is served.
            if not connection.stream.has_unread():
                connection.stream.drop()
                self._forget(connection)
                self._share.account.count('idle_closed')
                return True
        return self._share.account.end_stalled()

    async def _serve(self, connection: _Connection) -> None:
        try:
            await connection.serve(self._handler)
        finally:
            self._forget(connection)

    def _forget(self, connection: _Connection) -> None:
        if connection in self._connections:
            self._connections.discard(connection)
            self._share.account.connections_by_listener[self._share.name] -= 1


def _do_nothing() -> None:
    """Do nothing."""
