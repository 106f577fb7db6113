"""
tests.test_bench_experiments
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tests that the experiments measure the failures they report, and that the same
seed gives the same figures.
"""

import testtools
import trio

from bench import exp_credit, exp_limits, exp_retries, exp_routing, sim

SHORT = exp_routing.Setting(
    'short', engines=4, routers=2, conversations_per_s=3, duration_s=24
)
SCARCE = exp_credit.Scenario('scarce', granted=4_000, per_s=8)


class _UnlimitedClient:
    """Credit client that accepts every reservation."""

    async def reserve(self, budget, amount):
        await trio.lowlevel.checkpoint()
        return amount

    def settle(self, reservation, spent):
        """Ignore the tokens spent."""


class _RejectingClient:
    """Credit client that rejects every reservation."""

    async def reserve(self, budget, amount):
        await trio.lowlevel.checkpoint()
        raise exp_credit.RequestError('budget_exhausted', budget)


def credit_figures(test, client, scenario=SCARCE):
    async def start(world, nursery):
        await trio.lowlevel.checkpoint()
        return [client] * exp_credit.ROUTERS

    test.patch(exp_credit, 'POLICIES', {'tested': start})
    return sim.run_mocked(exp_credit.run, scenario, 'tested', 1)


class CreditTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(exp_credit, 'RUN_S', 30)
        self.patch(exp_credit, 'FAULT_PERIOD_S', (10, 20))

    def test_overspend_is_measured(self):
        """Guards against an overspend of 0 because none can be measured."""
        figures = credit_figures(self, _UnlimitedClient())
        self.assertTrue(figures['overspend_tokens'] > 0)

    def test_false_refusals_are_measured(self):
        figures = credit_figures(self, _RejectingClient())
        self.assertEqual(figures['asked'], figures['false_refusals'])

    def test_refusals_of_spent_budgets_are_not_false(self):
        """Guards against counting refusals of exhausted budgets as false."""
        scenario = SCARCE._replace(granted=exp_credit.RESERVED_TOKENS - 1)
        figures = credit_figures(self, _RejectingClient(), scenario)
        self.assertEqual(0, figures['false_refusals'])

    def test_ours_never_overspends_near_exhaustion(self):
        figures = sim.run_mocked(exp_credit.run, SCARCE, 'ours', 1)
        self.assertEqual(0, figures['overspend_tokens'])


class RoutingTests(testtools.TestCase):
    def test_same_seed_same_figures(self):
        """Guards against figures that differ by chance between policies."""
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
        """Guards against a load too low to overload without admission."""
        policy = exp_limits.POLICIES['no admission']
        figures = sim.run_mocked(exp_limits.run, 2, policy, 1)
        self.assertTrue(figures['of_capacity'] < 0.7, figures)


class RetryTests(testtools.TestCase):
    def test_a_failing_engine_is_avoided(self):
        figures = sim.run_mocked(exp_retries.run, 'chat', 'failing', 'ours', 1)
        self.assertEqual(0, figures['failed'])
        self.assertTrue(figures['avoided_after_s'] <= 3, figures)
