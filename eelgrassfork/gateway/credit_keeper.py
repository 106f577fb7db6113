"""
eelgrassfork.gateway.credit_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves credit for requests, and replenishes the credit that a router holds.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from ..errors import RequestError
from ..supervision import keep_running
from .credit import (
    CreditContext,
    CreditInputs,
    CreditPolicy,
    HeldCredit,
    add_credit,
    plan_transfer,
    surplus_by_organisation,
    target_tokens,
)
from .credit_sources import (
    CreditSources,
    draw_or_release,
    make_supply,
    reserve_alone,
)
from .credit_supply import SupplyRequest
from .ledger import Transfer
from .ledger_history import LedgerHistory
from .ledger_writer import LedgerWriter
from .lender import Lender, LenderParts
from .lending import CreditRequest, Loan
from .standby import FleetTime, Standby
from .standby_keeper import StandbyKeeper
from .store import Store, StoreError, StoreRestored

__all__ = ('CreditKeeper', 'CreditKeeperParts')

Tokens = Mapping[str, int]

_log = logbook.Logger('credit')

_TICK_S: Final = 1.0
# A router that no keeper answers holds as much credit as a keeper for this
# time, as all other routers may be writing to the ledger too.
_ISOLATED_S: Final = 2.0
# Use varies from second to second, so surplus is only deposited every third
# tick.
_DEPOSIT_TICKS: Final = 3
# Allows for one or two round trips to the store; shorter than its time-out.
_DRAW_WAIT_S: Final = 0.15
# The round in progress may have been planned before the need was recorded.
_MAX_DRAW_ROUNDS: Final = 2
_RETRY_AFTER_S: Final = 0.3


def _no_tokens(organisation: str) -> int:
    return 0


class CreditKeeperParts(NamedTuple):
    """
    Dependencies of a credit keeper.

    :param prepaid: returns the prepaid limits in tokens by organisation.
    :param routers: returns the number of routers known recently.
    :param keepers: returns the number of routers that draw credit.
    :param is_keeper: whether this router draws credit for its failure domain.
    :param failure_domain: failure domain of this router.
    :param borrow: borrows credit from peers.
    :param deposit: deposits credit with a keeper; returns whether it may have
        arrived.
    :param may_lend: whether peers may hold the given number of tokens of an
        organisation.
    :param fleet_time: returns the median of the routers' clocks.
    :param is_first_start: whether no earlier process ran on this VM.
    :param ledger_history: recent writes of all routers to the ledger.
    :param announce_writes: reports the writes of this router to others.
    :param advertised: returns the tokens of an organisation that peers
        advertise.
    :param call_delay_s: returns the duration of recent calls for credit.
    :param shares_calls: whether waiting requests share the calls for credit,
        and standby credit is used once no other is left.
    """

    prepaid: Callable[[], Tokens]
    routers: Callable[[], int]
    keepers: Callable[[], int]
    is_keeper: Callable[[], bool]
    failure_domain: str
    borrow: Callable[[CreditRequest], Awaitable[Loan]]
    deposit: Callable[[CreditRequest], Awaitable[bool]]
    may_lend: Callable[[str, int], bool]
    fleet_time: Callable[[], FleetTime]
    is_first_start: bool = False
    ledger_history: LedgerHistory | None = None
    announce_writes: Callable[[], None] | None = None
    advertised: Callable[[str], int] = _no_tokens
    call_delay_s: Callable[[], float] = float
    shares_calls: bool = False


class CreditKeeper:
    """
    Manages the credit of one router.

    :param store: store that contains the ledger.
    :param node: name of this VM.
    :param incarnation: incarnation of this process.
    :param parts: dependencies.
    :param policy: limits and targets; defaults to ``CreditPolicy()``.
    :ivar held: credit held by this router.
    :ivar lender: lends credit to peers.
    :ivar supply: requests that wait for credit together; ``None`` if each
        asks for its own.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        incarnation: int,
        parts: CreditKeeperParts,
        policy: CreditPolicy | None = None,
    ) -> None:
        self._node = node
        self._parts = parts
        self._policy = policy or CreditPolicy()
        self.held = HeldCredit(self._policy.rate_half_life_s)
        self._ledger = LedgerWriter(
            store,
            node,
            incarnation,
            self.held,
            parts.prepaid,
            parts.ledger_history,
            lambda: parts.fleet_time().unix_ms,
        )
        if parts.announce_writes is not None:
            self._ledger.on_write = parts.announce_writes
        # A restore may have undone writes, which have to be repeated soon.
        store.era.subscribe(lambda: self._wake.set())
        self._standby = StandbyKeeper(
            Standby(
                store,
                node,
                incarnation,
                parts.fleet_time,
                partial(add_credit, self.held),
            ),
            self._ledger,
            self._context,
            parts.is_first_start,
        )
        sources = self._make_sources()
        self._sources = sources
        self.supply = make_supply(sources) if parts.shares_calls else None
        self.lender = Lender(
            LenderParts(
                self.held,
                self._ledger,
                parts.prepaid,
                parts.failure_domain,
                parts.is_keeper,
                draw_or_release(sources) if parts.shares_calls else self._draw,
                self._policy.low_balance_fraction,
            ),
        )
        self._ticks = 0
        self._was_keeper = False
        self._isolated_until: float = float('-inf')
        self._urgent: Counter[str] = Counter()
        self._wake = trio.Event()
        self._round_done = trio.Event()
        self._tasks_scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start the background tasks that draw and renew credit.

        :param nursery: nursery for the tasks.
        """
        nursery.start_soon(self._run_tasks)

    async def reserve(
        self,
        organisation: str,
        amount: int,
        priority: int = 0,
        wait_s: float = _DRAW_WAIT_S,
    ) -> None:
        """
        Reserve credit for a request.

        :param organisation: name of the organisation.
        :param amount: largest number of tokens that the request may use.
        :param priority: 0 is the most urgent.
        :param wait_s: longest time for which the request waits, in seconds,
            if waiting requests share the calls for credit.
        :raises RequestError: ``budget_exhausted`` if the budget is used up;
            ``credit_unreachable`` if the ledger can't be reached;
            ``credit_held_elsewhere`` if other routers hold the rest.
        """
        self.held.record_demand(organisation, amount, trio.current_time())
        if self.supply is None:
            is_reserved = await reserve_alone(
                self._sources, organisation, amount
            )
        else:
            request = SupplyRequest(organisation, amount, priority, wait_s)
            is_reserved = await self.supply.reserve(request)
        if not is_reserved:
            raise _make_refusal(self._ledger, organisation, amount)

    def describe(self, organisation: str) -> dict[str, object]:
        """
        Describe where an organisation's credit is, for the log.

        :param organisation: name of the organisation.
        :returns: tokens that this router knows of, and the age of its ledger.
        """
        standby = self._standby.tokens_by_organisation
        return {
            'free': self.held.free(organisation),
            'reserved': self.held.reserved(organisation),
            'standby': standby.get(organisation, 0),
            'drawable': self._ledger.drawable(organisation),
            'ledger_age_s': round(self._ledger.age_of_s(organisation), 2),
            'at_peers': self._parts.advertised(organisation),
            'is_keeper': self._parts.is_keeper(),
            'ledger_unavailable': self._ledger.is_unavailable,
        }

    async def close(self, timeout_s: float) -> None:
        """
        Deposit all free credit with a keeper, or return it to the ledger.

        The keeper is tried first, as the store may be unavailable or become
        so next.  Credit that neither accepts in time is given up.

        :param timeout_s: time-out for the whole operation, in seconds.
        """
        self._tasks_scope.cancel()
        plan_return = partial(_plan_return, self.held)
        scope = trio.move_on_after(timeout_s)
        with scope:
            await self._deposit(self.held.free_by_organisation())
            await self._standby.release()
            await self._deposit(self.held.free_by_organisation())
            await _try_transfer(self._ledger, plan_return, reread=False)
        kept = plan_return().returned_by_organisation
        if kept or scope.cancelled_caught:
            _log.warning(
                'credit given up, as it could not be returned',
                extra={'kept': kept, 'timed_out': scope.cancelled_caught},
            )

    def dump(self) -> dict[str, object]:
        """
        Return the state of the credit for operators.

        :returns: free and standby tokens by organisation, and the last known
            ledger.
        """
        return {
            'is_keeper': self._parts.is_keeper(),
            'free_by_organisation': self.held.free_by_organisation(),
            'standby_by_organisation': self._standby.tokens_by_organisation,
            'ledger': self._ledger.dump(),
        }

    async def _borrow(
        self, urgent: dict[str, int], extra: dict[str, int]
    ) -> bool:
        request = CreditRequest(
            self._node,
            self._parts.failure_domain,
            urgent,
            extra,
            {} if self._parts.is_keeper() else self.held.take_unflushed(),
        )
        # Lent credit is lost if the response is not read, so the call is not
        # cancelled; it has its own time-out.
        with trio.CancelScope(shield=True):
            loan = await self._parts.borrow(request)
        add_credit(self.held, loan.lent_by_organisation)
        if loan.ledger is not None:
            self._ledger.observe(loan.ledger)
        return loan.ledger is not None

    def _make_sources(self) -> CreditSources:
        return CreditSources(
            self.held,
            self._parts.is_keeper,
            self._draw,
            self._draw_alone,
            self._borrow,
            self._parts.may_lend,
            self._standby.release_short,
            lambda name: target_tokens(self._context(), name),
            self._parts.call_delay_s,
        )

    async def _draw_alone(self, needs: Tokens) -> None:
        self._isolated_until = trio.current_time() + _ISOLATED_S
        await self._draw(needs)

    async def _draw(self, needs: Tokens) -> None:
        needs = _drawable_needs(needs, self.held, self._ledger)
        if not needs or self._ledger.is_unavailable:
            return
        self._urgent.update(needs)
        try:
            with trio.move_on_after(_DRAW_WAIT_S):
                await self._wait_for(needs)
        finally:
            self._urgent.subtract(needs)

    async def _wait_for(self, needs: Tokens) -> None:
        for _ in range(_MAX_DRAW_ROUNDS):
            self._wake.set()
            await self._round_done.wait()
            if not _drawable_needs(needs, self.held, self._ledger):
                return

    async def _run_tasks(self) -> None:
        with self._tasks_scope:
            async with trio.open_nursery() as nursery:
                for name, work in (
                    ('draw credit', self._run_rounds),
                    ('renew standby credit', self._standby.run),
                    ('release standby credit', self._standby.watch),
                ):
                    nursery.start_soon(keep_running, name, work)
                if self.supply is not None:
                    nursery.start_soon(
                        keep_running, 'supply credit', self.supply.run
                    )

    async def _run_rounds(self) -> None:
        while True:
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._round()
            done = self._round_done
            self._round_done = trio.Event()
            done.set()

    async def _round(self) -> None:
        is_keeper = self._parts.is_keeper()
        if is_keeper != self._was_keeper:
            self._was_keeper = is_keeper
            _log.info(
                'became a credit keeper'
                if is_keeper
                else 'no longer a credit keeper',
                extra={
                    'keepers': self._parts.keepers(),
                    'routers': self._parts.routers(),
                },
            )
        urgent = any(
            amount > self.held.free(name)
            for name, amount in self._urgent.items()
        )
        may_write = urgent or is_keeper
        if not (may_write or self._ledger.must_check):
            await self._refill()
            return
        plan = self._plan if may_write else _plan_nothing
        await _try_transfer(self._ledger, plan, urgent)

    async def _refill(self) -> None:
        context = self._context()
        wanted = {}
        for name in context.inputs.prepaid_by_organisation:
            target = target_tokens(context, name)
            free = self.held.free(name)
            if free < target * self._policy.draw_below_fraction:
                wanted[name] = target - free
        if wanted:
            await self._borrow({}, wanted)
        self._ticks += 1
        if self._ticks % _DEPOSIT_TICKS == 0:
            await self._deposit(surplus_by_organisation(self._context()))

    async def _deposit(self, amount_by_organisation: Tokens) -> None:
        # After the shutdown time-out, no further shielded call is started.
        await trio.lowlevel.checkpoint()
        removed = {
            name: self.held.remove(name, amount)
            for name, amount in amount_by_organisation.items()
            if amount
        }
        request = CreditRequest(
            self._node,
            self._parts.failure_domain,
            {},
            deposit_by_organisation=removed,
        )
        with trio.CancelScope(shield=True):
            if removed and not await self._parts.deposit(request):
                add_credit(self.held, removed)

    def _plan(self) -> Transfer:
        return plan_transfer(self._context(), self._ledger.ledger)

    def _context(self) -> CreditContext:
        now_s = trio.current_time()
        is_isolated = now_s < self._isolated_until
        prepaid = self._parts.prepaid()
        drawing_routers = (
            self._parts.routers() if is_isolated else self._parts.keepers()
        )
        inputs = CreditInputs(
            prepaid,
            {
                name: amount
                for name, amount in self._urgent.items()
                if amount > 0
            },
            self._standby.tokens_by_organisation,
            max(1, drawing_routers),
            is_isolated or self._parts.is_keeper(),
            self._standby.is_available and not is_isolated,
            {name: self._ledger.drawable(name) for name in prepaid},
        )
        return CreditContext(self.held, inputs, self._policy, now_s)


async def _try_transfer(
    ledger: LedgerWriter, plan: Callable[[], Transfer], reread: bool
) -> None:
    try:
        await ledger.transfer(plan, reread)
    except StoreRestored as error:
        _log.info(
            'store was restored during a transfer',
            extra={'error': error.code},
        )
    except StoreError as error:
        _log.warning(
            'credit ledger is unreachable', extra={'error': error.code}
        )
    except msgspec.DecodeError as error:
        _log.error(
            'credit ledger could not be decoded',
            extra={'error': str(error)},
        )


def _plan_return(held: HeldCredit) -> Transfer:
    free = held.free_by_organisation()
    return Transfer(
        {},
        {name: amount for name, amount in free.items() if amount},
        {name: held.unflushed(name) for name in free},
    )


def _plan_nothing() -> Transfer:
    return Transfer({}, {}, {})


def _drawable_needs(
    needs: Tokens, held: HeldCredit, ledger: LedgerWriter
) -> dict[str, int]:
    return {
        name: amount
        for name, amount in needs.items()
        if held.free(name) < amount
        and not ledger.is_known_insufficient(name, amount - held.free(name))
    }


def _make_refusal(
    ledger: LedgerWriter, organisation: str, amount: int
) -> RequestError:
    if ledger.is_exhausted(organisation, amount):
        return RequestError(
            'budget_exhausted',
            'remaining budget is too small for this request',
        )
    code = (
        'credit_unreachable'
        if ledger.is_unavailable
        else 'credit_held_elsewhere'
    )
    return RequestError(
        code, 'not enough credit available', retry_after_s=_RETRY_AFTER_S
    )
