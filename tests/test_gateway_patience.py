"""
tests.test_gateway_patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests held in vain, and callers that return all at once.
"""

import testtools

from eelgrassfork.gateway.patience import (
    WaitContext,
    event_gap_timeout_s,
    first_byte_timeout_s,
    retry_delay_s,
)
from eelgrassfork.gateway.records import Route, WeightedService

ROUTE = Route(
    'r', 'h', '/r/', 'stream', (WeightedService('s', 1),), 4, 0.5, 2
)._replace(resumable=True, max_event_gap_s=0.3)
ORDER = ROUTE._replace(kind='non_idempotent', resumable=False)


class PatienceTests(testtools.TestCase):
    def test_silent_server_is_left_while_another_can_answer(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=True
        )
        self.assertAlmostEqual(0.3, first_byte_timeout_s(ROUTE, context))
        slow = context._replace(typical_latency_s=0.4)
        self.assertAlmostEqual(1.2, first_byte_timeout_s(ROUTE, slow))

    def test_silence_is_no_reason_to_give_an_order_up(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=True
        )
        self.assertEqual(4, first_byte_timeout_s(ORDER, context))
        self.assertEqual(
            4,
            first_byte_timeout_s(
                ROUTE, context._replace(has_alternative=False)
            ),
        )

    def test_stream_goes_on_elsewhere_after_the_longest_pause(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=True
        )
        self.assertEqual(0.3, event_gap_timeout_s(ROUTE, context))
        self.assertEqual(4, event_gap_timeout_s(ORDER, context))

    def test_slow_stream_that_can_not_go_on_elsewhere_is_not_cut(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=False
        )
        self.assertEqual(4, event_gap_timeout_s(ROUTE, context))

    def test_returns_are_spread_and_usable(self):
        # Callers come back within a third of the time they have left.
        delays = [retry_delay_s(ROUTE, share / 10) for share in range(11)]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertLess(delays[-1], ROUTE.timeout_s / 3)
        self.assertGreater(delays[0], 0)
