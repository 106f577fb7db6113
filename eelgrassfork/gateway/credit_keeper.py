"""
eelgrassfork.gateway.credit_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a router's credit in step with the ledger in the store and with peers.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from ..errors import RequestError
from .credit import CreditPolicy, HeldCredit, plan_transfer
from .ledger import (
    EMPTY,
    Ledger,
    Operation,
    Transfer,
    apply_transfer,
    decode_ledger,
    encode_ledger,
    has_applied,
    remaining,
)
from .store import (
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreError,
    StoreUnavailable,
)

__all__ = ('CreditKeeper', 'CreditWorld')

_log = logbook.Logger('credit')

_KIND: Final = 'eelgrassfork-credit'
_NAME: Final = 'ledger'
_TICK_S: Final = 1.0
_RESOLVE_S: Final = 0.5
# A request waits for one or two answers of the store, not for its timeout.
_DRAW_WAIT_S: Final = 0.15
_BORROW_WAIT_S: Final = 0.1
_CAS_TRIES: Final = 12
# A ledger this old does not prove that nothing is left.
_FRESH_S: Final = 1.0
_RETRY_AFTER_S: Final = 0.3


class CreditWorld(NamedTuple):
    """
    What the keeper needs of the rest of the router.

    :param prepaid: limits in tokens by organisation.
    :param routers: number of live routers.
    :param borrow: asks peers for credit of an organisation; returns tokens.
    :param peers_free: free credit of an organisation at peers by their last
        word.
    """

    prepaid: Callable[[], Mapping[str, int]]
    routers: Callable[[], int]
    borrow: Callable[[str, int], Awaitable[int]]
    peers_free: Callable[[str], int]


class CreditKeeper:
    """
    Reserves credit for requests.

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
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._world = world
        self._policy = policy or CreditPolicy()
        self.held = HeldCredit(self._policy.rate_half_life_s)
        self._ledger = EMPTY
        self._revision: int | None = None
        self._read_at: float = float('-inf')
        self._number = 0
        self._urgent: Counter[str] = Counter()
        self._wake = trio.Event()
        self._round_done = trio.Event()
        self._closing = False
        self._store_fails = False

    async def run(self) -> None:
        """Keep the credit in step for as long as the task runs."""
        while True:
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._round()
            done = self._round_done
            self._round_done = trio.Event()
            done.set()

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
        prepaid = self._world.prepaid().get(organisation, 0)
        if await self._borrow(organisation, amount):
            return
        if not self._is_known_empty(organisation, amount, prepaid):
            await self._draw(organisation, amount)
            if self.held.reserve(organisation, amount):
                return
            if await self._borrow(organisation, amount):
                return
        raise self._refusal(organisation, amount, prepaid)

    async def _borrow(self, organisation: str, amount: int) -> bool:
        # Peers are asked first: that costs the store no call.
        missing = amount - self.held.free(organisation)
        if self._world.peers_free(organisation) < missing:
            return False
        with trio.move_on_after(_BORROW_WAIT_S):
            lent = await self._world.borrow(organisation, missing)
            self.held.add(organisation, lent)
        return self.held.reserve(organisation, amount)

    async def close(self, timeout_s: float) -> None:
        """
        Return all free credit.

        :param timeout_s: longest time for it.
        """
        self._closing = True
        with trio.move_on_after(timeout_s):
            await self._round()

    def dump(self) -> dict[str, object]:
        """
        Describe the credit for operators.

        :returns: free tokens by organisation and what is known of the rest.
        """
        return {
            'free_by_organisation': self.held.free_by_organisation(),
            'ledger_revision': self._revision,
            'ledger_age_s': round(trio.current_time() - self._read_at, 1),
            'granted_by_organisation': self._ledger.granted_by_organisation,
            'spent_by_organisation': self._ledger.spent_by_organisation,
        }

    def _is_known_empty(
        self, organisation: str, amount: int, prepaid: int
    ) -> bool:
        age_s = trio.current_time() - self._read_at
        missing = amount - self.held.free(organisation)
        left = remaining(self._ledger, organisation, prepaid)
        return age_s < _FRESH_S and left < missing

    async def _draw(self, organisation: str, amount: int) -> None:
        self._urgent[organisation] += amount
        self._wake.set()
        try:
            with trio.move_on_after(0 if self._store_fails else _DRAW_WAIT_S):
                await self._round_done.wait()
        finally:
            self._urgent[organisation] -= amount

    def _refusal(
        self, organisation: str, amount: int, prepaid: int
    ) -> RequestError:
        spent = self._ledger.spent_by_organisation.get(organisation, 0)
        unflushed = self.held.unflushed(organisation)
        if amount > prepaid - spent - unflushed:
            return RequestError(
                'budget_exhausted', 'the rest of the budget is too small'
            )
        fresh = trio.current_time() - self._read_at < _FRESH_S
        code = 'credit_held_elsewhere' if fresh else 'credit_unreachable'
        return RequestError(
            code, 'no credit at hand', retry_after_s=_RETRY_AFTER_S
        )

    async def _round(self) -> None:
        try:
            await self._transfer()
        except StoreError as error:
            self._store_fails = True
            _log.warning(
                'could not reach the ledger',
                extra={'error': error.code, 'revision': self._revision},
            )
        except msgspec.DecodeError as error:
            _log.error('the ledger is damaged', extra={'error': str(error)})

    def _needs_reading(self) -> bool:
        if self._revision is None:
            return True
        wanted = any(amount > 0 for amount in self._urgent.values())
        age_s = trio.current_time() - self._read_at
        return wanted and age_s > _FRESH_S

    def _plan(self) -> Transfer:
        if self._closing:
            free = self.held.free_by_organisation()
            return Transfer(
                {},
                {name: amount for name, amount in free.items() if amount},
                {name: self.held.unflushed(name) for name in free},
            )
        return plan_transfer(
            self.held,
            self._ledger,
            self._world.prepaid(),
            max(1, self._world.routers()),
            self._urgent,
            self._policy,
            trio.current_time(),
        )

    async def _transfer(self) -> None:
        if self._needs_reading():
            await self._read()
        for _ in range(_CAS_TRIES):
            transfer = self._plan()
            if not any(transfer):
                return
            if await self._write(transfer):
                return
        _log.warning('gave up a write of the ledger after many conflicts')

    async def _write(self, transfer: Transfer) -> bool:
        self._number += 1
        operation = Operation(self._incarnation, self._number)
        planned, drawn = apply_transfer(
            self._ledger,
            transfer,
            self._world.prepaid(),
            self._node,
            operation,
        )
        if not any(drawn.values()) and not (
            transfer.returned_by_organisation or transfer.spent_by_organisation
        ):
            return True
        returned = {
            name: self.held.remove(name, amount)
            for name, amount in transfer.returned_by_organisation.items()
        }
        try:
            applied = await self._replace(planned, operation)
        except StoreError:
            # Credit of an unknown write counts as handed out.
            raise
        if applied:
            self._take(transfer, drawn)
            return True
        self._put_back(returned)
        return False

    def _put_back(self, returned: Mapping[str, int]) -> None:
        for name, amount in returned.items():
            self.held.add(name, amount)

    def _take(self, transfer: Transfer, drawn: Mapping[str, int]) -> None:
        for name, amount in drawn.items():
            self.held.add(name, amount)
        self.held.note_flushed(transfer.spent_by_organisation)
        _log.info(
            'moved credit',
            extra={
                'drawn': dict(drawn),
                'returned': dict(transfer.returned_by_organisation),
                'spent': dict(transfer.spent_by_organisation),
                'revision': self._revision,
            },
        )

    async def _replace(self, planned: Ledger, operation: Operation) -> bool:
        content = encode_ledger(planned)
        try:
            stored = await self._store.replace(
                _KIND, _NAME, content, self._revision
            )
        except StoreConflict as conflict:
            await self._adopt(conflict.current)
            return has_applied(self._ledger, self._node, operation)
        except StoreAnswerLost:
            return await self._resolve(content, operation)
        await self._adopt(stored)
        return True

    async def _resolve(self, content: object, operation: Operation) -> bool:
        # The lost write may still take effect while its condition holds.
        # The same write again settles it: one of the two gets a conflict.
        revision = self._revision
        while True:
            try:
                stored = await self._store.replace(
                    _KIND, _NAME, content, revision
                )
            except StoreConflict as conflict:
                await self._adopt(conflict.current)
                return has_applied(self._ledger, self._node, operation)
            except StoreError as error:
                _log.warning(
                    'a write of the ledger has an unknown outcome',
                    extra={'error': error.code, 'revision': revision},
                )
                await trio.sleep(_RESOLVE_S)
            else:
                await self._adopt(stored)
                return True

    async def _read(self) -> None:
        stored = await self._store.get(_KIND, _NAME)
        if stored is None:
            try:
                stored = await self._store.create(
                    _KIND, _NAME, encode_ledger(EMPTY)
                )
            except StoreConflict as conflict:
                stored = conflict.current
        await self._adopt(stored)

    async def _adopt(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._revision = None
            return
        self._ledger = decode_ledger(stored.content)
        self._revision = stored.revision
        self._read_at = trio.current_time()
        self._store_fails = False
