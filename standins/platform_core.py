"""
standins.platform_core
~~~~~~~~~~~~~~~~~~~~~~

State, rate limits and faults of the platform, independent of the transport.
"""

import collections
from collections.abc import Callable, Collection
from typing import Any, Final, NamedTuple, TypeVar

import trio

from eelgrassfork.platform_types import (
    AnswerLost,
    PlatformUnavailable,
    WatchResult,
)
from eelgrassfork.vm_list import VmList, VmRecord

from .object_store import ObjectStore

__all__ = (
    'Faults',
    'PlatformCore',
    'RateLimits',
    'READS_PER_S',
    'DelayedVmList',
    'WEIGHTS_PER_S',
    'WRITES_PER_S',
)

# The platform allows several hundred writes and about 2,000 reads per second.
WRITES_PER_S: Final = 300
READS_PER_S: Final = 2000
WEIGHTS_PER_S: Final = 2
_WRITE_KINDS: Final = frozenset(('put', 'delete'))

_Result = TypeVar('_Result')


class RateLimits(NamedTuple):
    """Calls per second; the burst is one second's worth, at least one call."""

    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S
    weights_per_s: float = WEIGHTS_PER_S


class Faults(NamedTuple):
    """
    Active faults of the platform.

    :param down: all calls are rejected.
    :param delay_s: seconds before each call takes effect.
    :param lose_answers: number of next writes that take effect but whose
        response is lost.
    :param drop_writes: number of next writes that neither take effect nor
        get a response.
    :param stale_vms: the visible VM list is frozen.
    :param cut: names of clients whose calls are rejected.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    drop_writes: int = 0
    stale_vms: bool = False
    cut: Collection[str] = ()


class DelayedVmList:
    """
    The VM list; changes become visible after a delay.

    :ivar lag_s: seconds until a change becomes visible.
    """

    def __init__(self) -> None:
        self.lag_s: float = 0
        self._latest_list = VmList(0, ())
        self._visible_list = self._latest_list
        self._pending: collections.deque[tuple[float, VmList]] = (
            collections.deque()
        )
        self._is_frozen = False

    def visible(self) -> VmList:
        """
        Return the list as clients see it now.

        :returns: the latest list whose delay has elapsed.
        """
        while not self._is_frozen and self._pending:
            shown_at, vm_list = self._pending[0]
            if shown_at > trio.current_time():
                break
            self._pending.popleft()
            self._visible_list = vm_list
        return self._visible_list

    def replace(self, vms: tuple[VmRecord, ...]) -> None:
        """
        Replace the whole list at the next revision.

        :param vms: all VMs; an omitted VM has stopped.
        """
        self._latest_list = VmList(self._latest_list.revision + 1, vms)
        shown_at = trio.current_time() + self.lag_s if self.lag_s else 0
        self._pending.append((shown_at, self._latest_list))

    def patch(self, record_by_vm: dict[str, VmRecord | None]) -> None:
        """
        Update individual VMs at the next revision.

        :param record_by_vm: new records; ``None`` removes a VM.
        """
        records = {record.vm: record for record in self._latest_list.vms}
        for vm, record in record_by_vm.items():
            records.pop(vm, None)
            if record is not None:
                records[vm] = record
        self.replace(tuple(records.values()))

    def latest(self) -> VmList:
        """
        Return the latest list, visible or not.

        :returns: the latest list.
        """
        return self._latest_list

    def freeze(self, frozen: bool) -> None:
        """
        Freeze or unfreeze the visible list.

        :param frozen: whether to freeze it.
        """
        self.visible()
        self._is_frozen = frozen


class _TokenBucket:
    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(rate_per_s, 1)
        self._tokens = self._burst
        self._refilled_at: float | None = None

    def take(self) -> bool:
        now = trio.current_time()
        passed_s = 0 if self._refilled_at is None else now - self._refilled_at
        filled = self._tokens + passed_s * self._rate_per_s
        self._tokens = min(filled, self._burst)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformCore:
    """
    The platform without its network interface.

    :param limits: enforced rate limits.
    :ivar weights_by_name: content of the weight store.
    :ivar calls_by_kind: number of received calls, including rejected ones;
        a watch counts as one call.
    :ivar refused_by_code: number of calls rejected by a rate limit or fault.
    """

    def __init__(self, limits: RateLimits | None = None) -> None:
        self.objects = ObjectStore()
        self.vm_lists = DelayedVmList()
        self.weights_by_name: dict[str, bytes] = {}
        self.faults = Faults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.refused_by_code: collections.Counter[str] = collections.Counter()
        self.set_limits(limits or RateLimits())

    def set_limits(self, limits: RateLimits) -> None:
        """
        Replace the rate limits.

        :param limits: the new rate limits.
        """
        self._writes = _TokenBucket(limits.writes_per_s)
        self._reads = _TokenBucket(limits.reads_per_s)
        self._weights = _TokenBucket(limits.weights_per_s)

    def change_faults(self, **changes: Any) -> None:
        """
        Update active faults and wake up pending watches.

        :param changes: new values of fields of :class:`Faults`.
        :raises ValueError: if a field is unknown.
        """
        self.faults = self.faults._replace(**changes)
        self.vm_lists.freeze(self.faults.stale_vms)
        self.objects.notify_watchers()

    async def read(
        self, client: str, kind: str, query: Callable[[], _Result]
    ) -> _Result:
        """
        Execute a read call.

        :param client: name of the caller.
        :param kind: kind of call in the counters.
        :param query: function that reads the result.
        :returns: the result.
        :raises PlatformUnavailable: if a fault or a rate limit rejects it.
        """
        await self._admit(client, kind)
        return query()

    async def write(
        self, client: str, kind: str, change: Callable[[], _Result]
    ) -> _Result:
        """
        Execute a write call.

        :param client: name of the caller.
        :param kind: kind of call in the counters.
        :param change: function that applies the change; may raise.
        :returns: the result of the change.
        :raises PlatformUnavailable: if a fault or a rate limit rejects it.
        :raises AnswerLost: if a fault loses the response.
        """
        await self._admit(client, kind)
        dropped = self.faults.drop_writes
        if dropped:
            self.faults = self.faults._replace(drop_writes=dropped - 1)
            raise AnswerLost('answer_lost', 'the write was dropped')
        written = change()
        lost = self.faults.lose_answers
        if lost:
            self.faults = self.faults._replace(lose_answers=lost - 1)
            raise AnswerLost('answer_lost', 'the write took effect')
        return written

    async def watch(
        self, client: str, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """
        Wait for changes; see :meth:`ObjectStore.changes`.

        :param client: name of the caller.
        :param prefix: key prefix.
        :param after_revision: last revision that the caller knows.
        :param wait_s: maximum wait in seconds.
        :returns: the changes, empty if the wait timed out.
        :raises PlatformUnavailable: if a fault or a rate limit rejects it; a
            fault may also do so during the wait.
        """
        await self._admit(client, 'watch')
        seen = self.objects.changes(prefix, after_revision)
        with trio.move_on_after(wait_s):
            while not seen.objects:
                await self.objects.wait()
                self._check_faults(client)
                seen = self.objects.changes(prefix, seen.revision)
        return seen

    async def _admit(self, client: str, kind: str) -> None:
        self.calls_by_kind[kind] += 1
        await trio.sleep(self.faults.delay_s)
        self._check_faults(client)
        bucket = self._writes if kind in _WRITE_KINDS else self._reads
        if not bucket.take() or (kind == 'weight' and not self._weights.take()):
            self._refuse('rate_limited')

    def _check_faults(self, client: str) -> None:
        if self.faults.down:
            self._refuse('platform_down')
        if client in self.faults.cut:
            self._refuse('client_cut')

    def _refuse(self, code: str) -> None:
        self.refused_by_code[code] += 1
        raise PlatformUnavailable(code, 'the call had no effect')
