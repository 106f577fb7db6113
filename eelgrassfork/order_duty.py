"""
eelgrassfork.order_duty
~~~~~~~~~~~~~~~~~~~~~~~

Brings the engines of one service to their desired state, under a lease.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

import logbook
import trio

from .bundle_types import Bundle, Service
from .engine_client import EngineClient
from .engine_types import EngineError, EngineState
from .lease_keeper import LeaseKeeper
from .leases import Lease, Leases
from .metrics import Metrics, NullMetrics
from .pacing import Pacer
from .placement import (
    EngineView,
    Order,
    PlacementPolicy,
    announcement,
    plan_orders,
)
from .vm_list import VmRecord

__all__ = ('DutyParts', 'OrderDuty', 'OrderSettings')

_log = logbook.Logger('engine_orders')

_TICK_S: Final = 0.5
_MAX_DOUBLINGS: Final = 4
_MAX_DUMPED_PROBLEMS: Final = 20
_NEVER: Final = float('-inf')


class OrderSettings(NamedTuple):
    """
    Pace of the orders.

    :param lease_s: how long a lease lasts without renewal, in seconds.
    :param check_s: shortest time between two reads of an engine's state.
    :param reads_per_s: reads of states a second, for each service, and as
        many orders that load nothing.
    :param loads_per_s: orders a second that read the weight store, of all
        services together.
    """

    lease_s: float = 10
    check_s: float = 5
    reads_per_s: float = 4
    loads_per_s: float = 2


class DutyParts(NamedTuple):
    """
    What a duty needs from other parts.

    :param bundle: query for the bundle to act by, ``None`` while this
        router gives no orders.
    """

    leases: Leases
    engines: EngineClient
    bundle: Callable[[], Bundle | None]
    settings: OrderSettings = OrderSettings()
    policy: PlacementPolicy = PlacementPolicy()
    metrics: Metrics = NullMetrics()


class _Engine:
    def __init__(self, record: VmRecord) -> None:
        self.record = record
        self.state: EngineState | None = None
        self.read_at = _NEVER
        self.is_read = False
        self.order: Order | None = None
        self.announced = 0
        self.failures = 0
        self.retry_at = _NEVER
        self.problem = ''

    def view(self, now_s: float) -> EngineView:
        may_try = not self.is_read and now_s >= self.retry_at
        return EngineView(self.record.vm, self.state, self.order, may_try)

    def is_due(self, now_s: float, check_s: float) -> bool:
        is_old = now_s - self.read_at >= check_s
        return is_old and self.order is None and not self.is_read

    def announcement(self, now_s: float, number: int) -> Order | None:
        view = self.view(now_s)
        if self.announced == number or view.order or not view.may_try:
            return None
        return announcement(view.state) if view.state else None


class OrderDuty:
    """
    Gives the orders of one service while this router holds its lease.

    An engine that checks fencing numbers takes no order of an earlier holder
    once it has had one of this holder, which tells each engine its number
    first. An engine that ignores them may still take an order that left
    before the earlier holder's lease lapsed, or before it was paused. The
    state of each engine is read again every ``check_s``, or every
    number of engines / ``reads_per_s`` seconds if that is longer, and
    orders that are missing are given then. So the effect of such an order
    lasts at most that time, one second more, and the time its correction
    takes: the wait for its turn among the loads, and the load itself.

    :param service: qualified name.
    :param parts: other parts.
    """

    def __init__(self, service: str, parts: DutyParts) -> None:
        self._name = service
        self._parts = parts
        settings = parts.settings
        self._keeper = LeaseKeeper(
            parts.leases, service, settings.lease_s, self._bundle_version
        )
        self._engines_by_vm: dict[str, _Engine] = {}
        self._reads = Pacer(burst_s=_TICK_S)
        self._others = Pacer(burst_s=_TICK_S)
        self._loads = Pacer()
        self._given: Counter[str] = Counter()
        self._is_first = trio.Event()
        # The service for which a look at all engines found nothing to do.
        self._settled: Service | None = None

    async def run(self) -> None:
        """
        Contend for the lease and give orders, until cancelled.

        Unless :meth:`go_first` was called, the lease is left to another
        router for two lease times before.
        """
        with trio.move_on_after(self._parts.settings.lease_s * 2):
            await self._is_first.wait()
        await self._keeper.keep(self._work)

    def go_first(self) -> None:
        """Contend for the lease from now on."""
        self._is_first.set()

    def take_vms(self, records: Iterable[VmRecord]) -> None:
        """
        Take over the engines of a VM list.

        :param records: live engines of the service.
        """
        engines_by_vm: dict[str, _Engine] = {}
        for record in records:
            engine = self._engines_by_vm.get(record.vm)
            if engine is None or engine.record.address != record.address:
                engine = _Engine(record)
            engines_by_vm[record.vm] = engine
        self._engines_by_vm = engines_by_vm
        self._settled = None

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: the lease, orders given by kind, orders in progress, and
            engines that can't be read or refused an order.
        """
        engines = self._engines_by_vm.values()
        problems = [each for each in engines if each.problem]
        return {
            'lease': self._keeper.dump(),
            'engines': len(engines),
            'unread': sum(each.state is None for each in engines),
            'given': dict(self._given),
            'in_progress': {
                each.record.vm: list(each.order)
                for each in engines
                if each.order is not None
            },
            'problems': {
                each.record.vm: each.problem
                for each in problems[:_MAX_DUMPED_PROBLEMS]
            },
        }

    def _bundle_version(self) -> int:
        bundle = self._parts.bundle()
        return bundle.version if bundle else 0

    async def _work(self) -> None:
        for engine in self._engines_by_vm.values():
            engine.state = None
            engine.read_at = _NEVER
        self._settled = None
        async with trio.open_nursery() as nursery:
            while True:
                lease, bundle = self._keeper.lease, self._parts.bundle()
                # The lease must say so before engines follow a newer bundle.
                if lease and bundle and lease.bundle_version >= bundle.version:
                    self._start_orders(nursery, lease, bundle)
                # After the orders, which leave out engines that are read: a
                # short interval of reads must not leave all of them out.
                self._start_reads(nursery)
                await trio.sleep(_TICK_S)

    def _start_reads(self, nursery: trio.Nursery) -> None:
        now_s = trio.current_time()
        settings = self._parts.settings
        due = [
            engine
            for engine in self._engines_by_vm.values()
            if engine.is_due(now_s, settings.check_s)
        ]
        for engine in sorted(due, key=lambda each: each.read_at):
            if not self._reads.take(settings.reads_per_s):
                return
            engine.is_read = True
            nursery.start_soon(self._read, engine)

    async def _read(self, engine: _Engine) -> None:
        engine.read_at = trio.current_time()
        state = None
        try:
            state = await self._parts.engines.state(engine.record.address)
        except EngineError as error:
            engine.problem = error.message
        else:
            engine.problem = engine.problem if engine.failures else ''
        finally:
            engine.is_read = False
        if state != engine.state or engine.failures:
            self._settled = None
        engine.state = state

    def _start_orders(
        self, nursery: trio.Nursery, lease: Lease, bundle: Bundle
    ) -> None:
        service = bundle.services_by_name.get(self._name)
        if service is None or service == self._settled:
            return
        # An engine that is being read now is left out, and looked at again.
        is_read = any(each.is_read for each in self._engines_by_vm.values())
        self._settled = None if is_read else service
        for vm, order in self._orders(service, lease):
            self._settled = None
            if self._take_turn(order, bundle):
                engine = self._engines_by_vm[vm]
                engine.order = order
                nursery.start_soon(self._give, engine, order, lease)

    def _orders(
        self, service: Service, lease: Lease
    ) -> Iterable[tuple[str, Order]]:
        now_s = trio.current_time()
        if service.checks_fencing:
            for vm, known in self._engines_by_vm.items():
                order = known.announcement(now_s, lease.fencing_number)
                if order is not None:
                    yield vm, order
        # Made after the announcements above were given.
        views = [each.view(now_s) for each in self._engines_by_vm.values()]
        yield from plan_orders(service, views, self._parts.policy)

    def _take_turn(self, order: Order, bundle: Bundle) -> bool:
        if order.loads:
            return self._loads.take(self._load_rate(bundle))
        return self._others.take(self._parts.settings.reads_per_s)

    def _load_rate(self, bundle: Bundle) -> float:
        # The weight store's rate is for all services, and the holder of one
        # lease does not see what those of the others load.
        models = [
            service
            for service in bundle.services_by_name.values()
            if service.kind == 'model'
        ]
        return self._parts.settings.loads_per_s / max(1, len(models))

    async def _give(self, engine: _Engine, order: Order, lease: Lease) -> None:
        outcome = 'failed'
        try:
            await self._parts.engines.order(
                engine.record.address, order.kind, order.name, lease
            )
        except EngineError as error:
            self._note_failure(engine, order, error)
        else:
            outcome = 'done'
            engine.failures = 0
            engine.problem = ''
            engine.announced = lease.fencing_number
            _log.info('engine_orders: {} {}', engine.record.vm, order)
        finally:
            engine.order = None
            # What it runs now is read before the next order.
            engine.state = None
            engine.read_at = _NEVER
        self._given[f'{order.kind} {outcome}'] += 1
        fleet = self._name.partition('/')[0]
        self._parts.metrics.count(
            'engine_orders', fleet, self._name, order.kind, outcome
        )

    def _note_failure(
        self, engine: _Engine, order: Order, error: EngineError
    ) -> None:
        doublings = min(engine.failures, _MAX_DOUBLINGS)
        engine.failures += 1
        engine.problem = f'{order.kind} {order.name}: {error.message}'
        wait_s = self._parts.settings.check_s * (1 << doublings)
        engine.retry_at = trio.current_time() + wait_s
        _log.warning('engine_orders: {} {}', engine.record.vm, engine.problem)
        if error.code == 'order_fenced':
            self._keeper.drop()
