"""
eelgrassfork.gateway.roster
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fleet membership, derived from heartbeats; performs no I/O.

In a small fleet every router sends heartbeats to all others.  In a large one
it tracks all routers of its own failure domain, but only the size and the
keeper of each other domain, so that the cost per router does not grow with
the fleet.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import trio

from ..names import rendezvous_order
from .domain_views import DomainViews
from .heartbeats import DomainView, Heartbeat, PeerSummary
from .peers import PEER_EXPIRY_S, Peer, PeerTable
from .targets import SAME_DOMAIN_TARGETS, TargetSelector

__all__ = (
    'FleetView',
    'NodeIdentity',
    'Roster',
    'count_possible_routers',
    'ledger_report_ips',
)

# Maximum number of peers for which each heartbeat goes to all of them.
_MAX_FULL_MESH_PEERS: Final = 12
# Number of routers that a heartbeat reports.  With these values the control
# traffic of a router in a large fleet stays below 7 KB per second.
_SAMPLE_SIZE: Final = 10
_SAME_DOMAIN_SAMPLE_SIZE: Final = 7
# Eight heartbeat intervals in a small fleet.
_PEER_TIMEOUT_S: Final = 2.0
# Average number of reports about routers of the same failure domain that a
# router receives per second.  A peer counts as dead when the time of
# _MISSED_REPORTS expected reports has passed without one.
_REPORTS_PER_S: Final = 4 * SAME_DOMAIN_TARGETS * _SAME_DOMAIN_SAMPLE_SIZE
_MISSED_REPORTS: Final = 10
# Longer, as the heartbeats between two failure domains come from different
# routers.
_DOMAIN_TIMEOUT_S: Final = 4.0
# Two heartbeat intervals and the replies.
_SETTLE_S: Final = 0.6
# A router that knows fewer peers requests more in its heartbeats.
_MIN_KNOWN_PEERS: Final = 3
# Routers of a large failure domain that remember what its keeper wrote.
_SUCCESSORS: Final = 2
# The live routers of the failure domain are computed at most this often.
_CACHE_S: Final = 0.1


class NodeIdentity(NamedTuple):
    """
    Name and location of a VM.

    :param node: name of the VM.
    :param ip: IP address of the VM.
    :param failure_domain: of the VM.
    :param link_class: link speed class; each step is twice the speed.
    """

    node: str
    ip: str
    failure_domain: str
    link_class: int = 0


class FleetView(NamedTuple):
    """
    Live routers, this one included.

    :param routers: number of routers in all failure domains.
    :param same_domain_nodes: VMs of those in the same failure domain.
    :param domains: number of failure domains.
    :param is_settled: whether the router has had time to discover the others.
    :param fast_nodes: VMs of the same failure domain with the fastest links.
    """

    routers: int
    same_domain_nodes: tuple[str, ...]
    domains: int = 1
    is_settled: bool = True
    fast_nodes: tuple[str, ...] = ()


class Roster:
    """
    Tracks the routers and failure domains that this router knows.

    :param own: VM of this router.
    :param make_own_heartbeat: creates a heartbeat with the state of this
        router only.
    :ivar failure_domain: of this router.
    :ivar draining: whether this router is about to stop.
    :ivar peers: routers seen in the last minute.
    :ivar min_routers: number of routers that may be running even if none of
        them was ever seen.
    """

    def __init__(
        self, own: NodeIdentity, make_own_heartbeat: Callable[[], Heartbeat]
    ) -> None:
        self._own = own
        self._make_own_heartbeat = make_own_heartbeat
        self.failure_domain = own.failure_domain
        self.draining = False
        self.min_routers = 1
        self.peers = PeerTable()
        self._domains = DomainViews(own.failure_domain)
        self._targets = TargetSelector(own.failure_domain)
        self._sequence = 0
        self._started_at: float | None = None
        self._same_domain: tuple[str, ...] = ()
        self._fast_nodes: tuple[str, ...] = ()
        self._cached_until: float = float('-inf')
        self._elected: tuple[tuple[str, ...], str] = ((), '')

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """
        Update the membership from a received heartbeat.

        :param heartbeat: of another router.
        :returns: ``False`` if it is this router's own, or stale.
        """
        for summary in heartbeat.others:
            if summary.node != self._own.node:
                domain = summary.failure_domain or heartbeat.failure_domain
                self.peers.merge_summary(
                    summary._replace(failure_domain=domain)
                )
        if heartbeat.node == self._own.node or not self.peers.apply_heartbeat(
            heartbeat
        ):
            return False
        self._domains.apply_heartbeat(
            heartbeat, trust_same_domain=not self.is_full_mesh
        )
        return True

    def live(self) -> list[Peer]:
        """
        List the live routers, without this one.

        :returns: peers that are not draining.
        """
        return self.peers.live(self._peer_timeout_s)

    def fleet_view(self) -> FleetView:
        """
        Summarise the live routers.

        :returns: routers of the same failure domain, and the fleet size.
        """
        same_domain = self._list_same_domain()
        # Routers take turns reading the store, so those of a partitioned domain
        # must not rely on routers that can't report their reads to it.  With
        # few routers, heartbeats of other domains are too rare to detect this.
        ignores_other_domains = (
            self.is_partitioned and len(same_domain) > _MIN_KNOWN_PEERS
        )
        max_age_s = 0 if ignores_other_domains else _DOMAIN_TIMEOUT_S
        other_sizes = [
            view.routers for view in self._domains.recent_views(max_age_s)
        ]
        return FleetView(
            len(same_domain) + sum(other_sizes),
            same_domain,
            len(other_sizes) + 1,
            self.is_settled,
            self._fast_nodes,
        )

    @property
    def is_full_mesh(self) -> bool:
        """Whether each heartbeat goes to all other routers."""
        return len(self.peers.by_node) <= _MAX_FULL_MESH_PEERS

    @property
    def is_partitioned(self) -> bool:
        """Whether contact with all other failure domains was lost."""
        return self._domains.is_partitioned

    @property
    def is_keeper(self) -> bool:
        """Whether this router draws credit for its failure domain."""
        return self._keeper() == self._own.node

    @property
    def is_settled(self) -> bool:
        """Whether there was time to discover the other routers."""
        now_s = trio.current_time()
        if self._started_at is None:
            self._started_at = now_s
        return now_s - self._started_at >= _SETTLE_S

    @property
    def known_router_count(self) -> int:
        """Number of routers seen in the last minute, this one included."""
        other_sizes = [
            view.routers for view in self._domains.recent_views(PEER_EXPIRY_S)
        ]
        own = self._own.failure_domain
        same_domain = sum(
            peer.failure_domain == own for peer in self.peers.by_node.values()
        )
        return max(
            1 + same_domain + sum(other_sizes), 1 + len(self.peers.by_node)
        )

    def keepers(self) -> list[Peer | None]:
        """
        List the routers that draw credit, one per failure domain.

        :returns: peers, the keeper of this router's domain first; ``None``
            stands for this router.
        """
        keeper = self._keeper()
        own_keeper = [self.peers.by_node.get(keeper)] if keeper else []
        return [
            *own_keeper,
            *(
                self.peers.keeper_of(view)
                for view in self._domains.recent_views(_DOMAIN_TIMEOUT_S)
            ),
        ]

    def count_keepers(self) -> int:
        """
        Count the routers that may be drawing credit now.

        Each known failure domain may have a keeper even if it is unreachable.
        A router that receives no heartbeats assumes that no router does, so
        that each one draws credit for itself.

        :returns: at least 1.
        """
        if self.peers.by_node and not self.live():
            return self.known_router_count
        return 1 + len(self._domains.recent_views(PEER_EXPIRY_S))

    def choose_targets(
        self, seed_ips: tuple[str, ...]
    ) -> dict[str, tuple[str, ...]]:
        """
        Select the recipients of the next heartbeat.

        :param seed_ips: IP addresses of VMs that may run routers.
        :returns: IP addresses by failure domain; the key is empty where the
            domain is unknown.
        """
        self.peers.remove_expired()
        ips_by_domain: dict[str, set[str]] = {}
        for peer in self.peers.by_node.values():
            ips_by_domain.setdefault(peer.failure_domain, set()).add(peer.ip)
        known_ips = set().union(*ips_by_domain.values())
        ips_by_domain.setdefault('', set()).update(set(seed_ips) - known_ips)
        if self.is_full_mesh:
            return {'': tuple(set().union(*ips_by_domain.values()))}
        return self._targets.choose(ips_by_domain)

    def make_heartbeat(
        self, failure_domain: str, is_joining: bool
    ) -> Heartbeat:
        """
        Create a heartbeat.

        :param failure_domain: of the recipients, empty if unknown.
        :param is_joining: whether the recipients know only few routers yet.
        :returns: the heartbeat, with the state of other routers and domains
            that the recipients need.
        """
        own = self._make_own_heartbeat()
        is_same_domain = failure_domain == self._own.failure_domain
        others: tuple[PeerSummary, ...] = ()
        if self.is_full_mesh or not failure_domain:
            others = self._sample('', _SAMPLE_SIZE)
        elif is_same_domain or is_joining:
            others = self._sample(failure_domain, _SAME_DOMAIN_SAMPLE_SIZE)
        self._sequence += 1
        return own._replace(
            sequence=self._sequence,
            others=others,
            draining=self.draining,
            domains=self._domain_views(failure_domain, is_joining),
            is_joining=not self.is_settled
            or len(self.peers.by_node) < _MIN_KNOWN_PEERS,
            other_domain_age_ms=self._domains.other_domain_age_ms,
        )

    def _domain_views(
        self, failure_domain: str, is_joining: bool
    ) -> tuple[DomainView, ...]:
        own = self._own
        same_domain = self._list_same_domain()
        keeper = self._keeper() or own.node
        peer = self.peers.by_node.get(keeper)
        own_view = DomainView(
            own.failure_domain,
            len(same_domain),
            keeper,
            peer.ip if peer else own.ip,
            0,
        )
        if (
            is_joining
            or not failure_domain
            or len(same_domain) <= _SAME_DOMAIN_SAMPLE_SIZE
        ):
            return own_view, *self._domains.views_to_relay(PEER_EXPIRY_S)
        if failure_domain == own.failure_domain:
            return own_view, *self._domains.direct_views()
        # Large domains exchange enough heartbeats without relayed state.
        return (own_view,)

    def _keeper(self) -> str:
        same_domain = self._list_same_domain()
        elected_by, keeper = self._elected
        if same_domain != elected_by:
            order = rendezvous_order(
                self._own.failure_domain, list(same_domain)
            )
            keeper = order[0] if order else ''
            self._elected = (same_domain, keeper)
        return keeper

    def _list_same_domain(self) -> tuple[str, ...]:
        now_s = trio.current_time()
        if now_s >= self._cached_until:
            own = self._own
            classes_by_node = {
                peer.node: peer.link_class
                for peer in self.live()
                if peer.failure_domain == own.failure_domain
            }
            if not self.draining:
                classes_by_node[own.node] = own.link_class
            self._same_domain = tuple(sorted(classes_by_node))
            # Links with at least half of the highest speed count as fast.
            min_link_class = max(classes_by_node.values(), default=0) - 1
            self._fast_nodes = tuple(
                node
                for node in self._same_domain
                if classes_by_node[node] >= min_link_class
            )
            self._cached_until = now_s + _CACHE_S
        return self._same_domain

    def _sample(
        self, failure_domain: str, limit: int
    ) -> tuple[PeerSummary, ...]:
        sample = self.peers.sample(self._peer_timeout_s, failure_domain, limit)
        own = self._own.failure_domain
        return tuple(
            summary._replace(failure_domain='')
            if summary.failure_domain == own
            else summary
            for summary in sample
        )

    @property
    def _peer_timeout_s(self) -> float:
        if self.is_full_mesh:
            return _PEER_TIMEOUT_S
        mean_s = (len(self._same_domain) + 1) / _REPORTS_PER_S
        return max(_PEER_TIMEOUT_S, _MISSED_REPORTS * mean_s)


def ledger_report_ips(roster: Roster) -> tuple[str, ...]:
    """
    List the routers that remember what this one writes to the ledger.

    :param roster: known routers.
    :returns: IP addresses of all peers in a small fleet; else of the keepers,
        and of those that would be elected next in this failure domain.
    """
    peers = roster.peers.by_node
    if roster.is_full_mesh:
        return tuple(sorted({peer.ip for peer in peers.values()}))
    order = rendezvous_order(
        roster.failure_domain, list(roster.fleet_view().same_domain_nodes)
    )
    successors = [peers.get(node) for node in order[: 1 + _SUCCESSORS]]
    recipients = {
        peer.ip for peer in (*roster.keepers(), *successors) if peer is not None
    }
    return tuple(sorted(recipients))


def count_possible_routers(roster: Roster) -> int:
    """
    Count the routers that may be running, for a bound that they share.

    :param roster: known routers.
    :returns: at least 1; the seeds count even if none of them was ever seen.
    """
    return max(roster.known_router_count, roster.min_routers)
