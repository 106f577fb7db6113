"""
tests.order_world
~~~~~~~~~~~~~~~~~

Routers that give orders to stand-in engines, on an in-memory network.
"""

import functools

import trio
from trio.testing import MockClock

from eelgrassfork.bundle_types import Bundle, Service
from eelgrassfork.engine_client import EngineClient
from eelgrassfork.engine_orders import EngineOrders
from eelgrassfork.http_client import HttpClient
from eelgrassfork.leases import Leases
from eelgrassfork.order_duty import DutyParts, OrderSettings
from eelgrassfork.placement import issuer_candidates
from eelgrassfork.vm_list import VmList, VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.engine_orders import OrderRefused
from standins.fake_platform import FakePlatform

from .memory_network import MemoryNetwork

__all__ = ('SERVICE', 'World', 'with_world')

SERVICE = 'p/matcher'


class Router:
    """
    The engine orders of one router, and its bundle.

    :ivar delays_orders: whether sent orders are delayed until the network
        heals, as if a partition began after they were sent.
    """

    def __init__(self, world, vm: str) -> None:
        settings = world.settings
        self.vm = vm
        self.bundle = world.bundle
        self.delays_orders = False
        self._network = world.network
        transport = world.network.transport(vm)
        self._connect_now = transport.connect
        http = HttpClient(transport=transport._replace(connect=self._connect))
        self.engines = EngineClient(http)
        self.orders = EngineOrders(
            vm,
            DutyParts(
                Leases(
                    world.platform.for_client(vm), f'{vm}.0', settings.lease_s
                ),
                self.engines,
                lambda: self.bundle,
                settings,
            ),
        )

    @property
    def duty(self):
        default = {'lease': {'held': False}, 'in_progress': {}}
        return self.orders.dump()['duties_by_service'].get(SERVICE, default)

    @property
    def holds(self) -> bool:
        return self.duty['lease']['held']

    async def _connect(self, ip, port):
        stream = await self._connect_now(ip, port)
        host = self._network.listeners_by_address[f'{ip}:{port}'].host
        if self.delays_orders and host in self.duty['in_progress']:
            self._network.cut(self.vm, host)
        return stream


class World:
    """Engines, and routers in the order in which the service is assigned."""

    def __init__(self, nursery, checks_fencing, engines, settings) -> None:
        self.nursery = nursery
        self.settings = settings
        self.network = MemoryNetwork()
        self.platform = FakePlatform()
        self.checks_fencing = checks_fencing
        self.engines = [
            EngineStandin(
                EngineSettings('m', checks_fencing=checks_fencing),
                self.network.transport(f'engine-{number}'),
            )
            for number in range(engines)
        ]
        self.arrived = []
        self.bundle = None
        self.set_bundle(1)
        names = ['vm-1', 'vm-2', 'vm-3']
        records = [self.router_record(vm) for vm in names]
        chosen = issuer_candidates(SERVICE, records)
        rest = [vm for vm in names if vm not in chosen]
        self.routers = [Router(self, vm) for vm in chosen + rest]

    async def start(self) -> None:
        for engine in self.engines:
            engine.orders.carry_out = self.recording(engine.orders.carry_out)
            await engine.start(self.nursery, '127.0.0.1', 0)
        self.list_vms(1)
        for router in self.routers:
            await router.orders.start(self.nursery)

    def recording(self, carry_out):
        async def wrapper(order, pace):
            code = 'done'
            try:
                await carry_out(order, pace)
            except OrderRefused as error:
                code = error.code
                raise
            finally:
                self.arrived.append((order.name, order.fencing_number, code))

        return wrapper

    def set_bundle(self, number, other_services=(), **fields) -> None:
        service = Service(
            SERVICE, 'model', 'm', checks_fencing=self.checks_fencing, **fields
        )
        services = {
            name: Service(name, 'model', 'x') for name in other_services
        }
        self.bundle = Bundle(
            number, {}, {}, {SERVICE: service, **services}, {}, {}
        )
        for router in getattr(self, 'routers', ()):
            router.bundle = self.bundle

    def list_vms(self, revision, leaving=()) -> None:
        records = [
            self.router_record(router.vm, router.vm in leaving)
            for router in self.routers
        ]
        records += [
            VmRecord(
                f'engine-{number}', 'backend', 'live', 'p', SERVICE, 'p/a', 'r',
                engine.address,
            )
            for number, engine in enumerate(self.engines)
        ]  # fmt: skip
        for router in self.routers:
            router.orders.update_vm_list(VmList(revision, tuple(records)))

    def router_record(self, vm, is_leaving=False) -> VmRecord:
        state = 'leaving' if is_leaving else 'live'
        return VmRecord(vm, 'router', state, 'p', '', 'p/a', 'r', '')

    def given(self, engine=0, kind=''):
        return [
            (order['order'], order['name'], order['fencing_number'])
            for order in self.engines[engine].orders.carried_out
            if order['order'].startswith(kind)
        ]

    def versions(self):
        return {engine.orders.version for engine in self.engines}

    def holders(self):
        return [router.vm for router in self.routers if router.holds]


def with_world(checks_fencing=False, engines=2, **settings):
    def decorate(test):
        @functools.wraps(test)
        def wrapper(self):
            async def main():
                async with trio.open_nursery() as nursery:
                    world = World(
                        nursery,
                        checks_fencing,
                        engines,
                        OrderSettings(**settings),
                    )
                    await world.start()
                    await test(self, world)
                    nursery.cancel_scope.cancel()

            trio.run(main, clock=MockClock(autojump_threshold=0))

        return wrapper

    return decorate
