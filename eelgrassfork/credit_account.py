"""
eelgrassfork.credit_account
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Local state of one holder's account of one budget, without I/O.
"""

from typing import Any

import trio

from .ledger import HolderEntry, settled_reservations
from .settled_numbers import SettledNumbers, with_number

__all__ = ('Account', 'Demand', 'Waiter')


class Waiter:
    """
    A reservation that waits for a draw.

    :param number: its number.
    :param amount: tokens.
    :ivar done: set once it is reserved or refused.
    :ivar code: why it was refused, empty otherwise.
    """

    def __init__(self, number: int, amount: int) -> None:
        self.number = number
        self.amount = amount
        self.done = trio.Event()
        self.code = ''

    def refuse(self, code: str) -> None:
        """
        End the wait without credit.

        :param code: why.
        """
        self.code = code
        self.done.set()


class Demand:
    """
    Tokens asked for in a report interval; the peak halves every interval.

    :param interval_s: length of an interval in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._started_at: float = 0
        self._current = 0
        self._peak = 0

    def add(self, amount: int, now: float) -> None:
        """
        Note a request for credit.

        :param amount: tokens.
        :param now: current time in seconds.
        """
        self._roll(now)
        self._current += amount

    def at(self, now: float) -> int:
        """
        Estimate the demand of one interval.

        :param now: current time in seconds.
        :returns: tokens.
        """
        self._roll(now)
        return max(self._current, self._peak)

    def _roll(self, now: float) -> None:
        passed = int((now - self._started_at) / self._interval_s)
        if passed:
            self._peak = max(self._current, self._peak // 2) >> (passed - 1)
            self._current = 0
            self._started_at = now


class Account:
    """
    A holder's credit for one budget, in tokens.

    ``limit`` is never more than what the ledger has or may still get as
    drawn: it falls before a return is written and rises only after a draw is
    confirmed.

    :param budget: name of the budget.
    :param interval_s: report interval in seconds.
    :ivar limit: drawn credit that may be used.
    :ivar spent: spent by settled reservations.
    :ivar reserved: held by open reservations.
    :ivar amounts_by_number: open reservations.
    :ivar entry: the holder's entry as last seen in the ledger.
    :ivar waiters: reservations that wait for a draw, in order.
    :ivar closed: set once the entry was removed for good.
    """

    def __init__(self, budget: str, interval_s: float) -> None:
        self.budget = budget
        self.demand = Demand(interval_s)
        self.limit = 0
        self.spent = 0
        self.reserved = 0
        self.settled = SettledNumbers()
        self.amounts_by_number: dict[int, int] = {}
        self.entry: HolderEntry | None = None
        self.waiters: list[Waiter] = []
        self.used_at: float = 0
        self.closed = False
        self._last_number = 0

    @property
    def free(self) -> int:
        """Tokens that a reservation may take now."""
        return self.limit - self.spent - self.reserved

    def allocate(self) -> int:
        """
        Take the next reservation number, to be reserved or settled.

        :returns: the number, from 1.
        """
        self._last_number += 1
        return self._last_number

    def note_demand(self, amount: int, now: float) -> None:
        """
        Note a request for credit.

        :param amount: tokens.
        :param now: current time in seconds.
        """
        self.used_at = now
        self.demand.add(amount, now)

    def reserve(self, number: int, amount: int) -> bool:
        """
        Reserve from free credit.

        :param number: an allocated number.
        :param amount: tokens.
        :returns: whether the credit covered it.
        """
        if amount > self.free:
            return False
        self.amounts_by_number[number] = amount
        self.reserved += amount
        return True

    def settle(self, number: int, spent: int) -> bool:
        """
        Replace a reservation by what was spent, once.

        :param number: an allocated number.
        :param spent: tokens, at most the reservation; 0 if there is none.
        :returns: whether it was open.
        """
        amount = self.amounts_by_number.pop(number, None)
        self.settled = with_number(self.settled, number)
        if amount is None:
            return False
        self.reserved -= amount
        self.spent += spent
        self.serve_waiters()
        return True

    def forgo(self, number: int) -> None:
        """
        Give up a number, its wait and its reservation.

        :param number: an allocated number.
        """
        self.waiters = [
            waiter for waiter in self.waiters if waiter.number != number
        ]
        self.settle(number, 0)

    def serve_waiters(self) -> None:
        """Reserve for the waiters that free credit covers, in order."""
        left: list[Waiter] = []
        for waiter in self.waiters:
            if self.reserve(waiter.number, waiter.amount):
                waiter.done.set()
            else:
                left.append(waiter)
        self.waiters = left

    def refuse_waiters(self, code: str) -> None:
        """
        End all waits without credit.

        :param code: why.
        """
        for waiter in self.waiters:
            waiter.refuse(code)
        self.waiters = []

    def next_entry(self, drawn: int, listed_at: int) -> HolderEntry:
        """
        Make the entry that reports the current state.

        :param drawn: tokens to be set aside.
        :param listed_at: revision that listed the holder's VM, or 0.
        :returns: the entry.
        """
        return {
            'drawn': drawn,
            'spent': self.spent,
            'through': self.settled.through,
            'beyond': self.settled.beyond,
            'listed_at': listed_at,
        }

    def is_reported(self) -> bool:
        """
        Tell whether the ledger has all settlements and returns.

        :returns: true also for an account that was never drawn on.
        """
        if self.entry is None:
            return self.limit == 0
        is_same = self.limit == self.entry['drawn']
        return is_same and self.settled == settled_reservations(self.entry)

    def adopt(self, entry: HolderEntry | None) -> None:
        """
        Take the ledger's entry, which no earlier write can change any more.

        :param entry: the entry as read.
        """
        self.entry = entry
        self.limit = entry['drawn'] if entry else 0

    def dump(self) -> dict[str, Any]:
        """
        Describe the account for operators.

        :returns: tokens and counts.
        """
        return {
            'limit': self.limit,
            'spent': self.spent,
            'reserved': self.reserved,
            'free': self.free,
            'open': len(self.amounts_by_number),
            'waiting': len(self.waiters),
            'reported': self.is_reported(),
        }
