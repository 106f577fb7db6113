"""
tests.test_gateway_timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against long waits for unresponsive servers, and against callers that
all retry at the same time.
"""

import testtools

from eelgrassfork.gateway.records import Route, WeightedService
from eelgrassfork.gateway.timeouts import (
    WaitContext,
    event_gap_timeout_s,
    first_byte_timeout_s,
    retry_delay_s,
)

ROUTE = Route(
    'r', 'h', '/r/', 'stream', (WeightedService('s', 1),), 4, 0.5, 2
)._replace(resumable=True, max_event_gap_s=0.3)
ORDER = ROUTE._replace(kind='non_idempotent', resumable=False)


class TimeoutTests(testtools.TestCase):
    def test_first_byte_time_out_is_short_while_another_server_can_answer(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=True
        )
        self.assertAlmostEqual(0.3, first_byte_timeout_s(ROUTE, context))
        slow = context._replace(typical_latency_s=0.4)
        self.assertAlmostEqual(1.2, first_byte_timeout_s(ROUTE, slow))

    def test_request_that_can_not_fail_over_waits_until_its_deadline(self):
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

    def test_resumable_stream_fails_over_after_the_maximum_event_gap(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=True
        )
        self.assertEqual(0.3, event_gap_timeout_s(ROUTE, context))
        self.assertEqual(4, event_gap_timeout_s(ORDER, context))

    def test_slow_stream_without_an_alternative_server_is_not_cut(self):
        context = WaitContext(
            remaining_s=4, typical_latency_s=0.1, has_alternative=False
        )
        self.assertEqual(4, event_gap_timeout_s(ROUTE, context))

    def test_retry_delays_are_spread_and_short(self):
        # Callers retry within a third of their time-out.
        delays = [retry_delay_s(ROUTE, tenth / 10) for tenth in range(11)]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertLess(delays[-1], ROUTE.timeout_s / 3)
        self.assertGreater(delays[0], 0)
