"""
tests.test_router
~~~~~~~~~~~~~~~~~

Guards against incorrectly connected components of a router.
"""

import functools
import hashlib
import random

import msgspec
import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.bundle import CURRENT_KEY, part_key
from eelgrassfork.http_client import ClientRequest, HttpClient
from eelgrassfork.router import Router, RouterEnvironment
from eelgrassfork.settings import Endpoint, RouterSettings
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.fake_platform import FakePlatform

from . import bundles
from .memory_network import MemoryNetwork
from .metric_recorder import MetricRecorder

__all__ = ('RouterPair', 'with_router_pair')

OPERATOR_KEY = 'operator'
SERVICE = 'pazlen/matcher'


class RouterPair:
    """Two routers, a platform and an engine without the required model."""

    def __init__(self, nursery) -> None:
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.platform = FakePlatform()
        self.http = HttpClient(transport=self.network.transport('caller'))
        self.engine = EngineStandin(
            EngineSettings('old'), self.network.transport('engine')
        )
        self.metrics = MetricRecorder()
        self.routers = [self.router(number) for number in (1, 2)]

    def router(self, number: int) -> Router:
        vm = f'vm-{number}'
        listeners = [Endpoint('127.0.0.1', 1000 * number + n) for n in range(3)]
        settings = RouterSettings(
            vm,
            'pazlen',
            'pazlen/haskovo',
            'r',
            *listeners,
            platform='127.0.0.1:1',
            peer_key='p' * 16,
            operator_key_hash=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            trusted_keys=bundles.TRUSTED,
        )
        return Router(
            settings,
            RouterEnvironment(
                self.network.transport(vm),
                self.platform.for_client(vm),
                self.metrics,
                random.Random(number),
            ),
        )

    async def start(self) -> None:
        envelope, bodies = bundles.signed_bundle(1)
        for part_hash, body in bodies.items():
            await self.platform.put(part_key(part_hash), body, None)
        await self.platform.put(CURRENT_KEY, envelope, None)
        await self.engine.start(self.nursery, '127.0.0.1', 0)
        self.list_vms()
        for router in self.routers:
            await router.start(self.nursery)

    def list_vms(self) -> None:
        domain = 'pazlen/haskovo'
        self.platform.set_vms(
            *(
                VmRecord(
                    f'vm-{number}', 'router', 'live', 'pazlen', '', domain, 'r',
                    *(f'127.0.0.1:{1000 * number + n}' for n in range(3)),
                )
                for number in (1, 2)
            ),
            VmRecord(
                'engine', 'backend', 'live', 'pazlen', SERVICE, domain, 'r',
                self.engine.address,
            ),
        )  # fmt: skip

    async def dump(self, router: Router) -> dict:
        request = ClientRequest(
            router.operators.address,
            'GET',
            '/state',
            (('authorization', f'Bearer {OPERATOR_KEY}'),),
        )
        _, body = await self.http.fetch(request)
        return msgspec.json.decode(body)


def with_router_pair(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                pair = RouterPair(nursery)
                await pair.start()
                await test(self, pair)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return wrapper


class EngineOrderTests(testtools.TestCase):
    async def lease_holder(self, pair):
        holders = []
        for router in pair.routers:
            dump = await pair.dump(router)
            role = dump['engine_orders']['duties_by_service'].get(SERVICE)
            if role and role['lease']['held']:
                holders.append((router, role))
        self.assertEqual(1, len(holders))
        return holders[0]

    @with_router_pair
    async def test_one_router_orders_the_model_and_a_successor_takes_over(
        self, pair
    ):
        await trio.sleep(30)
        self.assertEqual(['old', 'm'], pair.engine.orders.models)
        router, role = await self.lease_holder(pair)
        self.assertEqual({'load_model done': 1}, role['given'])
        router.drain.begin('a test')
        await trio.sleep(5)
        successor, role = await self.lease_holder(pair)
        self.assertIsNot(router, successor)
        self.assertEqual(2, role['lease']['fencing_number'])


class MetricsTests(testtools.TestCase):
    @with_router_pair
    async def test_components_report_metrics_to_the_router_client(self, pair):
        await trio.sleep(35)
        pair.network.cut('vm-1', 'vm-2')
        await trio.sleep(20)
        gauges = {
            name: level for (name, *_), level in pair.metrics.levels.items()
        }
        for name, minimum, maximum in (
            ('bundle_version', 1, 1),
            ('bundle_age_s', 40, 60),
            ('servers_listed', 1, 1),
            ('servers_ejected', 0, 0),
            ('peers_heard', 1, 1),
            ('peers_suspect', 1, 1),
            ('loop_late_ms', 0, 1),
        ):
            with self.subTest(name=name):
                self.assertTrue(
                    minimum <= gauges[name] <= maximum, gauges[name]
                )
        counts = pair.metrics.counts
        order_key = ('engine_orders', 'pazlen', SERVICE, 'load_model', 'done')
        self.assertEqual(1, counts[order_key])
        self.assertTrue(counts['peer_bytes', 'pazlen', 'sent'] > 1000)
