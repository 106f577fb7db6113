"""
eelgrassfork.credit_account
~~~~~~~~~~~~~~~~~~~~~~~~~~~

In-memory state of a holder's account for one budget; does no I/O.
"""

from typing import Any

import trio

from .ledger import HolderEntry, settled_reservations
from .settled_numbers import SettledNumbers, with_number

__all__ = ('Account', 'Demand', 'Waiter')


class Waiter:
    """
    A reservation that waits for a draw.

    :param number: number of the reservation.
    :param amount: tokens.
    :ivar done: set once the reservation is made or refused.
    :ivar code: code of the refusal, or empty.
    """

    def __init__(self, number: int, amount: int) -> None:
        self.number = number
        self.amount = amount
        self.done = trio.Event()
        self.code = ''

    def refuse(self, code: str) -> None:
        """
        End the wait with a refusal.

        :param code: code of the refusal.
        """
        self.code = code
        self.done.set()


class Demand:
    """
    Estimates demand as tokens requested per report interval.

    The estimate is the larger of the current interval's total and a peak
    that halves every interval.

    :param interval_s: length of an interval in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._started_at: float = 0
        self._current = 0
        self._peak = 0

    def add(self, amount: int, now: float) -> None:
        """
        Add a request for credit.

        :param amount: tokens.
        :param now: current time in seconds.
        """
        self._roll(now)
        self._current += amount

    def estimate_at(self, now: float) -> int:
        """
        Estimate the demand per interval.

        :param now: current time in seconds.
        :returns: tokens.
        """
        self._roll(now)
        return max(self._current, self._peak)

    def _roll(self, now: float) -> None:
        elapsed = int((now - self._started_at) / self._interval_s)
        if elapsed:
            self._peak = max(self._current, self._peak // 2) >> (elapsed - 1)
            self._current = 0
            self._started_at = now


class Account:
    """
    A holder's credit for one budget, in tokens.

    ``limit`` never exceeds the drawn amount that the ledger records or that
    a pending write may still record: it is lowered before a return is written
    and raised only after a draw is confirmed.

    :param budget: name of the budget.
    :param interval_s: report interval in seconds.
    :ivar limit: drawn credit that may be used.
    :ivar spent: tokens spent by settled reservations.
    :ivar reserved: tokens held by open reservations.
    :ivar settled: numbers of the settled reservations.
    :ivar amounts_by_number: tokens of the open reservations.
    :ivar entry: the holder's entry as last read from the ledger.
    :ivar waiters: reservations that wait for a draw, oldest first.
    :ivar used_at: time of the last request or settlement, in seconds.
    :ivar closed: set once the entry is permanently removed.
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
        """Tokens available for new reservations."""
        return self.limit - self.spent - self.reserved

    def allocate(self) -> int:
        """
        Allocate the next reservation number.

        :returns: the number, from 1, to be reserved or abandoned.
        """
        self._last_number += 1
        return self._last_number

    def record_demand(self, amount: int, now: float) -> None:
        """
        Record a request for credit.

        :param amount: tokens.
        :param now: current time in seconds.
        """
        self.used_at = now
        self.demand.add(amount, now)

    def reserve(self, number: int, amount: int) -> bool:
        """
        Reserve tokens from the free credit.

        :param number: an allocated number.
        :param amount: tokens.
        :returns: whether the free credit covers the amount.
        """
        if amount > self.free:
            return False
        self.amounts_by_number[number] = amount
        self.reserved += amount
        return True

    def settle(self, number: int, spent: int) -> bool:
        """
        Settle a reservation with the tokens spent; idempotent.

        :param number: an allocated number.
        :param spent: tokens, at most the reserved amount; 0 if nothing was
            reserved.
        :returns: whether the reservation was open.
        """
        amount = self.amounts_by_number.pop(number, None)
        self.settled = with_number(self.settled, number)
        if amount is None:
            return False
        self.reserved -= amount
        self.spent += spent
        self.serve_waiters()
        return True

    def abandon(self, number: int) -> None:
        """
        Settle a number without spend, and end its wait and its reservation.

        :param number: an allocated number.
        """
        self.waiters = [
            waiter for waiter in self.waiters if waiter.number != number
        ]
        self.settle(number, 0)

    def serve_waiters(self) -> None:
        """Serve, oldest first, the waiters that the free credit covers."""
        unserved: list[Waiter] = []
        for waiter in self.waiters:
            if self.reserve(waiter.number, waiter.amount):
                waiter.done.set()
            else:
                unserved.append(waiter)
        self.waiters = unserved

    def refuse_waiters(self, code: str) -> None:
        """
        End all waits with a refusal.

        :param code: code of the refusal.
        """
        for waiter in self.waiters:
            waiter.refuse(code)
        self.waiters = []

    def next_entry(self, drawn: int, listed_at: int) -> HolderEntry:
        """
        Build the ledger entry for the current state.

        :param drawn: drawn credit to be recorded, in tokens.
        :param listed_at: revision of the VM list that contains the holder's
            VM, or 0.
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
        Return whether the ledger has recorded all settlements and returns.

        :returns: true also if no credit was ever drawn.
        """
        if self.entry is None:
            return self.limit == 0
        is_limit_reported = self.limit == self.entry['drawn']
        return is_limit_reported and self.settled == settled_reservations(
            self.entry
        )

    def apply_entry(self, entry: HolderEntry | None) -> None:
        """
        Reset the limit to the ledger's entry.

        No earlier write of this holder may still be able to change the entry.

        :param entry: the entry as read, or ``None``.
        """
        self.entry = entry
        self.limit = entry['drawn'] if entry else 0

    def dump(self) -> dict[str, Any]:
        """
        Return the state of the account for operators.

        :returns: amounts in tokens, and counts.
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
