"""
eelgrassfork.peering
~~~~~~~~~~~~~~~~~~~~

Exchanges heartbeats and calls between routers.
"""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import logbook
import msgspec
import trio

from .errors import EelgrassError, RequestError
from .http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
    hold_bodies,
)
from .http_server import Call, HttpServer, ServerLimits
from .memory_account import Account, ListenerShare
from .peer_messages import (
    EXCHANGE_PATH,
    Exchange,
    ExchangeAnswer,
    Heartbeat,
    Payload,
    PeerCall,
    PeerResult,
    decode_answer,
    decode_exchange,
    encode,
)
from .transport import TCP, Transport

__all__ = (
    'PeerHandler',
    'PeerRefused',
    'PeerSettings',
    'PeerUnreachable',
    'Peering',
)

_log = logbook.Logger('peers')

_MAX_EXCHANGES_PER_PEER: Final = 4
_MAX_BODY_BYTES: Final = 4_194_304
_OK_STATUS: Final = 200

PeerHandler = Callable[[str, Payload], Awaitable[Payload]]


class PeerUnreachable(EelgrassError):
    """
    A peer did not respond.

    :ivar sent: whether the call may have taken effect on the peer.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__('peer_unreachable', message)
        self.sent = sent


class PeerRefused(EelgrassError):
    """A peer responded to a call with an error code."""


class PeerSettings(NamedTuple):
    """
    Authentication and time-out of exchanges with peers.

    :param peer_key: secret shared by the routers.
    :param timeout_s: time-out of each step of an exchange (connecting,
        response head, gaps in the response body), in seconds.
    """

    peer_key: str
    timeout_s: float = 1


class _PendingCall(NamedTuple):
    kind: str
    payload: Payload
    done: trio.Event
    outcome: list[PeerResult | PeerUnreachable]


class _PeerQueue:
    """Pending calls to one peer, sent together in one exchange."""

    def __init__(self) -> None:
        self.pending: list[_PendingCall] = []
        self.limiter = trio.CapacityLimiter(_MAX_EXCHANGES_PER_PEER)
        self.flush_scheduled = False


class Peering:
    """
    Client and server of the exchanges between routers.

    :param settings: key and time-out.
    :param own_heartbeat: returns this router's heartbeat.
    :param on_heartbeat: takes each peer's heartbeat, and the time at which
        the exchange that carried it was started.
    :param address_of: returns the peer address of a VM, or ``None``.
    :param transport: opens and accepts the connections.
    :param account: account of the process; unlimited by default.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat, float], None],
        address_of: Callable[[str], str | None],
        transport: Transport = TCP,
        account: Account | None = None,
    ) -> None:
        account = account or Account()
        self._settings = settings
        self._own_heartbeat = own_heartbeat
        self._on_heartbeat = on_heartbeat
        self._address_of = address_of
        self._handlers_by_kind: dict[str, PeerHandler] = {}
        self._queues_by_address: dict[str, _PeerQueue] = {}
        self._client = HttpClient(
            ClientTimeouts(
                settings.timeout_s, settings.timeout_s, settings.timeout_s
            ),
            transport=transport,
            hold_body=hold_bodies(account, 'control_body'),
        )
        self._server = HttpServer(
            self._serve,
            ServerLimits(max_body_bytes=_MAX_BODY_BYTES),
            transport,
            ListenerShare(account, 'peers', is_system=True),
        )
        self._nursery: trio.Nursery | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def address(self) -> str:
        """Address of the listener once started, as ``ip:port``."""
        return self._server.address

    def register(self, kind: str, handler: PeerHandler) -> None:
        """
        Register the handler of one kind of call.

        :param kind: name of the call.
        :param handler: takes the sender's holder and the payload; may raise
            :class:`~eelgrassfork.errors.EelgrassError`.
        """
        self._handlers_by_kind[kind] = handler

    def on_failure(self, callback: Callable[[], None]) -> None:
        """
        Register a callback for a failed listening socket.

        :param callback: called when the socket has failed.
        """
        self._server.on_failure = callback

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Accept exchanges from peers in the background.

        :param nursery: runs the exchanges.
        :param host: IP address to bind.
        :param port: port, or 0 for any free one.
        """
        self._nursery = nursery
        await self._server.start(nursery, host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()
        await self._client.close()

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """
        Call a peer; concurrent calls to it are batched into one exchange.

        :param vm: the peer's VM.
        :param kind: name of the call.
        :param payload: arguments of the call.
        :returns: the peer's result.
        :raises PeerUnreachable: if the peer did not respond.
        :raises PeerRefused: if the peer responded with an error code.
        """
        address = self._address_of(vm)
        if address is None:
            raise PeerUnreachable(
                f'peer address of {vm} is unknown', sent=False
            )
        pending_call = _PendingCall(kind, payload, trio.Event(), [])
        self._enqueue(address, pending_call)
        await pending_call.done.wait()
        outcome = pending_call.outcome[0]
        if isinstance(outcome, PeerUnreachable):
            raise outcome
        if outcome.code:
            message = str(outcome.payload.get('message', ''))
            raise PeerRefused(outcome.code, message)
        return outcome.payload

    async def send_heartbeat(self, address: str) -> None:
        """
        Send a heartbeat; the peer's own one is passed to ``on_heartbeat``.

        :param address: the peer's address.
        :raises PeerUnreachable: if the peer did not respond.
        """
        await self._exchange(address, [])

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: bytes sent and received, and the peers' addresses.
        """
        return {
            'bytes_sent': self.bytes_sent,
            'bytes_received': self.bytes_received,
            'peer_addresses': sorted(self._queues_by_address),
        }

    def _enqueue(self, address: str, pending_call: _PendingCall) -> None:
        if self._nursery is None:
            raise PeerUnreachable('peering is not started', sent=False)
        queue = self._queues_by_address.setdefault(address, _PeerQueue())
        queue.pending.append(pending_call)
        if not queue.flush_scheduled:
            queue.flush_scheduled = True
            self._nursery.start_soon(self._flush, address, queue)

    async def _flush(self, address: str, queue: _PeerQueue) -> None:
        try:
            async with queue.limiter:
                queue.flush_scheduled = False
                await self._send_pending(address, queue)
        except BaseException:
            queue.flush_scheduled = False
            closed = PeerUnreachable('peering was closed', sent=False)
            _fail_calls(queue.pending, closed)
            queue.pending = []
            raise

    async def _send_pending(self, address: str, queue: _PeerQueue) -> None:
        pending = queue.pending
        queue.pending = []
        try:
            await self._exchange(address, pending)
        except PeerUnreachable as error:
            _fail_calls(pending, error)
        except BaseException:
            closed = PeerUnreachable('peering was closed', sent=True)
            _fail_calls(pending, closed)
            raise

    async def _exchange(
        self, address: str, pending: list[_PendingCall]
    ) -> None:
        started_at = trio.current_time()
        calls = [
            PeerCall(number, pending_call.kind, pending_call.payload)
            for number, pending_call in enumerate(pending)
        ]
        body = encode(Exchange(self._own_heartbeat(), calls))
        answer = await self._post(address, body)
        self._on_heartbeat(answer.sender, started_at)
        results_by_number = {
            outcome.number: outcome for outcome in answer.results
        }
        for number, pending_call in enumerate(pending):
            missing = PeerUnreachable(
                f'{address} returned no result for a call', sent=True
            )
            pending_call.outcome.append(
                results_by_number.get(number) or missing
            )
            pending_call.done.set()

    async def _post(self, address: str, body: bytes) -> ExchangeAnswer:
        request = ClientRequest(
            address,
            'POST',
            EXCHANGE_PATH,
            (('authorization', f'Bearer {self._settings.peer_key}'),),
            body,
        )
        try:
            response, answer = await self._client.fetch(request)
        except HttpClientError as error:
            raise PeerUnreachable(error.message, error.sent) from None
        self.bytes_sent += len(body)
        self.bytes_received += len(answer)
        if response.status != _OK_STATUS:
            raise PeerUnreachable(
                f'{address} responded with status {response.status}', sent=False
            )
        try:
            return decode_answer(answer)
        except msgspec.DecodeError as error:
            raise PeerUnreachable(f'{address}: {error}', sent=True) from None

    async def _serve(self, call: Call) -> None:
        received_at = trio.current_time()
        exchange = self._decode_request(call)
        self._on_heartbeat(exchange.sender, received_at)
        results: list[PeerResult] = []
        async with trio.open_nursery() as nursery:
            for peer_call in exchange.calls:
                nursery.start_soon(
                    self._serve_call, exchange.sender, peer_call, results
                )
        answer = encode(ExchangeAnswer(self._own_heartbeat(), results))
        self.bytes_received += len(call.body)
        self.bytes_sent += len(answer)
        await call.respond(_OK_STATUS, answer, ())

    def _decode_request(self, call: Call) -> Exchange:
        expected = f'Bearer {self._settings.peer_key}'
        given = call.headers_by_name.get('authorization', '')
        if not secrets.compare_digest(given.encode(), expected.encode()):
            raise RequestError('unknown_key', 'the peer key is invalid')
        if call.path != EXCHANGE_PATH:
            raise RequestError('invalid_request', f'no such path: {call.path}')
        try:
            return decode_exchange(call.body)
        except msgspec.DecodeError as error:
            raise RequestError('invalid_request', str(error)) from None

    async def _serve_call(
        self,
        sender: Heartbeat,
        peer_call: PeerCall,
        results: list[PeerResult],
    ) -> None:
        handler = self._handlers_by_kind.get(peer_call.kind)
        code = ''
        if handler is None:
            code = 'unknown_call'
            payload: Payload = {'message': f'unknown call {peer_call.kind!r}'}
        else:
            try:
                payload = await handler(sender.holder, peer_call.payload)
            except EelgrassError as error:
                code, payload = error.code, {'message': error.message}
            except (KeyError, TypeError, ValueError) as error:
                _log.exception('peers: call {} failed', peer_call.kind)
                code, payload = 'bad_call', {'message': repr(error)}
        results.append(PeerResult(peer_call.number, code, payload))


def _fail_calls(pending: list[_PendingCall], error: PeerUnreachable) -> None:
    for pending_call in pending:
        pending_call.outcome.append(error)
        pending_call.done.set()
