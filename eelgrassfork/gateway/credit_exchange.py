"""
eelgrassfork.gateway.credit_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit that routers ask of one another and hand back.
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
from .ledger import add_up
from .lending import CreditAnswer, CreditRequest, LedgerView, Loan
from .node_settings import NodeSettings
from .peers import Peer
from .roster import Roster

__all__ = ('CREDIT_PATH', 'CreditExchange')

_log = logbook.Logger('peers')

CREDIT_PATH: Final = '/peer/v1/credit'
_MAX_LENDERS: Final = 6
# Longer than a keeper waits for the store, as credit of a lost answer is lost.
_LEND_S: Final = 0.25
_CREDIT_TIMEOUTS: Final = ClientTimeouts(
    connect_s=0.1, first_byte_s=_LEND_S, silence_s=_LEND_S
)
# No further peer is asked after so long; the caller waits meanwhile.
_BORROW_S: Final = 0.2
# Heartbeats show within this time whether a silent peer is gone.
_AVOID_S: Final = 2.0
_BODY: Final = (('content-type', 'application/msgpack'),)


class CreditExchange:
    """
    Borrows credit, hands it over, and serves peers that do the same.

    :param client: HTTP client.
    :param roster: who lives and what they have.
    :param settings: of this router; the port for peers is the same on all.
    :ivar lend: hands over credit of this router, once there is any.
    """

    def __init__(
        self, client: HttpClient, roster: Roster, settings: NodeSettings
    ) -> None:
        self._client = client
        self._roster = roster
        self._port = settings.peer_address.rpartition(':')[2]
        self._avoided_until_by_node: dict[str, float] = {}
        self.lend: Callable[[CreditRequest], Awaitable[CreditAnswer]] = _nothing

    async def borrow(self, request: CreditRequest) -> Loan:
        """
        Ask peers for credit: keepers first, then those that have most.

        :param request: tokens needed.
        :returns: tokens that were lent, maybe too few.
        """
        lent: dict[str, int] = {}
        ledger: LedgerView | None = None
        asked = request
        end_at = trio.current_time() + _BORROW_S
        for peer in self._lenders(request.urgent_by_organisation):
            urgent = _missing(request.urgent_by_organisation, lent)
            if trio.current_time() >= end_at:
                break
            if ledger is not None and not _may_have(peer, urgent):
                continue
            answer = await self._borrow_from(
                peer, asked._replace(urgent_by_organisation=urgent)
            )
            lent = add_up(lent, answer.lent_by_organisation)
            ledger = ledger or answer.ledger
            asked = CreditRequest(request.borrower, request.failure_domain, {})
        return Loan(lent, ledger)

    async def deposit(self, request: CreditRequest) -> bool:
        """
        Hand over credit to a keeper.

        :param request: the credit.
        :returns: whether it may have arrived.
        """
        await trio.lowlevel.checkpoint()
        for peer in self._keepers()[:1]:
            try:
                await self._ask(peer, request)
            except HttpClientError as error:
                self._avoid(peer, error)
                return error.sent
            return True
        return False

    def may_lend(self, organisation: str, tokens: int) -> bool:
        """
        Tell whether peers may have credit.

        :param organisation: whose credit.
        :param tokens: how much is needed.
        :returns: whether they said that they had so much together, or some
            keeper has not said what it has.
        """
        if not all(peer.has_spoken for peer in self._keepers()):
            return True
        said = sum(
            _free(peer, (organisation,)) for peer in self._roster.peers.spoken()
        )
        return said >= tokens

    async def serve(self, call: Call) -> bytes:
        """
        Answer a peer.

        :param call: its request for credit.
        :returns: body of the answer.
        :raises RequestError: ``invalid_request`` if it can't be understood.
        """
        try:
            request = msgspec.msgpack.decode(call.body, type=CreditRequest)
        except msgspec.DecodeError as error:
            raise RequestError('invalid_request', str(error)) from None
        return msgspec.msgpack.encode(await self.lend(request))

    async def _ask(self, peer: Peer, request: CreditRequest) -> bytes:
        body = msgspec.msgpack.encode(request)
        call = ClientRequest(
            f'{peer.ip}:{self._port}',
            'POST',
            CREDIT_PATH,
            _BODY,
            body,
            no_resend=True,
        )
        _, answer = await self._client.fetch(call, _CREDIT_TIMEOUTS)
        return answer

    async def _borrow_from(
        self, peer: Peer, request: CreditRequest
    ) -> CreditAnswer:
        try:
            answer = await self._ask(peer, request)
            return msgspec.msgpack.decode(answer, type=CreditAnswer)
        except (EelgrassError, msgspec.DecodeError) as error:
            # What the peer may have lent counts as used from now on.
            self._avoid(peer, error)
            return CreditAnswer({})

    def _avoid(self, peer: Peer, error: Exception) -> None:
        _log.warning(
            'no answer about credit',
            extra={'peer': peer.node, 'why': str(error)},
        )
        self._avoided_until_by_node[peer.node] = trio.current_time() + _AVOID_S

    def _lenders(self, wanted: Iterable[str]) -> list[Peer]:
        now_s = trio.current_time()
        keepers = self._keepers()
        first = keepers[:1]
        silent = [peer for peer in keepers[1:] if not peer.has_spoken]
        others = [
            peer
            for peer in self._roster.peers.spoken()
            if peer not in first
            and _free(peer, wanted) > 0
            and self._avoided_until_by_node.get(peer.node, 0) <= now_s
        ]
        others.sort(key=lambda peer: _free(peer, wanted), reverse=True)
        return [*first, *others, *silent][:_MAX_LENDERS]

    def _keepers(self) -> list[Peer]:
        now_s = trio.current_time()
        return [
            peer
            for peer in self._roster.keepers()
            if peer is not None
            and self._avoided_until_by_node.get(peer.node, 0) <= now_s
        ]


async def _nothing(request: CreditRequest) -> CreditAnswer:
    await trio.lowlevel.checkpoint()
    return CreditAnswer({})


def _missing(
    wanted: Mapping[str, int], lent: Mapping[str, int]
) -> dict[str, int]:
    return {
        name: amount - lent.get(name, 0)
        for name, amount in wanted.items()
        if amount > lent.get(name, 0)
    }


def _may_have(peer: Peer, organisations: Iterable[str]) -> bool:
    return not peer.has_spoken or _free(peer, organisations) > 0


def _free(peer: Peer, organisations: Iterable[str]) -> int:
    if peer.heartbeat is None:
        return 0
    free = peer.heartbeat.free_by_organisation
    return sum(free.get(name, 0) for name in organisations)
