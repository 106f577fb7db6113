"""
tests.test_retries
~~~~~~~~~~~~~~~~~~

Guards against retry storms and against servers that are never reinstated.
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

    def test_tokens_are_capped_at_the_capacity(self):
        budget = RetryBudget(capacity=4)
        for _ in range(1000):
            budget.request_started()
        self.assertEqual(4, sum(budget.take() for _ in range(10)))


class EjectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)

    def record_failure(self, health, now_s=0, no_response=False):
        return retries.after_failure(
            health, now_s, no_response, POLICY, self.rng
        )

    def record_probe(self, health, now_s, alive):
        return retries.after_probe(health, now_s, alive, POLICY, self.rng)

    def test_three_consecutive_failures_eject(self):
        health = ServerHealth()
        seen = []
        for _ in range(3):
            health = self.record_failure(health)
            seen.append(health.ejected)
        self.assertEqual([False, False, True], seen)

    def test_missing_response_ejects_immediately(self):
        self.assertTrue(
            self.record_failure(ServerHealth(), no_response=True).ejected
        )

    def test_failures_after_ejection_do_not_postpone_the_probe(self):
        health = self.record_failure(ServerHealth(), no_response=True)
        self.assertEqual(health, self.record_failure(health, now_s=9))

    def test_failure_after_reinstatement_ejects_for_longer(self):
        first = self.record_failure(ServerHealth(), no_response=True)
        reinstated = self.record_probe(first, 10, alive=True)
        again = self.record_failure(reinstated, now_s=10)
        self.assertFalse(reinstated.ejected)
        self.assertGreater(again.probe_at - 10, first.probe_at)

    def test_probe_is_not_sent_before_it_is_due(self):
        health = self.record_failure(ServerHealth(), no_response=True)
        due = health.probe_at
        self.assertFalse(retries.needs_probe(health, due - 0.01))
        self.assertTrue(retries.needs_probe(health, due))
        self.assertFalse(retries.needs_probe(ServerHealth(), due))

    def test_backoff_is_bounded_and_jittered(self):
        for attempt in (0, 3, 5000):
            with self.subTest(attempt=attempt):
                delays = {
                    retries.backoff_s(attempt, POLICY, self.rng)
                    for _ in range(20)
                }
                self.assertEqual(20, len(delays))
                self.assertLessEqual(max(delays), POLICY.longest_s)
                self.assertGreaterEqual(min(delays), POLICY.first_s)
