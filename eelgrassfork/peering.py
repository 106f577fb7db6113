"""
eelgrassfork.peering
~~~~~~~~~~~~~~~~~~~~

Exchange of heartbeats and calls between routers.
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
)
from .http_server import Call, HttpServer, ServerLimits
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
    A peer gave no answer.

    :ivar sent: whether the call may have taken effect there.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__('peer_unreachable', message)
        self.sent = sent


class PeerRefused(EelgrassError):
    """A peer answered a call with an error code."""


class PeerSettings(NamedTuple):
    """
    How to reach peers.

    :param peer_key: shared secret of the routers.
    :param timeout_s: longest wait for the answer of an exchange.
    """

    peer_key: str
    timeout_s: float = 1


class _Waiting(NamedTuple):
    kind: str
    payload: Payload
    done: trio.Event
    outcome: list[PeerResult | PeerUnreachable]


class _Link:
    """Calls waiting for one peer; sent together in one exchange."""

    def __init__(self) -> None:
        self.waiting: list[_Waiting] = []
        self.limiter = trio.CapacityLimiter(_MAX_EXCHANGES_PER_PEER)
        self.flushing = False


class Peering:
    """
    Both sides of the exchange between routers.

    :param settings: key and bounds.
    :param own_heartbeat: query for this router's heartbeat.
    :param on_heartbeat: takes each peer's heartbeat, and the time at which
        the exchange that brought it was started.
    :param address_of: query for the peer address of a VM, or ``None``.
    :param transport: how connections are opened and accepted.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat, float], None],
        address_of: Callable[[str], str | None],
        transport: Transport = TCP,
    ) -> None:
        self._settings = settings
        self._own_heartbeat = own_heartbeat
        self._on_heartbeat = on_heartbeat
        self._address_of = address_of
        self._handlers_by_kind: dict[str, PeerHandler] = {}
        self._links_by_address: dict[str, _Link] = {}
        self._client = HttpClient(
            ClientTimeouts(
                settings.timeout_s, settings.timeout_s, settings.timeout_s
            ),
            transport=transport,
        )
        self._server = HttpServer(
            self._serve,
            ServerLimits(max_body_bytes=_MAX_BODY_BYTES),
            transport,
        )
        self._nursery: trio.Nursery | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def address(self) -> str:
        """Address of the listener, once started."""
        return self._server.address

    def register(self, kind: str, handler: PeerHandler) -> None:
        """
        Let peers make one kind of call.

        :param kind: name of the call.
        :param handler: takes the sender's holder and the payload; may raise
            :class:`~eelgrassfork.errors.EelgrassError`.
        """
        self._handlers_by_kind[kind] = handler

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Listen for peers.

        :param nursery: where exchanges run.
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
        Call a peer; calls made at the same time share an exchange.

        :param vm: the peer's VM.
        :param kind: name of the call.
        :param payload: its arguments.
        :returns: the peer's result.
        :raises PeerUnreachable: if no answer came.
        :raises PeerRefused: if the peer answered with a code.
        """
        address = self._address_of(vm)
        if address is None:
            raise PeerUnreachable(f'{vm} has no known address', sent=False)
        waiting = _Waiting(kind, payload, trio.Event(), [])
        self._enqueue(address, waiting)
        await waiting.done.wait()
        outcome = waiting.outcome[0]
        if isinstance(outcome, PeerUnreachable):
            raise outcome
        if outcome.code:
            message = str(outcome.payload.get('message', ''))
            raise PeerRefused(outcome.code, message)
        return outcome.payload

    async def send_heartbeat(self, address: str) -> None:
        """
        Send a heartbeat to a peer; its answer is reported as heard.

        :param address: the peer's address.
        :raises PeerUnreachable: if no answer came.
        """
        await self._exchange(address, [])

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: counters in bytes and the peers' addresses.
        """
        return {
            'bytes_sent': self.bytes_sent,
            'bytes_received': self.bytes_received,
            'peer_addresses': sorted(self._links_by_address),
        }

    def _enqueue(self, address: str, waiting: _Waiting) -> None:
        if self._nursery is None:
            raise PeerUnreachable('peering is not started', sent=False)
        link = self._links_by_address.setdefault(address, _Link())
        link.waiting.append(waiting)
        if not link.flushing:
            link.flushing = True
            self._nursery.start_soon(self._flush, address, link)

    async def _flush(self, address: str, link: _Link) -> None:
        try:
            async with link.limiter:
                link.flushing = False
                await self._send_waiting(address, link)
        except BaseException:
            link.flushing = False
            stopped = PeerUnreachable('peering was closed', sent=False)
            _finish(link.waiting, stopped)
            link.waiting = []
            raise

    async def _send_waiting(self, address: str, link: _Link) -> None:
        waiting = link.waiting
        link.waiting = []
        try:
            await self._exchange(address, waiting)
        except PeerUnreachable as error:
            _finish(waiting, error)
        except BaseException:
            stopped = PeerUnreachable('peering was closed', sent=True)
            _finish(waiting, stopped)
            raise

    async def _exchange(self, address: str, waiting: list[_Waiting]) -> None:
        started_at = trio.current_time()
        calls = [
            PeerCall(number, entry.kind, entry.payload)
            for number, entry in enumerate(waiting)
        ]
        body = encode(Exchange(self._own_heartbeat(), calls))
        answer = await self._post(address, body)
        self._on_heartbeat(answer.sender, started_at)
        results_by_number = {
            outcome.number: outcome for outcome in answer.results
        }
        for number, entry in enumerate(waiting):
            missing = PeerUnreachable(f'{address} left a call out', sent=True)
            entry.outcome.append(results_by_number.get(number) or missing)
            entry.done.set()

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
                f'{address} answered with status {response.status}', sent=False
            )
        try:
            return decode_answer(answer)
        except msgspec.DecodeError as error:
            raise PeerUnreachable(f'{address}: {error}', sent=True) from None

    async def _serve(self, call: Call) -> None:
        received_at = trio.current_time()
        exchange = self._check(call)
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

    def _check(self, call: Call) -> Exchange:
        expected = f'Bearer {self._settings.peer_key}'
        given = call.headers_by_name.get('authorization', '')
        if not secrets.compare_digest(given.encode(), expected.encode()):
            raise RequestError('unknown_key', 'the peer key is not known')
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
            payload: Payload = {'message': f'no call {peer_call.kind!r}'}
        else:
            try:
                payload = await handler(sender.holder, peer_call.payload)
            except EelgrassError as error:
                code, payload = error.code, {'message': error.message}
            except (KeyError, TypeError, ValueError) as error:
                _log.exception('peers: call {} failed', peer_call.kind)
                code, payload = 'bad_call', {'message': repr(error)}
        results.append(PeerResult(peer_call.number, code, payload))


def _finish(waiting: list[_Waiting], error: PeerUnreachable) -> None:
    for entry in waiting:
        entry.outcome.append(error)
        entry.done.set()
