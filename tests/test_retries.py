"""
tests.test_retries
~~~~~~~~~~~~~~~~~~

Guards against retry storms and servers that never come back.
"""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import retries
from eelgrassfork.retries import EjectionPolicy, RetryBudget, ServerHealth

POLICY = EjectionPolicy()


class RetryBudgetTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=50)
    @given(st.integers(0, 500))
    def test_retries_stay_within_a_tenth_of_requests(self, requests):
        budget = RetryBudget(capacity=4)
        retried = 0
        for _ in range(requests):
            budget.request_started()
            retried += budget.take()
        self.assertLessEqual(retried, 4 + requests / 10)

    def test_quiet_time_earns_no_burst(self):
        budget = RetryBudget(capacity=4)
        for _ in range(1000):
            budget.request_started()
        self.assertEqual(4, sum(budget.take() for _ in range(10)))


class EjectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.source = random.Random(5)

    def fail(self, health, now_s=0, silent=False):
        return retries.after_failure(health, now_s, silent, POLICY, self.source)

    def probe(self, health, now_s, alive):
        return retries.after_probe(health, now_s, alive, POLICY, self.source)

    def test_three_failures_in_a_row_eject(self):
        health = ServerHealth()
        seen = []
        for _ in range(3):
            health = self.fail(health)
            seen.append(health.ejected)
        self.assertEqual([False, False, True], seen)

    def test_silence_ejects_at_once(self):
        self.assertTrue(self.fail(ServerHealth(), silent=True).ejected)

    def test_late_failures_do_not_postpone_the_probe(self):
        health = self.fail(ServerHealth(), silent=True)
        self.assertEqual(health, self.fail(health, now_s=9))

    def test_failure_right_after_return_ejects_for_longer(self):
        first = self.fail(ServerHealth(), silent=True)
        back = self.probe(first, 10, alive=True)
        again = self.fail(back, now_s=10)
        self.assertFalse(back.ejected)
        self.assertGreater(again.probe_at - 10, first.probe_at)

    def test_probe_waits_for_its_time(self):
        health = self.fail(ServerHealth(), silent=True)
        due = health.probe_at
        self.assertFalse(retries.needs_probe(health, due - 0.01))
        self.assertTrue(retries.needs_probe(health, due))
        self.assertFalse(retries.needs_probe(ServerHealth(), due))

    def test_backoff_is_bounded_and_jittered(self):
        for attempt in (0, 3, 5000):
            with self.subTest(attempt=attempt):
                delays = {
                    retries.backoff_s(attempt, POLICY, self.source)
                    for _ in range(20)
                }
                self.assertEqual(20, len(delays))
                self.assertLessEqual(max(delays), POLICY.longest_s)
                self.assertGreaterEqual(min(delays), POLICY.first_s)
