"""
eelgrassfork.gateway.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Heartbeats between routers by UDP: who lives, and what is known how newly.
"""

import random
import time
from collections.abc import Callable
from statistics import median_low
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from ..names import rendezvous_order
from .standby import FleetTime

__all__ = (
    'Gossip',
    'Heartbeat',
    'Known',
    'Peer',
    'count_keepers',
    'describe_peers',
    'unix_ms',
)

_log = logbook.Logger('gossip')

_INTERVAL_S: Final = 0.25
# Up to so many peers each heartbeat goes to all of them.
_FAN_OUT: Final = 12
_SAMPLE: Final = 10
_SILENT_S: Final = 2.0
# Three heartbeats of several routers in a row do not get lost by chance.
_CUT_OFF_S: Final = 0.8
_FORGET_S: Final = 60.0
_DATAGRAM_BYTES: Final = 8192
_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


class Known(NamedTuple):
    """A router that a heartbeat mentions, and how long ago it was heard of."""

    node: str
    ip: str
    incarnation: int
    age_ms: int


class Heartbeat(NamedTuple):
    """
    What a router says of itself.

    :param incarnation: start of its process; a later one is newer.
    :param draining: it is about to stop.
    :param configuration_version: 0 if it knows none.
    :param servers_digest: of its table of backend servers.
    :param free_by_organisation: credit that it could lend, in tokens.
    :param servers_revision: newest revision in that table.
    :param store_age_ms: time since some router reached the store.
    :param unix_ms: its clock.
    :param others: some of the routers that it knows.
    """

    node: str
    ip: str
    incarnation: int
    failure_domain: str
    draining: bool = False
    configuration_version: int = 0
    servers_digest: int = 0
    free_by_organisation: dict[str, int] = {}
    servers_revision: int = 0
    store_age_ms: int | None = None
    unix_ms: int = 0
    others: tuple[Known, ...] = ()


class Peer:
    """
    Another router.

    :ivar heartbeat: its last one; ``None`` if others only mentioned it.
    :ivar heard_at: when it or somebody who had heard it spoke last.
    """

    def __init__(self, node: str, ip: str, incarnation: int) -> None:
        self.node = node
        self.ip = ip
        self.incarnation = incarnation
        self.heartbeat: Heartbeat | None = None
        self.heard_at: float = 0
        self.spoke_at: float = 0


