"""
eelgrassfork.loop_watch
~~~~~~~~~~~~~~~~~~~~~~~

Measures how late the event loop runs its tasks.
"""

from typing import Final

import trio

__all__ = ('LoopDelayMonitor',)

_INTERVAL_S: Final = 0.1
# A mean over about half a second, which single pauses move little.
_SMOOTHING_FACTOR: Final = 0.4
_MS_PER_S: Final = 1000


class LoopDelayMonitor:
    """
    Wakes up ten times a second and notes how late that was.

    A task that works for long, or a process that was stopped, delays all
    others by as much.

    :ivar mean_delay_s: mean lateness, which every other turn of the loop has too.
    """

    def __init__(self) -> None:
        self.mean_delay_s: float = 0
        self._max_delay_s: float = 0

    async def run(self) -> None:
        """Watch for as long as the task runs."""
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
        Read the worst lateness since the last call, and begin anew.

        :returns: lateness in milliseconds.
        """
        max_delay_s = self._max_delay_s
        self._max_delay_s = 0
        return max_delay_s * _MS_PER_S
