"""
eelgrassfork.gateway.retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This router's share of the retries that the whole fleet may send to a service.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

__all__ = ('FleetRetryBudget', 'FleetRetryPolicy')

# A router loses its counts when it restarts, so that part of its share is
# kept in reserve.
_USABLE_FRACTION: Final = 0.7
_DEFAULT_ROUTERS: Final = 8


class FleetRetryPolicy(NamedTuple):
    """
    Limit on the retries of the whole fleet to one service.

    :param ratio: retries per request.
    :param window_s: length of the sliding window in which both are counted.
    :param slack: retries allowed in addition within the window.
    """

    ratio: float
    window_s: float
    slack: float


class FleetRetryBudget:
    """
    Retry budget of one service at this router.

    Each router uses its share of the slack, and applies the ratio to its own
    requests, so that routers need no coordination.

    :param policy: limit of the fleet; may be replaced at any time.
    :param routers: returns the number of routers in the fleet, 0 if unknown.
    """

    def __init__(
        self, policy: FleetRetryPolicy, routers: Callable[[], int]
    ) -> None:
        self.policy = policy
        self._routers = routers
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """
        Count one request.

        :param now_s: current time on trio's clock.
        """
        self._request_times.append(now_s)
        self._discard_old(now_s)

    def take(self, now_s: float) -> bool:
        """
        Take one retry from the budget if it has one left.

        :param now_s: current time on trio's clock.
        :returns: whether the retry may be sent.
        """
        self._discard_old(now_s)
        policy = self.policy
        share = policy.slack / (self._routers() or _DEFAULT_ROUTERS)
        allowed = _USABLE_FRACTION * (
            policy.ratio * len(self._request_times) + share
        )
        if len(self._retry_times) + 1 > allowed:
            return False
        self._retry_times.append(now_s)
        return True

    def _discard_old(self, now_s: float) -> None:
        oldest = now_s - self.policy.window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
