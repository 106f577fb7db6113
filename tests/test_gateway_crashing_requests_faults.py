"""
tests.test_gateway_crashing_requests_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that end one server after the other, and against
refusing sound ones, while routers, the store and other servers fail as well.
"""

import os

import testtools
import trio

from .simulated_crashes import SENDS_ALLOWED
from .simulated_fleet import Shape
from .test_gateway_crashing_parts import CONTACT_S, play, start_callers
from .test_gateway_crashing_parts_faults import FAULTS, FAULTS_PER_PLAY
from .test_gateway_crashing_requests import BAD, CRASHES_BEFORE_RULE, WORSE

# SEEDS replaces the default, for longer runs by hand.
SEEDS = tuple(int(seed) for seed in os.environ.get('SEEDS', '0 1 2').split())
SOUND_POLLS = ('status', 'health', 'list')


async def random_faults(fleet):
    source = fleet.random
    callers = await start_callers(
        fleet,
        servers=source.choice((4, 6, 8, 12)),
        requests_per_s=source.choice((3, 5, 8)),
        latency_s=source.uniform(0.05, 0.6),
    )
    for name in SOUND_POLLS:
        fleet.nursery.start_soon(callers.poll, name, source.uniform(0.1, 2))
    for name in (BAD, WORSE)[: source.choice((1, 2))]:
        callers.crashing_names.add(name)
        fleet.nursery.start_soon(callers.poll, name, source.uniform(0.5, 4))
    for _ in range(FAULTS_PER_PLAY):
        await trio.sleep(source.uniform(1, 4))
        await source.choice(FAULTS)(fleet, callers)
    await trio.sleep(6)
    return callers


def play_seed(seed):
    domains = 2 + seed % 3
    shape = Shape(domains, size=3, config_s=2, contact_s=CONTACT_S)
    return play(random_faults, seed, shape)


def refused_sound_requests(callers):
    return {
        attempt.parts
        for attempt in callers.attempts
        if attempt.code in {'part_quarantined', 'request_quarantined'}
        and not callers.crashing_parts.intersection(attempt.parts)
        and not callers.crashing_names.intersection(attempt.parts)
    }


class RandomFaultTests(testtools.TestCase):
    def test_requests_stay_refused_and_sound_ones_are_sent(self):
        for seed in SEEDS:
            callers = play_seed(seed)
            refused = refused_sound_requests(callers)
            self.assertEqual(set(), refused, f'seed {seed}')
            for name in callers.crashing_names:
                excess = callers.excess_sends(
                    name, CONTACT_S, CRASHES_BEFORE_RULE
                )
                self.assertLessEqual(excess, SENDS_ALLOWED, f'seed {seed}')
