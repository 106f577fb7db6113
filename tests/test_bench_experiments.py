"""
tests.test_bench_experiments
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against comparisons that measure nothing or differ by chance.
"""

import testtools
import trio

from bench import exp_credit, exp_limits, exp_retries, exp_routing, sim

SHORT = exp_routing.Setting(
    'short', engines=4, routers=2, conversations_per_s=3, duration_s=24
)
SCARCE = exp_credit.Scenario('scarce', granted=4_000, per_s=8)


class _Reckless:
    """A policy without limits."""

    async def reserve(self, budget, amount):
        await trio.lowlevel.checkpoint()
        return amount

    def settle(self, reservation, spent):
        """Ignore what was spent."""


class _Refusing:
    """A policy that refuses everything."""

    async def reserve(self, budget, amount):
        await trio.lowlevel.checkpoint()
        raise exp_credit.RequestError('budget_exhausted', budget)


def credit_figures(test, desk, scenario=SCARCE):
    async def start(world, nursery):
        await trio.lowlevel.checkpoint()
        return [desk] * exp_credit.ROUTERS

    test.patch(exp_credit, 'POLICIES', {'tested': start})
    return sim.run_mocked(exp_credit.run, scenario, 'tested', 1)


class CreditTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(exp_credit, 'RUN_S', 30)
        self.patch(exp_credit, 'FAULT_PERIOD_S', (10, 20))

    def test_overspend_is_seen(self):
        """An overspend of 0 means nothing if the measure can't see one."""
        figures = credit_figures(self, _Reckless())
        self.assertTrue(figures['overspend_tokens'] > 0)

    def test_false_refusals_are_seen(self):
        figures = credit_figures(self, _Refusing())
        self.assertEqual(figures['asked'], figures['false_refusals'])

    def test_refusals_of_spent_budgets_are_not_false(self):
        """Guards against blaming a policy for a budget that is spent."""
        scenario = SCARCE._replace(granted=exp_credit.RESERVED_TOKENS - 1)
        figures = credit_figures(self, _Refusing(), scenario)
        self.assertEqual(0, figures['false_refusals'])

    def test_ours_never_overspends_near_exhaustion(self):
        figures = sim.run_mocked(exp_credit.run, SCARCE, 'ours', 1)
        self.assertEqual(0, figures['overspend_tokens'])


class RoutingTests(testtools.TestCase):
    def test_same_seed_same_figures(self):
        """Policies are only comparable if nothing else varies."""
        runs = [
            sim.run_mocked(exp_routing.run, SHORT, 'ours', 5) for _ in range(2)
        ]
        self.assertEqual(runs[0], runs[1])

    def test_affinity_finds_more_prefixes_than_chance(self):
        """Guards against engines whose cache never hits."""
        hits = {
            name: sim.run_mocked(exp_routing.run, SHORT, name, 5)['prefix_hit']
            for name in ('random', 'affinity')
        }
        self.assertTrue(hits['affinity'] > hits['random'] + 0.05, hits)


class LimitTests(testtools.TestCase):
    def test_overload_is_reached(self):
        """Without admission, twice the capacity must lose useful answers."""
        policy = exp_limits.POLICIES['no admission']
        figures = sim.run_mocked(exp_limits.run, 2, policy, 1)
        self.assertTrue(figures['of_capacity'] < 0.7, figures)


class RetryTests(testtools.TestCase):
    def test_a_failing_engine_is_avoided(self):
        figures = sim.run_mocked(exp_retries.run, 'chat', 'failing', 'ours', 1)
        self.assertEqual(0, figures['failed'])
        self.assertTrue(figures['avoided_after_s'] <= 3, figures)
