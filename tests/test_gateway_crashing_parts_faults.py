"""
tests.test_gateway_crashing_parts_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that end one server after the other while routers, the
store, links and other servers fail as well, at random.
"""

import os

import testtools
import trio

from .simulated_crashes import SENDS_ALLOWED
from .simulated_fleet import Shape
from .test_gateway_crashing_parts import BAD, CONTACT_S, play, start_callers

# SEEDS replaces the default, for longer runs by hand.
SEEDS = tuple(int(seed) for seed in os.environ.get('SEEDS', '1 5 16').split())
OTHER = 'worse'
PLACES = (('f0', '1', BAD), (BAD, 'f0', '1'), ('f0', BAD))
FAULTS_PER_PLAY = 4


async def restart_router(fleet, callers):
    router = fleet.random.choice(fleet.routers)
    router.kill()
    await trio.sleep(1)
    await router.start()


async def restart_all_routers(fleet, callers):
    for router in fleet.routers:
        router.kill()
    await trio.sleep(1)
    for router in fleet.routers:
        await router.start()


async def cut_domain(fleet, callers):
    fleet.cut_domains.add('d0')
    await trio.sleep(4)
    fleet.cut_domains.clear()


async def lose_heartbeats(fleet, callers):
    fleet.heartbeat_loss = 0.3
    await trio.sleep(3)
    fleet.heartbeat_loss = 0.01


async def lose_store(fleet, callers):
    fleet.store_down = 'silent'
    await trio.sleep(4)
    fleet.store_down = ''
    fleet.wake_waiting()


async def end_servers(fleet, callers):
    for _ in range(3):
        running = [server for server in callers.servers if not server.ended]
        if running:
            callers.crash(fleet.random.choice(running))
        await trio.sleep(fleet.random.uniform(0, 1))


async def freeze_router(fleet, callers):
    router = fleet.random.choice(fleet.routers)
    router.freeze()
    await trio.sleep(2)
    router.thaw()


FAULTS = (
    restart_router,
    restart_all_routers,
    cut_domain,
    lose_heartbeats,
    lose_store,
    end_servers,
    freeze_router,
)


async def call_at_random(fleet, callers, router, parts):
    while True:
        await trio.sleep(fleet.random.expovariate(1 / 2))
        callers.send_soon(router, parts)


async def random_faults(fleet):
    source = fleet.random
    callers = await start_callers(
        fleet,
        servers=source.choice((4, 6, 8, 12)),
        requests_per_s=source.choice((3, 5, 8)),
        latency_s=source.uniform(0.05, 0.6),
    )
    callers.crashing_parts.add(OTHER)
    places = [source.choice(PLACES), ('f0', '2', OTHER)]
    for parts in places[: source.choice((1, 2))]:
        for router in fleet.routers:
            fleet.nursery.start_soon(
                call_at_random, fleet, callers, router, parts
            )
    for _ in range(FAULTS_PER_PLAY):
        await trio.sleep(source.uniform(1, 4))
        await source.choice(FAULTS)(fleet, callers)
    await trio.sleep(6)
    return callers


class RandomFaultTests(testtools.TestCase):
    def test_requests_stay_refused_and_sound_ones_are_sent(self):
        for seed in SEEDS:
            domains = 2 + seed % 3
            shape = Shape(domains, size=3, config_s=2, contact_s=CONTACT_S)
            callers = play(random_faults, seed, shape)
            refused = {
                attempt.parts
                for attempt in callers.attempts
                if attempt.code == 'part_quarantined'
                and not callers.crashing_parts.intersection(attempt.parts)
            }
            self.assertEqual(set(), refused, f'seed {seed}')
            for part in callers.crashing_parts:
                excess = callers.excess_sends(part, CONTACT_S)
                self.assertLessEqual(excess, SENDS_ALLOWED, f'seed {seed}')
