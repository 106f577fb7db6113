"""
eelgrassfork.credit
~~~~~~~~~~~~~~~~~~~

Accounts of this holder: reserve, settle and sync with the platform.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol

import logbook
import trio

from .bundle_types import Fleet
from .credit_account import Account, Waiter
from .credit_book import AccountBook, CreditHooks
from .credit_policy import CreditSettings
from .errors import RequestError
from .ledger_writer import LedgerStore
from .names import PayerTag

__all__ = ('CreditAccounts', 'CreditError', 'Lender', 'Reservation')

_log = logbook.Logger('credit')

_MESSAGES_BY_CODE: Final = {
    'budget_exhausted': 'the budget is spent',
    'credit_held_elsewhere': 'the rest of the budget is set aside elsewhere',
    'credit_unreachable': 'the budget cannot be asked',
}


class CreditError(RequestError):
    """A reservation is refused with one of the three credit codes."""

    def __init__(self, code: str, budget: str) -> None:
        super().__init__(code, f'{budget}: {_MESSAGES_BY_CODE[code]}')


class Reservation(NamedTuple):
    """
    Credit for one request.

    :param payer: names it; ``payer.holder`` pays.
    :param amount: the most that may be spent, in tokens.
    :param lender_vm: VM of the peer that lends it, if any.
    """

    payer: PayerTag
    amount: int
    lender_vm: str | None = None


class Lender(Protocol):
    """Peers that reserve on their accounts for this holder."""

    def is_preferred(self, budget: str) -> bool:
        """Tell whether peers are asked before the platform."""

    async def borrow(self, budget: str, amount: int) -> Reservation | None:
        """Reserve with a peer, or return ``None``."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Tell the lender what was spent, until it knows."""


