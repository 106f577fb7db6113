"""
tests.test_gateway_overload
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against callers that wait for one overloaded router while others have
spare capacity, and against refusals when no router would answer sooner.
"""

import testtools

from eelgrassfork.gateway.overload import Backlog, should_refuse

ORDER_S = 0.6
STREAM_S = 4
# Measured during a burst of one organisation at one router, while the other
# routers were idle: event loop delay, sampled every half second.
BURST_S = (0.001, 0.004, 0.03, 0.09, 0.12, 0.04, 0.008, 0.001)
IDLE_S = (0.001, 0.002, 0.001)


class OverloadTests(testtools.TestCase):
    def refused(self, timeout_s, peer_delays_s):
        return [
            should_refuse(timeout_s, Backlog(delay_s, lambda: peer_delays_s))
            for delay_s in BURST_S
        ]

    def test_overloaded_router_refuses_requests_that_would_time_out(self):
        self.assertEqual(
            [False, False, False, True, True, False, False, False],
            self.refused(ORDER_S, IDLE_S),
        )

    def test_requests_with_a_long_time_out_are_accepted(self):
        self.assertEqual(
            [False] * 8,
            self.refused(STREAM_S, IDLE_S),
        )

    def test_no_request_is_refused_when_all_routers_are_overloaded(self):
        self.assertFalse(any(self.refused(ORDER_S, (0.09, 0.12, 0.1))))

    def test_only_router_refuses_no_request(self):
        self.assertFalse(any(self.refused(ORDER_S, ())))
