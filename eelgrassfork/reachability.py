"""
eelgrassfork.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks whether the platform is reachable and probes it in the background.
"""

import random
from collections.abc import Awaitable, Callable

import logbook
import trio

from .credit_policy import CreditSettings, backoff_s
from .platform_types import PlatformError

__all__ = ('Reachability',)

_log = logbook.Logger('credit')


class Reachability:
    """
    Reachability of the platform, by the result of the latest call.

    :param probe: reads from the platform.
    :param settings: delays between probes.
    :param on_change: called when the platform goes down or recovers.
    :ivar is_down: whether the platform is considered unreachable.
    """

    def __init__(
        self,
        probe: Callable[[], Awaitable[object]],
        settings: CreditSettings,
        on_change: Callable[[], None],
    ) -> None:
        self.is_down = False
        self._probe = probe
        self._settings = settings
        self._on_change = on_change
        self._down = trio.Event()

    def record_failure(self) -> None:
        """Record that a call to the platform failed or timed out."""
        if self.is_down:
            return
        _log.warning('credit: the platform is unreachable')
        self.is_down = True
        self._down.set()
        self._on_change()

    def record_success(self) -> None:
        """Record that the platform responded."""
        if not self.is_down:
            return
        _log.info('credit: the platform is reachable again')
        self.is_down = False
        self._down = trio.Event()
        self._on_change()

    async def run(self) -> None:
        """Probe the platform while it is down, until cancelled."""
        while True:
            await self._down.wait()
            await self._probe_until_up()

    async def _probe_until_up(self) -> None:
        attempt = 0
        while self.is_down:
            attempt += 1
            await trio.sleep(
                backoff_s(
                    attempt,
                    self._settings.probe_s,
                    self._settings.max_probe_s,
                    random.random(),  # noqa: S311  Spreads out retries.
                ),
            )
            try:
                await self._probe()
            except PlatformError:
                continue
            self.record_success()
