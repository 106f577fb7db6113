"""
tests.test_gateway_evacuations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests to servers of evacuated failure domains.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.evacuations import LISTED_ID, evacuation_id
from eelgrassfork.gateway.follower import StoreView
from eelgrassfork.gateway.server_records import ServerRecord, ServerRecords

from . import gateway_world, mock_clock
from .fault_schedule import run_seeded
from .gateway_world import run_world
from .simulated_fleet import Shape, simulate
from .test_gateway_follower import DECODERS, ENTRY

EVACUATION_S = 5
SHAPE = Shape(size=6, evacuation_s=EVACUATION_S)
SERVER = ServerRecord('s', 6, False, msgspec.json.encode(ENTRY))
LISTED = ServerRecord(LISTED_ID, 0, False, b'')
EVACUATED = ServerRecord(evacuation_id('d0'), 7, False, b'')


def usable_at(fleet):
    """Count the usable servers of each router."""
    return {
        router.node: len(router.member.store_view.servers.usable('plain'))
        for router in fleet.routers
        if router.member
    }


def count_kind_calls(fleet, kind):
    """Count the reads of a kind from now on."""
    counts = []
    for name in ('list_all', 'watch'):
        read = getattr(fleet.store, name)

        async def count(of, *options, read=read):
            if of == kind:
                counts.append(trio.current_time())
            return await read(of, *options)

        setattr(fleet.store, name, count)
    return counts


async def churn(fleet, until):
    """Rewrite entries of servers, as servers do all the time."""
    while trio.current_time() < until:
        fleet.put_server('s1')
        fleet.put_server('s2', zone='d1')
        await trio.sleep(0.05)


async def evacuate_and_revoke(fleet):
    fleet.put_server('s2', zone='d1')
    await churn(fleet, trio.current_time() + 3)
    before = set(usable_at(fleet).values())
    fleet.store.put('evacuations', 'd0', b'[]')
    await churn(fleet, trio.current_time() + EVACUATION_S)
    during = set(usable_at(fleet).values())
    fleet.store.remove('evacuations', 'd0')
    await churn(fleet, trio.current_time() + EVACUATION_S)
    fleet.outcome = before, during, set(usable_at(fleet).values())


async def evacuate_with_faults(fleet):
    """Cut a domain off the store, restart a router, restore the store."""
    fleet.store.put('evacuations', 'd0', {'any': 'thing'})
    copy = fleet.store.copy_state()
    await trio.sleep(EVACUATION_S)
    fleet.store_down = 'refuse'
    await trio.sleep(4)
    down = set(usable_at(fleet).values())
    fleet.store_down = ''
    fleet.store.remove('evacuations', 'd0')
    fleet.store.compact()
    await trio.sleep(EVACUATION_S + 4)
    revoked = set(usable_at(fleet).values())
    fleet.store.restore(copy)
    await trio.sleep(EVACUATION_S + 4)
    fleet.outcome = down, revoked, set(usable_at(fleet).values())


async def evacuate_while_connections_stall(fleet):
    fleet.silence_connections()
    fleet.store.put('evacuations', 'd0', {})
    # Routers count as connected again after the contact time.
    await trio.sleep(fleet.shape.contact_s + EVACUATION_S)
    fleet.outcome = set(usable_at(fleet).values())


async def restart_while_evacuated(fleet):
    fleet.store.put('evacuations', 'd0', {})
    await trio.sleep(EVACUATION_S)
    seen = set()
    for router in fleet.routers[::4]:
        router.kill()
        await router.start()
        for _ in range(400):
            await trio.sleep(0.01)
            seen |= set(usable_at(fleet).values())
    fleet.outcome = seen


def run_fleet(scenario, shape=SHAPE, prepare=None):
    async def main():
        fleet = await simulate(shape, 3, scenario, prepare)
        return fleet.outcome

    return run_seeded(main, 3)


class FleetTests(testtools.TestCase):
    def test_all_routers_follow_an_evacuation_while_entries_change(self):
        self.assertEqual(({2}, {1}, {2}), run_fleet(evacuate_and_revoke))

    def test_evacuation_survives_outages_and_follows_restores(self):
        self.assertEqual(({0}, {1}, {0}), run_fleet(evacuate_with_faults))

    def test_evacuation_is_noticed_though_all_watches_stall(self):
        found = [
            run_fleet(evacuate_while_connections_stall, shape)
            for shape in (SHAPE, Shape(1, 1, evacuation_s=EVACUATION_S))
        ]
        self.assertEqual([{0}, {0}], found)

    def test_restarted_router_never_uses_an_evacuated_domain(self):
        self.assertEqual({0}, run_fleet(restart_while_evacuated))

    def test_without_the_setting_the_kind_is_never_read(self):
        async def scenario(fleet):
            await trio.sleep(20)
            fleet.outcome = len(fleet.counts)

        def prepare(fleet):
            fleet.counts = count_kind_calls(fleet, 'evacuations')

        self.assertEqual(0, run_fleet(scenario, Shape(), prepare))
        self.assertLess(0, run_fleet(scenario, SHAPE, prepare))


class StoreViewTests(testtools.TestCase):
    def usable(self, steps, evacuation_s=EVACUATION_S):
        """Return the number of usable servers after each step."""

        async def scenario():
            view = StoreView(DECODERS, lambda: None, evacuation_s)
            found = []
            for step in steps:
                if isinstance(step, ServerRecord):
                    view.apply_server_records([step], 'test')
                else:
                    await trio.sleep(step)
                found.append(len(view.servers.usable('svc')))
            return found

        return mock_clock.run(scenario)

    def test_servers_wait_until_evacuations_are_known(self):
        self.assertEqual([0, 1, 0], self.usable([SERVER, LISTED, EVACUATED]))

    def test_store_without_the_kind_does_not_stop_the_router(self):
        self.assertEqual([0, 1], self.usable([SERVER, EVACUATION_S]))

    def test_servers_are_used_at_once_without_the_setting(self):
        self.assertEqual([1, 0], self.usable([SERVER, EVACUATED], None))

    def test_newest_evacuation_is_exported_to_peers_that_are_ahead(self):
        records = ServerRecords()
        for record in (SERVER, EVACUATED, LISTED):
            records.put(record)
        self.assertEqual([EVACUATED, LISTED], records.export(99))
        self.assertEqual(SERVER.revision, records.newest)


class RequestTests(testtools.TestCase):
    def test_request_is_refused_if_all_servers_are_evacuated(self):
        async def scenario(world, nursery):
            before, _ = await world.call('/look/1')
            view = world.node._store_view
            view.apply_server_records([EVACUATED], 'test')
            answer, body = await world.call('/look/2', 'r2')
            page = world.node.dump()['evacuations']
            return before.status, answer, body, page, world.replicas[0].runs

        before, answer, body, page, runs = run_world(scenario, plain=[['ok']])
        self.assertEqual((200, 503), (before, answer.status))
        self.assertEqual(['r1'], runs)
        self.assertIn(b'no_server', body)
        self.assertIn('retry-after', answer.headers_by_name)
        self.assertEqual(['d0'], list(page['age_s_by_domain']))

    def test_router_follows_the_objects_of_the_platform(self):
        async def scenario(world, nursery):
            statuses = []
            for change in (
                lambda: None,
                lambda: world.store.put('evacuations', 'd0', ['any']),
                lambda: world.store.remove('evacuations', 'd0'),
            ):
                change()
                await trio.sleep(0.3)
                answer, _ = await world.call('/look/1', f'r{len(statuses)}')
                statuses.append(answer.status)
            return statuses

        settings = f'{gateway_world.SETTINGS}bounds.evacuationMs=5000\n'
        self.patch(gateway_world, 'SETTINGS', settings)
        found = run_world(scenario, plain=[['ok']])
        self.assertEqual([200, 503, 200], found)
