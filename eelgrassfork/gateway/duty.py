"""
eelgrassfork.gateway.duty
~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which routers watch the store for the others.

Each change ends all watches, so that in a large fleet a few routers of each
failure domain watch, and the others learn of changes from them.  Once nobody
that a router hears of has reached the store lately, all routers ask for it in
turn, at a rate that does not grow with the fleet.
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
    Who watches, and who asks for a store that is away.

    :param small_fleet_routers: in fleets of so many routers each one watches; they
        send their heartbeats to all, so that few calls would be saved.
    :param watchers: routers of a failure domain that watch.
    :param max_silence_s: other routers ask for the store when nobody has
        reached it for so long; at most half of the bound on configurations.
    :param renewal_interval_s: all watches are renewed in turn, one in so long.
    :param temporary_watch_s: for so long a router watches after a peer did not
        tell what it knew.
    :param probes_per_s: how often all routers that do not watch ask together
        for a store that is away.
    :param retry_interval_s: shortest time between the starts of a watcher's calls
        that fail at once; a quarter of it always passes after a failure.
    :param retry_interval_per_watcher_s: the same for each watcher of the fleet, so that
        all of them ask about ten times a second.
    :param relaxed_retry_interval_s: the same while other routers reach the store.
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
    Tell whether a router is one of those that watch.

    :param node: name of its VM.
    :param fleet: the routers that live.
    :param policy: who watches.
    :returns: whether it watches.
    """
    if node not in fleet.near:
        return False
    if fleet.routers <= policy.small_fleet_routers:
        return True
    # A watch brings each version whole, over a slow link one after the other.
    fast = rendezvous_order('watch', list(fleet.fast))
    slow = rendezvous_order('watch', list(set(fleet.near) - set(fleet.fast)))
    return node in [*fast, *slow][: policy.watchers]


def count_watchers(fleet: FleetView, policy: WatchPolicy) -> int:
    """
    Count the routers that should watch.

    :param fleet: the routers that live.
    :param policy: who watches.
    :returns: their number in the whole fleet, at least 1.
    """
    if fleet.routers <= policy.small_fleet_routers:
        return max(1, fleet.routers)
    return min(fleet.routers, fleet.domains * policy.watchers)


class WatchRole:
    """
    Whether a router has to read one kind of object itself.

    :param node: name of this VM.
    :param fleet: reads the routers that live.
    :param contact: how newly objects of the kind were read.
    :param policy: who watches.
    :param is_seed: whether other routers come to this one first; it does not
        wait for what they may know.
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
        """Whether some router has read objects of the kind lately."""
        return self._is_recent(self.contact.read_at)

    @property
    def watchers(self) -> int:
        """Number of routers that should watch."""
        return count_watchers(self._fleet(), self._policy)

    @property
    def max_watch_s(self) -> float:
        """Length of a watch with which all of them are renewed in turn."""
        return self.watchers * self._policy.renewal_interval_s

    @property
    def must_watch(self) -> bool:
        """Whether this router has to watch the store itself."""
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
        """Whether it is this router's turn to ask for an absent store."""
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
            # What peers without the store tell may be older than what the
            # former process on this VM knew.
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
        """Longest time between calls of a watcher that fails."""
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

        :returns: ages of the newest reading that is known of and of the own
            one, whether this router has to watch, and how many should.
        """
        return {
            'watches': self.must_watch,
            'store_age_ms': self.contact.age_ms,
            'own_age_ms': self.contact.own_age_ms,
            'watchers': self.watchers,
        }

    def retry_delay_s(self, failures: int, elapsed_s: float = 0) -> float:
        """
        Compute when to call again after a call that failed.

        :param failures: number of failed calls before it, in a row.
        :param elapsed_s: time that the call took.
        :returns: seconds.
        """
        uncapped_s = self._policy.retry_interval_s / 2 * 2**failures
        backoff_s = min(self.max_retry_delay_s, uncapped_s)
        min_delay_s = self._policy.retry_interval_s / 4
        return max(
            self._random.uniform(min_delay_s / 2, min_delay_s),
            self._random.uniform(backoff_s / 2, backoff_s) - elapsed_s,
        )

    def watch_temporarily(self) -> None:
        """Watch for a while, as a peer did not tell what it knew."""
        now_s = trio.current_time()
        self._watches_until = now_s + self._policy.temporary_watch_s

    def _is_recent(self, read_at: float) -> bool:
        age_s = trio.current_time() - read_at
        return age_s <= self._policy.max_silence_s
