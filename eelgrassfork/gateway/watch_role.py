"""
eelgrassfork.gateway.watch_role
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Elects the routers that watch the store on behalf of the fleet.

Each change ends all open watches.  In a large fleet, only a few routers per
failure domain watch the store, and the others pull changes from them.  When
no known router has reached the store recently, all routers probe it at random
times, at a total rate that does not depend on the size of the fleet.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from ..names import rendezvous_order
from .roster import FleetView
from .store_contact import StoreContact

__all__ = ('WatchPolicy', 'WatchRole', 'count_watchers', 'is_watcher')


class WatchPolicy(NamedTuple):
    """
    Which routers watch the store, and how often failed calls are retried.

    :param small_fleet_routers: in fleets of up to this size every router
        watches; such routers send heartbeats to all peers, so electing
        watchers would save few calls.
    :param watchers: number of watchers per failure domain.
    :param max_silence_s: routers that do not watch start to probe the store
        when no router has reached it for this long; at most half of the
        propagation bound for configurations.
    :param renewal_interval_s: average interval between renewals of watches
        over the whole fleet.
    :param temporary_watch_s: how long a router watches after it failed to
        pull state from a peer.
    :param probes_per_s: total rate at which the routers that do not watch
        probe an unreachable store.
    :param retry_interval_s: minimum time between the starts of two calls of
        a watcher if calls fail at once; a random pause of an eighth to a
        quarter of it follows every failure.
    :param retry_interval_per_watcher_s: the retry interval is raised to this
        times the number of watchers, so that all watchers together make about
        ten calls per second.
    :param relaxed_retry_interval_s: minimum retry interval while other
        routers reach the store.
    """

    small_fleet_routers: int = 12
    watchers: int = 2
    max_silence_s: float = 1.2
    renewal_interval_s: float = 0.5
    temporary_watch_s: float = 5
    probes_per_s: float = 8
    retry_interval_s: float = 0.5
    retry_interval_per_watcher_s: float = 0.1
    relaxed_retry_interval_s: float = 4


def is_watcher(node: str, fleet: FleetView, policy: WatchPolicy) -> bool:
    """
    Check whether a router is elected to watch the store.

    :param node: name of the router's VM.
    :param fleet: the live routers.
    :param policy: number of watchers.
    :returns: whether the router is a watcher.
    """
    if node not in fleet.same_domain_nodes:
        return False
    if fleet.routers <= policy.small_fleet_routers:
        return True
    # A watch transfers every version in full, so that versions queue up on a
    # slow link; routers with fast links are preferred.
    fast = rendezvous_order('watch', list(fleet.fast_nodes))
    slow = rendezvous_order(
        'watch', list(set(fleet.same_domain_nodes) - set(fleet.fast_nodes))
    )
    return node in [*fast, *slow][: policy.watchers]


def count_watchers(fleet: FleetView, policy: WatchPolicy) -> int:
    """
    Count the routers that should watch the store.

    :param fleet: the live routers.
    :param policy: number of watchers.
    :returns: number of watchers in the whole fleet, at least 1.
    """
    if fleet.routers <= policy.small_fleet_routers:
        return max(1, fleet.routers)
    return min(fleet.routers, fleet.domains * policy.watchers)


class WatchRole:
    """
    Whether this router reads one kind of object from the store itself.

    :param node: name of this VM.
    :param fleet: returns the live routers.
    :param contact: when objects of the kind were last read.
    :param policy: number of watchers and retry intervals.
    :param is_seed: whether this router is a seed, which new routers contact
        first; it may watch before its own membership view has settled.
    """

    def __init__(
        self,
        node: str,
        fleet: Callable[[], FleetView],
        contact: StoreContact,
        policy: WatchPolicy | None = None,
        is_seed: bool = False,
    ) -> None:
        self._node = node
        self._fleet = fleet
        self._policy = policy or WatchPolicy()
        self._is_seed = is_seed
        self._random = random.Random()
        self.contact = contact
        self._watches_until: float = float('-inf')
        self._probe_at: float | None = None
        self._is_new = True
        self._cached_election: tuple[FleetView | None, bool] = (None, False)

    @property
    def is_store_reachable(self) -> bool:
        """Whether any router has read objects of the kind recently."""
        return self._is_recent(self.contact.read_at)

    @property
    def watchers(self) -> int:
        """Number of routers that should watch the store."""
        return count_watchers(self._fleet(), self._policy)

    @property
    def max_watch_s(self) -> float:
        """Watch duration at which the fleet meets the renewal interval."""
        return self.watchers * self._policy.renewal_interval_s

    @property
    def must_watch(self) -> bool:
        """Whether this router should watch the store itself."""
        if trio.current_time() < self._watches_until:
            return True
        fleet = self._fleet()
        if not fleet.is_settled and not self._is_seed:
            return False
        cached_fleet, elected = self._cached_election
        if fleet != cached_fleet:
            elected = is_watcher(self._node, fleet, self._policy)
            self._cached_election = (fleet, elected)
        return elected

    @property
    def must_probe(self) -> bool:
        """Whether this router should probe an unreachable store now."""
        fleet = self._fleet()
        now_s = trio.current_time()
        if not fleet.is_settled:
            return False
        is_new = self._is_new
        self._is_new = False
        if self.is_store_reachable:
            self._probe_at = None
            return False
        if is_new:
            # State from peers that have no contact with the store may be
            # older than the state of the previous process on this VM.
            return True
        if self._probe_at is None:
            mean_s = max(1, fleet.routers) / self._policy.probes_per_s
            self._probe_at = now_s + self._random.expovariate(1 / mean_s)
        if now_s < self._probe_at:
            return False
        self._probe_at = None
        return True

    @property
    def max_retry_delay_s(self) -> float:
        """Upper bound of the interval between failing calls of a watcher."""
        policy = self._policy
        max_delay_s = max(
            policy.retry_interval_s,
            self.watchers * policy.retry_interval_per_watcher_s,
        )
        if not self._is_recent(self.contact.peers_read_at):
            return max_delay_s
        return max(max_delay_s, policy.relaxed_retry_interval_s)

    def dump(self) -> dict[str, object]:
        """
        Describe the contact with the store, for logs and operators.

        :returns: whether this router should watch, age of the newest known
            read and of its own newest read, and number of watchers.
        """
        return {
            'watches': self.must_watch,
            'store_age_ms': self.contact.age_ms,
            'own_age_ms': self.contact.own_age_ms,
            'watchers': self.watchers,
        }

    def retry_delay_s(self, failures: int, elapsed_s: float = 0) -> float:
        """
        Compute the delay before a failed call is retried.

        :param failures: number of consecutive failures before this one.
        :param elapsed_s: duration of the failed call, which counts towards
            the retry interval.
        :returns: delay in seconds.
        """
        uncapped_s = self._policy.retry_interval_s / 2 * 2**failures
        backoff_s = min(self.max_retry_delay_s, uncapped_s)
        min_delay_s = self._policy.retry_interval_s / 4
        return max(
            self._random.uniform(min_delay_s / 2, min_delay_s),
            self._random.uniform(backoff_s / 2, backoff_s) - elapsed_s,
        )

    def watch_temporarily(self) -> None:
        """Watch the store for a while, as pulls from peers failed."""
        now_s = trio.current_time()
        self._watches_until = now_s + self._policy.temporary_watch_s

    def _is_recent(self, read_at: float) -> bool:
        age_s = trio.current_time() - read_at
        return age_s <= self._policy.max_silence_s
