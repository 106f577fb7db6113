"""
tests.test_gateway_expected_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against estimates that prefer a slow or overloaded server, and against
figures that are false or outdated and still decide.
"""

import math
import random

import testtools
import trio

from eelgrassfork.gateway.choice import (
    Candidate,
    ChoicePolicy,
    PlacementRequest,
    choose,
)
from eelgrassfork.gateway.expected_time import (
    FleetMeans,
    RequestSize,
    ServerTiming,
    decayed_slowdown,
    expected_time,
    fleet_means,
    learnt_speed,
)
from eelgrassfork.gateway.records import ServerEntry, ServerLoad
from eelgrassfork.gateway.sending import Attempt
from eelgrassfork.gateway.servers import Server

from .mock_clock import run

IDLE = ServerTiming(16, 0, 0, 0, 1, 1, 1, 0, 0, 0, 0)
SIZE = RequestSize(2000, 400)
MEANS = FleetMeans(0.5, 1, 1)
ENTRY = ServerEntry('s', 'svc', '', 'd', 16, 1, 1)


def estimate(size=SIZE, means=MEANS, **changes):
    return expected_time(IDLE._replace(**changes), size, means)


class ExpectedTimeTests(testtools.TestCase):
    def test_more_load_takes_longer(self):
        # A router that misses one of these sends to a busy server.
        idle = estimate(memory_tokens=50_000)
        for changes in (
            {'others': 20},
            {'in_flight': 20},
            {'waiting': 4},
            {'slowdown': 1.5},
            {'speed': 1.5},
            {'prefill_tokens': 4000},
            {'tokens': 49_000},
        ):
            busy = estimate(**{'memory_tokens': 50_000, **changes})
            self.assertGreater(busy.first_s, idle.first_s, changes)
            self.assertGreater(busy.last_s, idle.last_s, changes)

    def test_old_report_approaches_the_mean(self):
        # An idle server in an old report has been filled by others since.
        self.assertEqual(
            estimate(report_weight=0, others=0),
            estimate(report_weight=0, others=64),
        )
        self.assertGreater(estimate(report_weight=0).last_s, estimate().last_s)

    def test_unknown_speed_is_the_mean(self):
        # An unknown server looks neither free nor slow.
        slow = FleetMeans(0.5, 6, 1)
        unknown = estimate(means=slow, speed_age_s=math.inf)
        self.assertEqual(6, unknown.speed)

    def test_slowdown_counts_for_a_short_time_only(self):
        self.assertEqual(3, decayed_slowdown(3, 0))
        self.assertEqual(3, decayed_slowdown(3, -1))
        self.assertLess(decayed_slowdown(3, 1), 1.2)
        long = RequestSize(40_000, 400)
        ratio = estimate(long, slowdown=3).first_s / estimate(long).first_s
        self.assertLess(ratio, 1.2)

    def test_request_over_the_memory_does_not_fit(self):
        # A server whose memory is exceeded ends or preempts.
        self.assertFalse(estimate(tokens=8000, memory_tokens=10_000).fits)
        self.assertFalse(estimate(others=4, memory_tokens=10_000).fits)
        self.assertTrue(estimate(tokens=7000, memory_tokens=10_000).fits)
        self.assertTrue(estimate(tokens=10**9).fits)

    def test_zero_sizes_and_no_servers_give_finite_figures(self):
        self.assertEqual(FleetMeans(0, 1, 0), fleet_means([]))
        empty = estimate(RequestSize(), fleet_means([]))
        self.assertTrue(0 < empty.first_s <= empty.last_s < 1)

    def test_speed_is_learnt_despite_outliers(self):
        rng = random.Random(3)
        speed = 1.0
        for number in range(60):
            expected = estimate(speed=speed)
            base_s = expected.first_s / expected.speed
            observed_s = base_s * 1.7 * rng.lognormvariate(0, 0.3)
            if number % 20 == 10:
                observed_s *= 1e9
            speed = learnt_speed(speed, expected, observed_s)
        self.assertTrue(1.3 < speed < 2.3, speed)


