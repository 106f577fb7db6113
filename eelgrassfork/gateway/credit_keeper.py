"""
eelgrassfork.gateway.credit_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves credit for requests, and keeps enough of it at hand.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from ..errors import RequestError
from .credit import (
    CreditPolicy,
    HeldCredit,
    Situation,
    plan_transfer,
    target_tokens,
)
from .ledger import Transfer
from .ledger_writer import LedgerWriter
from .standby import FleetTime, Standby
from .standby_keeper import StandbyKeeper
from .store import Store, StoreError

__all__ = ('CreditKeeper', 'CreditWorld')

Tokens = Mapping[str, int]

_log = logbook.Logger('credit')

_TICK_S: Final = 1.0
# A request waits for one or two answers of the store, not for its timeout.
_DRAW_WAIT_S: Final = 0.15
_BORROW_WAIT_S: Final = 0.1
_RETRY_AFTER_S: Final = 0.3


class CreditWorld(NamedTuple):
    """
    What the keeper needs of the rest of the router.

    :param prepaid: limits in tokens by organisation.
    :param keepers: number of routers that draw credit.
    :param is_keeper: whether this router is one of them.
    :param borrow: asks peers for credit by organisation; returns what they
        lent.
    :param peers_free: free credit of an organisation at peers by their last
        word.
    :param fleet_time: median of the routers' clocks.
    """

    prepaid: Callable[[], Tokens]
    keepers: Callable[[], int]
    is_keeper: Callable[[], bool]
    borrow: Callable[[Tokens], Awaitable[Tokens]]
    peers_free: Callable[[str], int]
    fleet_time: Callable[[], FleetTime]


class CreditKeeper:
    """
    Credit of one router.

    :param store: where the ledger is.
    :param node: name of this VM.
    :param incarnation: of this process.
    :param world: rest of the router.
    :param policy: how much to hold.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        incarnation: int,
        world: CreditWorld,
        policy: CreditPolicy | None = None,
    ) -> None:
        self._world = world
        self._policy = policy or CreditPolicy()
        self.held = HeldCredit(self._policy.rate_half_life_s)
        self._ledger = LedgerWriter(
            store, node, incarnation, self.held, world.prepaid
        )
        self._standby = StandbyKeeper(
            Standby(store, node, incarnation, world.fleet_time, self._add),
            self.held,
            self._ledger,
            self._situation,
            self._policy,
        )
        self._urgent: Counter[str] = Counter()
        self._wake = trio.Event()
        self._round_done = trio.Event()
        self._keeping = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Keep credit at hand in the background.

        :param nursery: where the tasks run.
        """
        nursery.start_soon(self._keep)

    async def reserve(self, organisation: str, amount: int) -> None:
        """
        Set credit aside for a request.

        :param organisation: whose credit.
        :param amount: tokens that it may use at most.
        :raises RequestError: ``budget_exhausted`` if it is spent,
            ``credit_held_elsewhere`` or ``credit_unreachable`` if not.
        """
        self.held.note_demand(organisation, amount, trio.current_time())
        if self.held.reserve(organisation, amount):
            return
        if await self._borrow(organisation, amount):
            return
        missing = amount - self.held.free(organisation)
        if not self._ledger.is_known_empty(organisation, missing):
            await self._draw(organisation, amount)
            if self.held.reserve(organisation, amount):
                return
            if await self._borrow(organisation, amount):
                return
        raise self._refusal(organisation, amount)

    async def close(self, timeout_s: float) -> None:
        """
        Return all free credit.

        :param timeout_s: longest time for it.
        """
        self._keeping.cancel()
        with trio.move_on_after(timeout_s):
            await self._standby.release()
            free = self.held.free_by_organisation()
            await self._ledger.transfer(
                lambda: Transfer(
                    {},
                    {name: amount for name, amount in free.items() if amount},
                    {name: self.held.unflushed(name) for name in free},
                ),
            )

    def dump(self) -> dict[str, object]:
        """
        Describe the credit for operators.

        :returns: free tokens by organisation and what is known of the rest.
        """
        return {
            'is_keeper': self._world.is_keeper(),
            'free_by_organisation': self.held.free_by_organisation(),
            'standby_by_organisation': self._standby.tokens_by_organisation,
            'ledger': self._ledger.dump(),
        }

    def _add(self, tokens_by_organisation: Tokens) -> None:
        for name, tokens in tokens_by_organisation.items():
            self.held.add(name, tokens)

    async def _borrow(self, organisation: str, amount: int) -> bool:
        # Peers are asked first: that costs the store no call.
        missing = amount - self.held.free(organisation)
        if self._world.peers_free(organisation) < missing:
            return False
        with trio.move_on_after(_BORROW_WAIT_S):
            lent = await self._world.borrow({organisation: missing})
            self._add(lent)
        return self.held.reserve(organisation, amount)

    async def _draw(self, organisation: str, amount: int) -> None:
        self._urgent[organisation] += amount
        self._wake.set()
        wait_s = 0 if self._ledger.is_away else _DRAW_WAIT_S
        try:
            with trio.move_on_after(wait_s):
                await self._round_done.wait()
        finally:
            self._urgent[organisation] -= amount

    def _refusal(self, organisation: str, amount: int) -> RequestError:
        if self._ledger.is_spent(organisation, amount):
            return RequestError(
                'budget_exhausted', 'the rest of the budget is too small'
            )
        away = self._ledger.is_away
        code = 'credit_unreachable' if away else 'credit_held_elsewhere'
        return RequestError(
            code, 'no credit at hand', retry_after_s=_RETRY_AFTER_S
        )

    async def _keep(self) -> None:
        with self._keeping:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run)
                nursery.start_soon(self._standby.run)
                nursery.start_soon(self._standby.watch)

    async def _run(self) -> None:
        while True:
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._round()
            done = self._round_done
            self._round_done = trio.Event()
            done.set()

    async def _round(self) -> None:
        if not self._world.is_keeper():
            await self._refill()
        urgent = any(
            amount > self.held.free(name)
            for name, amount in self._urgent.items()
        )
        if not (urgent or self._world.is_keeper()):
            return
        try:
            await self._ledger.transfer(self._plan, reread=urgent)
        except StoreError as error:
            _log.warning(
                'could not reach the ledger', extra={'error': error.code}
            )
        except msgspec.DecodeError as error:
            _log.error('the ledger is damaged', extra={'error': str(error)})

    async def _refill(self) -> None:
        situation = self._situation()
        now_s = trio.current_time()
        wanted = {}
        for name in situation.prepaid_by_organisation:
            target = target_tokens(
                self.held, name, situation, self._policy, now_s
            )
            target += max(0, self._urgent[name])
            free = self.held.free(name)
            if free < target * self._policy.low_part:
                wanted[name] = target - free
        if wanted:
            self._add(await self._world.borrow(wanted))

    def _plan(self) -> Transfer:
        return plan_transfer(
            self.held,
            self._ledger.ledger,
            self._situation(),
            self._policy,
            trio.current_time(),
        )

    def _situation(self) -> Situation:
        return Situation(
            self._world.prepaid(),
            {
                name: amount
                for name, amount in self._urgent.items()
                if amount > 0
            },
            self._standby.tokens_by_organisation,
            max(1, self._world.keepers()),
            self._world.is_keeper(),
        )
