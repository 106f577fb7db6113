"""
eelgrassfork.gateway.repeat_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This router's part of the repeated sends that the whole fleet may make.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

__all__ = ('RepeatBudget', 'RepeatPolicy')

# Routers that restart forget what they sent, so a part stays unused.
_USED_PART: Final = 0.7
_DEFAULT_ROUTERS: Final = 8


class RepeatPolicy(NamedTuple):
    """
    Repeated sends of the whole fleet to one service.

    :param ratio: as a fraction of the requests.
    :param window_s: time over which they are counted.
    :param slack: repeated sends allowed on top in that time.
    """

    ratio: float
    window_s: float
    slack: float


class RepeatBudget:
    """
    Counts requests and repeated sends of one service at this router.

    Each router uses its share of the slack, and the ratio of its own
    requests, so that routers need not talk about it.

    :param policy: what the fleet may do; may be replaced at any time.
    :param routers: number of routers in the fleet, 0 if unknown.
    """

    def __init__(
        self, policy: RepeatPolicy, routers: Callable[[], int]
    ) -> None:
        self.policy = policy
        self._routers = routers
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """
        Count one request.

        :param now_s: time on the clock of trio.
        """
        self._requests.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float) -> bool:
        """
        Use one repeated send if there is one.

        :param now_s: time on the clock of trio.
        :returns: whether the send may be made.
        """
        self._forget(now_s)
        policy = self.policy
        share = policy.slack / (self._routers() or _DEFAULT_ROUTERS)
        allowed = _USED_PART * (policy.ratio * len(self._requests) + share)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        oldest = now_s - self.policy.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
