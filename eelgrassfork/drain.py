"""
eelgrassfork.drain
~~~~~~~~~~~~~~~~~~

Graceful stop: no new work, no request cut off, and a report at the end.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook
import trio

__all__ = ('Drain', 'DrainSettings')

_log = logbook.Logger('drain')

_CHECK_S: Final = 0.1

OpenWork = Callable[[], dict[str, int]]


class DrainSettings(NamedTuple):
    """
    Times of a drain, in seconds.

    :param grace_s: new requests are still served, until the platform's load
        balancer has seen that the router is not ready.
    :param limit_s: longest drain.
    """

    grace_s: float = 2
    limit_s: float = 600


class Drain:
    """
    Whether this router takes new work.

    :param settings: times.
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
        """Whether new requests are refused; false during the grace time."""
        if not self._begun.is_set():
            return False
        age = trio.current_time() - self._begun_at
        return age >= self._settings.grace_s

    def begin(self, reason: str) -> None:
        """
        Begin to drain; a second call changes nothing.

        :param reason: why, for the log.
        """
        if self._begun.is_set():
            return
        self._begun_at = trio.current_time()
        self._reason = reason
        _log.info('drain: begun, {}', reason)
        self._begun.set()

    async def wait_begun(self) -> None:
        """Wait until a drain begins."""
        await self._begun.wait()

    async def wait_empty(self, open_work: OpenWork) -> dict[str, int]:
        """
        Wait until all work has ended, at most as long as the settings say.

        :param open_work: query for the number of open items by kind.
        :returns: what is left open; empty after a complete drain.
        """
        await trio.sleep(self._settings.grace_s)
        with trio.move_on_after(self._settings.limit_s):
            while any(open_work().values()):
                await trio.sleep(_CHECK_S)
        left = {kind: count for kind, count in open_work().items() if count}
        if left:
            _log.error('drain: time is up, still open: {}', left)
        else:
            _log.info('drain: empty')
        return left

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: whether a drain has begun, why, and its age in seconds.
        """
        if not self._begun.is_set():
            return {'state': 'serving'}
        age = trio.current_time() - self._begun_at
        return {
            'state': 'draining',
            'reason': self._reason,
            'for_s': round(age, 1),
        }
