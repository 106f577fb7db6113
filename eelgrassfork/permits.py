"""
eelgrassfork.permits
~~~~~~~~~~~~~~~~~~~~

Claims non-idempotent requests and reserves their price before sending.
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
    'claim_and_reserve',
    'reserve_price',
    'settle_price',
)


class Credit(Protocol):
    """Credit operations that the handling of requests depends on."""

    def allocate(self, budget: str) -> PayerTag:
        """Allocate the payer tag of a reservation before it is made."""

    def abandon(self, payer: PayerTag) -> None:
        """Release a payer tag that no reservation used."""

    async def reserve(
        self, budget: str, amount: int, payer: PayerTag | None = None
    ) -> Reservation:
        """Reserve tokens, or raise an error with a code for the caller."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Charge the tokens spent and end the reservation; call it once."""


# Authorises sending one request once. It must be called once with the outcome
# (``released`` if nothing was sent) and the response of a request that ran.
Permit = Callable[[ClaimState, ClaimAnswer | None], Awaitable[None]]


async def reserve_price(
    credit: Credit, budget: str, price: int, payer: PayerTag | None = None
) -> Reservation | None:
    """
    Reserve the price of a request that is known not to have run.

    :param credit: where tokens are reserved.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param price: price in tokens.
    :param payer: payer tag allocated for the reservation, if any; released
        on failure.
    :returns: the reservation, or ``None`` for a price of 0.
    :raises RequestError: with the code of the credit error, or
        ``credit_unreachable``, and outcome ``not_run``.
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
    Settle the reservation of a request that has ended.

    A request with an unknown outcome is charged, because the service may
    have done the work.

    :param credit: where the tokens are reserved.
    :param reservation: result of :func:`reserve_price`.
    :param state: outcome of the request.
    :param price: price in tokens.
    """
    if reservation is not None:
        credit.settle(reservation, 0 if state == 'released' else price)


async def claim_and_reserve(
    claims: Claims, credit: Credit, new_claim: NewClaim
) -> Permit:
    """
    Claim a request by the caller's idempotency key and reserve its price.

    The claim records its payer from the start, so that the price of a
    request whose router dies can be found and is charged exactly once.

    :param claims: claims stored on the platform.
    :param credit: where the price is reserved.
    :param new_claim: claim to make; its payer is set here.
    :returns: permit to send the request once.
    :raises ReplayedAnswer: if the request ran and its response was stored.
    :raises RequestError: if the request must not be sent.
    """
    payer = credit.allocate(new_claim.budget) if new_claim.price else None
    try:
        claim = await claims.claim(
            new_claim._replace(payer=str(payer) if payer else '')
        )
    except BaseException:
        if payer is not None:
            credit.abandon(payer)
        raise
    claimed = _ClaimedRequest(claims, credit, claim)
    try:
        await claimed.pay(new_claim.budget, payer)
    except RequestError:
        # Release before responding, so that an immediate retry can claim.
        await claimed.finish('released', None)
        raise
    except BaseException:
        claimed.give_up()
        raise
    return claimed.finish


class _ClaimedRequest:
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
