"""
eelgrassfork.gateway.lender
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lends credit to other routers.
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
    Dependencies of a lender.

    :param held: credit held by this router.
    :param ledger: writer of the ledger.
    :param prepaid: returns the prepaid limits in tokens by organisation.
    :param failure_domain: failure domain of this router.
    :param is_keeper: whether this router draws credit for others.
    :param draw: draws credit until the given tokens by organisation are
        free, as far as possible.
    :param low_balance_fraction: extra credit is not lent once less than this
        fraction of an organisation's limit is drawable; credit for waiting
        requests still is.
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
    Handles credit requests from peers.

    :param parts: dependencies.
    """

    def __init__(self, parts: LenderParts) -> None:
        self._parts = parts

    async def lend(self, request: CreditRequest) -> CreditAnswer:
        """
        Lend credit to a peer; a keeper first draws what it does not hold.

        :param request: request of the peer.
        :returns: credit lent.
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
        # Only lent credit counts as demand, except for urgent requests from
        # the same failure domain: extra credit that was not lent is requested
        # again soon, and routers of other domains ask several lenders in turn.
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
