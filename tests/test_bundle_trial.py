"""
tests.test_bundle_trial
~~~~~~~~~~~~~~~~~~~~~~~

Guards against trials that put a bundle in force or fail to report problems.
"""

import testtools
import trio

from eelgrassfork.bundle import part_key

from . import bundles
from .rollout_net import DOMAIN
from .test_rollout import run_net

KEY_A, KEY_B = 'a' * 64, 'b' * 64


def kinds(services=('pazlen/s',), place=DOMAIN, keys=(KEY_A,), budget='main'):
    return {
        'fleets': {'pazlen': {}},
        'places': {place: {'fleet': 'pazlen', 'region': 'r'}},
        'services': {name: {'kind': 'plain'} for name in services},
        'organisations': {
            'pazlen/a': {
                'budgets_by_key_hash': dict.fromkeys(keys, budget),
                'services': [],
            }
        },
    }


class TrialTests(testtools.TestCase):
    async def start(self, net, nursery):
        """Start a router with version 2 in force."""
        held = bundles.held_bundle(2, kinds(keys=(KEY_A, KEY_B)))
        await self.put_parts(net, held)
        await net.put_current(held.signed.envelope)
        router = await net.add(nursery, 'vm-1', watches=True)
        await trio.sleep(3)
        self.assertEqual([2], net.versions())
        return router

    async def put_parts(self, net, held):
        parts = held.parts_by_hash.items()
        await net.put_parts({key: part.body for key, part in parts})

    async def run_trial(self, net, router, held, listed=('pazlen/s',)):
        await self.put_parts(net, held)
        return await router.rollout.trial.run(held.signed.envelope, listed)

    @run_net
    async def test_valid_bundle_is_reported_and_discarded(self, net, nursery):
        router = await self.start(net, nursery)
        other = await net.add(nursery, 'vm-2')
        held = bundles.held_bundle(7, kinds(services=('pazlen/s', 'pazlen/t')))
        report = await self.run_trial(net, router, held)
        self.assertEqual((7, 2, []), report[:3])
        self.assertEqual(
            [
                'the new service pazlen/t has no listed server',
                '1 keys stop working',
            ],
            report.notices,
        )
        await trio.sleep(20)
        self.assertEqual([2, 2], net.versions())
        self.assertEqual(2, router.rollout.held_version)
        self.assertEqual(2, other.rollout.held_version)

    @run_net
    async def test_problems_are_reported(self, net, nursery):
        router = await self.start(net, nursery)
        cases = {
            'version 2 is not above 2': bundles.held_bundle(2, kinds()),
            'it lacks this place': bundles.held_bundle(
                3, kinds(place='pazlen/x')
            ),
            'it lacks the service pazlen/s': bundles.held_bundle(
                3, kinds(services=('pazlen/t',))
            ),
            'is not trusted': bundles.held_bundle(
                3, kinds(), key=bundles.OTHER_KEY
            ),
        }
        for message, held in cases.items():
            with self.subTest(message=message):
                report = await self.run_trial(net, router, held)
                self.assertIn(message, ' '.join(report.problems))
        report = await router.rollout.trial.run(b'no bundle', ())
        self.assertEqual((0, 2), report[:2])
        self.assertEqual(1, len(report.problems))
        missing = bundles.held_bundle(3, kinds(budget='other'))
        report = await router.rollout.trial.run(missing.signed.envelope, ())
        self.assertIn('no missing part of version 3', report.problems[0])
        self.assertIsNone(
            await net.platform.get(part_key(list(missing.parts_by_hash)[-1]))
        )
        net.platform.set_faults(down=True)
        report = await router.rollout.trial.run(missing.signed.envelope, ())
        self.assertEqual(1, len(report.problems), report)

    @run_net
    async def test_renamed_service_with_alias_is_no_problem(self, net, nursery):
        router = await self.start(net, nursery)
        held = bundles.held_bundle(
            3,
            kinds(services=('pazlen/t',), budget='other'),
            {'services': {'pazlen/s': 'pazlen/t'}},
        )
        report = await self.run_trial(net, router, held)
        self.assertEqual([], report.problems)
        self.assertEqual(
            ['1 keys stop working', '1 keys draw on another budget'],
            report.notices,
        )
