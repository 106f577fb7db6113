"""
eelgrassfork.credit_book
~~~~~~~~~~~~~~~~~~~~~~~~

Accounts of a holder and the tasks that sync them with the platform.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import logbook
import trio

from .bundle_types import Fleet
from .credit_account import Account
from .credit_policy import CreditSettings
from .ledger_writer import LedgerStore, LedgerWriter, WriterContext
from .names import shard_of
from .reachability import Reachability

__all__ = ('AccountBook', 'CreditHooks', 'ledger_key')

_log = logbook.Logger('credit')


def _ignore_fencing() -> None:
    """Default callback; does nothing."""


def _never_listed() -> int:
    return 0


class CreditHooks(NamedTuple):
    """
    Callbacks of the accounts into the router.

    :param on_fenced: called once if another router has closed an account of
        this holder; it has no credit left then, and new accounts need a new
        holder.
    :param listed_at: returns a revision of the VM list that contains this
        holder's VM, or 0.
    """

    on_fenced: Callable[[], None] = _ignore_fencing
    listed_at: Callable[[], int] = _never_listed


def ledger_key(budget: str, fleet: Fleet) -> str:
    """
    Return the key of the ledger shard that stores a budget.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param fleet: fleet of the budget.
    :returns: key of the shard in the store.
    """
    return f'ledger/{fleet.name}/{shard_of(budget, fleet.ledger_shards)}'


class AccountBook:
    """
    Accounts by budget, each with the writer of its ledger shard.

    :param platform: store of the ledger.
    :param holder: name of this holder.
    :param fleet_of: returns the fleet of a budget.
    :param settings: intervals and time-outs.
    :param hooks: callbacks into the router.
    :ivar is_closed: whether new reservations are refused.
    :ivar reachability: tracks whether the platform responds.
    """

    def __init__(
        self,
        platform: LedgerStore,
        holder: str,
        fleet_of: Callable[[str], Fleet],
        settings: CreditSettings,
        hooks: CreditHooks,
    ) -> None:
        self.is_closed = False
        self.reachability = Reachability(
            self._probe, settings, self._on_reachability_change
        )
        self._platform = platform
        self._fleet_of = fleet_of
        self._interval_s = settings.report_interval_s
        self._on_fenced = hooks.on_fenced
        self._fenced_budget = ''
        self._accounts_by_budget: dict[str, Account] = {}
        self._writers_by_budget: dict[str, LedgerWriter] = {}
        self._writers_by_key: dict[str, LedgerWriter] = {}
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._writer_context = WriterContext(
            platform=platform,
            holder=holder,
            settings=settings,
            reachability=self.reachability,
            draw_fraction_of=self._draw_fraction_of,
            listed_at=hooks.listed_at,
            on_fenced=self._fence,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start to sync with the platform in the background.

        :param nursery: nursery for the background tasks.
        """
        await nursery.start(self._run)

    async def close(self) -> None:
        """Return all credit; see ``CreditAccounts.close``."""
        self.is_closed = True
        try:
            await self._return_all()
        finally:
            self._scope.cancel()

    def account(self, budget: str) -> Account:
        """
        Return the account of a budget, opened on first use.

        :param budget: name of the budget.
        :returns: the account.
        """
        account = self._accounts_by_budget.get(budget)
        if account is None:
            account = Account(budget, self._interval_s)
            # An account keeps its shard even if the shard count changes later.
            writer = self._writer(ledger_key(budget, self._fleet_of(budget)))
            writer.accounts_by_budget[budget] = account
            self._writers_by_budget[budget] = writer
            self._accounts_by_budget[budget] = account
        return account

    def wake(self, budget: str) -> None:
        """
        Trigger a commit of a budget's ledger shard.

        :param budget: name of a budget that has an account.
        """
        self._writers_by_budget[budget].wake()

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: accounts by budget, with amounts in tokens.
        """
        return {
            'holder': self._writer_context.holder,
            'fenced_budget': self._fenced_budget,
            'platform_is_down': self.reachability.is_down,
            'accounts_by_budget': {
                budget: account.dump()
                for budget, account in self._accounts_by_budget.items()
            },
        }

    async def _run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.reachability.run)
                task_status.started()
                try:
                    await trio.sleep_forever()
                finally:
                    self.is_closed = True

    async def _return_all(self) -> None:
        for writer in self._writers_by_key.values():
            writer.closing = True
            writer.wake()
        for closing in self._writers_by_key.values():
            await closing.finished.wait()

    async def _probe(self) -> object:
        return await self._platform.get(next(iter(self._writers_by_key)))

    def _draw_fraction_of(self, budget: str) -> float:
        return self._fleet_of(budget).draw_fraction

    def _writer(self, key: str) -> LedgerWriter:
        writer = self._writers_by_key.get(key)
        if writer is None:
            if self._nursery is None:
                raise RuntimeError(
                    'AccountBook.start() must run before an account is opened'
                )
            writer = LedgerWriter(key, self._writer_context)
            writer.closing = self.is_closed
            self._writers_by_key[key] = writer
            self._nursery.start_soon(writer.run)
        return writer

    def _on_reachability_change(self) -> None:
        if self.reachability.is_down:
            self._refuse_waiters()
            return
        for writer in self._writers_by_key.values():
            writer.wake()

    def _refuse_waiters(self) -> None:
        for account in self._accounts_by_budget.values():
            account.refuse_waiters('credit_unreachable')

    def _fence(self, budget: str) -> None:
        if self._fenced_budget:
            return
        _log.error(
            'credit: account of {} was closed by another router; fenced', budget
        )
        self._fenced_budget = budget
        self.is_closed = True
        for writer in self._writers_by_key.values():
            writer.stopped = True
            writer.wake()
        self._refuse_waiters()
        self._on_fenced()
