"""
eelgrassfork.gateway.credit_supply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Supplies credit to waiting requests, in one round for all of them.

Answers a router that receives a large part of an organisation's requests over
a busy link: a call for each request would need many connections, whose
time-outs are exceeded by the delay of the link.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

import trio

from .admission.credit_queue import CreditClaim, CreditQueue
from .credit import HeldCredit

__all__ = ('CreditSupply', 'SupplyParts', 'SupplyRequest', 'SupplyStep')

Tokens = Mapping[str, int]

# Credit that nobody could supply is not asked for again within this time;
# requests that arrive meanwhile are refused at once.
_SHORTAGE_S: Final = 0.25
# A router refills its credit when this fraction of its target is left, if the
# target covers this number of requests.
_LOW_FRACTION: Final = 0.5
_MIN_TARGET_REQUESTS: Final = 3
# Targets change slowly, and computing one costs as much as a small request.
_CHECK_S: Final = 0.1


class SupplyRequest(NamedTuple):
    """
    Request that needs credit.

    :param organisation: name of the organisation.
    :param tokens: largest number of tokens that the request may use.
    :param priority: 0 is the most urgent.
    :param wait_s: longest time for which the request waits, in seconds.
    """

    organisation: str
    tokens: int
    priority: int
    wait_s: float


class SupplyStep(NamedTuple):
    """
    Source of credit that is asked in each round.

    :param obtain: asks for the tokens that waiting requests lack, by
        organisation; the second mapping contains tokens to hold beyond that.
    :param counts_free: returns whether the source counts what is free, so
        that nothing may be granted before it has finished.
    """

    obtain: Callable[[Tokens, Tokens], Awaitable[None]]
    counts_free: Callable[[], bool] = bool


class SupplyParts(NamedTuple):
    """
    Dependencies of a credit supply.

    :param held: credit held by this router.
    :param steps: sources of credit, asked in this order.
    :param target: returns the credit of an organisation that this router
        should hold.
    """

    held: HeldCredit
    steps: tuple[SupplyStep, ...]
    target: Callable[[str], int]


class CreditSupply:
    """
    Reserves credit for requests, and lets them wait for it.

    :param parts: dependencies.
    """

    def __init__(self, parts: SupplyParts) -> None:
        self._parts = parts
        self._queue = CreditQueue(parts.held.reserve)
        parts.held.on_free = self._grant
        self._low: set[str] = set()
        self._may_grant = True
        self._short_until_by_organisation: dict[str, float] = {}
        self._next_check_by_organisation: dict[str, float] = {}
        self._wake = trio.Event()

    @property
    def waiting(self) -> int:
        """Tokens that waiting requests need."""
        return sum(self._queue.tokens_by_organisation().values())

    async def reserve(self, request: SupplyRequest) -> bool:
        """
        Reserve credit, and wait for it as long as the request allows.

        :param request: request that needs the credit.
        :returns: whether the credit is reserved.
        """
        organisation = request.organisation
        is_next = not self._queue.has_claims(organisation) or self._is_short(
            organisation
        )
        if is_next and self._parts.held.reserve(organisation, request.tokens):
            self._refill_if_low(organisation, request.tokens)
            return True
        if self._is_short(organisation):
            await trio.lowlevel.checkpoint()
            return False
        claim = CreditClaim(organisation, request.tokens, request.priority)
        decided = trio.Event()
        claim.on_decision = decided.set
        self._queue.add(claim)
        self._wake.set()
        try:
            with trio.move_on_after(request.wait_s):
                await decided.wait()
        except BaseException:
            if claim.granted:
                self._parts.held.settle(organisation, request.tokens, 0)
            raise
        finally:
            self._queue.discard(claim)
        return claim.granted

    async def run(self) -> None:
        """Obtain credit for waiting requests, until cancelled."""
        while True:
            await self._wait_until_needed()
            asked = self._missing()
            for step in self._parts.steps:
                missing = self._missing()
                wanted = self._wanted(missing)
                self._low.clear()
                if missing or wanted:
                    await self._run_step(step, missing, wanted)
            self._record_shortages(asked)

    async def _run_step(
        self, step: SupplyStep, missing: Tokens, wanted: Tokens
    ) -> None:
        self._may_grant = not step.counts_free()
        try:
            await step.obtain(missing, wanted)
        finally:
            self._may_grant = True
        self._queue.grant_all()

    async def _wait_until_needed(self) -> None:
        while not (self._missing() or self._low):
            # The claim in front may have left, or credit have become free
            # while nothing could be granted.
            self._queue.grant_all()
            with trio.move_on_at(self._next_end_of_shortage()):
                await self._wake.wait()
            self._wake = trio.Event()
        await trio.lowlevel.checkpoint()

    def _next_end_of_shortage(self) -> float:
        ends = [
            until
            for name, until in self._short_until_by_organisation.items()
            if self._queue.has_claims(name)
        ]
        return min(ends, default=float('inf'))

    def _missing(self) -> dict[str, int]:
        held = self._parts.held
        return {
            name: tokens - held.free(name)
            for name, tokens in self._queue.tokens_by_organisation().items()
            if tokens > held.free(name) and not self._is_short(name)
        }

    def _wanted(self, missing: Tokens) -> dict[str, int]:
        wanted = {}
        for name in self._low.union(missing):
            target = self._parts.target(name)
            free = 0 if name in missing else self._parts.held.free(name)
            if target > free:
                wanted[name] = target - free
        return wanted

    def _record_shortages(self, asked: Tokens) -> None:
        until = trio.current_time() + _SHORTAGE_S
        short = self._missing().keys() & asked.keys()
        self._short_until_by_organisation.update(dict.fromkeys(short, until))
        for organisation in short:
            self._queue.grant_any(organisation)
        # Running requests of this router return what they do not use.
        held = self._parts.held
        self._queue.refuse(name for name in short if not held.reserved(name))

    def _is_short(self, organisation: str) -> bool:
        until = self._short_until_by_organisation.get(organisation, 0)
        return trio.current_time() < until

    def _refill_if_low(self, organisation: str, tokens: int) -> None:
        now_s = trio.current_time()
        if now_s < self._next_check_by_organisation.get(organisation, 0):
            return
        self._next_check_by_organisation[organisation] = now_s + _CHECK_S
        target = self._parts.target(organisation)
        if target < tokens * _MIN_TARGET_REQUESTS:
            return
        if self._parts.held.free(organisation) < target * _LOW_FRACTION:
            self._low.add(organisation)
            self._wake.set()

    def _grant(self, organisation: str) -> None:
        self._short_until_by_organisation.pop(organisation, None)
        if self._may_grant:
            self._queue.grant(organisation)
