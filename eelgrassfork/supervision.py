"""
eelgrassfork.supervision
~~~~~~~~~~~~~~~~~~~~~~~~

Restarts background tasks after unexpected errors.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import logbook
import trio

__all__ = ('keep_running', 'run_step')

_log = logbook.Logger('tasks')

# Longer than a call to the store, so that a task that fails immediately floods
# neither the log nor a server.
_RESTART_DELAY_S: Final = 1.0


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """
    Run a task until it returns; restart it after each error.

    :param name: name of the task, for the log.
    :param task: function that runs the task.
    """
    while True:
        try:
            await task()
        except Exception:
            _log.exception('task {} failed; restarting it', name)
            await trio.sleep(_RESTART_DELAY_S)
        else:
            return


async def run_step(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """
    Run a step of a stop; log its error, so that the next steps still run.

    :param name: name of the step, for the log.
    :param step: function that runs the step.
    """
    try:
        await step()
    except Exception:
        _log.exception('step {} of the stop failed', name)
