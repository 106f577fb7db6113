"""
eelgrassfork.gateway.roster
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which routers live, by what heartbeats say; no input or output.

In a small fleet every router speaks to all others.  In a large one it knows
all routers of its own failure domain, and of the others the size and the
keeper, so that the cost of a router does not grow with the fleet.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import trio

from ..names import rendezvous_order
from .domain_views import DomainViews
from .heartbeats import DomainView, Heartbeat, PeerSummary
from .peers import FORGET_S, Peer, PeerTable
from .targets import NEAR_TARGETS, Targets

__all__ = ('FleetView', 'NodeIdentity', 'Roster')

# Up to so many other routers each heartbeat goes to all of them.
_FAN_OUT: Final = 12
# Routers that a heartbeat mentions.  In large fleets the control traffic of a
# router stays below 7 KB a second with so many.
_SAMPLE: Final = 10
_NEAR_SAMPLE: Final = 7
# Eight heartbeats in a small fleet.
_SILENT_S: Final = 2.0
# Routers of the own failure domain that heartbeats name in a second, on
# average.  A router is silent once it should have been named so often.
_MENTIONS_PER_S: Final = 4 * NEAR_TARGETS * _NEAR_SAMPLE
_MISSED_MENTIONS: Final = 10
# Heartbeats between two failure domains come from each router in turn.
_DOMAIN_SILENT_S: Final = 4.0
# Two heartbeats and the answers to them.
_SETTLE_S: Final = 0.6
# A router that knows fewer others asks to be told of more.
_FEW: Final = 3
# Membership changes within this time are seen together.
_CACHE_S: Final = 0.1


class NodeIdentity(NamedTuple):
    """
    A VM and where it is.

    :param link_class: rises by one each time that its link is twice as fast.
    """

    node: str
    ip: str
    failure_domain: str
    link_class: int = 0


class FleetView(NamedTuple):
    """
    The routers that live, this one included.

    :param routers: their number, in all failure domains.
    :param same_domain_nodes: names of those in the own failure domain.
    :param domains: number of failure domains.
    :param is_settled: whether the router has had time to hear of the others.
    :param fast_nodes: those in the own failure domain with the fastest links.
    """

    routers: int
    same_domain_nodes: tuple[str, ...]
    domains: int = 1
    is_settled: bool = True
    fast_nodes: tuple[str, ...] = ()


class Roster:
    """
    Routers and failure domains that this router knows.

    :param own: where this router runs.
    :param describe: makes this router's heartbeat, without what is known of
        others.
    :ivar draining: whether this router is about to stop.
    :ivar peers: every router that was heard of in the last minute.
    """

    def __init__(
        self, own: NodeIdentity, describe: Callable[[], Heartbeat]
    ) -> None:
        self._own = own
        self._describe = describe
        self.draining = False
        self.peers = PeerTable()
        self._views = DomainViews(own.failure_domain)
        self._targets = Targets(own.failure_domain)
        self._beats = 0
        self._started_at: float | None = None
        self._near: tuple[str, ...] = ()
        self._fast: tuple[str, ...] = ()
        self._near_until: float = float('-inf')
        self._elected: tuple[tuple[str, ...], str] = ((), '')

    def take(self, heartbeat: Heartbeat) -> bool:
        """
        Take over what a router says.

        :param heartbeat: of another router.
        :returns: whether it speaks for the present process on its VM.
        """
        for known in heartbeat.others:
            if known.node != self._own.node:
                domain = known.failure_domain or heartbeat.failure_domain
                self.peers.mention(known._replace(failure_domain=domain))
        if heartbeat.node == self._own.node or not self.peers.take(heartbeat):
            return False
        self._views.take(heartbeat, trust_near=not self.is_full_mesh)
        return True

    def live(self) -> list[Peer]:
        """
        List the routers heard of lately, without this one.

        :returns: peers that do not drain.
        """
        return self.peers.live(self._silent_s)

    def fleet(self) -> FleetView:
        """
        Describe the routers that live.

        :returns: those of the own failure domain, and the size of the fleet.
        """
        near = self._near_nodes()
        # Who asks in turn for the store must not count on routers that can't
        # tell what they read.  A few routers hear others too seldom to know.
        is_alone = self.is_partitioned and len(near) > _FEW
        within_s = 0 if is_alone else _DOMAIN_SILENT_S
        others = [view.routers for view in self._views.newest(within_s)]
        return FleetView(
            len(near) + sum(others),
            near,
            len(others) + 1,
            self.is_settled,
            self._fast,
        )

    @property
    def is_full_mesh(self) -> bool:
        """Whether each heartbeat goes to all other routers."""
        return len(self.peers.by_node) <= _FAN_OUT

    @property
    def is_partitioned(self) -> bool:
        """Whether only routers of the own failure domain are heard."""
        return self._views.is_partitioned

    @property
    def is_keeper(self) -> bool:
        """Whether this router draws credit for its failure domain."""
        return self._keeper() == self._own.node

    @property
    def is_settled(self) -> bool:
        """Whether there was time to hear of the other routers."""
        now_s = trio.current_time()
        if self._started_at is None:
            self._started_at = now_s
        return now_s - self._started_at >= _SETTLE_S

    @property
    def known_router_count(self) -> int:
        """Number of routers that lived in the last minute, this one too."""
        others = [view.routers for view in self._views.newest(FORGET_S)]
        own = self._own.failure_domain
        near = sum(
            peer.failure_domain == own for peer in self.peers.by_node.values()
        )
        return max(1 + near + sum(others), 1 + len(self.peers.by_node))

    def keepers(self) -> list[Peer | None]:
        """
        List the routers that draw credit for others, one a failure domain.

        :returns: peers, that of the own failure domain first; ``None``
            stands for this router.
        """
        keeper = self._keeper()
        first = [self.peers.by_node.get(keeper)] if keeper else []
        return [
            *first,
            *(
                self.peers.keeper_of(view)
                for view in self._views.newest(_DOMAIN_SILENT_S)
            ),
        ]

    def count_keepers(self) -> int:
        """
        Count the routers that may draw credit for others now.

        Where others are out of reach, each failure domain that was known may
        have a keeper; a router that hears nobody assumes that nobody does.

        :returns: at least 1.
        """
        if self.peers.by_node and not self.live():
            return self.known_router_count
        return 1 + len(self._views.newest(FORGET_S))

    def targets(self, seed_ips: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
        """
        Choose where the next heartbeat goes.

        :param seed_ips: VMs that may run routers.
        :returns: IP addresses by failure domain of their routers, empty
            where that is unknown.
        """
        self.peers.forget()
        ips_by_domain: dict[str, set[str]] = {}
        for peer in self.peers.by_node.values():
            ips_by_domain.setdefault(peer.failure_domain, set()).add(peer.ip)
        known = set().union(*ips_by_domain.values())
        ips_by_domain.setdefault('', set()).update(set(seed_ips) - known)
        if self.is_full_mesh:
            return {'': tuple(set().union(*ips_by_domain.values()))}
        return self._targets.choose(ips_by_domain)

    def heartbeat(self, failure_domain: str, is_new: bool) -> Heartbeat:
        """
        Make a heartbeat.

        :param failure_domain: of the routers that get it, empty if unknown.
        :param is_new: whether they know few routers yet.
        :returns: the heartbeat, with what they should know of others.
        """
        own = self._describe()
        is_near = failure_domain == self._own.failure_domain
        others: tuple[PeerSummary, ...] = ()
        if self.is_full_mesh or not failure_domain:
            others = self._sample('', _SAMPLE)
        elif is_near or is_new:
            others = self._sample(failure_domain, _NEAR_SAMPLE)
        self._beats += 1
        return own._replace(
            beat=self._beats,
            others=others,
            draining=self.draining,
            domains=self._domains(failure_domain, is_new),
            is_new=not self.is_settled or len(self.peers.by_node) < _FEW,
            outside_age_ms=self._views.outside_age_ms,
        )

    def _domains(
        self, failure_domain: str, is_new: bool
    ) -> tuple[DomainView, ...]:
        own = self._own
        near = self._near_nodes()
        keeper = self._keeper() or own.node
        peer = self.peers.by_node.get(keeper)
        said = DomainView(
            own.failure_domain,
            len(near),
            keeper,
            peer.ip if peer else own.ip,
            0,
        )
        if is_new or not failure_domain or len(near) <= _NEAR_SAMPLE:
            return said, *self._views.to_tell_on(FORGET_S)
        if failure_domain == own.failure_domain:
            return said, *self._views.first_hand()
        # Large domains hear of each other often enough by themselves.
        return (said,)

    def _keeper(self) -> str:
        near = self._near_nodes()
        elected_by, keeper = self._elected
        if near != elected_by:
            order = rendezvous_order(self._own.failure_domain, list(near))
            keeper = order[0] if order else ''
            self._elected = (near, keeper)
        return keeper

    def _near_nodes(self) -> tuple[str, ...]:
        now_s = trio.current_time()
        if now_s >= self._near_until:
            own = self._own
            classes_by_node = {
                peer.node: peer.link_class
                for peer in self.live()
                if peer.failure_domain == own.failure_domain
            }
            if not self.draining:
                classes_by_node[own.node] = own.link_class
            self._near = tuple(sorted(classes_by_node))
            # Half of the fastest link counts as fast.
            least = max(classes_by_node.values(), default=0) - 1
            self._fast = tuple(
                node for node in self._near if classes_by_node[node] >= least
            )
            self._near_until = now_s + _CACHE_S
        return self._near

    def _sample(
        self, failure_domain: str, most: int
    ) -> tuple[PeerSummary, ...]:
        sample = self.peers.sample(self._silent_s, failure_domain, most)
        own = self._own.failure_domain
        return tuple(
            known._replace(failure_domain='')
            if known.failure_domain == own
            else known
            for known in sample
        )

    @property
    def _silent_s(self) -> float:
        if self.is_full_mesh:
            return _SILENT_S
        mean_s = (len(self._near) + 1) / _MENTIONS_PER_S
        return max(_SILENT_S, _MISSED_MENTIONS * mean_s)
