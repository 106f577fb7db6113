"""
tests.test_gateway_crashing_parts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests of one kind that end one server after the other, and
against refusing sound requests that were beside them.
"""

import os

import testtools
import trio

from .fault_schedule import run_seeded
from .simulated_crashes import SENDS_ALLOWED, CrashCallers, CrashingServer
from .simulated_fleet import Shape, simulate

CONTACT_S = 3
SMALL = Shape(domains=2, size=3, config_s=2, contact_s=CONTACT_S)
BAD = 'bad'
BAD_PARTS = ('f0', '1', BAD)
# Requests that were sent before two crashes were known add to these.
MAX_CRASHES = 3
INF = float('inf')
# SEEDS replaces the default.
SEEDS = tuple(int(seed) for seed in os.environ.get('SEEDS', '0 1').split())


async def start_callers(fleet, servers=8, requests_per_s=5, latency_s=0.25):
    """Start servers and sound callers, and wait until they are known."""
    domains = fleet.shape.domains
    callers = CrashCallers(
        fleet,
        [
            CrashingServer(
                f'b{number}',
                f'10.200.0.{number}:80',
                f'd{number % domains}',
                latency_s,
            )
            for number in range(servers)
        ],
    )
    await callers.start(requests_per_s)
    await trio.sleep(3)
    callers.crashing_parts.add(BAD)
    return callers


def play(scenario, seed, shape=SMALL):
    """Simulate a fleet, and return its callers."""
    outcomes = []

    async def keep_outcome(fleet):
        callers = await scenario(fleet)
        callers.quarantines = quarantines(fleet)
        outcomes.append(callers)

    run_seeded(lambda: simulate(shape, seed, keep_outcome), seed)
    return outcomes[0]


def quarantines(fleet):
    """Return the sets of quarantined parts that the routers have."""
    return {
        frozenset(record['part'] for record in router.member.quarantine.dump())
        for router in fleet.routers
    }


async def bad_requests_at_all_routers(fleet):
    callers = await start_callers(fleet)
    await callers.call_with(BAD_PARTS, interval_s=2)
    await trio.sleep(20)
    return callers


async def bad_requests_at_one_router_first(fleet):
    callers = await start_callers(fleet)
    await callers.call_with(BAD_PARTS, 2, fleet.routers[:1])
    await trio.sleep(8)
    await callers.call_with(BAD_PARTS, 2, fleet.routers[1:])
    await trio.sleep(12)
    return callers


async def bad_part_in_first_place(fleet):
    callers = await start_callers(fleet)
    await callers.call_with((BAD, 'f0', '1'), 2)
    await trio.sleep(20)
    return callers


async def two_bad_parts(fleet):
    callers = await start_callers(fleet)
    callers.crashing_parts.add('worse')
    fleet.nursery.start_soon(callers.call_with, BAD_PARTS, 2)
    await callers.call_with(('f0', '2', 'worse'), 2)
    await trio.sleep(20)
    return callers


async def four_bad_requests(fleet):
    callers = await start_callers(fleet)
    for router in fleet.routers[:4]:
        callers.send_soon(router, BAD_PARTS)
        await trio.sleep(fleet.random.uniform(0.2, 4))
    await trio.sleep(10)
    return callers


async def router_restarts(fleet):
    callers = await start_callers(fleet)
    await callers.call_with(BAD_PARTS, 2)
    await trio.sleep(5)
    router = fleet.random.choice(fleet.routers)
    router.kill()
    await trio.sleep(1)
    await router.start()
    await trio.sleep(10)
    return callers


async def bad_requests_at_one_server(fleet):
    callers = await start_callers(fleet)
    for router in fleet.routers:
        callers.send_soon(router, BAD_PARTS)
    await trio.sleep(6)
    return callers


async def bad_requests_wait_at_slow_servers(fleet):
    callers = await start_callers(fleet, latency_s=1.2)
    for router in fleet.routers:
        callers.send_soon(router, BAD_PARTS)
        await trio.sleep(0.1)
    await trio.sleep(6)
    return callers


async def domain_is_cut_off(fleet):
    callers = await start_callers(fleet)
    fleet.nursery.start_soon(callers.call_with, BAD_PARTS, 2)
    while not callers.crashes:
        await trio.sleep(0.01)
    fleet.cut_domains.add('d0')
    await trio.sleep(12)
    fleet.cut_domains.clear()
    await trio.sleep(8)
    return callers


