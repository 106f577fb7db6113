"""
eelgrassfork.ledger_plan
~~~~~~~~~~~~~~~~~~~~~~~~

Plans a conditional update of a ledger shard for a holder's accounts.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from .credit_account import Account, Waiter
from .credit_policy import (
    CreditNeed,
    CreditSettings,
    draw_size,
    refusal_code,
    return_size,
    select_covered,
)
from .ledger import (
    BudgetRecord,
    HolderEntry,
    LedgerError,
    LedgerShard,
    Refusal,
    close_holder,
    put_holder_entries,
    unreserved,
)

__all__ = ('Plan', 'PlanContext', 'make_plan')


class PlanContext(NamedTuple):
    """
    Inputs of a plan other than the accounts and the shard.

    :param holder: identifier of the holder.
    :param settings: credit settings.
    :param draw_fraction_of: returns the draw fraction of a budget.
    :param listed_at: revision of the VM list that contained the holder's VM.
    :param now: current time in seconds.
    :param closing: whether all accounts are to be closed.
    :param is_fresh: whether the shard was read for this plan; otherwise it
        is the content of the last write.
    :param is_resolved: whether no earlier write can still take effect.
    """

    holder: str
    settings: CreditSettings
    draw_fraction_of: Callable[[str], float]
    listed_at: int
    now: float
    closing: bool
    is_fresh: bool
    is_resolved: bool


class Plan:
    """
    One shard update and its effect on the accounts once it is committed.

    :param shard: the shard to update.
    :ivar needs_fresh_read: a reservation would be refused, but the shard may
        be out of date.
    :ivar fenced_budget: a budget from which another process removed the
        holder's entry, or empty.
    :ivar is_forced: the shard is written even if nothing changed, so that an
        earlier write of unknown outcome can no longer take effect.
    """

    def __init__(self, shard: LedgerShard) -> None:
        self.shard = shard
        self.needs_fresh_read = False
        self.fenced_budget = ''
        self.is_forced = False
        self._entries: list[tuple[Account, HolderEntry]] = []
        self._closed: list[Account] = []

    def has_changes(self) -> bool:
        """
        Return whether the plan requires a write.

        :returns: whether a write is needed.
        """
        return bool(self._entries or self._closed or self.is_forced)

    def put(self, account: Account, entry: HolderEntry) -> None:
        """
        Add an account's new entry to the update.

        :param account: the account.
        :param entry: its complete new entry.
        """
        self._entries.append((account, entry))

    def close(self, account: Account, holder: str) -> None:
        """
        Add the closing of an account to the update.

        :param account: an account without open reservations.
        :param holder: the holder.
        """
        reported = account.entry['spent'] if account.entry else 0
        self.shard = _checked(
            close_holder(
                self.shard, account.budget, holder, account.spent - reported
            ),
        )
        self._closed.append(account)

    def finish(self, holder: str) -> None:
        """
        Compute the shard to write.

        :param holder: the holder.
        """
        entries_by_budget = {
            account.budget: entry for account, entry in self._entries
        }
        self.shard = _checked(
            put_holder_entries(self.shard, holder, entries_by_budget)
        )

    def apply(self) -> None:
        """Update the accounts after the ledger has confirmed the write."""
        for account, entry in self._entries:
            account.apply_entry(entry)
            account.serve_waiters()
        for account in self._closed:
            account.apply_entry(None)
            account.closed = True

    def roll_back(self) -> None:
        """Restore the credit that the accounts were about to return."""
        for account, _ in self._entries:
            account.apply_entry(account.entry)


def make_plan(
    shard: LedgerShard,
    accounts_by_budget: Mapping[str, Account],
    context: PlanContext,
) -> Plan:
    """
    Plan an update for all accounts that need one.

    Credit to be returned is deducted from the accounts immediately.
    Waiting reservations that a freshly read shard can't cover are refused.

    :param shard: the current shard.
    :param accounts_by_budget: accounts of the holder in this shard.
    :param context: the other inputs.
    :returns: the plan.
    :raises LedgerError: if the change is invalid for this shard.
    """
    plan = Plan(shard)
    plan.is_forced = not context.is_resolved
    for account in accounts_by_budget.values():
        record = shard['budgets'].get(account.budget)
        if context.is_resolved and not _adopt(account, record, context):
            plan.fenced_budget = account.budget
            return plan
        if context.closing:
            _plan_close(plan, account, record, context)
        elif record is None:
            _refuse(plan, account, account.waiters, record, context)
        else:
            _plan_entry(plan, account, record, context)
    plan.finish(context.holder)
    return plan


def _checked(changed: LedgerShard | Refusal) -> LedgerShard:
    if isinstance(changed, Refusal):
        raise LedgerError(changed.code, changed.message)
    return changed


def _adopt(
    account: Account, record: BudgetRecord | None, context: PlanContext
) -> bool:
    entry = record['holders'].get(context.holder) if record else None
    was_removed = entry is None and account.entry is not None
    if was_removed and not context.closing:
        return False
    account.apply_entry(entry)
    return True


def _plan_close(
    plan: Plan,
    account: Account,
    record: BudgetRecord | None,
    context: PlanContext,
) -> None:
    is_open = bool(account.amounts_by_number)
    if account.entry is None or record is None:
        account.closed = context.is_resolved and not is_open
    elif is_open:
        account.limit -= account.free
        _put_if_changed(plan, account, account.limit, context)
    else:
        account.limit = account.spent
        plan.close(account, context.holder)


def _plan_entry(
    plan: Plan, account: Account, record: BudgetRecord, context: PlanContext
) -> None:
    drawn_before = account.entry['drawn'] if account.entry else 0
    available = unreserved(record) + drawn_before - account.limit
    amounts = [waiter.amount for waiter in account.waiters]
    covered = select_covered(amounts, account.free + available)
    refused = [
        waiter
        for waiter, is_covered in zip(account.waiters, covered)
        if not is_covered
    ]
    _refuse(plan, account, refused, record, context)
    needed = sum(
        amount for amount, is_covered in zip(amounts, covered) if is_covered
    )
    need = CreditNeed(
        needed=max(needed - account.free, 0),
        free=account.free,
        demand=account.demand.estimate_at(context.now),
        drawable=available,
        draw_fraction=context.draw_fraction_of(account.budget),
    )
    if not needed:
        account.limit -= return_size(
            need,
            context.now - account.used_at,
            context.settings.idle_after_s,
        )
    account.serve_waiters()
    _put_if_changed(plan, account, account.limit + draw_size(need), context)


def _refuse(
    plan: Plan,
    account: Account,
    refused: list[Waiter],
    record: BudgetRecord | None,
    context: PlanContext,
) -> None:
    if refused and not context.is_fresh:
        plan.needs_fresh_read = True
        return
    account.waiters = [
        waiter for waiter in account.waiters if waiter not in refused
    ]
    for refused_waiter in refused:
        refused_waiter.refuse(refusal_code(record, refused_waiter.amount))


def _put_if_changed(
    plan: Plan, account: Account, drawn: int, context: PlanContext
) -> None:
    drawn_before = account.entry['drawn'] if account.entry else 0
    if drawn != drawn_before or not account.is_reported():
        plan.put(account, account.next_entry(drawn, context.listed_at))
