"""
eelgrassfork.gateway.peer_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Newer beliefs and credit that routers ask of one another.
"""

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

import logbook
import msgspec
import trio

from ..errors import EelgrassError, RequestError
from ..http_client import ClientRequest, ClientTimeouts, HttpClient
from ..http_server import Call
from .follower import Beliefs
from .gossip import Gossip, Heartbeat, Peer
from .ledger import add_up
from .lending import CreditAnswer, CreditRequest, LedgerView, Loan
from .node_settings import NodeSettings
from .server_records import ServerRecord

__all__ = ('PeerExchange', 'knows_more')

_log = logbook.Logger('peers')

_CONFIGURATION: Final = '/peer/v1/configuration'
_SERVERS: Final = '/peer/v1/servers'
_CREDIT: Final = '/peer/v1/credit'
_CONNECT_S: Final = 0.25
_TIMEOUTS: Final = ClientTimeouts(
    connect_s=_CONNECT_S, first_byte_s=0.5, silence_s=1
)
# Most news also come by the router's own watch in this time.
_WATCH_LEAD_S: Final = 0.06
_OK: Final = 200
# Takes a twentieth of a second on the slowest links.
_LARGE_BYTES: Final = 65536
_RETRY_S: Final = 0.2
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


class PeerExchange:
    """
    Pulls what peers know better, and serves what this router knows.

    :param client: HTTP client.
    :param gossip: who lives and what they know.
    :param beliefs: what this router believes.
    :param settings: of this router; the port for peers is the same on all.
    :ivar lend: hands over credit of this router, once there is any.
    :ivar on_failure: told when peers did not tell what they know.
    :ivar reread: reads the configuration from the store.
    """

    def __init__(
        self,
        client: HttpClient,
        gossip: Gossip,
        beliefs: Beliefs,
        settings: NodeSettings,
    ) -> None:
        self._client = client
        self._gossip = gossip
        self._beliefs = beliefs
        self._failure_domain = settings.failure_domain
        self._port = settings.peer_address.rpartition(':')[2]
        self._news = trio.Event()
        self._random = random.Random()
        self._avoided_until_by_node: dict[str, float] = {}
        self.lend: Callable[[CreditRequest], Awaitable[CreditAnswer]] = _nothing
        self.on_failure: Callable[[], None] = _ignore
        self.reread: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint

    async def run(self) -> None:
        """Pull newer beliefs for as long as the task runs."""
        while True:
            await self._news.wait()
            await trio.sleep(_WATCH_LEAD_S)
            self._news = trio.Event()
            if not await self._catch_up():
                await trio.sleep(_RETRY_S)

    def look(self) -> None:
        """Compare with the peers' heartbeats soon."""
        self._news.set()

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
            if ledger is not None and not _free(peer, urgent):
                continue
            answer = await self._borrow_from(
                peer, asked._replace(urgent_by_organisation=urgent)
            )
            lent = add_up(lent, answer.lent_by_organisation)
            ledger = ledger or answer.ledger
            asked = CreditRequest(request.borrower, request.failure_domain, {})
        return Loan(lent, ledger)

    def peers_free(self, organisation: str) -> int:
        """
        Sum up the credit that peers said they had.

        :param organisation: whose credit.
        :returns: tokens.
        """
        return sum(
            _free(peer, (organisation,)) for peer in self._gossip.spoken()
        )

    async def serve(self, call: Call) -> None:
        """
        Answer a peer.

        :param call: its call.
        :raises RequestError: ``unknown_service`` for another path.
        """
        if call.path == _CREDIT:
            await call.respond(_OK, await self._lend(call), _BODY)
            return
        answers_by_path: dict[str, Callable[[Call], bytes]] = {
            _CONFIGURATION: self._configuration,
            _SERVERS: self._servers,
        }
        answer = answers_by_path.get(call.path)
        if answer is None:
            raise RequestError('unknown_service', 'no such path')
        await call.respond(_OK, answer(call), _BODY)

    def _configuration(self, call: Call) -> bytes:
        return self._beliefs.configuration.content

    def _servers(self, call: Call) -> bytes:
        after = call.query_by_name.get('after', '-1')
        try:
            records = self._beliefs.records.export(int(after))
        except ValueError:
            raise RequestError('invalid_request', 'after: no number') from None
        return msgspec.msgpack.encode(records)

    async def _lend(self, call: Call) -> bytes:
        try:
            request = msgspec.msgpack.decode(call.body, type=CreditRequest)
        except msgspec.DecodeError as error:
            raise RequestError('invalid_request', str(error)) from None
        return msgspec.msgpack.encode(await self.lend(request))

    async def _borrow_from(
        self, peer: Peer, request: CreditRequest
    ) -> CreditAnswer:
        body = msgspec.msgpack.encode(request)
        call = ClientRequest(
            f'{peer.ip}:{self._port}', 'POST', _CREDIT, _BODY, body, once=True
        )
        try:
            _, answer = await self._client.fetch(call, _CREDIT_TIMEOUTS)
            return msgspec.msgpack.decode(answer, type=CreditAnswer)
        except (EelgrassError, msgspec.DecodeError) as error:
            # What the peer may have lent counts as used from now on.
            _log.warning(
                'could not borrow credit',
                extra={'peer': peer.node, 'why': str(error)},
            )
            self._avoided_until_by_node[peer.node] = (
                trio.current_time() + _AVOID_S
            )
            return CreditAnswer({})

    def _lenders(self, wanted: Iterable[str]) -> list[Peer]:
        now_s = trio.current_time()
        keepers = [
            peer
            for peer in self._gossip.keepers(self._failure_domain)
            if peer is not None
        ]
        others = [
            peer
            for peer in self._gossip.spoken()
            if peer not in keepers and _free(peer, wanted) > 0
        ]
        others.sort(key=lambda peer: _free(peer, wanted), reverse=True)
        sound = [
            peer
            for peer in (*keepers, *others)
            if self._avoided_until_by_node.get(peer.node, 0) <= now_s
        ]
        return sound[:_MAX_LENDERS]

    async def _catch_up(self) -> bool:
        done = await self._catch_up_configuration()
        done = await self._catch_up_servers() and done
        if not done:
            self.on_failure()
        return done

    async def _catch_up_servers(self) -> bool:
        known = self._beliefs.records
        ahead = self._nearest(
            peer
            for peer in self._gossip.spoken()
            if peer.heartbeat is not None
            and peer.heartbeat.servers_revision > known.newest
        )
        if ahead is not None:
            return await self._pull(ahead, f'{_SERVERS}?after={known.newest}')
        different = self._nearest(
            peer
            for peer in self._gossip.spoken()
            if peer.heartbeat is not None
            and peer.heartbeat.servers_revision == known.newest
            and peer.heartbeat.servers_digest != known.digest
        )
        return different is None or await self._pull(different, _SERVERS)

    def _nearest(self, peers: Iterable[Peer]) -> Peer | None:
        found = list(peers)
        near = [
            peer
            for peer in found
            if peer.heartbeat is not None
            and peer.heartbeat.failure_domain == self._failure_domain
        ]
        return self._random.choice(near or found) if found else None

    async def _catch_up_configuration(self) -> bool:
        peers = self._gossip.spoken()
        newest = max(map(_configuration_version, peers), default=0)
        holder = self._beliefs.configuration
        if newest <= holder.version:
            return True
        # All routers hear of a version at once.  Spread over those that have
        # it, and to the store if it is large, they do not choke one link.
        sources = [
            peer for peer in peers if _configuration_version(peer) == newest
        ]
        if len(holder.content) > _LARGE_BYTES:
            await self.reread()
        if holder.version < newest:
            peer = self._nearest(sources)
            if peer is None or not await self._pull(peer, _CONFIGURATION):
                await self.reread()
        return holder.version >= newest

    async def _pull(self, peer: Peer, path: str) -> bool:
        request = ClientRequest(f'{peer.ip}:{self._port}', 'GET', path)
        try:
            answer, body = await self._client.fetch(request, _TIMEOUTS)
            if answer.status != _OK:
                raise EelgrassError('refused', f'HTTP {answer.status}')
        except EelgrassError as error:
            _log.warning(
                'could not catch up with a peer',
                extra={'peer': peer.node, 'path': path, 'why': error.code},
            )
            return False
        if path == _CONFIGURATION:
            self._beliefs.take_configuration(body, peer.node)
            return True
        try:
            records = msgspec.msgpack.decode(body, type=list[ServerRecord])
        except msgspec.DecodeError as error:
            _log.warning(
                'a peer sent bad records',
                extra={'peer': peer.node, 'why': str(error)},
            )
            return False
        self._beliefs.take_servers(records, peer.node)
        return True


def _ignore() -> None:
    """Do nothing."""


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


def _free(peer: Peer, organisations: Iterable[str]) -> int:
    if peer.heartbeat is None:
        return 0
    free = peer.heartbeat.free_by_organisation
    return sum(free.get(name, 0) for name in organisations)


def knows_more(heartbeat: Heartbeat, beliefs: Beliefs) -> bool:
    """
    Tell whether a peer should be asked for what it knows.

    A peer that is behind will ask by itself.

    :param heartbeat: of the peer.
    :param beliefs: of this router.
    :returns: whether something newer or different is known there.
    """
    records = beliefs.records
    if heartbeat.configuration_version > beliefs.configuration.version:
        return True
    if heartbeat.servers_revision != records.newest:
        return heartbeat.servers_revision > records.newest
    return heartbeat.servers_digest != records.digest


def _configuration_version(peer: Peer) -> int:
    return peer.heartbeat.configuration_version if peer.heartbeat else 0