async def all_routers_restart(fleet):
    callers = await start_callers(fleet)
    await callers.call_with(BAD_PARTS, 2)
    await trio.sleep(4)
    for _ in range(3):
        for router in fleet.routers:
            router.kill()
        await trio.sleep(1)
        for router in fleet.routers:
            await router.start()
        await trio.sleep(6)
    return callers


async def heartbeats_are_lost(fleet):
    callers = await start_callers(fleet)
    fleet.heartbeat_loss = 0.3
    await callers.call_with(BAD_PARTS, 2)
    await trio.sleep(20)
    return callers


async def servers_end_by_themselves(fleet):
    callers = await start_callers(fleet)
    for _ in range(12):
        running = [server for server in callers.servers if not server.ended]
        callers.crash(fleet.random.choice(running))
        await trio.sleep(8 / 12)
    await trio.sleep(5)
    return callers


class CrashingPartTests(testtools.TestCase):
    def test_requests_of_one_kind_do_not_end_one_server_after_the_other(self):
        # Each router repeated such requests, and none remembered them: 53
        # crashes in 19 s.
        for seed in SEEDS:
            callers = play(bad_requests_at_all_routers, seed)
            excess = callers.excess_sends(BAD, CONTACT_S)
            self.assertLessEqual(excess, SENDS_ALLOWED, f'seed {seed}')

    def test_few_servers_end_however_the_requests_arrive(self):
        for scenario in (
            bad_requests_at_all_routers,
            bad_requests_at_one_router_first,
            bad_part_in_first_place,
            two_bad_parts,
            four_bad_requests,
            router_restarts,
            heartbeats_are_lost,
        ):
            for seed in SEEDS:
                callers = play(scenario, seed)
                label = f'seed {seed}, {scenario.__name__}'
                for part in callers.crashing_parts:
                    ends = len(callers.crashes_of(part))
                    self.assertLessEqual(ends, MAX_CRASHES, label)

    def test_quarantine_outlasts_a_restart_of_all_routers(self):
        # Each restart would end two more servers.
        for seed in SEEDS:
            callers = play(all_routers_restart, seed)
            ends = len(callers.crashes_of(BAD))
            self.assertLessEqual(ends, MAX_CRASHES, f'seed {seed}')

    def test_sound_requests_beside_them_are_served(self):
        for scenario in (bad_part_in_first_place, two_bad_parts):
            for seed in SEEDS:
                callers = play(scenario, seed)
                start_at = max(crash.at for crash in callers.crashes)
                share = callers.served_share(start_at + 2 * CONTACT_S, INF)
                self.assertEqual(1, share, f'seed {seed}')

    def test_failure_domain_that_is_cut_off_finds_the_part_by_itself(self):
        for seed in SEEDS:
            callers = play(domain_is_cut_off, seed)
            ends = len(callers.crashes_of(BAD))
            self.assertLessEqual(ends, 2 * MAX_CRASHES, f'seed {seed}')

    def test_repeats_of_several_requests_end_one_server_only(self):
        # All requests of a server that ended were repeated at others.
        for seed in SEEDS:
            callers = play(bad_requests_at_one_server, seed)
            self.assertLessEqual(len(callers.crashes), 2, f'seed {seed}')

    def test_requests_that_wait_at_servers_are_cancelled(self):
        # All of them are sent before the first crash.
        for seed in SEEDS:
            callers = play(bad_requests_wait_at_slow_servers, seed)
            ends = len(callers.crashes_of(BAD))
            self.assertLessEqual(ends, MAX_CRASHES, f'seed {seed}')

    def test_refused_requests_have_not_run(self):
        callers = play(bad_requests_at_all_routers, 0)
        refused = [
            attempt
            for attempt in callers.attempts
            if attempt.code == 'part_quarantined'
        ]
        sent = {send.parts for send in callers.sends}
        self.assertGreater(len(refused), 50)
        self.assertEqual(set(), sent.intersection(one.parts for one in refused))
        self.assertEqual({'not_run'}, {one.outcome for one in refused})


class SpontaneousCrashTests(testtools.TestCase):
    def test_servers_that_end_by_themselves_cost_no_sound_request(self):
        for seed in SEEDS:
            callers = play(servers_end_by_themselves, seed)
            self.assertEqual(1, callers.served_share(0, INF), f'seed {seed}')
            self.assertEqual({frozenset()}, callers.quarantines)
