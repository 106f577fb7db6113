"""
tests.test_gateway_replayed_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a choice by expected time that is slower than the former one, and
against routers that all follow the same outdated or false report.
"""

import testtools

from eelgrassfork.gateway.records import ServerLoad

from .replayed_load import Load, Replay, mean, worst_tenth

SEEDS = (1, 2, 3, 4)


def replay(**changes):
    """Return the mean and the worst tenth of the times of all seeds."""
    replays = [Replay(Load(seed=seed, **changes)).run() for seed in SEEDS]
    return (
        mean([mean(times) for times in replays]),
        mean([worst_tenth(times) for times in replays]),
    )


class ReplayTests(testtools.TestCase):
    def check(self, part, **changes):
        former = replay(figures=3, **changes)
        now = replay(figures=4, **changes)
        for former_s, now_s in zip(former, now, strict=True):
            self.assertLess(now_s, former_s * part, (changes, former, now))

    def test_requests_begin_earlier_with_outdated_reports(self):
        for routers in (8, 83):
            self.check(0.75, routers=routers)

    def test_routers_with_the_same_reports_do_not_follow_each_other(self):
        for routers in (8, 83, 2800):
            self.check(0.6, routers=routers, common_age=True)

    def test_requests_begin_earlier_with_the_reports_of_own_answers(self):
        self.check(0.85, routers=8, answers_only=True)
        self.check(1, routers=83, answers_only=True)

    def test_shared_parts_do_not_overload_their_server(self):
        self.check(1, routers=8, keyed=0.6, rate_per_server=1.7)

    def test_server_that_always_looks_free_does_not_attract_all(self):
        for report in (
            ServerLoad(0, 0, 24, 0.1),
            ServerLoad(10**9, 10**9, 0, 100.0),
        ):
            self.check(0.9, routers=83, false_report=report)

    def test_replays_are_repeatable(self):
        # A comparison of two choices needs the same requests and servers.
        self.assertEqual(replay(duration_s=5), replay(duration_s=5))