class CreditAccounts:
    """
    All accounts of one holder.

    :param platform: where the ledger is.
    :param holder: this holder.
    :param fleet_of: query for the fleet of a budget, by the budget's name.
    :param lender: peers, if any.
    :param settings: times.
    :param hooks: the router's side.
    """

    def __init__(
        self,
        platform: LedgerStore,
        holder: str,
        fleet_of: Callable[[str], Fleet],
        lender: Lender | None,
        settings: CreditSettings,
        hooks: CreditHooks | None = None,
    ) -> None:
        self._holder = holder
        self._lender = lender
        self._settings = settings
        self._book = AccountBook(
            platform, holder, fleet_of, settings, hooks or CreditHooks()
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Sync with the platform in the background.

        :param nursery: where this runs.
        """
        await self._book.start(nursery)

    async def close(self) -> None:
        """
        Return all credit, and wait until the ledger has it.

        Free credit is returned at once. The rest follows as reservations are
        settled, for as long as the caller doesn't cancel the wait; what is
        open then is taken back after this holder's death.
        """
        await self._book.close()

    async def reserve(
        self, budget: str, amount: int, payer: PayerTag | None = None
    ) -> Reservation:
        """
        Reserve credit; doesn't wait if the own account covers it.

        :param budget: ``<fleet>/<organisation>/<budget>``.
        :param amount: the most that will be spent, in tokens.
        :param payer: a tag from :meth:`allocate`, if it must be known before;
            a lender's reservation has another.
        :returns: the reservation, to be settled once.
        :raises CreditError: if it is refused.
        """
        account = self._usable_account(budget)
        number = payer.number if payer else account.allocate()
        account.record_demand(amount, trio.current_time())
        if self._reserve_now(account, number, amount):
            return self._local_reservation(account, number, amount)
        try:
            return await self._reserve_with_fallback(account, number, amount)
        except BaseException:
            account.abandon(number)
            raise

    async def reserve_for_peer(
        self, budget: str, amount: int, *, may_draw: bool
    ) -> Reservation:
        """
        Reserve credit for a peer, on the own account only.

        :param budget: name of the budget.
        :param amount: tokens.
        :param may_draw: whether to draw if the account doesn't cover it.
        :returns: the reservation, to be settled once.
        :raises CreditError: if it is refused.
        """
        account = self._usable_account(budget)
        number = account.allocate()
        # A home router draws ahead for its peers' demand as well.
        demand = amount if may_draw else 0
        account.record_demand(demand, trio.current_time())
        try:
            return await self._reserve_local(account, number, amount, may_draw)
        except BaseException:
            account.abandon(number)
            raise

    def settle(self, reservation: Reservation, spent: int) -> None:
        """
        Replace a reservation by what was spent; repeating has no effect.

        :param reservation: from :meth:`reserve`.
        :param spent: tokens; 0 releases it. More than was reserved is not
            billed, since answers are cut there.
        """
        billed = min(max(spent, 0), reservation.amount)
        if billed != spent:
            _log.error('credit: {} spent {}', reservation.payer, spent)
        if reservation.lender_vm is not None and self._lender is not None:
            self._lender.settle(reservation, billed)
            return
        budget = reservation.payer.budget
        account = self._book.account(budget)
        account.used_at = trio.current_time()
        account.settle(reservation.payer.number, billed)
        if self._book.is_closed:
            self._book.wake(budget)

    def allocate(self, budget: str) -> PayerTag:
        """
        Name a reservation before it is made, for a durable record.

        :param budget: name of the budget.
        :returns: the tag, for one :meth:`reserve` or :meth:`abandon`.
        """
        number = self._book.account(budget).allocate()
        return PayerTag(self._holder, budget, number)

    def abandon(self, payer: PayerTag) -> None:
        """
        Give up a tag that was not used to reserve.

        :param payer: from :meth:`allocate`.
        """
        self._book.account(payer.budget).abandon(payer.number)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: accounts in tokens by budget.
        """
        return self._book.dump()

    def _local_reservation(
        self, account: Account, number: int, amount: int
    ) -> Reservation:
        payer = PayerTag(self._holder, account.budget, number)
        return Reservation(payer, amount)

    def _usable_account(self, budget: str) -> Account:
        if self._book.is_closed:
            raise CreditError('credit_unreachable', budget)
        return self._book.account(budget)

    def _reserve_now(self, account: Account, number: int, amount: int) -> bool:
        return not self._book.is_closed and account.reserve(number, amount)

    async def _reserve_with_fallback(
        self, account: Account, number: int, amount: int
    ) -> Reservation:
        budget = account.budget
        peers_first = self._lender is not None and self._lender.is_preferred(
            budget
        )
        lent = await self._borrow(budget, amount) if peers_first else None
        code = '' if lent else await self._draw(account, number, amount)
        if code not in {'', 'budget_exhausted'} and not peers_first:
            lent = await self._borrow(budget, amount)
        if lent:
            account.abandon(number)
            return lent
        if code and not self._reserve_now(account, number, amount):
            raise CreditError(code, budget)
        return self._local_reservation(account, number, amount)

    async def _reserve_local(
        self, account: Account, number: int, amount: int, may_draw: bool
    ) -> Reservation:
        if self._reserve_now(account, number, amount):
            return self._local_reservation(account, number, amount)
        code = 'credit_held_elsewhere'
        if may_draw:
            code = await self._draw(account, number, amount)
        if code:
            raise CreditError(code, account.budget)
        return self._local_reservation(account, number, amount)

    async def _borrow(self, budget: str, amount: int) -> Reservation | None:
        if self._lender is None:
            return None
        return await self._lender.borrow(budget, amount)

    async def _draw(self, account: Account, number: int, amount: int) -> str:
        if self._book.is_closed or self._book.reachability.is_down:
            return 'credit_unreachable'
        waiter = Waiter(number, amount)
        account.waiters.append(waiter)
        self._book.wake(account.budget)
        with trio.move_on_after(self._settings.draw_wait_s):
            await waiter.done.wait()
        if waiter.done.is_set():
            return waiter.code
        account.waiters.remove(waiter)
        self._book.reachability.note_failure()
        return 'credit_unreachable'
