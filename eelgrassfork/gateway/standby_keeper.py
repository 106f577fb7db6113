"""
eelgrassfork.gateway.standby_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides how much credit is on standby, and renews its record.
"""

from collections.abc import Callable, Iterable
from typing import Final

import logbook
import trio

from .credit import (
    CreditContext,
    standby_missing,
    standby_tokens,
    target_tokens,
)
from .ledger_writer import LedgerWriter
from .standby import RENEWAL_S, Standby
from .store import StoreError

__all__ = ('StandbyKeeper',)

_log = logbook.Logger('standby')

_CHECK_INTERVAL_S: Final = 0.2
# Routers that start together discover each other within two heartbeats.
_FLEET_TIME_WAIT_S: Final = 1.2
_RETRY_S: Final = 0.3
# Time for which no credit of an organisation is put on standby after it was
# needed at once.
_SHORTAGE_HOLD_S: Final = 5.0
# A few round trips to the store, as the requests of callers wait.
_RELEASE_WAIT_S: Final = 0.1
# Standby credit above this multiple of its target is released.
_MAX_STANDBY_FACTOR: Final = 2


class StandbyKeeper:
    """
    Manages the standby credit of one router.

    :param standby: standby credit and its record.
    :param ledger: ledger that further credit can be drawn from.
    :param context: returns the state that planning is based on.
    :param is_first_start: whether no earlier process can have left standby
        credit.
    """

    def __init__(
        self,
        standby: Standby,
        ledger: LedgerWriter,
        context: Callable[[], CreditContext],
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._standby = standby
        self._ledger = ledger
        self._context = context
        self._released_until_by_organisation: dict[str, float] = {}
        self._wake = trio.Event()
        self._renewed = trio.Event()

    @property
    def tokens_by_organisation(self) -> dict[str, int]:
        """Credit on standby."""
        return self._standby.tokens_by_organisation

    @property
    def is_available(self) -> bool:
        """Whether credit can be put on standby now."""
        return self._standby.has_fleet_time

    async def run(self) -> None:
        """Recover credit of an earlier process, then renew until cancelled."""
        with trio.move_on_after(_FLEET_TIME_WAIT_S):
            while not self._standby.has_fleet_time:
                await trio.sleep(_CHECK_INTERVAL_S)
        if not self._is_first_start:
            await self._recover()
        while True:
            with trio.move_on_after(RENEWAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._renew()
            renewed = self._renewed
            self._renewed = trio.Event()
            renewed.set()

    async def watch(self) -> None:
        """Release standby credit whenever it is due, until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            self._standby.release_if_due()

    async def release(self) -> None:
        """Release all credit on standby."""
        await self._standby.renew({}, free=True)

    async def release_short(self, organisations: Iterable[str]) -> None:
        """
        Use the standby credit of organisations that have no other credit left.

        Credit that callers need now is not kept for an outage that may come.

        :param organisations: names of the organisations.
        """
        on_standby = self.tokens_by_organisation
        short = {
            name: on_standby[name]
            for name in organisations
            if on_standby.get(name, 0)
        }
        if not short:
            return
        until = trio.current_time() + _SHORTAGE_HOLD_S
        self._released_until_by_organisation.update(dict.fromkeys(short, until))
        _log.info(
            'releasing standby credit, as no other is left',
            extra={'tokens': short},
        )
        self._wake.set()
        with trio.move_on_after(_RELEASE_WAIT_S):
            await self._renewed.wait()

    async def _renew(self) -> None:
        context = self._context()
        is_keeper = context.inputs.is_keeper
        if is_keeper and not self._has_short():
            if await self._fill(context):
                return
        await self._standby.renew(self._targets(self._context()), not is_keeper)

    def _has_short(self) -> bool:
        return any(
            self._is_short(name)
            for name in self._standby.tokens_by_organisation
        )

    def _is_short(self, organisation: str) -> bool:
        until = self._released_until_by_organisation.get(organisation, 0)
        return trio.current_time() < until

    async def _recover(self) -> None:
        while True:
            try:
                await self._standby.recover()
            except StoreError as error:
                _log.warning(
                    'standby credit could not be recovered',
                    extra={'why': error.code},
                )
                await trio.sleep(_RETRY_S)
            else:
                return

    def _targets(self, context: CreditContext) -> dict[str, int]:
        targets = {}
        for name, tokens in self._standby.tokens_by_organisation.items():
            max_standby = _MAX_STANDBY_FACTOR * standby_tokens(context, name)
            missing = target_tokens(context, name) - context.held.free(name)
            if missing > 0 and self._ledger.is_known_insufficient(
                name, missing
            ):
                # The ledger can't replace used credit, so the shortfall is
                # taken from standby.
                max_standby = min(max_standby, tokens - missing)
            targets[name] = 0 if self._is_short(name) else max(0, max_standby)
        return targets

    async def _fill(self, context: CreditContext) -> bool:
        held = context.held
        added = {}
        for name in context.inputs.prepaid_by_organisation:
            if self._is_short(name):
                continue
            target = target_tokens(context, name)
            surplus = min(
                standby_missing(context, name), held.free(name) - target
            )
            if surplus > target * (1 - context.policy.refill_below_fraction):
                added[name] = held.remove(name, surplus)
        if added and await self._standby.put(added):
            # This write has also renewed the record.
            return True
        for name, tokens in added.items():
            held.add(name, tokens)
        return False
