"""
tests.test_gateway_permit_clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against more permits than a limit allows, and against permits that
nobody can use.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.gateway.permit_clock import PermitClock


class PermitClockTests(testtools.TestCase):
    def test_first_permit_comes_after_an_interval(self):
        clock = PermitClock(10)
        decision = clock.ask('n1', 2, 0, 10)
        self.assertEqual((False, 0.5), (decision.granted, decision.delay_s))
        self.assertTrue(clock.ask('n1', 2, 0, 10.5).granted)

    def test_permit_is_reserved_only_within_the_wait(self):
        clock = PermitClock(0)
        self.assertFalse(clock.ask('n1', 2, 0.09, 0.4).granted)
        self.assertEqual((True, 0.1), _rounded(clock.ask('n1', 2, 0.11, 0.4)))
        self.assertFalse(clock.ask('n1', 2, 0.11, 0.4).granted)

    def test_raised_limit_applies_at_once(self):
        clock = PermitClock(0)
        self.assertTrue(clock.ask('n1', 0.1, 0, 10).granted)
        self.assertTrue(clock.ask('n1', 10, 0, 10.1).granted)

    def test_pause_grows_with_the_number_of_routers(self):
        clock = PermitClock(0)
        pauses = [
            clock.ask(f'n{number}', 2, 0, 0).delay_s for number in range(400)
        ]
        self.assertEqual((0.5, 50), (pauses[0], pauses[-1]))
        clock.ask('n0', 2, 0, 11)
        self.assertEqual(1, clock.askers)

    @settings(derandomize=True, max_examples=200)
    @given(
        st.sampled_from((0.4, 2, 50)),
        st.lists(st.floats(0, 1), min_size=1, max_size=80),
        st.floats(0, 0.1),
    )
    def test_never_exceeds_rate_and_burst(self, rate, gaps_s, wait_s):
        clock = PermitClock(0)
        now_s = 0
        sends = []
        for gap_s in gaps_s:
            now_s += gap_s
            decision = clock.ask('n1', rate, wait_s, now_s)
            if decision.granted:
                sends.append(now_s + decision.delay_s)
        for first, start_at in enumerate(sends):
            for count, end_at in enumerate(sends[first:], 1):
                allowed = rate * (end_at - start_at) + 2
                self.assertLessEqual(count, allowed + 1e-6)


def _rounded(decision):
    return decision.granted, round(decision.delay_s, 6)
