"""
eelgrassfork.loop_watch
~~~~~~~~~~~~~~~~~~~~~~~

Measures the scheduling delay of the event loop.
"""

from typing import Final

import trio

__all__ = ('LoopDelayMonitor',)

_INTERVAL_S: Final = 0.1
# Averages over about half a second, so that a single pause has little effect.
_SMOOTHING_FACTOR: Final = 0.4
_MS_PER_S: Final = 1000


class LoopDelayMonitor:
    """
    Wakes up ten times a second and records by how much each wake-up is late.

    A task that keeps the loop busy, or a suspension of the process, delays all
    other tasks by the same time.

    :ivar mean_delay_s: moving average of the delay, in seconds; every other
        iteration of the loop is late by this time too.
    """

    def __init__(self) -> None:
        self.mean_delay_s: float = 0
        self._max_delay_s: float = 0

    async def run(self) -> None:
        """Measure the delay until the task is cancelled."""
        while True:
            wake_at = trio.current_time() + _INTERVAL_S
            await trio.sleep_until(wake_at)
            delay_s = max(0, trio.current_time() - wake_at)
            self._max_delay_s = max(self._max_delay_s, delay_s)
            self.mean_delay_s += _SMOOTHING_FACTOR * (
                delay_s - self.mean_delay_s
            )

    def pop_max_delay_ms(self) -> float:
        """
        Return the maximum delay since the last call, and reset it.

        :returns: delay in milliseconds.
        """
        max_delay_s = self._max_delay_s
        self._max_delay_s = 0
        return max_delay_s * _MS_PER_S
