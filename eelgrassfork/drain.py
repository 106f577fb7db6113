"""
eelgrassfork.drain
~~~~~~~~~~~~~~~~~~

Graceful shutdown: rejects new work and waits for open work to complete.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook
import trio

__all__ = ('Drain', 'DrainSettings')

_log = logbook.Logger('drain')

_POLL_INTERVAL_S: Final = 0.1

OpenWork = Callable[[], dict[str, int]]


class DrainSettings(NamedTuple):
    """
    Durations of a drain, in seconds.

    :param grace_s: time in which new requests are still served, so that the
        platform's load balancer can detect that the router is not ready.
    :param limit_s: maximum wait for open work after the grace time.
    """

    grace_s: float = 2
    limit_s: float = 600


class Drain:
    """
    State of a router's graceful shutdown.

    :param settings: durations.
    """

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self._begun = trio.Event()
        self._begun_at: float = 0
        self._reason = ''

    @property
    def is_begun(self) -> bool:
        """Whether a drain has begun."""
        return self._begun.is_set()

    @property
    def refuses_new(self) -> bool:
        """Whether new requests are rejected; false during the grace time."""
        if not self._begun.is_set():
            return False
        elapsed_s = trio.current_time() - self._begun_at
        return elapsed_s >= self._settings.grace_s

    def begin(self, reason: str) -> None:
        """
        Begin the drain; repeated calls have no effect.

        :param reason: reason for the log and the state dump.
        """
        if self._begun.is_set():
            return
        self._begun_at = trio.current_time()
        self._reason = reason
        _log.info('drain: started, reason: {}', reason)
        self._begun.set()

    async def wait_begun(self) -> None:
        """Wait until a drain begins."""
        await self._begun.wait()

    async def wait_empty(self, open_work: OpenWork) -> dict[str, int]:
        """
        Wait out the grace time, then until all work ends or time runs out.

        :param open_work: returns the number of open items by kind.
        :returns: items still open by kind; empty after a complete drain.
        """
        await trio.sleep(self._settings.grace_s)
        with trio.move_on_after(self._settings.limit_s):
            while any(open_work().values()):
                await trio.sleep(_POLL_INTERVAL_S)
        remaining = {
            kind: count for kind, count in open_work().items() if count
        }
        if remaining:
            _log.error(
                'drain: time limit reached with open work: {}', remaining
            )
        else:
            _log.info('drain: complete')
        return remaining

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: state, and during a drain its reason and age in seconds.
        """
        if not self._begun.is_set():
            return {'state': 'serving'}
        elapsed_s = trio.current_time() - self._begun_at
        return {
            'state': 'draining',
            'reason': self._reason,
            'for_s': round(elapsed_s, 1),
        }
