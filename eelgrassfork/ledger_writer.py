"""
eelgrassfork.ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~

Synchronises a holder's accounts with a ledger shard at the platform.
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

# A conflict means that other holders are writing to the shard. A cached
# version would then mostly be stale and cost a failed write, so this many
# commits read the shard again.
_UNCACHED_COMMITS_AFTER_CONFLICT: Final = 8


class LedgerStore(Protocol):
    """Subset of the platform client that the ledger uses."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object by conditional update."""


class WriterContext(NamedTuple):
    """
    Dependencies and settings shared by all writers of a holder.

    :param platform: store of the ledger objects.
    :param holder: identifier of the holder.
    :param settings: credit settings.
    :param reachability: state of the connection to the platform.
    :param draw_fraction_of: returns the draw fraction of a budget.
    :param listed_at: returns a revision of the VM list that contained the
        holder's VM.
    :param on_fenced: called with the budget if another process removed the
        holder's entry.
    """

    platform: LedgerStore
    holder: str
    settings: CreditSettings
    reachability: Reachability
    draw_fraction_of: Callable[[str], float]
    listed_at: Callable[[], int]
    on_fenced: Callable[[str], None]


class _Snapshot(NamedTuple):
    version: int | None
    shard: LedgerShard


class LedgerWriter:
    """
    Group commit to one ledger shard: one task, one write at a time.

    :param key: key of the ledger object.
    :param context: dependencies shared by the writers of the holder.
    :ivar accounts_by_budget: accounts in this shard.
    :ivar closing: whether all credit is to be returned.
    :ivar stopped: whether the accounts may no longer be used.
    :ivar finished: set once the writer has made its last write.
    """

    def __init__(self, key: str, context: WriterContext) -> None:
        self.key = key
        self.accounts_by_budget: dict[str, Account] = {}
        self.closing = False
        self.stopped = False
        self.finished = trio.Event()
        self._context = context
        self._wake_requested = trio.Event()
        self._cached: _Snapshot | None = None
        self._uncached_commits_left = 0
        self._answer_was_lost = False
        # Version that a write of unknown outcome expects; while the object
        # has this version, the write may still take effect.
        self._unresolved_version: int | None = None

    def wake(self) -> None:
        """Commit now instead of at the end of the report interval."""
        self._wake_requested.set()

    async def run(self) -> None:
        """Commit draws immediately and settlements every report interval."""
        while not (self.stopped or self.closing and self.is_idle()):
            with trio.move_on_after(self._context.settings.report_interval_s):
                await self._wake_requested.wait()
            self._wake_requested = trio.Event()
            await self._commit()
        self.finished.set()

    def is_idle(self) -> bool:
        """
        Return whether the ledger is up to date with the accounts.

        :returns: true if there is nothing to write now.
        """
        if self._unresolved_version is not None:
            return False
        now = trio.current_time()
        return not any(
            self._needs_commit(account, now)
            for account in self.accounts_by_budget.values()
        )

    def _needs_commit(self, account: Account, now: float) -> bool:
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
                self._handle_error(error)
                await self._back_off(attempt)
            else:
                # During the write, a smaller reservation may have taken the
                # credit that was drawn for a waiting one.
                if not self._has_waiters():
                    return

    def _has_waiters(self) -> bool:
        accounts = self.accounts_by_budget.values()
        return any(account.waiters for account in accounts)

    def _handle_error(self, error: PlatformError | LedgerError) -> None:
        if isinstance(error, Conflict):
            self._uncached_commits_left = _UNCACHED_COMMITS_AFTER_CONFLICT
            return
        _log.warning(
            'credit: commit to ledger object {} failed: {}', self.key, error
        )
        if isinstance(error, AnswerLost) and not self._answer_was_lost:
            self._answer_was_lost = True
            return
        self._context.reachability.record_failure()

    async def _back_off(self, attempt: int) -> None:
        settings = self._context.settings
        jitter = random.random()  # noqa: S311  Spreads out retries.
        await trio.sleep(
            backoff_s(attempt, settings.retry_s, settings.max_retry_s, jitter)
        )

    async def _try_commit(self) -> None:
        cached = self._cached
        self._cached = None
        snapshot = cached or await self._read()
        plan = self._plan(snapshot, is_fresh=cached is None)
        if plan.needs_fresh_read:
            snapshot = await self._read()
            plan = self._plan(snapshot, is_fresh=True)
        if plan.fenced_budget:
            self._context.on_fenced(plan.fenced_budget)
            return
        if plan.has_changes():
            await self._write(snapshot, plan)
        self._context.reachability.record_success()

    def _plan(self, snapshot: _Snapshot, *, is_fresh: bool) -> Plan:
        is_resolved = snapshot.version != self._unresolved_version
        if is_resolved:
            self._unresolved_version = None
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
        return make_plan(snapshot.shard, self.accounts_by_budget, context)

    async def _read(self) -> _Snapshot:
        stored = await self._context.platform.get(self.key)
        if stored is None:
            return _Snapshot(None, empty_shard())
        return _Snapshot(stored.version, decode_shard(stored.body))

    async def _write(self, snapshot: _Snapshot, plan: Plan) -> None:
        body = encode_shard(plan.shard)
        try:
            version = await self._context.platform.put(
                self.key, body, snapshot.version
            )
        except AnswerLost:
            self._unresolved_version = snapshot.version
            raise
        except Conflict:
            raise
        except PlatformError:
            self._roll_back(plan)
            raise
        self._unresolved_version = None
        self._answer_was_lost = False
        plan.apply()
        self._update_cache(_Snapshot(version, plan.shard))

    def _roll_back(self, plan: Plan) -> None:
        # The write had no effect, so the credit to be returned is usable
        # again, unless an earlier write may still return it.
        if self._unresolved_version is None:
            plan.roll_back()

    def _update_cache(self, snapshot: _Snapshot) -> None:
        if self._uncached_commits_left:
            self._uncached_commits_left -= 1
        else:
            self._cached = snapshot
