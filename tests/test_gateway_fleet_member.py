"""
tests.test_gateway_fleet_member
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets in which a change that was acknowledged stays unknown.
"""

import testtools
import trio

from .belief_world import Shape, play
from .fault_schedule import run_seeded

# Each router takes up what comes so much later on average, as it is busy.
LATENESS_S = 0.08


def make_busy(world):
    for router in world.routers:
        router.lateness_s = LATENESS_S


async def lose_watchers(world):
    """Cut off a failure domain, kill its watchers, change something."""
    make_busy(world)
    await trio.sleep(2)
    domain = world.routers[-1].domain
    world.cut_domains.add(domain)
    await trio.sleep(world.random.uniform(0.5, 5))
    for router in world.routers:
        if (
            router.domain == domain
            and router.member.duties.configuration.must_watch
        ):
            router.kill()
    await trio.sleep(world.random.uniform(0, 0.5))
    world.put_version(9)
    await trio.sleep(8)


def broken(shape, seed, scenario):
    return run_seeded(lambda: play(shape, seed, scenario), seed).broken


class ChangeTests(testtools.TestCase):
    def test_change_is_known_where_the_watchers_died(self):
        # What busy routers tell each other of a contact with the store seemed
        # ever newer, so that nobody asked for it.
        found = [
            line
            for seed in range(4)
            for line in broken(Shape(), seed, lose_watchers)
        ]
        self.assertEqual([], found)
