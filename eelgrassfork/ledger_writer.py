"""
eelgrassfork.ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a holder's accounts of one ledger shard in step with the platform.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

import logbook
import trio

from .credit_account import Account
from .credit_policy import CreditSettings, backoff_s
from .ledger import (
    LedgerError,
    LedgerShard,
    decode_shard,
    empty_shard,
    encode_shard,
)
from .ledger_plan import Plan, PlanContext, make_plan
from .platform_types import AnswerLost, Conflict, PlatformError, StoredObject
from .reachability import Reachability

__all__ = ('LedgerStore', 'LedgerWriter', 'WriterContext')

_log = logbook.Logger('credit')

# After a lost race others write to the shard too, so that a remembered
# version would mostly be old and cost a write in vain.
_READS_AFTER_CONFLICT: Final = 8


class LedgerStore(Protocol):
    """The calls of the platform client that accounts need."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object by conditional update."""


class WriterContext(NamedTuple):
    """
    What the writers of a holder share.

    :param draw_fraction_of: query by budget.
    :param listed_at: query for a revision that listed the holder's VM.
    :param on_fenced: told if an entry was removed by others.
    """

    platform: LedgerStore
    holder: str
    settings: CreditSettings
    reachability: Reachability
    draw_fraction_of: Callable[[str], float]
    listed_at: Callable[[], int]
    on_fenced: Callable[[str], None]


class _Base(NamedTuple):
    version: int | None
    shard: LedgerShard


class LedgerWriter:
    """
    Group commit of one ledger shard: one task, one write at a time.

    :param key: key of the ledger object.
    :param context: what the writers of the holder share.
    :ivar accounts_by_budget: accounts in this shard.
    :ivar closing: whether all credit is to be returned.
    :ivar stopped: whether the accounts may not be used any more.
    :ivar finished: set once nothing will be written any more.
    """

    def __init__(self, key: str, context: WriterContext) -> None:
        self.key = key
        self.accounts_by_budget: dict[str, Account] = {}
        self.closing = False
        self.stopped = False
        self.finished = trio.Event()
        self._context = context
        self._urgent = trio.Event()
        self._known: _Base | None = None
        self._reads_left = 0
        self._lost_before = False
        # Version on which a write of ours may still take effect.
        self._unresolved: int | None = None

    def wake(self) -> None:
        """Commit now instead of at the next report."""
        self._urgent.set()

    async def run(self) -> None:
        """Commit draws at once and settlements every report interval."""
        while not (self.stopped or self.closing and self.is_idle()):
            with trio.move_on_after(self._context.settings.report_interval_s):
                await self._urgent.wait()
            self._urgent = trio.Event()
            await self._commit()
        self.finished.set()

    def is_idle(self) -> bool:
        """
        Tell whether the platform has all that this holder has to say.

        :returns: true if there is nothing to write now.
        """
        if self._unresolved is not None:
            return False
        now = trio.current_time()
        return not any(
            self._has_work(account, now)
            for account in self.accounts_by_budget.values()
        )

    def _has_work(self, account: Account, now: float) -> bool:
        if self.closing:
            return not account.closed
        if account.waiters or not account.is_reported():
            return True
        idle_s = now - account.used_at
        return (
            account.free > 0 and idle_s >= self._context.settings.idle_after_s
        )

    async def _commit(self) -> None:
        attempt = 0
        while not self.stopped and not self.is_idle():
            if self._context.reachability.is_down:
                return
            attempt += 1
            try:
                await self._try_commit()
            except (PlatformError, LedgerError) as error:
                self._note_error(error)
                await self._back_off(attempt)
            else:
                # A smaller reservation may have taken, during the write, what
                # one that waits was to get.
                if not self._has_waiters():
                    return

    def _has_waiters(self) -> bool:
        accounts = self.accounts_by_budget.values()
        return any(account.waiters for account in accounts)

    def _note_error(self, error: PlatformError | LedgerError) -> None:
        if isinstance(error, Conflict):
            self._reads_left = _READS_AFTER_CONFLICT
            return
        _log.warning('credit: no commit of {}: {}', self.key, error)
        if isinstance(error, AnswerLost) and not self._lost_before:
            self._lost_before = True
            return
        self._context.reachability.record_failure()

    async def _back_off(self, attempt: int) -> None:
        settings = self._context.settings
        jitter = random.random()  # noqa: S311  Spreads out retries.
        await trio.sleep(
            backoff_s(attempt, settings.retry_s, settings.max_retry_s, jitter)
        )

    async def _try_commit(self) -> None:
        known = self._known
        self._known = None
        base = known or await self._read()
        plan = self._plan(base, is_fresh=known is None)
        if plan.is_unsure:
            base = await self._read()
            plan = self._plan(base, is_fresh=True)
        if plan.fenced_budget:
            self._context.on_fenced(plan.fenced_budget)
            return
        if plan.has_changes():
            await self._write(base, plan)
        self._context.reachability.record_success()

    def _plan(self, base: _Base, *, is_fresh: bool) -> Plan:
        is_resolved = base.version != self._unresolved
        if is_resolved:
            self._unresolved = None
        context = PlanContext(
            holder=self._context.holder,
            settings=self._context.settings,
            draw_fraction_of=self._context.draw_fraction_of,
            listed_at=self._context.listed_at(),
            now=trio.current_time(),
            closing=self.closing,
            is_fresh=is_fresh,
            is_resolved=is_resolved,
        )
        return make_plan(base.shard, self.accounts_by_budget, context)

    async def _read(self) -> _Base:
        stored = await self._context.platform.get(self.key)
        if stored is None:
            return _Base(None, empty_shard())
        return _Base(stored.version, decode_shard(stored.body))

    async def _write(self, base: _Base, plan: Plan) -> None:
        body = encode_shard(plan.shard)
        try:
            version = await self._context.platform.put(
                self.key, body, base.version
            )
        except AnswerLost:
            self._unresolved = base.version
            raise
        except Conflict:
            raise
        except PlatformError:
            self._take_back(plan)
            raise
        self._unresolved = None
        self._lost_before = False
        plan.apply()
        self._remember(_Base(version, plan.shard))

    def _take_back(self, plan: Plan) -> None:
        # Nothing took effect, so that credit that was to be returned can be
        # used, unless an earlier write may still return it.
        if self._unresolved is None:
            plan.take_back()

    def _remember(self, base: _Base) -> None:
        if self._reads_left:
            self._reads_left -= 1
        else:
            self._known = base
