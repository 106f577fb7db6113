"""
eelgrassfork.pacing
~~~~~~~~~~~~~~~~~~~

Spaces out actions to a rate.
"""

import trio

__all__ = ('Pacer',)


class Pacer:
    """
    Allows actions at a rate that may change.

    :param burst_s: how much unused time may be made up for, in seconds;
        with 0 two actions are never closer than the rate says.
    """

    def __init__(self, burst_s: float = 0) -> None:
        self._burst_s = burst_s
        self._next_at = float('-inf')

    def take(self, per_s: float) -> bool:
        """
        Use one action if it is time.

        :param per_s: actions a second.
        :returns: whether the action may be done.
        """
        now_s = trio.current_time()
        if now_s < self._next_at:
            return False
        earliest = max(self._next_at, now_s - self._burst_s)
        self._next_at = earliest + 1 / per_s
        return True
