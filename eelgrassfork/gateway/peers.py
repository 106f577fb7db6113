"""
eelgrassfork.gateway.peers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Other routers, by what heartbeats say of them.
"""

import random
from heapq import nlargest
from typing import Final

import logbook
import trio

from .heartbeats import DomainView, Heartbeat, PeerSummary

__all__ = ('FORGET_S', 'Peer', 'PeerTable')

_log = logbook.Logger('gossip')

# What a router said of itself is of use for eight heartbeats.
_SPOKE_S: Final = 2.0
# Longer than any cut that routers should find each other after by themselves.
FORGET_S: Final = 60.0
_MS_PER_S: Final = 1000


class Peer:
    """
    Another router.

    :ivar link_class: rises with the speed of its link.
    :ivar heartbeat: its last one; ``None`` if others only mentioned it.
    :ivar beat: newest of its heartbeats that anybody is known to have heard.
    :ivar heard_at: when that was.
    """

    def __init__(
        self, node: str, ip: str, incarnation: int, failure_domain: str = ''
    ) -> None:
        self.node = node
        self.ip = ip
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.link_class = 0
        self.heartbeat: Heartbeat | None = None
        self.beat = -1
        self.heard_at: float = float('-inf')
        self.spoke_at: float = 0

    @property
    def has_recent_heartbeat(self) -> bool:
        """Whether it spoke to this router lately."""
        age_s = trio.current_time() - self.spoke_at
        return self.heartbeat is not None and age_s <= _SPOKE_S


class PeerTable:
    """
    Every router that was heard of in the last minute.

    :ivar by_node: peers by the name of their VM.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, Peer] = {}
        self._random = random.Random()

    def live(self, silent_s: float) -> list[Peer]:
        """
        List the routers heard of lately.

        :param silent_s: a router that was not heard of for so long is gone.
        :returns: peers that do not drain.
        """
        oldest = trio.current_time() - silent_s
        return [
            peer
            for peer in self.by_node.values()
            if peer.heard_at >= oldest and not _is_draining(peer)
        ]

    def with_recent_heartbeat(self) -> list[Peer]:
        """
        List the routers that spoke to this one lately.

        :returns: peers with a heartbeat of their own.
        """
        return [
            peer for peer in self.by_node.values() if peer.has_recent_heartbeat
        ]

    def delays_s(self) -> list[float]:
        """
        List how far routers that spoke lately are behind with their work.

        :returns: seconds.
        """
        return [
            peer.heartbeat.delay_ms / _MS_PER_S
            for peer in self.with_recent_heartbeat()
            if peer.heartbeat is not None and not peer.heartbeat.draining
        ]

    def keeper_of(self, view: DomainView) -> Peer:
        """
        Find the keeper of a failure domain.

        :param view: what is known of the domain.
        :returns: the peer; one without a heartbeat if it was not heard of.
        """
        known = self.by_node.get(view.keeper)
        if known is not None:
            return known
        return Peer(view.keeper, view.keeper_ip, 0, view.failure_domain)

    def take(self, heartbeat: Heartbeat) -> bool:
        """
        Take over what a router says of itself.

        :param heartbeat: of another router.
        :returns: whether it is the newest word of the present process on its
            VM.
        """
        peer = self.mention(
            PeerSummary(
                heartbeat.node,
                heartbeat.ip,
                heartbeat.incarnation,
                0,
                heartbeat.failure_domain,
                heartbeat.beat,
                heartbeat.link_class,
            ),
        )
        if heartbeat.incarnation < peer.incarnation:
            return False
        if peer.heartbeat and heartbeat.beat <= peer.heartbeat.beat:
            return False
        peer.heartbeat = heartbeat
        peer.spoke_at = trio.current_time()
        return True

    def mention(self, known: PeerSummary) -> Peer:
        """
        Note that somebody heard of a router.

        :param known: what was heard, and how long ago.
        :returns: the router.
        """
        heard_at = trio.current_time() - max(0, known.age_ms) / _MS_PER_S
        peer = self.by_node.get(known.node)
        if peer is None:
            peer = Peer(known.node, known.ip, known.incarnation)
            self.by_node[known.node] = peer
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
            peer.beat = -1
        if known.incarnation == peer.incarnation:
            if known.beat > peer.beat:
                # What is told again is older than its age says.
                peer.beat = known.beat
                peer.heard_at = max(peer.heard_at, heard_at)
            peer.failure_domain = known.failure_domain or peer.failure_domain
            peer.link_class = known.link_class
        return peer

    def sample(
        self, silent_s: float, failure_domain: str, most: int
    ) -> tuple[PeerSummary, ...]:
        """
        Choose routers that a heartbeat mentions.

        :param silent_s: oldest news that are told.
        :param failure_domain: of the routers; any if it is empty.
        :param most: how many.
        :returns: some of those that were heard of last.
        """
        now_s = trio.current_time()
        peers = [
            peer
            for peer in self.live(silent_s)
            if failure_domain in {'', peer.failure_domain}
        ]
        # Fresh news are worth most, and all have different ones.
        fresh = nlargest(2 * most, peers, key=_heard_at)
        sample = self._random.sample(fresh, min(most, len(fresh)))
        return tuple(
            PeerSummary(
                peer.node,
                peer.ip,
                peer.incarnation,
                int((now_s - peer.heard_at) * _MS_PER_S),
                peer.failure_domain,
                peer.beat,
                peer.link_class,
            )
            for peer in sample
        )

    def forget(self) -> None:
        """Drop the routers that were not heard of for a minute."""
        oldest = trio.current_time() - FORGET_S
        for node, peer in list(self.by_node.items()):
            if peer.heard_at < oldest:
                self.by_node.pop(node)


def _heard_at(peer: Peer) -> float:
    return peer.heard_at


def _is_draining(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.draining
