"""
eelgrassfork.gateway.loop_delay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures how far this process is behind with its work.
"""

from typing import Final

import trio

__all__ = ('LoopDelay',)

_STEP_S: Final = 0.1
# A mean over about half a second, which single pauses move little.
_WEIGHT: Final = 0.4


class LoopDelay:
    """
    Mean delay of a timer, which every other turn of the loop has too.

    :ivar delay_s: present estimate, in seconds.
    """

    def __init__(self) -> None:
        self.delay_s: float = 0

    async def run(self) -> None:
        """Measure for as long as the task runs."""
        while True:
            due_at = trio.current_time() + _STEP_S
            await trio.sleep_until(due_at)
            late_s = max(0, trio.current_time() - due_at)
            self.delay_s += _WEIGHT * (late_s - self.delay_s)