class Gossip:
    """
    Sends and takes heartbeats.

    :param ip: address of this VM.
    :param port: UDP port, the same on every VM.
    :param describe: makes this router's heartbeat, without ``others``.
    :param on_heartbeat: told of each one that comes.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        describe: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self._ip = ip
        self._port = port
        self._describe = describe
        self._on_heartbeat = on_heartbeat
        self._by_node: dict[str, Peer] = {}
        self._seed_ips: tuple[str, ...] = ()
        self._random = random.Random()
        self._socket: trio.socket.SocketType | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._now = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Bind the socket, and send and receive in the background.

        :param nursery: where the tasks run.
        """
        opened = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await opened.bind((self._ip, self._port))
        self._socket = opened
        nursery.start_soon(self._receive, opened)
        nursery.start_soon(self._send, opened)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def add_seeds(self, ips: tuple[str, ...]) -> None:
        """
        Name VMs that may run routers.

        :param ips: IP addresses.
        """
        known = set(self._seed_ips) | set(ips)
        self._seed_ips = tuple(sorted(known - {self._ip}))

    def hasten(self) -> None:
        """Send the next heartbeat now."""
        self._now.set()

    def live(self) -> list[Peer]:
        """
        List the routers heard of lately, without this one.

        :returns: peers that do not drain.
        """
        oldest = trio.current_time() - _SILENT_S
        return [
            peer
            for peer in self._by_node.values()
            if peer.heard_at >= oldest
            and not (peer.heartbeat and peer.heartbeat.draining)
        ]

    def spoken(self) -> list[Peer]:
        """
        List the routers that spoke to this one lately.

        :returns: peers with a heartbeat of their own.
        """
        oldest = trio.current_time() - _SILENT_S
        return [
            peer
            for peer in self._by_node.values()
            if peer.heartbeat is not None and peer.spoke_at >= oldest
        ]

    def fleet_time(self) -> FleetTime:
        """
        Compute the median of the routers' clocks.

        :returns: fleet time now.
        """
        now_s = trio.current_time()
        clocks = [unix_ms()]
        for peer in self.spoken():
            if peer.heartbeat is not None:
                age_s = now_s - peer.spoke_at
                clocks.append(peer.heartbeat.unix_ms + int(age_s * _MS_PER_S))
        return FleetTime(median_low(clocks), len(clocks))

    def is_cut_off(self) -> bool:
        """
        Tell whether only routers of the own failure domain are heard.

        :returns: ``False`` if there never were others.
        """
        own = self._describe().failure_domain
        spoke_at = [
            peer.spoke_at
            for peer in self._by_node.values()
            if peer.heartbeat and peer.heartbeat.failure_domain != own
        ]
        if not spoke_at:
            return False
        return trio.current_time() - max(spoke_at) > _CUT_OFF_S

    def keepers(self, failure_domain: str) -> list[Peer | None]:
        """
        List the routers that draw credit for others, one a failure domain.

        :param failure_domain: the one whose router comes first.
        :returns: peers; ``None`` stands for this router.
        """
        nodes_by_domain = self.nodes_by_domain()
        domains = sorted(
            nodes_by_domain, key=lambda domain: domain != failure_domain
        )
        return [
            self._by_node.get(_first(domain, nodes_by_domain[domain]))
            for domain in domains
        ]

    def nodes_by_domain(self) -> dict[str, list[str]]:
        """
        List the routers that do not drain, this one too.

        :returns: nodes by failure domain.
        """
        own = self._describe()
        nodes_by_domain: dict[str, list[str]] = {}
        if not own.draining:
            nodes_by_domain[own.failure_domain] = [own.node]
        for peer in self.live():
            if peer.heartbeat is not None:
                domain = peer.heartbeat.failure_domain
                nodes_by_domain.setdefault(domain, []).append(peer.node)
        return nodes_by_domain

    def known(self) -> list[Peer]:
        """
        List the routers heard of in the last minute, without this one.

        :returns: peers, maybe out of reach.
        """
        return list(self._by_node.values())

    async def _send(self, opened: trio.socket.SocketType) -> None:
        while True:
            body = msgspec.msgpack.encode(self._heartbeat())
            for ip in self._targets():
                await _send_to(opened, (ip, self._port), body)
            with trio.move_on_after(_INTERVAL_S):
                await self._now.wait()
            self._now = trio.Event()

    def _heartbeat(self) -> Heartbeat:
        now_s = trio.current_time()
        peers = [
            Known(
                peer.node,
                peer.ip,
                peer.incarnation,
                int((now_s - peer.heard_at) * _MS_PER_S),
            )
            for peer in self._by_node.values()
            if now_s - peer.heard_at < _SILENT_S
        ]
        sample = self._random.sample(peers, min(_SAMPLE, len(peers)))
        return self._describe()._replace(
            others=tuple(sample), unix_ms=unix_ms()
        )

    def _targets(self) -> list[str]:
        now_s = trio.current_time()
        for node, peer in list(self._by_node.items()):
            if now_s - peer.heard_at > _FORGET_S:
                self._by_node.pop(node)
        ips = {one.ip for one in self._by_node.values()} | set(self._seed_ips)
        if len(ips) <= _FAN_OUT:
            return sorted(ips)
        return self._random.sample(sorted(ips), _FAN_OUT // 2)

    async def _receive(self, opened: trio.socket.SocketType) -> None:
        while True:
            try:
                body, _ = await opened.recvfrom(_DATAGRAM_BYTES)
            except trio.ClosedResourceError:
                return
            except OSError as error:
                _log.debug('no heartbeat came', extra={'why': str(error)})
                await trio.sleep(_INTERVAL_S)
                continue
            self._take(body)

    def _take(self, body: bytes) -> None:
        try:
            heartbeat = self._decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warning('dropped a bad heartbeat', extra={'why': str(error)})
            return
        own = self._describe()
        now_s = trio.current_time()
        for known in heartbeat.others:
            if known.node != own.node:
                self._mention(known, now_s - known.age_ms / _MS_PER_S)
        if heartbeat.node == own.node:
            return
        peer = self._mention(
            Known(
                heartbeat.node, heartbeat.ip, heartbeat.incarnation, age_ms=0
            ),
            now_s,
        )
        if heartbeat.incarnation < peer.incarnation:
            return
        peer.heartbeat = heartbeat
        peer.spoke_at = now_s
        self._on_heartbeat(heartbeat)

    def _mention(self, known: Known, heard_at: float) -> Peer:
        peer = self._by_node.get(known.node)
        if peer is None:
            peer = Peer(known.node, known.ip, known.incarnation)
            self._by_node[known.node] = peer
            _log.info(
                'found a router',
                extra={
                    'node': known.node,
                    'ip': known.ip,
                    'incarnation': known.incarnation,
                },
            )
        if known.incarnation > peer.incarnation:
            peer.ip = known.ip
            peer.incarnation = known.incarnation
            peer.heartbeat = None
        if known.incarnation == peer.incarnation:
            peer.heard_at = max(peer.heard_at, heard_at)
        return peer


async def _send_to(
    opened: trio.socket.SocketType, address: tuple[str, int], body: bytes
) -> None:
    try:
        await opened.sendto(body, address)
    except (OSError, trio.ClosedResourceError) as error:
        _log.debug(
            'no heartbeat left', extra={'to': address[0], 'why': str(error)}
        )


def count_keepers(gossip: Gossip, failure_domain: str) -> int:
    """
    Count the routers that may draw credit for others now.

    Where others are out of reach, each failure domain that was known may
    have a keeper; a router that hears nobody assumes that nobody does.

    :param gossip: who lives.
    :param failure_domain: of this router.
    :returns: at least 1.
    """
    known = gossip.known()
    if known and not gossip.live():
        return len(known) + 1
    domains = {
        peer.heartbeat.failure_domain for peer in known if peer.heartbeat
    }
    return len(domains | {failure_domain})


def describe_peers(peers: list[Peer]) -> list[dict[str, object]]:
    """
    Describe peers for operators.

    :param peers: the peers.
    :returns: one record a peer.
    """
    now_s = trio.current_time()
    return [
        {
            'node': peer.node,
            'ip': peer.ip,
            'incarnation': peer.incarnation,
            'heard_s_ago': round(now_s - peer.heard_at, 1),
        }
        for peer in peers
    ]


def _first(domain: str, nodes: list[str]) -> str:
    return rendezvous_order(domain, nodes)[0]


def unix_ms() -> int:
    """
    Read the clock of this VM.

    :returns: Unix time in milliseconds.
    """
    return time.time_ns() // _NS_PER_MS
