"""
eelgrassfork.gateway.peers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Table of the other routers, built from heartbeats.
"""

import random
from heapq import nlargest
from typing import Final

import logbook
import trio

from .heartbeats import DomainView, Heartbeat, PeerSummary

__all__ = ('PEER_EXPIRY_S', 'Peer', 'PeerTable')

_log = logbook.Logger('gossip')

# Eight heartbeat intervals.
_HEARTBEAT_VALID_S: Final = 2.0
# Longer than any network partition after which routers must find each other
# again on their own.
PEER_EXPIRY_S: Final = 60.0
_MS_PER_S: Final = 1000


class Peer:
    """
    Another router.

    :ivar link_class: link speed class; each step is twice the speed.
    :ivar heartbeat: last one received from it; ``None`` if it is known only
        from heartbeats of other routers.
    :ivar sequence: highest sequence number of its heartbeats that any router
        is known to have received.
    :ivar last_seen_at: when that heartbeat was received, on trio's clock.
    :ivar heartbeat_at: when this router last received a heartbeat from it.
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
        self.sequence = -1
        self.last_seen_at: float = float('-inf')
        self.heartbeat_at: float = 0

    @property
    def has_recent_heartbeat(self) -> bool:
        """Whether its last heartbeat to this router is still valid."""
        age_s = trio.current_time() - self.heartbeat_at
        return self.heartbeat is not None and age_s <= _HEARTBEAT_VALID_S


class PeerTable:
    """
    Routers seen in the last minute, directly or through other routers.

    :ivar by_node: peers by the name of their VM.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, Peer] = {}
        self._random = random.Random()

    def live(self, timeout_s: float) -> list[Peer]:
        """
        List the live routers.

        :param timeout_s: routers not seen for longer count as dead.
        :returns: peers seen within that time that are not draining.
        """
        oldest = trio.current_time() - timeout_s
        return [
            peer
            for peer in self.by_node.values()
            if peer.last_seen_at >= oldest and not _is_draining(peer)
        ]

    def with_recent_heartbeat(self) -> list[Peer]:
        """
        List the routers whose last heartbeat to this one is still valid.

        :returns: peers with a received heartbeat.
        """
        return [
            peer for peer in self.by_node.values() if peer.has_recent_heartbeat
        ]

    def delays_s(self) -> list[float]:
        """
        List the event loop delays that peers report.

        :returns: seconds, of peers with a valid heartbeat that are not
            draining.
        """
        return [
            peer.heartbeat.delay_ms / _MS_PER_S
            for peer in self.with_recent_heartbeat()
            if peer.heartbeat is not None and not peer.heartbeat.draining
        ]

    def keeper_of(self, view: DomainView) -> Peer:
        """
        Find the keeper of a failure domain.

        :param view: summary of the domain.
        :returns: the peer; a new one without a heartbeat if it is unknown.
        """
        known = self.by_node.get(view.keeper)
        if known is not None:
            return known
        return Peer(view.keeper, view.keeper_ip, 0, view.failure_domain)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """
        Update the table from a received heartbeat.

        :param heartbeat: of another router.
        :returns: ``False`` if it is stale: from a former incarnation, or not
            newer than the last heartbeat received.
        """
        peer = self.merge_summary(
            PeerSummary(
                heartbeat.node,
                heartbeat.ip,
                heartbeat.incarnation,
                0,
                heartbeat.failure_domain,
                heartbeat.sequence,
                heartbeat.link_class,
            ),
        )
        if heartbeat.incarnation < peer.incarnation:
            return False
        if peer.heartbeat and heartbeat.sequence <= peer.heartbeat.sequence:
            return False
        peer.heartbeat = heartbeat
        peer.heartbeat_at = trio.current_time()
        return True

    def merge_summary(self, summary: PeerSummary) -> Peer:
        """
        Merge the state that a heartbeat reports of a router.

        :param summary: state of the router and its age.
        :returns: the peer.
        """
        last_seen_at = trio.current_time() - max(0, summary.age_ms) / _MS_PER_S
        peer = self.by_node.get(summary.node)
        if peer is None:
            peer = Peer(summary.node, summary.ip, summary.incarnation)
            self.by_node[summary.node] = peer
            _log.info(
                'discovered peer router',
                extra={
                    'node': summary.node,
                    'ip': summary.ip,
                    'incarnation': summary.incarnation,
                },
            )
        if summary.incarnation > peer.incarnation:
            peer.ip = summary.ip
            peer.incarnation = summary.incarnation
            peer.heartbeat = None
            peer.sequence = -1
        if summary.incarnation == peer.incarnation:
            if summary.sequence > peer.sequence:
                # Ages exclude time in transit, so a relayed summary of a
                # heartbeat that is already known must not make the peer look
                # more recent.
                peer.sequence = summary.sequence
                peer.last_seen_at = max(peer.last_seen_at, last_seen_at)
            peer.failure_domain = summary.failure_domain or peer.failure_domain
            peer.link_class = summary.link_class
        return peer

    def sample(
        self, timeout_s: float, failure_domain: str, limit: int
    ) -> tuple[PeerSummary, ...]:
        """
        Choose the routers that a heartbeat reports.

        :param timeout_s: routers not seen for longer are left out.
        :param failure_domain: of the routers; any if it is empty.
        :param limit: maximum number of routers.
        :returns: random sample of the most recently seen live routers.
        """
        now_s = trio.current_time()
        peers = [
            peer
            for peer in self.live(timeout_s)
            if failure_domain in {'', peer.failure_domain}
        ]
        # Recent state is the most useful; the random choice among twice as many
        # makes routers report different peers.
        recent = nlargest(2 * limit, peers, key=_last_seen_at)
        sample = self._random.sample(recent, min(limit, len(recent)))
        return tuple(
            PeerSummary(
                peer.node,
                peer.ip,
                peer.incarnation,
                int((now_s - peer.last_seen_at) * _MS_PER_S),
                peer.failure_domain,
                peer.sequence,
                peer.link_class,
            )
            for peer in sample
        )

    def remove_expired(self) -> None:
        """Remove the routers that were not seen for a minute."""
        oldest = trio.current_time() - PEER_EXPIRY_S
        for node, peer in list(self.by_node.items()):
            if peer.last_seen_at < oldest:
                self.by_node.pop(node)


def _last_seen_at(peer: Peer) -> float:
    return peer.last_seen_at


def _is_draining(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.draining
