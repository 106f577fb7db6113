"""
tests.test_budget_admin
~~~~~~~~~~~~~~~~~~~~~~~

Guards against top-ups that are applied twice or not at all.
"""

import testtools
import trio
import trio.testing

from eelgrassfork import budget_admin, bundle
from eelgrassfork.errors import EelgrassError
from standins.fake_platform import FakePlatform

from . import bundles

BUDGET = 'pazlen/atelier/main'
KEY = 'ledger/pazlen/0'


def run(test):
    return trio.run(
        test, FakePlatform(), clock=trio.testing.MockClock(autojump_threshold=0)
    )


async def top_up(platform, operation_id='op-1', amount=100, read=None):
    change = budget_admin.TopUp(BUDGET, operation_id, amount, read)
    return await budget_admin.apply_top_up(platform, KEY, change)


async def granted(platform):
    view = await budget_admin.read_budget(platform, KEY, BUDGET)
    return view.granted


class TopUpTests(testtools.TestCase):
    def test_repeated_operation_is_applied_once(self):
        async def main(platform):
            applied = [await top_up(platform) for _ in range(3)]
            self.assertEqual([True, False, False], applied)
            await top_up(platform, 'op-2', 50)
            self.assertEqual(150, await granted(platform))

        run(main)

    def test_top_up_is_applied_once_despite_faults(self):
        cases = (
            {'lose_answers': 3},
            {'drop_writes': 3},
            {'lose_answers': 1, 'drop_writes': 1},
        )
        for faults in cases:
            with self.subTest(faults=faults):

                async def main(platform, faults=faults):
                    platform.set_faults(**faults)
                    self.assertTrue(await top_up(platform))
                    self.assertEqual(100, await granted(platform))

                run(main)

    def test_racing_operators_both_succeed(self):
        async def main(platform):
            platform.set_faults(delay_s=0.01)
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(top_up, platform, f'op-{number}')
            self.assertEqual(800, await granted(platform))

        run(main)

    def test_top_up_conflicts_if_budget_changed_since_read(self):
        async def main(platform):
            await top_up(platform, 'op-ann', 100, read=0)
            await top_up(platform, 'op-ben', 50, read=100)
            for read, since in (
                (0, '100 by op-ann, 50 by op-ben'),
                (100, 'since: 50 by op-ben'),
                (200, 'since: nothing'),
            ):
                try:
                    await top_up(platform, 'op-late', 70, read)
                except budget_admin.BudgetError as error:
                    self.assertEqual('conflict', error.code)
                    message = f'you read {read}, it is 150'
                    self.assertIn(message, error.message)
                    self.assertIn(since, error.message)
                else:
                    self.fail('the top-up was applied')
            # A retry after a lost answer does not conflict with its own grant.
            self.assertFalse(await top_up(platform, 'op-ben', 50, read=100))
            self.assertEqual(150, await granted(platform))

        run(main)

    def test_one_of_several_racing_operators_succeeds(self):
        async def main(platform):
            platform.set_faults(delay_s=0.01)
            outcomes = []

            async def operate(name):
                try:
                    outcomes.append(await top_up(platform, name, 100, read=0))
                except budget_admin.BudgetError as error:
                    outcomes.append(error.code)

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(operate, f'op-{number}')
            self.assertEqual(
                [True] + ['conflict'] * 7, sorted(outcomes, key=str)
            )
            self.assertEqual(100, await granted(platform))

        run(main)

    def test_invalid_top_ups_are_rejected(self):
        async def main(platform):
            await top_up(platform)
            for operation_id, amount, code in (
                ('op-1', 200, 'operation_id_reused'),
                ('op-2', 0, 'bad_amount'),
                ('op-3', -5, 'bad_amount'),
            ):
                try:
                    await top_up(platform, operation_id, amount)
                except budget_admin.BudgetError as error:
                    self.assertEqual(code, error.code)
                else:
                    self.fail(code)
            platform.set_faults(down=True)
            try:
                await top_up(platform, 'op-4')
            except EelgrassError as error:
                self.assertNotIsInstance(error, budget_admin.BudgetError)
            platform.set_faults(down=False)
            self.assertEqual(100, await granted(platform))

        run(main)


class LedgerKeyTests(testtools.TestCase):
    def test_only_budgets_of_the_bundle_have_a_key(self):
        envelope, bodies = bundles.signed_bundle(1)
        parts = {key: bundle.read_part(key, bodies[key]) for key in bodies}
        signed = bundle.open_manifest(envelope, bundles.TRUSTED)
        assembled = bundle.assemble(signed.manifest, parts)
        self.assertTrue(
            budget_admin.ledger_key(assembled, BUDGET).startswith(
                'ledger/pazlen/'
            )
        )
        for budget in ('pazlen/atelier/mian', 'pazlen/other/main', 'x', ''):
            self.assertRaises(
                budget_admin.BudgetError,
                budget_admin.ledger_key,
                assembled,
                budget,
            )
