"""
tests.test_bundle_stages
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against rollouts that continue after a failed check, and against trials
that put a bundle in force before its acceptance.
"""

import functools

import testtools
import trio
import trio.testing

from eelgrassfork import bundle_stages, bundle_submit
from eelgrassfork.errors import EelgrassError
from eelgrassfork.router_status import status_line

from . import bundles
from .router_fleet import OPERATOR_KEY, RouterFleet

PLACES = {
    'vm-1': 'pazlen/a',
    'vm-2': 'pazlen/a',
    'vm-3': 'pazlen/b',
    'vm-4': 'pazlen/c',
}


def on_fleet(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = RouterFleet(nursery, PLACES)
                await submit(fleet, signed(1))
                await fleet.start()
                await trio.sleep(5)
                self.assertEqual({1}, set(fleet.versions().values()))
                await test(self, fleet)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


def signed(version, places=('a', 'b', 'c'), **options):
    kinds = {
        'fleets': {'pazlen': {}},
        'places': {
            f'pazlen/{name}': {'fleet': 'pazlen', 'region': f'r{version}'}
            for name in places
        },
    }
    return bundles.held_bundle(version, kinds, **options)


async def submit(fleet, held):
    return await bundle_submit.submit(
        fleet.store, held, await fleet.store.accepted()
    )


class StageTests(testtools.TestCase):
    async def run_stages(self, fleet, held, *stages, wait_s=0):
        reported_lines = []
        inputs = bundle_stages.StageInputs(
            fleet.http,
            fleet.store,
            fleet.read_vms,
            OPERATOR_KEY,
            wait_s,
            reported_lines.append,
        )
        try:
            await bundle_stages.run_stages(inputs, held, stages)
        except EelgrassError as error:
            return reported_lines, error
        return reported_lines, None

    @on_fleet
    async def test_trials_do_not_put_the_bundle_in_force(self, fleet):
        stages = bundle_stages.default_stages(await fleet.read_vms())
        self.assertEqual([['pazlen/a'], ['pazlen/b'], ['pazlen/c']], stages)
        reported_lines, error = await self.run_stages(
            fleet, signed(2), *stages, wait_s=9
        )
        self.assertIsNone(error)
        self.assertEqual(
            4, sum('would take it' in line for line in reported_lines)
        )
        self.assertEqual({1}, set(fleet.versions().values()))
        self.assertEqual(1, (await fleet.store.accepted()).version)

    @on_fleet
    async def test_first_failed_stage_stops_the_rollout(self, fleet):
        stages = [['pazlen/a'], ['pazlen/b'], ['pazlen/c']]
        cases = (
            (signed(2, places=('a', 'c')), 2, 'vm-3: it lacks this place'),
            (signed(2, key=bundles.OTHER_KEY), 1, 'is not trusted'),
        )
        for held, last_stage, message in cases:
            reported_lines, error = await self.run_stages(fleet, held, *stages)
            self.assertEqual('rollout_stopped', error.code)
            self.assertIn(message, error.message)
            stage_lines = [
                line for line in reported_lines if line.startswith('stage')
            ]
            self.assertEqual(last_stage, len(stage_lines))
        self.assertEqual(1, (await fleet.store.accepted()).version)

    @on_fleet
    async def test_partitioned_place_fails_unless_left_out(self, fleet):
        fleet.isolate('pazlen/c')
        held = signed(2)
        reported_lines, error = await self.run_stages(fleet, held, ['pazlen/c'])
        self.assertEqual('rollout_stopped', error.code)
        self.assertIn('no router of pazlen/c answers', error.message)
        stages = (['pazlen/a', 'pazlen/b'],)
        reported_lines, error = await self.run_stages(fleet, held, *stages)
        self.assertIsNone(error)
        await submit(fleet, held)
        reported_lines = []
        behind = await bundle_stages.watch_statuses(
            fleet.statuses, 2, 30, reported_lines.append
        )
        self.assertEqual(3, len(reported_lines))
        [status] = behind
        self.assertEqual(('vm-4', 'unreachable', 1), status[1:4])
        self.assertTrue(0 < status.heard_s_ago < 15, status)
        line = status_line(status)
        self.assertIn(f'{status.heard_s_ago} s ago', line)
        fleet.heal()
        await trio.sleep(10)
        self.assertEqual({2}, set(fleet.versions().values()))

    @on_fleet
    async def test_concurrent_submission_and_dead_router_stop_the_rollout(
        self, fleet
    ):
        async with trio.open_nursery() as nursery:

            async def interfere():
                await trio.sleep(5)
                await submit(fleet, signed(2, author='ben'))

            nursery.start_soon(interfere)
            stages = [['pazlen/a'], ['pazlen/b']]
            reported_lines, error = await self.run_stages(
                fleet, signed(2, places=('a', 'b')), *stages, wait_s=10
            )
        self.assertEqual('conflict', error.code)
        self.assertIn('by ben', error.message)
        async with trio.open_nursery() as nursery:

            async def kill():
                await trio.sleep(5)
                fleet.kill('vm-3')

            nursery.start_soon(kill)
            reported_lines, error = await self.run_stages(
                fleet, signed(3), ['pazlen/b'], wait_s=10
            )
        self.assertIn('vm-3 is unreachable', error.message)

    @on_fleet
    async def test_watch_returns_routers_behind_after_timeout(self, fleet):
        reported_lines = []
        behind = await bundle_stages.watch_statuses(
            fleet.statuses, 9, 3, reported_lines.append
        )
        self.assertEqual(([], 4), (reported_lines, len(behind)))
