"""
standins.platform_core
~~~~~~~~~~~~~~~~~~~~~~

State, limits and faults of the platform, behind sockets or without them.
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

# The platform gives several hundred writes and about 2,000 reads a second.
WRITES_PER_S: Final = 300
READS_PER_S: Final = 2000
WEIGHTS_PER_S: Final = 2
_WRITE_KINDS: Final = frozenset(('put', 'delete'))

_Result = TypeVar('_Result')


class RateLimits(NamedTuple):
    """Calls a second; one second's worth, at least one, may come at once."""

    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S
    weights_per_s: float = WEIGHTS_PER_S


class Faults(NamedTuple):
    """
    Faults in force.

    :param down: all calls are refused.
    :param delay_s: time each call takes before it has its effect.
    :param lose_answers: so many next writes take effect without an answer.
    :param drop_writes: so many next writes have neither effect nor answer.
    :param stale_vms: the VM list stays as it is shown now.
    :param cut: names of clients whose calls are refused.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    drop_writes: int = 0
    stale_vms: bool = False
    cut: Collection[str] = ()


class DelayedVmList:
    """
    The VM list, shown with a lag.

    :ivar lag_s: seconds until a change is shown.
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
        Read the list as clients see it now.

        :returns: the newest list that is older than the lag.
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
        Set the whole list at the next revision.

        :param vms: all VMs; one that is left out has stopped.
        """
        self._latest_list = VmList(self._latest_list.revision + 1, vms)
        shown_at = trio.current_time() + self.lag_s if self.lag_s else 0
        self._pending.append((shown_at, self._latest_list))

    def patch(self, record_by_vm: dict[str, VmRecord | None]) -> None:
        """
        Change some VMs at the next revision.

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
        Read the list as it will be shown after the lag.

        :returns: the newest list.
        """
        return self._latest_list

    def freeze(self, frozen: bool) -> None:
        """
        Stop or resume showing changes.

        :param frozen: whether to stop.
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
    The platform without its sockets.

    :param limits: rates that are enforced.
    :ivar weights_by_name: content of the weight store.
    :ivar calls_by_kind: calls that arrived, also those refused; a waiting
        watch is one call.
    :ivar refused_by_code: calls refused by the rate or a fault.
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
        Enforce other rates from now on.

        :param limits: the new rates.
        """
        self._writes = _TokenBucket(limits.writes_per_s)
        self._reads = _TokenBucket(limits.reads_per_s)
        self._weights = _TokenBucket(limits.weights_per_s)

    def change_faults(self, **changes: Any) -> None:
        """
        Change some faults; waiting watches notice.

        :param changes: new values of fields of :class:`Faults`.
        :raises ValueError: if there is no such fault.
        """
        self.faults = self.faults._replace(**changes)
        self.vm_lists.freeze(self.faults.stale_vms)
        self.objects.notify_watchers()

    async def read(
        self, client: str, kind: str, query: Callable[[], _Result]
    ) -> _Result:
        """
        Do a reading call.

        :param client: name of the caller.
        :param kind: what is counted.
        :param query: reads the result.
        :returns: the result.
        :raises PlatformUnavailable: if a fault or the rate refuses it.
        """
        await self._admit(client, kind)
        return query()

    async def write(
        self, client: str, kind: str, change: Callable[[], _Result]
    ) -> _Result:
        """
        Do a writing call.

        :param client: name of the caller.
        :param kind: what is counted.
        :param change: does the change; may raise.
        :returns: the result of the change.
        :raises PlatformUnavailable: if a fault or the rate refuses it.
        :raises AnswerLost: if a fault loses the answer.
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
        :param prefix: beginning of the keys.
        :param after_revision: revision already known.
        :param wait_s: longest wait in seconds.
        :returns: the changes, none if the wait ran out.
        :raises PlatformUnavailable: if a fault or the rate refuses it, also
            during the wait.
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
