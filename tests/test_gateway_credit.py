"""
tests.test_gateway_credit
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against credit that is used twice, and against routers that hold too
much or too little of it.
"""

import testtools

from eelgrassfork.gateway.credit import (
    CreditContext,
    CreditInputs,
    CreditPolicy,
    HeldCredit,
    plan_transfer,
    standby_missing,
    target_tokens,
)
from eelgrassfork.gateway.ledger import EMPTY, Ledger

POLICY = CreditPolicy()
PREPAID = {'a': 1_000_000}


def inputs(**changes):
    return CreditInputs(PREPAID, {}, {}, 4, True)._replace(**changes)


def context(held, now_s=29.5, **changes):
    return CreditContext(held, inputs(**changes), POLICY, now_s)


def held_with_use(tokens_per_s, seconds=30):
    held = HeldCredit(POLICY.rate_half_life_s)
    for second in range(seconds):
        held.record_demand('a', tokens_per_s, second)
    return held


class HeldCreditTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.held = HeldCredit(6)

    def test_reserves_only_what_is_free(self):
        self.held.add('a', 100)
        self.assertTrue(self.held.reserve('a', 70))
        self.assertFalse(self.held.reserve('a', 31))
        self.assertTrue(self.held.reserve('a', 30))

    def test_unused_part_of_a_reservation_is_free_again(self):
        self.held.add('a', 100)
        self.held.reserve('a', 100)
        self.held.settle('a', 100, 40)
        self.assertEqual(60, self.held.free('a'))
        self.assertEqual(40, self.held.unflushed('a'))

    def test_reserved_credit_is_not_handed_over(self):
        self.held.add('a', 100)
        self.held.reserve('a', 80)
        self.assertEqual(20, self.held.remove('a', 50))
        self.assertEqual(0, self.held.free('a'))

    def test_rate_follows_demand_and_decays(self):
        held = held_with_use(1000)
        self.assertAlmostEqual(1000, held.rate('a', 29.5), delta=100)
        self.assertAlmostEqual(500, held.rate('a', 35.5), delta=60)


class PlanTests(testtools.TestCase):
    def test_keeper_draws_up_to_its_target_and_standby(self):
        held = held_with_use(1000)
        transfer = plan_transfer(
            context(held, drawable_by_organisation={'a': 200_000}), EMPTY
        )
        use = 1000 * POLICY.keeper_hold_s
        whole_s = POLICY.keeper_hold_s + POLICY.standby_s
        # The burst reserve is one standard deviation of the tokens of the
        # 4.5 requests that arrive in that time.
        wanted = (use + (use * 1000) ** 0.5) * whole_s / POLICY.keeper_hold_s
        self.assertAlmostEqual(
            wanted, transfer.drawn_by_organisation['a'], delta=wanted / 8
        )

    def test_nothing_is_written_while_enough_is_held(self):
        held = held_with_use(1000)
        held.add('a', 20_000)
        transfer = plan_transfer(
            context(held, standby_by_organisation={'a': 9000}), EMPTY
        )
        self.assertFalse(any(transfer))

    def test_last_credit_is_not_drawn_by_one_keeper_in_advance(self):
        held = held_with_use(10_000)
        ledger = Ledger({'a': 920_000}, {}, {})
        transfer = plan_transfer(context(held), ledger)
        self.assertLessEqual(
            transfer.drawn_by_organisation['a'], 80_000 * 0.5 / 4
        )

    def test_waiting_request_may_draw_the_last_credit(self):
        held = held_with_use(10)
        ledger = Ledger({'a': 980_000}, {}, {})
        transfer = plan_transfer(
            context(held, urgent_by_organisation={'a': 15_000}), ledger
        )
        self.assertEqual(15_000, transfer.drawn_by_organisation['a'])

    def test_surplus_is_returned_when_the_balance_is_low(self):
        held = held_with_use(100)
        held.add('a', 50_000)
        ledger = Ledger({'a': 900_000}, {}, {})
        transfer = plan_transfer(
            context(
                held,
                standby_by_organisation={'a': 900_000},
                drawable_by_organisation={'a': 100_000},
            ),
            ledger,
        )
        self.assertGreater(transfer.returned_by_organisation['a'], 40_000)

    def test_non_keeper_holds_little(self):
        held = held_with_use(1000)
        target = target_tokens(context(held, is_keeper=False), 'a')
        self.assertLess(target, 1200)

    def test_idle_keeper_holds_a_fraction_of_the_drawable_credit(self):
        held = HeldCredit(6)
        for left in (1_000_000, 500_000, 100_000):
            state = context(held, now_s=0, drawable_by_organisation={'a': left})
            self.assertEqual(
                int(left * POLICY.min_held_fraction / 4),
                target_tokens(state, 'a'),
            )
        scarce = context(held, now_s=0, drawable_by_organisation={'a': 90_000})
        self.assertEqual(0, target_tokens(scarce, 'a'))

    def test_first_seconds_of_traffic_are_not_underestimated(self):
        # If the store fails two seconds after the start of traffic, keepers
        # only have what they drew until then.
        held = held_with_use(1000, seconds=3)
        self.assertAlmostEqual(1000, held.rate('a', 2.5), delta=250)

    def test_target_covers_rare_large_requests(self):
        held = HeldCredit(POLICY.rate_half_life_s)
        for second in range(0, 30, 5):
            held.record_demand('a', 12_000, second)
        left = {'a': 200_000}
        target = target_tokens(
            context(held, drawable_by_organisation=left), 'a'
        )
        self.assertGreater(target, 12_000)

    def test_full_standby_has_no_shortfall(self):
        held = held_with_use(1000)
        full = context(held, standby_by_organisation={'a': 99_000})
        self.assertEqual(0, standby_missing(full, 'a'))
