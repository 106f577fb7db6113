"""
tests.test_gateway_restored_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against budgets that are overspent after the store came back from an
older copy.
"""

import os

import testtools
import trio

from .fault_schedule import run_seeded
from .simulated_credit import PrepaidCallers
from .simulated_fleet import Shape, simulate

SMALL = Shape(domains=2, size=3, config_s=2, contact_s=3)
PREPAID = {'a': 4000, 'b': 6000, 'c': 9000}
# SEEDS replaces the default.
SEEDS = tuple(int(seed) for seed in os.environ.get('SEEDS', '0 1 2').split())


def play(scenario, seed, shape=SMALL, prepaid=None):
    """Simulate a fleet with prepaid credit, and return its callers."""
    outcomes = []

    def prepare(fleet):
        outcomes.append(PrepaidCallers(fleet, prepaid or PREPAID))

    async def run(fleet):
        await outcomes[0].start(6)
        await scenario(fleet, outcomes[0])

    run_seeded(lambda: simulate(shape, seed, run, prepare), seed)
    return outcomes[0]


async def restored_once(fleet, callers):
    await trio.sleep(8)
    await callers.restore(age_s=5, away_s=1)
    await trio.sleep(22)


class BudgetTests(testtools.TestCase):
    def test_budgets_hold_after_the_store_came_back_from_a_copy(self):
        overspent = [play(restored_once, seed).overspent for seed in SEEDS]
        self.assertEqual([{}] * len(SEEDS), overspent)
