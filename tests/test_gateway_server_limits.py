"""
tests.test_gateway_server_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets that send a server more requests than the limit that it
named to all routers together, or far fewer.
"""

import os

import testtools
import trio

from .fault_schedule import run_seeded
from .simulated_callers import (
    KNOWN_FOR_S,
    SERVICE,
    BackendServer,
    Callers,
    allowed_requests,
)
from .simulated_fleet import Shape, simulate

CONTACT_S = 3
SMALL = Shape(domains=2, size=3, config_s=2, contact_s=CONTACT_S)
MEDIUM = Shape(domains=4, size=2, config_s=2, contact_s=CONTACT_S)
LARGE = Shape(domains=4, size=18, config_s=2, contact_s=CONTACT_S)
SEEDS = range(3)
# SEEDS replaces the default.
FAULT_SEEDS = tuple(int(seed) for seed in os.environ.get('SEEDS', '0').split())


def play(shape, seed, scenario):
    """Simulate a fleet of the given shape, and return what the scenario does."""
    outcomes = []

    async def keep_outcome(fleet):
        outcomes.append(await scenario(fleet))

    run_seeded(lambda: simulate(shape, seed, keep_outcome), seed)
    return outcomes[0]


def make_servers(fleet, count):
    domains = fleet.shape.domains
    return [
        BackendServer(
            f'b{number}', f'10.200.0.{number}:80', f'd{number % domains}'
        )
        for number in range(count)
    ]


async def name_limits(fleet, count, limit, priorities=(5,), total=6):
    """Let some servers name a limit, and wait until the rule counts."""
    servers = make_servers(fleet, total)
    callers = Callers(fleet, servers, priorities)
    await callers.start(requests_per_s=5)
    await trio.sleep(2)
    for server in servers[:count]:
        server.limit = limit
    await trio.sleep(CONTACT_S)
    return servers, callers


async def name_limit_of_one_server(fleet):
    """Let one of three servers name a limit, and play on for 15 s."""
    servers, _ = await name_limits(fleet, 1, '2', total=3)
    start_at = trio.current_time()
    await trio.sleep(15)
    return servers[0].most_requests(start_at, KNOWN_FOR_S)


async def partition_domain(fleet):
    fleet.cut_domains.add('d0')
    await trio.sleep(9)
    fleet.cut_domains.clear()
    await trio.sleep(4)


async def restart_keepers(fleet):
    for _ in range(3):
        keeper = find_keeper(fleet)
        keeper.kill()
        await trio.sleep(fleet.random.uniform(0.5, 4))
        await keeper.start()
        await trio.sleep(3)


async def freeze_keepers(fleet):
    for _ in range(2):
        keeper = find_keeper(fleet)
        keeper.freeze()
        await trio.sleep(fleet.random.uniform(1, 5))
        keeper.thaw()
        await trio.sleep(3)


async def restart_all(fleet):
    for router in fleet.routers:
        router.draining = True
        router.member.roster.draining = True
        await trio.sleep(1)
        router.kill()
        await trio.sleep(0.5)
        await router.start()


async def lose_store_and_heartbeats(fleet):
    fleet.store_down = 'silent'
    fleet.heartbeat_loss = 0.3
    await trio.sleep(10)


def find_keeper(fleet):
    return next(
        router
        for router in fleet.routers
        if router.member and router.member.permits.dump()
    )


def with_fault(fault, limit, count):
    """Play a fault while servers name a limit; return requests in 4 s."""

    async def scenario(fleet):
        servers, _ = await name_limits(fleet, count, limit)
        start_at = trio.current_time()
        await fault(fleet)
        return max(server.most_requests(start_at) for server in servers[:count])

    return scenario


