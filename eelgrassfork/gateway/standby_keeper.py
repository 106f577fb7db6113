"""
eelgrassfork.gateway.standby_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides how much credit stands by, and renews its record.
"""

from collections.abc import Callable
from typing import Final

import logbook
import trio

from .credit import (
    CreditPolicy,
    HeldCredit,
    Situation,
    standby_missing,
    standby_tokens,
    target_tokens,
)
from .ledger_writer import LedgerWriter
from .standby import RENEWAL_S, Standby
from .store import StoreError

__all__ = ('StandbyKeeper',)

_log = logbook.Logger('standby')

_WATCH_S: Final = 0.2
# Routers that start together hear of each other within two heartbeats.
_CLOCKS_WAIT_S: Final = 1.2
_RETRY_S: Final = 0.3
# Standby credit above this multiple of its target is freed.
_MOST_STANDBY: Final = 2


class StandbyKeeper:
    """
    Keeps the standby credit of one router.

    :param standby: the credit and its record.
    :param held: credit in use.
    :param ledger: where more may be drawn.
    :param situation: limits and needs.
    :param policy: how much to hold.
    """

    def __init__(
        self,
        standby: Standby,
        held: HeldCredit,
        ledger: LedgerWriter,
        situation: Callable[[], Situation],
        policy: CreditPolicy,
    ) -> None:
        self._standby = standby
        self._held = held
        self._ledger = ledger
        self._situation = situation
        self._policy = policy

    @property
    def tokens_by_organisation(self) -> dict[str, int]:
        """Credit on standby."""
        return self._standby.tokens_by_organisation

    @property
    def is_possible(self) -> bool:
        """Whether credit can be put on standby now."""
        return self._standby.has_clocks

    async def run(self) -> None:
        """Recover what was left, then renew for as long as the task runs."""
        with trio.move_on_after(_CLOCKS_WAIT_S):
            while not self._standby.has_clocks:
                await trio.sleep(_WATCH_S)
        await self._recover()
        while True:
            await trio.sleep(RENEWAL_S)
            situation = self._situation()
            if situation.is_keeper and await self._fill(situation):
                continue
            await self._standby.renew(
                self._targets(situation), not situation.is_keeper
            )

    async def watch(self) -> None:
        """Use the credit when it is due, for as long as the task runs."""
        while True:
            await trio.sleep(_WATCH_S)
            self._standby.activate_if_due()

    async def release(self) -> None:
        """Give up all credit on standby."""
        await self._standby.renew({}, free=True)

    async def _recover(self) -> None:
        while True:
            try:
                await self._standby.recover()
            except StoreError as error:
                _log.warning(
                    'could not recover credit', extra={'why': error.code}
                )
                await trio.sleep(_RETRY_S)
            else:
                return

    def _targets(self, situation: Situation) -> dict[str, int]:
        targets = {}
        for name, tokens in self._standby.tokens_by_organisation.items():
            most = _MOST_STANDBY * standby_tokens(
                self._held,
                name,
                situation,
                self._policy,
                trio.current_time(),
            )
            missing = self._target(name, situation) - self._held.free(name)
            if missing > 0 and self._ledger.is_known_empty(name, missing):
                # The ledger can't replace what is used up.
                most = min(most, tokens - missing)
            targets[name] = max(0, most)
        return targets

    async def _fill(self, situation: Situation) -> bool:
        added = {}
        for name in situation.prepaid_by_organisation:
            missing = standby_missing(
                self._held,
                name,
                situation,
                self._policy,
                trio.current_time(),
            )
            target = self._target(name, situation)
            spare = min(missing, self._held.free(name) - target)
            if spare > target * (1 - self._policy.refill_part):
                added[name] = self._held.remove(name, spare)
        if added and await self._standby.put(added):
            # That write has renewed the record as well.
            return True
        for name, tokens in added.items():
            self._held.add(name, tokens)
        return False

    def _target(self, organisation: str, situation: Situation) -> int:
        return target_tokens(
            self._held,
            organisation,
            situation,
            self._policy,
            trio.current_time(),
        )
