"""
eelgrassfork.pacing
~~~~~~~~~~~~~~~~~~~

Limits the rate of actions.
"""

import trio

__all__ = ('Pacer',)


class Pacer:
    """
    Rate limiter whose rate may change with each call.

    :param burst_s: unused time that may be made up for by a burst, in
        seconds; with 0, consecutive actions are always at least 1 / rate
        apart.
    """

    def __init__(self, burst_s: float = 0) -> None:
        self._burst_s = burst_s
        self._next_at = float('-inf')

    def take(self, per_s: float) -> bool:
        """
        Take a permit for one action if the rate allows it now.

        :param per_s: rate in actions per second.
        :returns: whether the action may be performed.
        """
        now_s = trio.current_time()
        if now_s < self._next_at:
            return False
        earliest = max(self._next_at, now_s - self._burst_s)
        self._next_at = earliest + 1 / per_s
        return True
