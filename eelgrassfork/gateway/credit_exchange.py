"""
eelgrassfork.gateway.credit_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit exchange between routers: borrowing, depositing and lending.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

import logbook
import msgspec
import trio

from ..errors import EelgrassError, RequestError
from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from ..http_server import Call
from .ledger import sum_by_organisation
from .lending import CreditAnswer, CreditRequest, LedgerView, Loan
from .node_settings import NodeSettings
from .peers import Peer
from .roster import Roster

__all__ = ('CREDIT_PATH', 'CreditExchange')

_log = logbook.Logger('peers')

CREDIT_PATH: Final = '/peer/v1/credit'
_MAX_LENDERS: Final = 6
# Longer than a keeper waits for the store, as credit in a response that is not
# received is lost.
_LEND_TIMEOUT_S: Final = 0.25
_CREDIT_TIMEOUTS: Final = ClientTimeouts(
    connect_s=0.1, first_byte_s=_LEND_TIMEOUT_S, silence_s=_LEND_TIMEOUT_S
)
# No further peer is asked after this time, as the caller's request waits.
_BORROW_LIMIT_S: Final = 0.2
# A peer is skipped for this time after a failed call; within it, heartbeats
# show whether the peer is still alive.
_SKIP_S: Final = 2.0
# Time-outs that adapt to a busy link allow for this multiple of the delay of
# recent calls, as the delay varies.
_DELAYS_PER_TIMEOUT: Final = 3
_DELAY_WEIGHT: Final = 0.5
# With a longer delay, callers are better served by another router.
_MAX_CALL_DELAY_S: Final = 0.3
_HEADERS: Final = (('content-type', 'application/msgpack'),)


class CreditExchange:
    """
    Borrows and deposits credit, and serves the requests of peers.

    :param client: HTTP client.
    :param roster: live routers and their advertised credit.
    :param settings: settings of this router; all routers use the same port
        for peers.
    :ivar lend: handles credit requests; lends nothing until it is set.
    :ivar adapts_timeouts: whether time-outs follow the delay of recent calls.
    """

    def __init__(
        self, client: HttpClient, roster: Roster, settings: NodeSettings
    ) -> None:
        self._client = client
        self._roster = roster
        self._port = settings.peer_address.rpartition(':')[2]
        self._skipped_until_by_node: dict[str, float] = {}
        self._call_delay_s: float = 0
        self.adapts_timeouts = False
        self.lend: Callable[[CreditRequest], Awaitable[CreditAnswer]] = (
            _lend_nothing
        )

    @property
    def call_delay_s(self) -> float:
        """Duration of recent calls to peers, in seconds."""
        return self._call_delay_s

    async def borrow(self, request: CreditRequest) -> Loan:
        """
        Borrow credit from peers.

        A keeper is asked first, then peers by advertised credit, largest
        first, then keepers whose credit is unknown.

        :param request: tokens needed.
        :returns: tokens lent; may be less than needed.
        """
        lent: dict[str, int] = {}
        ledger: LedgerView | None = None
        next_request = request
        deadline = trio.current_time() + self._borrow_limit_s()
        for peer in self._lenders(request.urgent_by_organisation):
            urgent = _missing(request.urgent_by_organisation, lent)
            is_met = ledger is not None and not urgent
            if is_met or trio.current_time() >= deadline:
                break
            if ledger is not None and not _may_have_credit(peer, urgent):
                continue
            answer = await self._borrow_from(
                peer, next_request._replace(urgent_by_organisation=urgent)
            )
            lent = sum_by_organisation(lent, answer.lent_by_organisation)
            ledger = ledger or answer.ledger
            next_request = CreditRequest(
                request.borrower, request.failure_domain, {}
            )
        return Loan(lent, ledger)

    async def deposit(self, request: CreditRequest) -> bool:
        """
        Deposit credit with a keeper.

        :param request: request with the credit to deposit.
        :returns: whether the keeper may have received it.
        """
        await trio.lowlevel.checkpoint()
        for peer in self._keepers()[:1]:
            try:
                await self._send(peer, request)
            except HttpClientError as error:
                self._skip(peer, error)
                return error.sent
            return True
        return False

    def may_lend(self, organisation: str, tokens: int) -> bool:
        """
        Check whether peers may hold enough credit.

        :param organisation: name of the organisation.
        :param tokens: tokens needed.
        :returns: whether the peers advertise at least this much in total, or
            the credit of some keeper is unknown.
        """
        if not all(peer.has_recent_heartbeat for peer in self._keepers()):
            return True
        return self.advertised(organisation) >= tokens

    def advertised(self, organisation: str) -> int:
        """
        Sum the credit that peers advertise.

        :param organisation: name of the organisation.
        :returns: tokens, by the heartbeats that are still valid.
        """
        return sum(
            _advertised_free(peer, (organisation,))
            for peer in self._roster.peers.with_recent_heartbeat()
        )

    async def serve(self, call: Call) -> bytes:
        """
        Handle a credit request from a peer.

        :param call: HTTP request.
        :returns: body of the response.
        :raises RequestError: ``invalid_request`` if the body can't be decoded.
        """
        try:
            request = msgspec.msgpack.decode(call.body, type=CreditRequest)
        except msgspec.DecodeError as error:
            raise RequestError('invalid_request', str(error)) from None
        return msgspec.msgpack.encode(await self.lend(request))

    async def _send(self, peer: Peer, request: CreditRequest) -> bytes:
        body = msgspec.msgpack.encode(request)
        call = ClientRequest(
            f'{peer.ip}:{self._port}',
            'POST',
            CREDIT_PATH,
            _HEADERS,
            body,
            no_resend=True,
        )
        started_at = trio.current_time()
        try:
            _, answer = await self._client.fetch(call, self._timeouts())
        except HttpClientError:
            # If the link of this router delays all calls, the next one needs
            # more time; a call to another peer soon shows otherwise.
            self._record_delay(
                2 * self._call_delay_s + _CREDIT_TIMEOUTS.connect_s
            )
            raise
        self._record_delay(trio.current_time() - started_at)
        return answer

    def _borrow_limit_s(self) -> float:
        if not self.adapts_timeouts:
            return _BORROW_LIMIT_S
        return _BORROW_LIMIT_S + _DELAYS_PER_TIMEOUT * self._call_delay_s

    def _timeouts(self) -> ClientTimeouts:
        if not self.adapts_timeouts:
            return _CREDIT_TIMEOUTS
        extra_s = _DELAYS_PER_TIMEOUT * self._call_delay_s
        return _CREDIT_TIMEOUTS._replace(
            connect_s=_CREDIT_TIMEOUTS.connect_s + extra_s,
            first_byte_s=_CREDIT_TIMEOUTS.first_byte_s + extra_s,
            silence_s=_CREDIT_TIMEOUTS.silence_s + extra_s,
        )

    def _record_delay(self, delay_s: float) -> None:
        change_s = min(delay_s, _MAX_CALL_DELAY_S) - self._call_delay_s
        self._call_delay_s += change_s * _DELAY_WEIGHT

    async def _borrow_from(
        self, peer: Peer, request: CreditRequest
    ) -> CreditAnswer:
        try:
            answer = await self._send(peer, request)
            return msgspec.msgpack.decode(answer, type=CreditAnswer)
        except (EelgrassError, msgspec.DecodeError) as error:
            # Credit that the peer may have lent is lost and counts as used.
            self._skip(peer, error)
            return CreditAnswer({})

    def _skip(self, peer: Peer, error: Exception) -> None:
        _log.warning(
            'credit request to a peer failed',
            extra={'peer': peer.node, 'why': str(error)},
        )
        self._skipped_until_by_node[peer.node] = trio.current_time() + _SKIP_S

    def _lenders(self, organisations: Iterable[str]) -> list[Peer]:
        now_s = trio.current_time()
        keepers = self._keepers()
        first = keepers[:1]
        unknown = [
            peer for peer in keepers[1:] if not peer.has_recent_heartbeat
        ]
        others = [
            peer
            for peer in self._roster.peers.with_recent_heartbeat()
            if peer not in first
            and _advertised_free(peer, organisations) > 0
            and self._skipped_until_by_node.get(peer.node, 0) <= now_s
        ]
        others.sort(
            key=lambda peer: _advertised_free(peer, organisations), reverse=True
        )
        return [*first, *others, *unknown][:_MAX_LENDERS]

    def _keepers(self) -> list[Peer]:
        now_s = trio.current_time()
        return [
            peer
            for peer in self._roster.keepers()
            if peer is not None
            and self._skipped_until_by_node.get(peer.node, 0) <= now_s
        ]


async def _lend_nothing(request: CreditRequest) -> CreditAnswer:
    await trio.lowlevel.checkpoint()
    return CreditAnswer({})


def _missing(
    requested: Mapping[str, int], lent: Mapping[str, int]
) -> dict[str, int]:
    return {
        name: amount - lent.get(name, 0)
        for name, amount in requested.items()
        if amount > lent.get(name, 0)
    }


def _may_have_credit(peer: Peer, organisations: Iterable[str]) -> bool:
    return (
        not peer.has_recent_heartbeat
        or _advertised_free(peer, organisations) > 0
    )


def _advertised_free(peer: Peer, organisations: Iterable[str]) -> int:
    if peer.heartbeat is None:
        return 0
    free = peer.heartbeat.free_by_organisation
    return sum(free.get(name, 0) for name in organisations)
