"""
eelgrassfork.loop_watch
~~~~~~~~~~~~~~~~~~~~~~~

Measures how late the event loop runs its tasks.
"""

from typing import Final

import trio

__all__ = ('LoopWatch',)

_STEP_S: Final = 0.1
# A mean over about half a second, which single pauses move little.
_WEIGHT: Final = 0.4
_MS: Final = 1000


class LoopWatch:
    """
    Wakes up ten times a second and notes how late that was.

    A task that works for long, or a process that was stopped, delays all
    others by as much.

    :ivar mean_s: mean lateness, which every other turn of the loop has too.
    """

    def __init__(self) -> None:
        self.mean_s: float = 0
        self._worst_s: float = 0

    async def run(self) -> None:
        """Watch for as long as the task runs."""
        while True:
            due_at = trio.current_time() + _STEP_S
            await trio.sleep_until(due_at)
            late_s = max(0, trio.current_time() - due_at)
            self._worst_s = max(self._worst_s, late_s)
            self.mean_s += _WEIGHT * (late_s - self.mean_s)

    def take_worst_ms(self) -> float:
        """
        Read the worst lateness since the last call, and begin anew.

        :returns: lateness in milliseconds.
        """
        worst_s = self._worst_s
        self._worst_s = 0
        return worst_s * _MS
