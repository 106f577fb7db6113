"""
tests.test_gateway_overload
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against callers that wait at one busy router while others have room,
and against refusals where nobody could serve them sooner.
"""

import testtools

from eelgrassfork.gateway.overload import Backlog, should_refuse

ORDER_S = 0.6
STREAM_S = 4
# A burst of one organisation at one router, as measured: the delay of a turn
# in steps of half a second, while its neighbours are idle.
BURST_S = (0.001, 0.004, 0.03, 0.09, 0.12, 0.04, 0.008, 0.001)
IDLE_S = (0.001, 0.002, 0.001)


class OverloadTests(testtools.TestCase):
    def refused(self, patience_s, elsewhere):
        return [
            should_refuse(patience_s, Backlog(delay_s, lambda: elsewhere))
            for delay_s in BURST_S
        ]

    def test_busy_router_sends_away_whom_it_can_hardly_serve(self):
        self.assertEqual(
            [False, False, False, True, True, False, False, False],
            self.refused(ORDER_S, IDLE_S),
        )

    def test_requests_with_more_time_are_kept_longer(self):
        self.assertEqual(
            [False] * 8,
            self.refused(STREAM_S, IDLE_S),
        )

    def test_nobody_is_refused_where_all_routers_are_late(self):
        self.assertFalse(any(self.refused(ORDER_S, (0.09, 0.12, 0.1))))

    def test_only_router_serves_whatever_comes(self):
        self.assertFalse(any(self.refused(ORDER_S, ())))
