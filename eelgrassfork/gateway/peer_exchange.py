"""
eelgrassfork.gateway.peer_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pulls newer configurations and server records from peers, and serves them.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import logbook
import msgspec
import trio

from ..errors import EelgrassError, RequestError
from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
)
from ..http_server import Call
from .credit_exchange import CREDIT_PATH
from .follower import StoreView
from .heartbeats import Heartbeat
from .node_settings import NodeSettings
from .peers import Peer, PeerTable
from .send_permits import PERMIT_PATH
from .server_records import ServerRecord

__all__ = ('PeerExchange', 'should_pull')

_log = logbook.Logger('peers')

_CONFIGURATION: Final = '/peer/v1/configuration'
_SERVERS: Final = '/peer/v1/servers'
_CONNECT_S: Final = 0.25
_TIMEOUTS: Final = ClientTimeouts(
    connect_s=_CONNECT_S, first_byte_s=0.5, silence_s=1
)
# A call takes several iterations of the event loop, which are slow on a busy
# router, so the time-outs are extended by that many loop delays.
_LOOP_ITERATIONS_PER_CALL: Final = 4
# Within this delay most changes also arrive through the router's own watch.
_WATCH_HEAD_START_S: Final = 0.06
_OK: Final = 200
_RETRY_S: Final = 0.2
_BODY: Final = (('content-type', 'application/msgpack'),)


class PeerExchange:
    """
    Pulls newer state from peers, and serves the state of this router.

    :param client: HTTP client.
    :param peers: live peers and their newest heartbeats.
    :param store_view: store view of this router.
    :param settings: settings of this router; all routers use the same port for
        peers.
    :ivar on_credit: answers credit calls.
    :ivar on_permit: answers requests for permits.
    :ivar on_failure: called after a failed attempt to catch up with peers.
    :ivar reread: reads the configuration from the store.
    :ivar loop_delay_s: returns the delay of this router's event loop.
    """

    def __init__(
        self,
        client: HttpClient,
        peers: PeerTable,
        store_view: StoreView,
        settings: NodeSettings,
    ) -> None:
        self._client = client
        self._peers = peers
        self._store_view = store_view
        self._failure_domain = settings.failure_domain
        self._port = settings.peer_address.rpartition(':')[2]
        self._pull_requested = trio.Event()
        self._random = random.Random()
        self.on_credit: Callable[[Call], Awaitable[bytes]] = _reject_call
        self.on_permit: Callable[[Call], Awaitable[bytes]] = _reject_call
        self.on_failure: Callable[[], None] = _do_nothing
        self.reread: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        self.loop_delay_s: Callable[[], float] = float

    async def run(self) -> None:
        """Pull newer state from peers until cancelled."""
        while True:
            await self._pull_requested.wait()
            await trio.sleep(_WATCH_HEAD_START_S)
            self._pull_requested = trio.Event()
            if not await self._catch_up():
                await trio.sleep(_RETRY_S)

    def schedule_pull(self) -> None:
        """Schedule a comparison with the heartbeats of the peers."""
        self._pull_requested.set()

    async def serve(self, call: Call) -> None:
        """
        Answer a call of a peer.

        :param call: the call.
        :raises RequestError: ``unknown_service`` for an unknown path;
            ``invalid_request`` if ``after`` is not an integer.
        """
        handlers_by_path = {
            CREDIT_PATH: self.on_credit,
            PERMIT_PATH: self.on_permit,
        }
        handler = handlers_by_path.get(call.path)
        if handler is not None:
            await call.respond(_OK, await handler(call), _BODY)
            return
        answers_by_path: dict[str, Callable[[Call], bytes]] = {
            _CONFIGURATION: self._configuration,
            _SERVERS: self._servers,
        }
        answer = answers_by_path.get(call.path)
        if answer is None:
            raise RequestError('unknown_service', 'no such peer path')
        await call.respond(_OK, answer(call), _BODY)

    def _configuration(self, call: Call) -> bytes:
        return self._store_view.configuration.packed

    def _servers(self, call: Call) -> bytes:
        after = call.query_by_name.get('after', '-1')
        try:
            records = self._store_view.records.export(int(after))
        except ValueError:
            raise RequestError(
                'invalid_request', 'after: not an integer'
            ) from None
        return msgspec.msgpack.encode(records)

    async def _catch_up(self) -> bool:
        done = await self._catch_up_configuration()
        done = await self._catch_up_servers() and done
        if not done:
            self.on_failure()
        return done

    async def _catch_up_servers(self) -> bool:
        known = self._store_view.records
        ahead = self._pick_peer(
            peer
            for peer in self._peers.with_recent_heartbeat()
            if peer.heartbeat is not None
            and peer.heartbeat.servers_revision > known.newest
        )
        if ahead is not None:
            return await self._pull(ahead, f'{_SERVERS}?after={known.newest}')
        diverged = self._pick_peer(
            peer
            for peer in self._peers.with_recent_heartbeat()
            if peer.heartbeat is not None
            and peer.heartbeat.servers_revision == known.newest
            and peer.heartbeat.servers_digest != known.digest
        )
        return diverged is None or await self._pull(diverged, _SERVERS)

    def _pick_peer(self, peers: Iterable[Peer]) -> Peer | None:
        candidates = list(peers)
        same_domain = [
            peer
            for peer in candidates
            if peer.heartbeat is not None
            and peer.heartbeat.failure_domain == self._failure_domain
        ]
        return (
            self._random.choice(same_domain or candidates)
            if candidates
            else None
        )

    async def _catch_up_configuration(self) -> bool:
        peers = self._peers.with_recent_heartbeat()
        newest = max(map(_configuration_version, peers), default=0)
        holder = self._store_view.configuration
        if newest <= holder.version:
            return True
        # All routers learn of a version at the same time.  Pulling from random
        # peers that have it keeps them from saturating a single link.
        sources = [
            peer for peer in peers if _configuration_version(peer) == newest
        ]
        peer = self._pick_peer(sources)
        if peer is None or not await self._pull(peer, _CONFIGURATION):
            await self.reread()
        return holder.version >= newest

    def _timeouts(self) -> ClientTimeouts:
        extra_s = _LOOP_ITERATIONS_PER_CALL * self.loop_delay_s()
        return ClientTimeouts(
            connect_s=_TIMEOUTS.connect_s + extra_s,
            first_byte_s=_TIMEOUTS.first_byte_s + extra_s,
            silence_s=_TIMEOUTS.silence_s + extra_s,
        )

    async def _pull(self, peer: Peer, path: str) -> bool:
        request = ClientRequest(f'{peer.ip}:{self._port}', 'GET', path)
        try:
            answer, body = await self._client.fetch(request, self._timeouts())
            if answer.status != _OK:
                raise EelgrassError('refused', f'HTTP {answer.status}')
        except EelgrassError as error:
            _log.warning(
                'failed to pull state from a peer',
                extra={'peer': peer.node, 'path': path, 'why': error.code},
            )
            return False
        if path == _CONFIGURATION:
            self._store_view.apply_packed_configuration(body, peer.node)
            return True
        try:
            records = msgspec.msgpack.decode(body, type=list[ServerRecord])
        except msgspec.DecodeError as error:
            _log.warning(
                'peer sent malformed server records',
                extra={'peer': peer.node, 'why': str(error)},
            )
            return False
        self._store_view.apply_server_records(records, peer.node)
        return True


async def _reject_call(call: Call) -> bytes:
    await trio.lowlevel.checkpoint()
    raise RequestError('not_ready', 'this router is still starting')


def _do_nothing() -> None:
    """Do nothing."""


def should_pull(heartbeat: Heartbeat, store_view: StoreView) -> bool:
    """
    Check whether this router should pull state from a peer.

    A peer that is behind pulls by itself.

    :param heartbeat: newest heartbeat of the peer.
    :param store_view: store view of this router.
    :returns: whether the state of the peer is newer, or differs at the same
        revision.
    """
    records = store_view.records
    if heartbeat.configuration_version > store_view.configuration.version:
        return True
    if heartbeat.servers_revision != records.newest:
        return heartbeat.servers_revision > records.newest
    return heartbeat.servers_digest != records.digest


def _configuration_version(peer: Peer) -> int:
    return peer.heartbeat.configuration_version if peer.heartbeat else 0