class LimitTests(testtools.TestCase):
    def test_routers_together_keep_the_limit_of_a_server(self):
        # No router read the limit; six of them sent up to 40 requests in 4 s.
        for seed in SEEDS:
            most = play(SMALL, seed, name_limit_of_one_server)
            self.assertLessEqual(most, allowed_requests(2), f'seed {seed}')

    def test_routers_together_keep_limits_under_faults(self):
        # Counts the requests of all routers, also of those that are cut off,
        # frozen or just started.
        faults = (
            partition_domain,
            restart_keepers,
            freeze_keepers,
            restart_all,
            lose_store_and_heartbeats,
        )
        for seed in FAULT_SEEDS:
            for fault in faults:
                for shape, count in ((SMALL, 1), (MEDIUM, 6)):
                    most = play(shape, seed, with_fault(fault, '2', count))
                    label = f'seed {seed}, {fault.__name__}, {count} limits'
                    self.assertLessEqual(most, allowed_requests(2), label)

    def test_limit_below_the_number_of_routers_is_kept_and_used(self):
        async def scenario(fleet):
            servers, _ = await name_limits(fleet, 1, '0.4')
            start_at = trio.current_time()
            await trio.sleep(20)
            server = servers[0]
            return server.most_requests(start_at), server.count(start_at, 20)

        most, served = play(LARGE, 1, scenario)
        self.assertLessEqual(most, allowed_requests(0.4))
        self.assertGreaterEqual(served, 0.8 * 0.4 * 20)

    def test_request_to_a_limited_server_is_never_sent_again(self):
        # On a pooled connection that broke the server may have read it.
        async def scenario(fleet):
            servers, _ = await name_limits(fleet, 1, '2')
            await trio.sleep(3)
            return [
                arrival.may_resend
                for arrival in servers[0].arrivals
                if arrival.known_for_s
            ]

        self.assertEqual({False}, set(play(SMALL, 1, scenario)))

    def test_limit_is_followed_as_it_changes(self):
        async def scenario(fleet):
            servers, _ = await name_limits(fleet, 1, '8', total=3)
            counts = []
            for limit in ('0', '4', 'invalid', None):
                servers[0].limit = limit
                # A limit of 0 still lets a request through every 10 s.
                await trio.sleep(12)
                start_at = trio.current_time()
                await trio.sleep(20)
                counts.append(servers[0].count(start_at, 20))
            return counts

        none, four, invalid, unlimited = play(SMALL, 1, scenario)
        self.assertTrue(1 <= none <= 5, none)
        self.assertTrue(64 <= four <= 85, four)
        self.assertTrue(64 <= invalid <= 85, invalid)
        self.assertGreater(unlimited, 120)


class ConnectionTests(testtools.TestCase):
    def test_routers_together_keep_the_connections_of_a_service(self):
        # Each router opens connections as if it were the only one.
        async def scenario(fleet):
            servers = make_servers(fleet, 1)
            callers = Callers(fleet, servers)
            await callers.start(requests_per_s=1)
            for router in fleet.routers:
                fleet.nursery.start_soon(callers.send, router, 5)
            await trio.sleep(1)
            holder = fleet.routers[0].member.store_view.configuration
            service = holder.current.services_by_name[SERVICE]
            return servers[0].most_in_progress, service.max_connections

        most, allowed = play(LARGE, 1, scenario)
        self.assertLessEqual(most, allowed)


class ServiceTests(testtools.TestCase):
    def test_other_servers_take_what_a_limit_holds_back(self):
        async def scenario(fleet):
            _, callers = await name_limits(fleet, 2, '1')
            await trio.sleep(10)
            return callers.refusals

        self.assertEqual([], play(MEDIUM, 1, scenario))

    def test_service_with_limits_only_is_used_up_to_their_sum(self):
        async def scenario(fleet):
            servers, callers = await name_limits(fleet, 6, '2')
            start_at = trio.current_time()
            refused = len(callers.refusals)
            await trio.sleep(10)
            served = sum(server.count(start_at, 10) for server in servers)
            return served, callers.refusals[refused:]

        served, refusals = play(MEDIUM, 1, scenario)
        self.assertGreaterEqual(served, 0.8 * 6 * 2 * 10)
        self.assertEqual({'overloaded'}, {error.code for error in refusals})
        self.assertEqual({'not_run'}, {error.outcome for error in refusals})
        self.assertTrue(all(error.retry_after_s for error in refusals))

    def test_urgent_requests_are_served_before_others(self):
        async def scenario(fleet):
            _, callers = await name_limits(fleet, 6, '2', (1, 8))
            callers.answered_by_priority.clear()
            await trio.sleep(10)
            return callers.answered_by_priority

        answered = play(MEDIUM, 1, scenario)
        self.assertGreater(answered[1], answered[8])
