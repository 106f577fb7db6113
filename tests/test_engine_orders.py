"""
tests.test_engine_orders
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against two routers that give orders, and late orders that persist.
"""

import itertools

import testtools
import trio

from eelgrassfork.engine_types import EngineError
from eelgrassfork.leases import Lease
from eelgrassfork.order_duty import OrderSettings
from standins.engine_orders import OrderRefused
from tests.order_world import World, with_world

SETTINGS = OrderSettings()
LOAD_S = 2
# Maximum duration of the effect of a late order: the interval to the next
# read of the state, one second, and the correction after the late load.
CORRECTED_S = SETTINGS.check_s + 1 + 2 * LOAD_S


class DesiredStateTests(testtools.TestCase):
    @with_world(engines=4)
    async def test_engines_reach_and_keep_the_state_of_the_bundle(self, world):
        world.set_bundle(2, version='v2', adapters=('a',), role='decode')
        await trio.sleep(30)
        for number in range(4):
            self.assertEqual(
                [
                    ('load_version', 'v2', 1),
                    ('load_adapter', 'a', 1),
                    ('change_role', 'decode', 1),
                ],
                world.given(number),
            )
        world.engines[2].orders.version = 'lost'
        await trio.sleep(CORRECTED_S)
        self.assertEqual({'v2'}, world.versions())

    @with_world(check_s=0.1)
    async def test_frequent_reads_leave_time_for_orders(self, world):
        world.set_bundle(2, version='v2', adapters=('a',))
        await trio.sleep(20)
        self.assertEqual(2, len(world.given(0)))
        self.assertEqual(2, len(world.given(1)))

    @with_world(engines=1)
    async def test_bundle_change_during_a_read_is_applied(self, world):
        await trio.sleep(30)
        world.network.latency_s = 0.3
        for number in range(2, 40):
            world.set_bundle(number, role=('both', 'decode')[number % 2])
            await trio.sleep(7.3)
            wanted = world.bundle.services_by_name['p/matcher'].role
            self.assertEqual(wanted, world.engines[0].orders.role)

    @with_world(engines=8)
    async def test_loads_respect_the_rate_and_a_quarter_of_engines(self, world):
        world.set_bundle(2, other_services=('p/a', 'p/b', 'p/c'), version='v2')
        start_times = {}
        max_loading = 0
        for _ in range(1000):
            await trio.sleep(0.05)
            loading = world.routers[0].duty['in_progress']
            max_loading = max(max_loading, len(loading))
            for vm in loading:
                start_times.setdefault(vm, trio.current_time())
        times = sorted(start_times.values())
        self.assertEqual((8, {'v2'}), (len(times), world.versions()))
        self.assertTrue(max_loading <= 2)
        # The limit of two loads per second is divided among four services.
        for one, next_one in itertools.pairwise(times):
            self.assertTrue(next_one - one >= 1.9)

    @with_world(engines=1)
    async def test_refused_order_is_retried_with_backoff(self, world):
        orders = world.engines[0].orders
        carry_out = orders.carry_out
        attempts = []

        async def refuse(order, pace):
            attempts.append(trio.current_time())
            await trio.lowlevel.checkpoint()
            raise OrderRefused('no_such_version', 'there is none')

        orders.carry_out = refuse
        world.set_bundle(2, version='v2')
        await trio.sleep(120)
        self.assertTrue(3 <= len(attempts) <= 5, attempts)
        problems = world.routers[0].duty['problems']
        self.assertIn('there is none', problems['engine-0'])
        orders.carry_out = carry_out
        await trio.sleep(90)
        self.assertEqual({'v2'}, world.versions())