class ServerTimingTests(testtools.TestCase):
    def test_huge_counts_do_not_exclude_a_server_for_long(self):
        server = Server(ENTRY)
        server.update_load(ServerLoad(10**9, 10**9, 16, 1.2), 10)
        self.assertLess(server.load(16), ENTRY.slots)

    def test_estimates_need_a_reported_slowdown(self):
        # Three figures must be placed by exactly the former rule.
        server = Server(ENTRY)
        server.update_load(ServerLoad(3, 0, 16), 10)
        self.assertFalse(server.reports_slowdown)
        server.update_load(ServerLoad(3, 0, 16, 1.2), 11)
        server.update_load(ServerLoad(3, 0, 16), 12)
        self.assertTrue(server.reports_slowdown)
        self.assertEqual(1, server.timing(12, 0).slowdown)

    def test_new_incarnation_starts_without_learnt_figures(self):
        # Figures of an old incarnation must not judge its successor.
        timing = Server(ENTRY._replace(incarnation=2)).timing(10, 0)
        self.assertEqual((1, math.inf), (timing.speed, timing.speed_age_s))


class AttemptTests(testtools.TestCase):
    def test_attempt_logs_its_estimate_and_learns_from_the_first_event(self):
        # Without it, an operator can't see why a server was chosen.
        async def main():
            server = Server(ENTRY)
            attempt = Attempt(server, 'least_load', 0, 2000)
            attempt.expect(estimate(slowdown=1.5), 2400)
            in_flight = server.tokens_in_flight
            await trio.sleep(3)
            attempt.mark_begun()
            attempt.close()
            return server, in_flight, attempt.log_fields()

        server, in_flight, fields = run(main)
        self.assertEqual((2400, 0), (in_flight, server.tokens_in_flight))
        self.assertGreater(server.speed, 1)
        self.assertEqual((1.5, 1), (fields['slowdown'], fields['speed']))
        self.assertLess(fields['expected_first_ms'], fields['expected_last_ms'])

    def test_attempt_without_estimate_logs_and_learns_as_before(self):
        async def main():
            server = Server(ENTRY)
            attempt = Attempt(server, 'least_load', 0, 2000)
            attempt.expect(None, 2400)
            attempt.mark_begun()
            attempt.close()
            return server, attempt.log_fields()

        server, fields = run(main)
        self.assertEqual(1, server.speed)
        self.assertNotIn('slowdown', fields)


class TimedChoiceTests(testtools.TestCase):
    def choose(self, timings, key='', routers=1, size=SIZE):
        candidates = [
            Candidate(f's{index}', 'd0', 0, 0, 16, timing=timing)
            for index, timing in enumerate(timings)
        ]
        request = PlacementRequest('d0', key, size=size, routers=routers)
        return choose(candidates, request, ChoicePolicy(), random.Random(4))

    def test_fast_server_is_preferred(self):
        slow = [IDLE._replace(speed=1.7)] * 5
        choice = self.choose([*slow, IDLE._replace(speed=0.7)])
        self.assertEqual('s5', choice.server_id)
        self.assertEqual(0.7, choice.expected.speed)

    def test_server_without_memory_is_used_only_if_all_are_full(self):
        full = [IDLE._replace(tokens=9000, memory_tokens=10_000)] * 20
        # Two random servers of many are likely to be full.
        choice = self.choose([*full, IDLE], routers=1000)
        self.assertEqual('s20', choice.server_id)
        self.assertNotEqual('', self.choose(full).server_id)

    def test_shared_part_stays_until_its_server_is_slow(self):
        timings = [IDLE] * 6
        size = SIZE._replace(shared_tokens=1500)
        first = self.choose(timings, 'k', size=size)
        self.assertEqual('shared_part', first.reason)
        timings[int(first.server_id[1:])] = IDLE._replace(speed=4)
        second = self.choose(timings, 'k', size=size)
        self.assertEqual('shared_part', second.reason)
        self.assertNotEqual(first.server_id, second.server_id)
