"""
eelgrassfork.permits
~~~~~~~~~~~~~~~~~~~~

Permission to send a non-idempotent request once, claimed and priced.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from .claim_records import Claim, ClaimAnswer, ClaimState
from .claims import Claims, NewClaim
from .credit import Reservation
from .errors import CODES, EelgrassError, RequestError
from .names import PayerTag

__all__ = (
    'Credit',
    'Permit',
    'Reservation',
    'permit_by_claim',
    'reserve_price',
    'settle_price',
)


class Credit(Protocol):
    """The part of the accounts that calls need."""

    def allocate(self, budget: str) -> PayerTag:
        """Name a reservation before it is made."""

    def forgo(self, payer: PayerTag) -> None:
        """Give up a tag that was not used to reserve."""

    async def reserve(
        self, budget: str, amount: int, payer: PayerTag | None = None
    ) -> Reservation:
        """Set tokens aside, or raise an error with a code for the caller."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Replace a reservation by what was spent, once."""


# Permission to send one request once. To be called once with the outcome,
# and the answer of a request that ran; ``released`` if nothing was sent.
Permit = Callable[[ClaimState, ClaimAnswer | None], Awaitable[None]]


async def reserve_price(
    credit: Credit, budget: str, price: int, payer: PayerTag | None = None
) -> Reservation | None:
    """
    Set the price of a request aside that is known not to have run.

    :param credit: the accounts.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param price: tokens.
    :param payer: tag that was allocated for it, if any; given up on failure.
    :returns: the reservation, or ``None`` for a price of 0.
    :raises RequestError: with the accounts' code and outcome ``not_run``.
    """
    if not price:
        return None
    try:
        return await credit.reserve(budget, price, payer)
    except RequestError:
        raise
    except EelgrassError as error:
        code = error.code if error.code in CODES else 'credit_unreachable'
        raise RequestError(code, error.message) from None


def settle_price(
    credit: Credit,
    reservation: Reservation | None,
    state: ClaimState,
    price: int,
) -> None:
    """
    Settle the price of a request at its end.

    An outcome that is not known costs the price, because the service may
    have done the work.

    :param credit: the accounts.
    :param reservation: from :func:`reserve_price`.
    :param state: the outcome.
    :param price: tokens.
    """
    if reservation is not None:
        credit.settle(reservation, 0 if state == 'released' else price)


async def permit_by_claim(
    claims: Claims, credit: Credit, wanted: NewClaim
) -> Permit:
    """
    Claim a request under the caller's own key and reserve its price.

    The claim names its payer from the start, so that the price of a request
    whose router dies is found, and counted once.

    :param claims: claims at the platform.
    :param credit: the accounts.
    :param wanted: the request; its payer is set here.
    :returns: permission to send it once.
    :raises ReplayedAnswer: if the request ran and its answer was kept.
    :raises RequestError: if the request may not be sent.
    """
    payer = credit.allocate(wanted.budget) if wanted.price else None
    try:
        claim = await claims.claim(
            wanted._replace(payer=str(payer) if payer else '')
        )
    except BaseException:
        if payer is not None:
            credit.forgo(payer)
        raise
    order = _ClaimedOrder(claims, credit, claim)
    try:
        await order.pay(wanted.budget, payer)
    except RequestError:
        # Released before the answer, so that a prompt retry can claim again.
        await order.finish('released', None)
        raise
    except BaseException:
        order.give_up()
        raise
    return order.finish


class _ClaimedOrder:
    def __init__(self, claims: Claims, credit: Credit, claim: Claim) -> None:
        self._claims = claims
        self._credit = credit
        self._claim = claim
        self._reservation: Reservation | None = None

    async def pay(self, budget: str, payer: PayerTag | None) -> None:
        reservation = await reserve_price(
            self._credit, budget, self._claim.record.price, payer
        )
        self._reservation = reservation
        if reservation is not None and reservation.payer != payer:
            self._claim = await self._claims.update_payer(
                self._claim, str(reservation.payer)
            )

    def give_up(self) -> None:
        self._settle('released')
        record = msgspec.structs.replace(self._claim.record, state='released')
        self._claims.writer.add(self._claim._replace(record=record))

    async def finish(
        self, state: ClaimState, answer: ClaimAnswer | None
    ) -> None:
        self._settle(state)
        await self._claims.record(self._claim, state, answer)

    def _settle(self, state: ClaimState) -> None:
        price = self._claim.record.price
        settle_price(self._credit, self._reservation, state, price)
