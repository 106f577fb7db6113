"""
eelgrassfork.supervision
~~~~~~~~~~~~~~~~~~~~~~~~

Keeps background tasks running after errors that nobody expected.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import logbook
import trio

__all__ = ('keep_running',)

_log = logbook.Logger('tasks')

# Longer than a call of the store, so that a task that fails at once neither
# floods the log nor a server.
_RESTART_DELAY_S: Final = 1.0


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """
    Run a task until it ends, and again after each error.

    :param name: of the task, for the log.
    :param task: the task.
    """
    while True:
        try:
            await task()
        except Exception:
            _log.exception('a task failed and starts again: {}', name)
            await trio.sleep(_RESTART_DELAY_S)
        else:
            return
