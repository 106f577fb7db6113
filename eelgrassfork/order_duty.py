"""
eelgrassfork.order_duty
~~~~~~~~~~~~~~~~~~~~~~~

Reconciles the engines of one service with the bundle, under a lease.
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
    Intervals and rate limits of the orders.

    :param lease_s: duration of a lease without renewal, in seconds.
    :param check_s: minimum interval between two reads of an engine's state,
        in seconds.
    :param reads_per_s: state reads per second and service; the limit of
        orders that load nothing is the same.
    :param loads_per_s: orders per second that read from the weight store,
        over all services.
    """

    lease_s: float = 10
    check_s: float = 5
    reads_per_s: float = 4
    loads_per_s: float = 2


class DutyParts(NamedTuple):
    """
    Dependencies of an :class:`OrderDuty`.

    :param bundle: returns the bundle to apply, or ``None`` while this router
        is to give no orders.
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
        self.is_reading = False
        self.order: Order | None = None
        self.announced_number = 0
        self.failures = 0
        self.retry_at = _NEVER
        self.problem = ''

    def view(self, now_s: float) -> EngineView:
        may_try = not self.is_reading and now_s >= self.retry_at
        return EngineView(self.record.vm, self.state, self.order, may_try)

    def is_due(self, now_s: float, check_s: float) -> bool:
        is_old = now_s - self.read_at >= check_s
        return is_old and self.order is None and not self.is_reading

    def announcement(self, now_s: float, number: int) -> Order | None:
        view = self.view(now_s)
        if self.announced_number == number or view.order or not view.may_try:
            return None
        return announcement(view.state) if view.state else None


class OrderDuty:
    """
    Gives the orders of one service while this router holds its lease.

    An engine that checks fencing numbers refuses orders of an earlier holder
    once it has received one of this holder, which first announces its number
    to each engine. An engine that ignores them may still accept an order that
    was sent before the earlier holder's lease expired, or before that holder
    was paused. The state of each engine is read again every ``check_s``
    seconds, or every number of engines / ``reads_per_s`` seconds if that is
    longer, and missing orders are given then. The effect of a late order
    therefore lasts at most that interval, plus one second, plus the duration
    of the correction: the wait for the rate limit of loads, and the load.

    :param service: qualified name of the service.
    :param parts: dependencies.
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
        self._other_orders = Pacer(burst_s=_TICK_S)
        self._loads = Pacer()
        self._order_counts: Counter[str] = Counter()
        self._may_contend = trio.Event()
        # Definition of the service for which no engine needs an order.
        self._converged_service: Service | None = None

    async def run(self) -> None:
        """
        Contend for the lease and give orders, until cancelled.

        Waits for two lease durations first, so that the preferred router can
        acquire the lease, unless :meth:`contend_now` is called.
        """
        with trio.move_on_after(self._parts.settings.lease_s * 2):
            await self._may_contend.wait()
        await self._keeper.run(self._give_orders)

    def contend_now(self) -> None:
        """Contend for the lease without waiting for another router."""
        self._may_contend.set()

    def update_engines(self, records: Iterable[VmRecord]) -> None:
        """
        Replace the engines by those of a new VM list.

        :param records: live engines of the service.
        """
        engines_by_vm: dict[str, _Engine] = {}
        for record in records:
            engine = self._engines_by_vm.get(record.vm)
            if engine is None or engine.record.address != record.address:
                engine = _Engine(record)
            engines_by_vm[record.vm] = engine
        self._engines_by_vm = engines_by_vm
        self._converged_service = None

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: the lease, orders given by kind, orders in progress, and
            engines that cannot be read or that failed an order.
        """
        engines = self._engines_by_vm.values()
        problems = [each for each in engines if each.problem]
        return {
            'lease': self._keeper.dump(),
            'engines': len(engines),
            'unread': sum(each.state is None for each in engines),
            'given': dict(self._order_counts),
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

    async def _give_orders(self) -> None:
        for engine in self._engines_by_vm.values():
            engine.state = None
            engine.read_at = _NEVER
        self._converged_service = None
        async with trio.open_nursery() as nursery:
            while True:
                lease, bundle = self._keeper.lease, self._parts.bundle()
                # A newer bundle is applied only once the lease records it.
                if lease and bundle and lease.bundle_version >= bundle.version:
                    self._start_orders(nursery, lease, bundle)
                # Started after the orders, which skip engines that are being
                # read: otherwise a short check_s would skip all engines.
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
            engine.is_reading = True
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
            engine.is_reading = False
        if state != engine.state or engine.failures:
            self._converged_service = None
        engine.state = state

    def _start_orders(
        self, nursery: trio.Nursery, lease: Lease, bundle: Bundle
    ) -> None:
        service = bundle.services_by_name.get(self._name)
        if service is None or service == self._converged_service:
            return
        # Engines that are being read are skipped and planned again later.
        is_reading = any(
            each.is_reading for each in self._engines_by_vm.values()
        )
        self._converged_service = None if is_reading else service
        for vm, order in self._orders(service, lease):
            self._converged_service = None
            if self._acquire_slot(order, bundle):
                engine = self._engines_by_vm[vm]
                engine.order = order
                nursery.start_soon(self._send_order, engine, order, lease)

    def _orders(
        self, service: Service, lease: Lease
    ) -> Iterable[tuple[str, Order]]:
        now_s = trio.current_time()
        if service.checks_fencing:
            for vm, engine in self._engines_by_vm.items():
                order = engine.announcement(now_s, lease.fencing_number)
                if order is not None:
                    yield vm, order
        # Computed here, so that the views include the announcements above.
        views = [each.view(now_s) for each in self._engines_by_vm.values()]
        yield from plan_orders(service, views, self._parts.policy)

    def _acquire_slot(self, order: Order, bundle: Bundle) -> bool:
        if order.loads:
            return self._loads.take(self._load_rate(bundle))
        return self._other_orders.take(self._parts.settings.reads_per_s)

    def _load_rate(self, bundle: Bundle) -> float:
        # The rate limit of the weight store covers all services, and a lease
        # holder cannot see the loads of other services, so it is divided.
        models = [
            service
            for service in bundle.services_by_name.values()
            if service.kind == 'model'
        ]
        return self._parts.settings.loads_per_s / max(1, len(models))

    async def _send_order(
        self, engine: _Engine, order: Order, lease: Lease
    ) -> None:
        outcome = 'failed'
        try:
            await self._parts.engines.order(
                engine.record.address, order.kind, order.name, lease
            )
        except EngineError as error:
            self._record_failure(engine, order, error)
        else:
            outcome = 'done'
            engine.failures = 0
            engine.problem = ''
            engine.announced_number = lease.fencing_number
            _log.info(
                'engine_orders: {} carried out {}', engine.record.vm, order
            )
        finally:
            engine.order = None
            # The state is read again before the next order.
            engine.state = None
            engine.read_at = _NEVER
        self._order_counts[f'{order.kind} {outcome}'] += 1
        fleet = self._name.partition('/')[0]
        self._parts.metrics.count(
            'engine_orders', fleet, self._name, order.kind, outcome
        )

    def _record_failure(
        self, engine: _Engine, order: Order, error: EngineError
    ) -> None:
        doublings = min(engine.failures, _MAX_DOUBLINGS)
        engine.failures += 1
        engine.problem = f'{order.kind} {order.name}: {error.message}'
        wait_s = self._parts.settings.check_s * (1 << doublings)
        engine.retry_at = trio.current_time() + wait_s
        _log.warning(
            'engine_orders: order to {} failed: {}',
            engine.record.vm,
            engine.problem,
        )
        if error.code == 'order_fenced':
            self._keeper.reacquire()
