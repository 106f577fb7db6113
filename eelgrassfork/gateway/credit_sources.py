"""
eelgrassfork.gateway.credit_sources
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sources of credit that a router asks for the requests that wait for it.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final, NamedTuple

from .credit import HeldCredit
from .credit_supply import CreditSupply, SupplyParts, SupplyStep

__all__ = (
    'CreditSources',
    'draw_or_release',
    'make_supply',
    'reserve_alone',
)

Tokens = Mapping[str, int]

# Seconds of use that a router holds in addition, per second of call delay.
_DELAYS_HELD: Final = 4


class CreditSources(NamedTuple):
    """
    Access of a router to credit that it does not hold.

    :param held: credit held by this router.
    :param is_keeper: whether this router draws credit for its failure domain.
    :param draw: draws credit until the given tokens by organisation are free,
        as far as possible.
    :param draw_alone: the same, if no keeper answers.
    :param borrow: borrows credit from peers: tokens that are needed, and
        tokens to hold for later; returns whether a keeper answered.
    :param may_lend: whether peers may hold the given number of tokens of an
        organisation.
    :param release_standby: uses the standby credit of organisations.
    :param target: returns the credit of an organisation that this router
        should hold.
    :param call_delay_s: returns the duration of recent calls for credit.
    """

    held: HeldCredit
    is_keeper: Callable[[], bool]
    draw: Callable[[Tokens], Awaitable[None]]
    draw_alone: Callable[[Tokens], Awaitable[None]]
    borrow: Callable[[dict[str, int], dict[str, int]], Awaitable[bool]]
    may_lend: Callable[[str, int], bool]
    release_standby: Callable[[Iterable[str]], Awaitable[None]]
    target: Callable[[str], int]
    call_delay_s: Callable[[], float]


def make_supply(sources: CreditSources) -> CreditSupply:
    """
    Create the supply that asks all sources for what waiting requests need.

    A keeper draws credit, uses its standby credit and asks other keepers; any
    other router asks its keeper first, and draws only if none answers.

    :param sources: sources of credit.
    :returns: the supply; its ``run`` has to be started.
    """
    return CreditSupply(
        SupplyParts(
            sources.held,
            (
                SupplyStep(_ask_fleet(sources), sources.is_keeper),
                SupplyStep(_ask_standby(sources)),
                SupplyStep(_ask_other_keepers(sources)),
            ),
            _supply_target(sources),
        ),
    )


async def reserve_alone(
    sources: CreditSources, organisation: str, tokens: int
) -> bool:
    """
    Reserve credit for one request, with calls of its own.

    :param sources: sources of credit.
    :param organisation: name of the organisation.
    :param tokens: largest number of tokens that the request may use.
    :returns: whether the credit is reserved.
    """
    held = sources.held
    if held.reserve(organisation, tokens):
        return True
    if sources.is_keeper():
        await sources.draw({organisation: tokens})
        missing = tokens - held.free(organisation)
        if missing > 0 and sources.may_lend(organisation, missing):
            await sources.borrow({organisation: missing}, {})
    else:
        missing = tokens - held.free(organisation)
        extra = {organisation: sources.target(organisation)}
        if not await sources.borrow({organisation: missing}, extra):
            await sources.draw_alone({organisation: tokens})
    return held.reserve(organisation, tokens)


def draw_or_release(
    sources: CreditSources,
) -> Callable[[Tokens], Awaitable[None]]:
    """
    Combine the ledger and the standby credit of a keeper that lends.

    :param sources: sources of credit.
    :returns: function that draws credit until the given tokens by
        organisation are free, and then uses standby credit.
    """

    async def obtain(needs: Tokens) -> None:
        await sources.draw(needs)
        lacking = [
            name for name in needs if sources.held.free(name) < needs[name]
        ]
        await sources.release_standby(lacking)

    return obtain


def _ask_fleet(
    sources: CreditSources,
) -> Callable[[Tokens, Tokens], Awaitable[None]]:
    async def obtain(missing: Tokens, wanted: Tokens) -> None:
        needs = {
            name: tokens + sources.held.free(name)
            for name, tokens in missing.items()
        }
        if sources.is_keeper():
            await sources.draw(needs)
        elif not await sources.borrow(dict(missing), dict(wanted)):
            await sources.draw_alone(needs)

    return obtain


def _ask_standby(
    sources: CreditSources,
) -> Callable[[Tokens, Tokens], Awaitable[None]]:
    async def obtain(missing: Tokens, wanted: Tokens) -> None:
        await sources.release_standby(missing)

    return obtain


def _ask_other_keepers(
    sources: CreditSources,
) -> Callable[[Tokens, Tokens], Awaitable[None]]:
    async def obtain(missing: Tokens, wanted: Tokens) -> None:
        lacking = {
            name: tokens
            for name, tokens in missing.items()
            if sources.may_lend(name, tokens)
        }
        # The keeper of any other router was asked in the first step.
        if lacking and sources.is_keeper():
            await sources.borrow(lacking, {})

    return obtain


def _supply_target(sources: CreditSources) -> Callable[[str], int]:
    def target(organisation: str) -> int:
        # Credit that is asked for at the low mark has to last until it
        # arrives.
        factor = 1 + _DELAYS_HELD * sources.call_delay_s()
        return int(sources.target(organisation) * factor)

    return target
