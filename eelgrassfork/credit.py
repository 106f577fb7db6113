"""
eelgrassfork.credit
~~~~~~~~~~~~~~~~~~~

Credit accounts of a holder: reservation, settlement and ledger sync.
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
    'budget_exhausted': 'the budget is exhausted',
    'credit_held_elsewhere': 'the remaining credit is held by other routers',
    'credit_unreachable': 'credit for the budget cannot be obtained now',
}


class CreditError(RequestError):
    """Raised when a reservation is refused; has one of three codes."""

    def __init__(self, code: str, budget: str) -> None:
        super().__init__(code, f'{budget}: {_MESSAGES_BY_CODE[code]}')


class Reservation(NamedTuple):
    """
    Credit for one request.

    :param payer: tag of the reservation; ``payer.holder`` pays for it.
    :param amount: maximum spend in tokens.
    :param lender_vm: VM of the peer that lends the credit, if any.
    """

    payer: PayerTag
    amount: int
    lender_vm: str | None = None


class Lender(Protocol):
    """Borrows credit for this holder from the accounts of its peers."""

    def is_preferred(self, budget: str) -> bool:
        """Return whether to ask peers before drawing from the platform."""

    async def borrow(self, budget: str, amount: int) -> Reservation | None:
        """Reserve credit on a peer's account, or return ``None``."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Report the spend to the lender, with retries until confirmed."""


class CreditAccounts:
    """
    All credit accounts of one holder.

    :param platform: store of the ledger.
    :param holder: name of this holder.
    :param fleet_of: returns the fleet of a budget, by the budget's name.
    :param lender: source of credit from peers, if any.
    :param settings: intervals and time-outs.
    :param hooks: callbacks into the router.
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
        Start to sync with the platform in the background.

        :param nursery: nursery for the background tasks.
        """
        await self._book.start(nursery)

    async def close(self) -> None:
        """
        Return all credit, and wait until the ledger has recorded it.

        Free credit is returned at once, the remainder as its reservations
        are settled. If the caller cancels the wait, credit of reservations
        that are still open is reclaimed after this holder's death.
        """
        await self._book.close()

    async def reserve(
        self, budget: str, amount: int, payer: PayerTag | None = None
    ) -> Reservation:
        """
        Reserve credit; returns without waiting if the own account covers it.

        :param budget: ``<fleet>/<organisation>/<budget>``.
        :param amount: maximum spend in tokens.
        :param payer: tag from :meth:`allocate`, if the caller had to record
            it first; a reservation with a lender has a different tag.
        :returns: the reservation, to be settled once.
        :raises CreditError: if the reservation is refused.
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
        Reserve credit for a peer, from the own account only.

        :param budget: name of the budget.
        :param amount: tokens.
        :param may_draw: whether to draw credit if the account is short.
        :returns: the reservation, to be settled once.
        :raises CreditError: if the reservation is refused.
        """
        account = self._usable_account(budget)
        number = account.allocate()
        # A home router also draws in advance for the demand of its peers.
        demand = amount if may_draw else 0
        account.record_demand(demand, trio.current_time())
        try:
            return await self._reserve_local(account, number, amount, may_draw)
        except BaseException:
            account.abandon(number)
            raise

    def settle(self, reservation: Reservation, spent: int) -> None:
        """
        Settle a reservation with the tokens spent; idempotent.

        :param reservation: from :meth:`reserve`.
        :param spent: tokens; 0 releases the reservation. Any excess over
            the reserved amount is not billed, because responses are cut off
            at that amount.
        """
        billed = min(max(spent, 0), reservation.amount)
        if billed != spent:
            _log.error(
                'credit: {} reported a spend of {} tokens, out of range',
                reservation.payer,
                spent,
            )
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
        Allocate the tag of a reservation that is recorded before it is made.

        :param budget: name of the budget.
        :returns: the tag, for one call of :meth:`reserve` or
            :meth:`abandon`.
        """
        number = self._book.account(budget).allocate()
        return PayerTag(self._holder, budget, number)

    def abandon(self, payer: PayerTag) -> None:
        """
        Mark an unused tag as settled.

        :param payer: from :meth:`allocate`.
        """
        self._book.account(payer.budget).abandon(payer.number)

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: accounts by budget, with amounts in tokens.
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
        self._book.reachability.record_failure()
        return 'credit_unreachable'
