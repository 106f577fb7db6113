"""
tests.test_limits
~~~~~~~~~~~~~~~~~

Guards against requests that are queued without a chance to start in time,
and against load shedding in the wrong order.
"""

import math

import testtools
import trio
import trio.testing

from eelgrassfork import limits
from eelgrassfork.limits import Admission, AdmissionRequest, LimitUse


def request(**fields) -> AdmissionRequest:
    asked = AdmissionRequest(
        service='p/matcher',
        organisation='p/atelier',
        slots=lambda: 1,
        organisation_slots=8,
        priority=1,
        queue_s=2,
        deadline=math.inf,
    )
    return asked._replace(**fields)


class DecideTests(testtools.TestCase):
    def test_action_by_utilisation_and_maximum_wait(self):
        free = LimitUse(0, 4)
        full = LimitUse(4, 4, hold_s=4)
        cases = (
            (free, free, 0, 'admit', ''),
            (full, free, 2, 'queue', 'overloaded'),
            (free, full, 2, 'queue', 'organisation_limit'),
            (full, free, 0.5, 'refuse', 'overloaded'),
            (free, full, 0.5, 'refuse', 'organisation_limit'),
            (full._replace(ahead=8), free, 2, 'refuse', 'overloaded'),
            (LimitUse(3, 4, ahead=1), free, 2, 'queue', 'overloaded'),
            (LimitUse(0, 0), free, 2, 'refuse', 'no_server'),
        )
        for service, organisation, bound_s, action, code in cases:
            with self.subTest(service=service, bound_s=bound_s):
                decision = limits.decide(
                    limits.LoadSnapshot(service, organisation, bound_s)
                )
                self.assertEqual((action, code), decision[:2])

    def test_refusal_has_the_estimated_wait(self):
        crowd = LimitUse(4, 4, ahead=39, hold_s=1)
        load = limits.LoadSnapshot(crowd, LimitUse(0, 9), 2)
        self.assertEqual(10, limits.decide(load).wait_s)


class AdmissionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.order = []

    def run_requests(self, *arrivals):
        """Run (name, arrival time, hold time, request) on a mock clock."""

        async def one(admission, name, at_s, hold_s, asked):
            await trio.sleep_until(at_s)
            try:
                async with admission.slot(asked):
                    self.order.append(name)
                    await trio.sleep(hold_s)
            except limits.LimitExceeded as error:
                now_s = round(trio.current_time(), 3)
                self.order.append((name, error.code, now_s))

        async def main():
            admission = Admission()
            async with trio.open_nursery() as nursery:
                for arrival in arrivals:
                    nursery.start_soon(one, admission, *arrival)
            return admission.dump()

        clock = trio.testing.MockClock(autojump_threshold=0)
        dump = trio.run(main, clock=clock)
        self.assertEqual(0, dump['waiting'])
        in_flight = (
            *dump['in_flight_by_service'].values(),
            *dump['in_flight_by_organisation'].values(),
        )
        self.assertEqual(0, sum(in_flight))

    def test_higher_priority_starts_first(self):
        self.run_requests(
            ('first', 0, 0.5, request()),
            ('batch', 0.1, 0.1, request(priority=2)),
            ('look-up', 0.2, 0.1, request(priority=0)),
        )
        self.assertEqual(['first', 'look-up', 'batch'], self.order)

    def test_low_priority_is_shed_when_others_exceed_its_maximum_wait(self):
        self.run_requests(
            ('first', 0, 1, request()),
            ('batch', 0.1, 0.1, request(priority=2)),
            ('look-up 1', 0.2, 0.1, request(priority=0)),
            ('look-up 2', 0.3, 0.1, request(priority=0)),
        )
        self.assertIn(('batch', 'overloaded', 0.3), self.order)
        self.assertEqual(['look-up 1', 'look-up 2'], self.order[-2:])

    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        self.run_requests(
            ('first', 0, 5, request()),
            ('late', 0.1, 0, request(queue_s=0.5)),
            ('deadline', 0.2, 0, request(deadline=0.9)),
        )
        refused = [
            ('late', 'overloaded', 0.1),
            ('deadline', 'overloaded', 0.2),
        ]
        self.assertEqual(['first', *refused], self.order)

    def test_wait_is_bounded_if_the_estimate_is_too_low(self):
        self.run_requests(
            ('first', 0, 9, request()), ('second', 0.5, 0, request())
        )
        self.assertEqual(('second', 'overloaded', 2.5), self.order[1])

    def test_limit_of_one_organisation_does_not_delay_another(self):
        narrow = request(slots=lambda: 2, organisation_slots=1)
        other = request(slots=lambda: 2, organisation='p/other')
        self.run_requests(
            ('first', 0, 1, narrow),
            ('same', 0.1, 0, narrow),
            ('other', 0.2, 0, other),
        )
        self.assertEqual(['first', 'other', 'same'], self.order)

    def test_cancelled_wait_releases_its_slot(self):
        async def main():
            admission = Admission()
            async with admission.slot(request()):
                with trio.move_on_after(0.5):
                    async with admission.slot(request()):
                        self.order.append('ran')
            return admission.dump()

        clock = trio.testing.MockClock(autojump_threshold=0)
        dump = trio.run(main, clock=clock)
        self.assertEqual([], self.order)
        self.assertEqual(0, dump['waiting'])
        self.assertEqual({'p/matcher': 0}, dump['in_flight_by_service'])
