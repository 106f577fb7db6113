"""
eelgrassfork.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~

Remembers that the platform can't be reached, and asks it in the background.
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
    Whether the platform answered last.

    :param probe: a read of the platform.
    :param settings: times between probes.
    :param on_change: told once the platform is down or up again.
    :ivar is_down: whether calls would fail now.
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
        """Note that a call of the platform failed or took too long."""
        if self.is_down:
            return
        _log.warning('credit: the platform cannot be reached')
        self.is_down = True
        self._down.set()
        self._on_change()

    def record_success(self) -> None:
        """Note that the platform answered."""
        if not self.is_down:
            return
        _log.info('credit: the platform answers again')
        self.is_down = False
        self._down = trio.Event()
        self._on_change()

    async def run(self) -> None:
        """Probe the platform whenever it is down."""
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
