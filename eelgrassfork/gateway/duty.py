"""
eelgrassfork.gateway.duty
~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which routers watch the store for the others.

Each change ends all watches, so that in a large fleet a few routers of each
failure domain watch, and the others learn of changes from them.  A router
watches by itself once nobody it hears of has reached the store lately.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

import trio

from ..names import rendezvous_order

__all__ = ('DutyPolicy', 'WatchDuty', 'is_watcher')

Nodes = Mapping[str, list[str]]

_MS_PER_S: Final = 1000


class DutyPolicy(NamedTuple):
    """
    Who watches.

    :param all_up_to: in fleets of so many routers each one watches; they
        send their heartbeats to all, so that few calls would be saved.
    :param watchers: routers of a failure domain that watch.
    :param longest_silence_s: a router watches by itself when nobody has
        reached the store for so long; less than half of the bound on
        configurations.
    :param volunteer_s: for so long it does so after a peer did not tell it
        what it knew.
    """

    all_up_to: int = 12
    watchers: int = 3
    longest_silence_s: float = 1.2
    volunteer_s: float = 5


def is_watcher(node: str, nodes_by_domain: Nodes, policy: DutyPolicy) -> bool:
    """
    Tell whether a router is one of those that watch.

    :param node: name of its VM.
    :param nodes_by_domain: live routers by failure domain, this one too.
    :param policy: who watches.
    :returns: whether it watches.
    """
    routers = sum(len(nodes) for nodes in nodes_by_domain.values())
    if routers <= policy.all_up_to:
        return True
    return any(
        node in rendezvous_order(f'watch {domain}', nodes)[: policy.watchers]
        for domain, nodes in nodes_by_domain.items()
        if node in nodes
    )


class WatchDuty:
    """
    What a router knows of the fleet's contact with the store.

    :param node: name of this VM.
    :param nodes_by_domain: reads the live routers by failure domain.
    :param policy: who watches.
    """

    def __init__(
        self,
        node: str,
        nodes_by_domain: Callable[[], Nodes],
        policy: DutyPolicy | None = None,
    ) -> None:
        self._node = node
        self._nodes_by_domain = nodes_by_domain
        self._policy = policy or DutyPolicy()
        self._reached_at: float = float('-inf')
        self._volunteers_until: float = float('-inf')

    @property
    def store_age_ms(self) -> int | None:
        """Time since some router reached the store; ``None`` if unknown."""
        age_s = trio.current_time() - self._reached_at
        return None if age_s == float('inf') else int(age_s * _MS_PER_S)

    @property
    def is_store_reached(self) -> bool:
        """Whether some router has reached the store lately."""
        age_s = trio.current_time() - self._reached_at
        return age_s <= self._policy.longest_silence_s

    @property
    def watchers(self) -> int:
        """Number of routers that should watch."""
        counts = [len(nodes) for nodes in self._nodes_by_domain().values()]
        if sum(counts) <= self._policy.all_up_to:
            return sum(counts)
        return sum(min(count, self._policy.watchers) for count in counts)

    @property
    def must_watch(self) -> bool:
        """Whether this router has to watch the store itself."""
        if trio.current_time() < self._volunteers_until:
            return True
        if not self.is_store_reached:
            return True
        return is_watcher(self._node, self._nodes_by_domain(), self._policy)

    def note_contact(self, age_ms: int | None = 0) -> None:
        """
        Note that a router reached the store.

        :param age_ms: how long ago; ``None`` if it does not know.
        """
        if age_ms is not None:
            reached_at = trio.current_time() - age_ms / _MS_PER_S
            self._reached_at = max(self._reached_at, reached_at)

    def volunteer(self) -> None:
        """Watch for a while, as a peer did not tell what it knew."""
        now_s = trio.current_time()
        self._volunteers_until = now_s + self._policy.volunteer_s