class HolderTests(testtools.TestCase):
    @with_world()
    async def test_one_router_gives_orders_and_another_takes_over(self, world):
        first, second, third = world.routers
        await trio.sleep(60)
        self.assertEqual([first.vm], world.holders())
        world.list_vms(2, leaving=(first.vm,))
        await trio.sleep(5)
        self.assertEqual([second.vm], world.holders())
        world.list_vms(3, leaving=(first.vm, second.vm))
        await trio.sleep(5)
        self.assertEqual([third.vm], world.holders())
        await third.orders.close()
        self.assertEqual([], world.holders())

    @with_world()
    async def test_draining_router_releases_its_lease(self, world):
        first, second, _ = world.routers
        await trio.sleep(60)
        first.bundle = None
        await trio.sleep(5)
        self.assertEqual([second.vm], world.holders())

    @with_world()
    async def test_holder_with_an_older_bundle_gives_no_orders(self, world):
        first, second, _ = world.routers
        world.set_bundle(2, version='v2')
        await trio.sleep(60)
        old = world.bundle._replace(version=1)
        world.set_bundle(3, version='v3')
        second.bundle = old
        await trio.sleep(20)
        platform_cut = {'cut': (first.vm,)}
        world.platform.set_faults(**platform_cut)
        await trio.sleep(60)
        self.assertEqual([], world.holders())
        self.assertEqual({'v3'}, world.versions())
        second.bundle = world.bundle
        await trio.sleep(20)
        self.assertEqual([second.vm], world.holders())


class LateOrderTests(testtools.TestCase):
    """An order of a former holder arrives after the lease has moved."""

    async def take_over(self, world: World):
        first, second, _ = world.routers
        await trio.sleep(30)
        first.delays_orders = True
        world.set_bundle(2, version='v2')
        await trio.sleep(3)
        self.assertEqual(1, len(first.duty['in_progress']))
        world.platform.set_faults(cut=(first.vm,))
        stopped_by = trio.current_time() + SETTINGS.lease_s
        world.set_bundle(3, version='v3')
        first.bundle = world.bundle._replace(version=2)
        await trio.sleep_until(stopped_by)
        self.assertFalse(first.holds)
        self.assertEqual({}, first.duty['in_progress'])
        await trio.sleep(20)
        self.assertEqual([second.vm], world.holders())
        self.assertEqual({'v3'}, world.versions())

    async def versions_over(self, world, span_s):
        seen = []
        end = trio.current_time() + span_s
        while trio.current_time() < end:
            seen.append(world.versions())
            await trio.sleep(0.1)
        return seen

    async def orders_of_resumed_holder(self, world) -> set:
        # While a VM is suspended, its clock does not advance either.
        lease = Lease('p/matcher', 1, 1, trio.current_time() + 5)
        codes = set()
        for engine in world.engines:
            try:
                await world.routers[0].engines.order(
                    engine.address, 'load_version', 'v2', lease
                )
                codes.add('done')
            except EngineError as error:
                codes.add(error.code)
        return codes

    @with_world(checks_fencing=True)
    async def test_engine_that_checks_fencing_refuses_late_order(self, world):
        await self.take_over(world)
        world.network.heal()
        seen = await self.versions_over(world, 20)
        self.assertEqual([{'v3'}] * len(seen), seen)
        self.assertIn(('v2', 1, 'stale_fencing_number'), world.arrived)
        codes = await self.orders_of_resumed_holder(world)
        self.assertEqual({'order_fenced'}, codes)
        self.assertEqual({'v3'}, world.versions())

    @with_world(checks_fencing=True)
    async def test_engine_that_needs_no_order_refuses_late_order(self, world):
        first, second, _ = world.routers
        await trio.sleep(30)
        world.platform.set_faults(cut=(first.vm,))
        await trio.sleep(40)
        self.assertEqual([second.vm], world.holders())
        codes = await self.orders_of_resumed_holder(world)
        self.assertEqual({'order_fenced'}, codes)

    @with_world(checks_fencing=False)
    async def test_effect_on_engine_without_fencing_is_corrected(self, world):
        await self.take_over(world)
        world.network.heal()
        for cause in ('late bytes', 'resumed holder'):
            with self.subTest(cause=cause):
                if cause == 'resumed holder':
                    codes = await self.orders_of_resumed_holder(world)
                    self.assertEqual({'done'}, codes)
                seen = await self.versions_over(world, LOAD_S + CORRECTED_S)
                wrong = [versions for versions in seen if 'v2' in versions]
                self.assertNotEqual([], wrong)
                self.assertEqual({'v3'}, seen[-1])
