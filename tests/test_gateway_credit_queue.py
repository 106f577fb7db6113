"""
tests.test_gateway_credit_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against urgent or large requests that are starved while they wait for
credit.
"""

import testtools

from eelgrassfork.gateway.admission.credit_queue import (
    CreditClaim,
    CreditQueue,
)
from eelgrassfork.gateway.credit import HeldCredit


class CreditQueueTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.held = HeldCredit(half_life_s=6)
        self.queue = CreditQueue(self.held.reserve)

    def add(self, tokens, priority=0, organisation='a'):
        claim = CreditClaim(organisation, tokens, priority)
        self.queue.add(claim)
        return claim

    def test_more_urgent_claim_is_granted_first(self):
        late = self.add(10, priority=2)
        urgent = self.add(10, priority=0)
        self.held.add('a', 10)
        self.queue.grant('a')
        self.assertEqual((False, True), (late.granted, urgent.granted))

    def test_claims_of_one_rank_are_granted_in_order_of_arrival(self):
        claims = [self.add(10) for _ in range(3)]
        self.held.add('a', 20)
        self.queue.grant('a')
        self.assertEqual([True, True, False], [one.granted for one in claims])

    def test_small_claims_do_not_starve_a_large_one(self):
        large = self.add(100)
        small = self.add(1)
        self.held.add('a', 50)
        self.queue.grant('a')
        self.assertEqual((False, False), (large.granted, small.granted))

    def test_credit_is_not_left_unused_if_no_more_is_expected(self):
        large = self.add(100)
        small = self.add(50)
        self.held.add('a', 50)
        self.queue.grant_any('a')
        self.assertEqual((False, True), (large.granted, small.granted))

    def test_claims_of_other_organisations_are_independent(self):
        self.add(100)
        other = self.add(1, organisation='b')
        self.held.add('b', 1)
        self.queue.grant('b')
        self.assertTrue(other.granted)

    def test_waiting_claims_reserve_nothing(self):
        self.add(100)
        self.held.add('a', 50)
        self.queue.grant('a')
        self.assertEqual(50, self.held.free('a'))

    def test_refused_claims_leave_the_queue(self):
        claim = self.add(100)
        self.queue.refuse(['a', 'b'])
        self.assertTrue(claim.is_decided)
        self.assertFalse(self.queue.has_claims('a'))

    def test_discarded_claim_is_not_granted(self):
        claim = self.add(10)
        self.queue.discard(claim)
        self.held.add('a', 10)
        self.queue.grant('a')
        self.assertFalse(claim.granted)
        self.assertEqual({}, self.queue.tokens_by_organisation())
