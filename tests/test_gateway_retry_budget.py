"""
tests.test_gateway_retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against retries that multiply the load of a failing service.
"""

import testtools

from eelgrassfork.gateway.retry_budget import FleetRetryBudget, FleetRetryPolicy

POLICY = FleetRetryPolicy(ratio=0.2, window_s=10, slack=58)


class FleetRetryBudgetTests(testtools.TestCase):
    def replay(self, routers, requests_per_s, seconds):
        """Try to retry each request; return the times of allowed retries."""
        budgets = [
            FleetRetryBudget(POLICY, lambda: routers) for _ in range(routers)
        ]
        retry_times = []
        for step in range(int(seconds * requests_per_s)):
            now_s = step / requests_per_s
            budget = budgets[step % routers]
            budget.record_request(now_s)
            if budget.take(now_s):
                retry_times.append(now_s)
        return retry_times

    def test_all_routers_together_stay_within_the_budget(self):
        for routers in (1, 9, 91):
            retry_times = self.replay(routers, 60, 40)
            for start in range(30):
                inside = sum(start <= at < start + 10 for at in retry_times)
                self.assertLessEqual(inside, 0.2 * 600 + 58)

    def test_unknown_number_of_routers_allows_only_a_share(self):
        budget = FleetRetryBudget(POLICY, lambda: 0)
        self.assertLess(sum(budget.take(0) for _ in range(60)), 10)

    def test_changed_policy_applies_immediately(self):
        budget = FleetRetryBudget(POLICY, lambda: 1)
        budget.policy = POLICY._replace(slack=0)
        self.assertFalse(budget.take(0))

    def test_first_failures_can_be_retried(self):
        budget = FleetRetryBudget(POLICY, lambda: 9)
        self.assertTrue(budget.take(0))

    def test_budget_is_replenished_after_the_window(self):
        budget = FleetRetryBudget(POLICY, lambda: 9)
        while budget.take(0):
            continue
        self.assertFalse(budget.take(9))
        self.assertTrue(budget.take(10.1))
