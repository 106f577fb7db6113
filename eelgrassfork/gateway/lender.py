"""
eelgrassfork.gateway.lender
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hands credit over to other routers.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import logbook
import trio

from .credit import HeldCredit
from .ledger import sum_by_organisation
from .ledger_writer import LedgerWriter
from .lending import CreditAnswer, CreditRequest

__all__ = ('Lender', 'LenderParts')

_log = logbook.Logger('lend')


class LenderParts(NamedTuple):
    """
    What a lender works with.

    :param held: credit of this router.
    :param prepaid: limits in tokens by organisation.
    :param failure_domain: where this router runs.
    :param is_keeper: whether this router draws credit for others.
    :param draw: tries to have so many tokens at hand by organisation.
    :param low_balance_fraction: credit is lent only for waiting requests once less
        than this part of an organisation's limit is left to draw.
    """

    held: HeldCredit
    ledger: LedgerWriter
    prepaid: Callable[[], Mapping[str, int]]
    failure_domain: str
    is_keeper: Callable[[], bool]
    draw: Callable[[Mapping[str, int]], Awaitable[None]]
    low_balance_fraction: float


class Lender:
    """
    Answers the credit requests of peers.

    :param parts: what it works with.
    """

    def __init__(self, parts: LenderParts) -> None:
        self._parts = parts

    async def lend(self, request: CreditRequest) -> CreditAnswer:
        """
        Hand over credit to a peer; a keeper draws it first where it lacks.

        :param request: what the peer needs.
        :returns: what it gets.
        """
        held = self._parts.held
        is_same_domain = request.failure_domain == self._parts.failure_domain
        requested = sum_by_organisation(
            request.urgent_by_organisation, request.extra_by_organisation
        )
        held.add_unflushed(request.spent_by_organisation)
        for organisation, deposit in request.deposit_by_organisation.items():
            held.add(organisation, deposit)
        urgent = request.urgent_by_organisation
        if is_same_domain:
            self._record_demand(urgent)
        is_keeper = self._parts.is_keeper()
        if is_keeper:
            await self._parts.draw(urgent)
        lent = self._take_loan(request)
        # What was asked in advance and not lent is asked for again soon, and
        # peers of other domains ask one lender after the other.
        already_counted = urgent if is_same_domain else {}
        self._record_demand(
            {
                name: amount - already_counted.get(name, 0)
                for name, amount in lent.items()
                if amount > already_counted.get(name, 0)
            }
        )
        ledger = self._parts.ledger
        _log.info(
            'lent credit',
            extra={
                'to': request.borrower,
                'wanted': requested,
                'lent': lent,
                'deposit': request.deposit_by_organisation,
                'ledger_age_s': round(ledger.age_s, 2),
            },
        )
        view = ledger.view(tuple(requested)) if is_keeper else None
        return CreditAnswer(lent, view)

    def _record_demand(self, tokens_by_organisation: Mapping[str, int]) -> None:
        now_s = trio.current_time()
        for name, amount in tokens_by_organisation.items():
            self._parts.held.record_demand(name, amount, now_s)

    def _take_loan(self, request: CreditRequest) -> dict[str, int]:
        held = self._parts.held
        prepaid = self._parts.prepaid()
        lent = {
            name: held.remove(name, amount)
            for name, amount in request.urgent_by_organisation.items()
        }
        extra = {
            name: held.remove(name, amount)
            for name, amount in request.extra_by_organisation.items()
            if self._parts.ledger.drawable(name)
            > prepaid.get(name, 0) * self._parts.low_balance_fraction
        }
        return sum_by_organisation(lent, extra)
