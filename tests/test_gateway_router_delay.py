"""
tests.test_gateway_router_delay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against late answers of one busy router while others are idle, and
against routers that send requests around among themselves.
"""

import random

import testtools

from eelgrassfork.gateway.admission.router_delay import (
    RouterDelays,
    link_delay_s,
    redirect_probability,
)

OBJECTIVE_S = 0.5
IDLE_S = 0.002
# Processor time that one request takes at a router, including its events.
WORK_S = 0.012
STEP_S = 0.05
ITERATIONS = 7


def probability(own_s, peers_s=(IDLE_S,) * 5, objective_s=OBJECTIVE_S):
    return redirect_probability(
        objective_s, RouterDelays(own_s, lambda: list(peers_s))
    )


def replay(per_s, redirects, seconds=30, seed=1):
    """
    Replay a router that gets more requests than it can process.

    :returns: share of requests that are answered in time here or elsewhere,
        and the share that was sent elsewhere.
    """
    rng = random.Random(seed)
    backlog_s = 0.0
    served = redirected = total = 0
    for _ in range(int(seconds / STEP_S)):
        backlog_s = max(0, backlog_s - STEP_S)
        for _ in range(round(per_s * STEP_S)):
            total += 1
            # The backlog is worked off a piece an iteration.
            delay_s = backlog_s / ITERATIONS
            if redirects and rng.random() < probability(delay_s):
                redirected += 1
                served += 1
                continue
            backlog_s += WORK_S
            served += backlog_s <= OBJECTIVE_S
    return served / total, redirected / total


class RedirectTests(testtools.TestCase):
    def test_hot_router_answers_in_time_by_redirecting_the_excess(self):
        # 1.5 times what the router can process.
        per_s = 1.5 / WORK_S
        before, _ = replay(per_s, redirects=False)
        after, redirected = replay(per_s, redirects=True)
        self.assertLess(before, 0.2)
        self.assertGreater(after, 0.95)
        self.assertLess(redirected, 0.5)

    def test_router_below_its_capacity_redirects_nothing(self):
        _, redirected = replay(0.7 / WORK_S, redirects=True)
        self.assertEqual(0, redirected)

    def test_probability_rises_with_the_delay(self):
        rising = [probability(delay_s / 1000) for delay_s in range(0, 100, 5)]
        self.assertEqual(sorted(rising), rising)
        self.assertEqual((0, 0.9), (rising[0], rising[-1]))

    def test_longer_objective_tolerates_more_delay(self):
        self.assertGreater(
            probability(0.04), probability(0.04, objective_s=1.5)
        )

    def test_nothing_is_redirected_if_most_routers_are_busy(self):
        self.assertEqual(0, probability(0.1, peers_s=(0.05,) * 3 + (0.001,)))

    def test_nothing_is_redirected_without_known_peers(self):
        self.assertEqual(0, probability(0.1, peers_s=()))


class LinkTests(testtools.TestCase):
    """A burst of large requests fills the link of one router."""

    def probability(self, utilisation, objective_s=OBJECTIVE_S):
        delays = RouterDelays(
            IDLE_S, lambda: [IDLE_S] * 5, link_delay_s(utilisation)
        )
        return redirect_probability(objective_s, delays)

    def test_full_link_redirects_most_large_requests(self):
        self.assertEqual(0.9, self.probability(1.1))

    def test_half_full_link_redirects_nothing(self):
        self.assertEqual(0, self.probability(0.6))

    def test_replayed_burst_leaves_room_on_the_link(self):
        # Twice what the link can carry, for ten seconds.
        offered = 2.0
        utilisation = 0
        carried = []
        for _ in range(100):
            kept = offered * (1 - self.probability(utilisation))
            utilisation += 0.3 * (min(1, kept) - utilisation)
            carried.append(kept)
        self.assertLess(sum(carried[20:]) / 80, 0.95)
        self.assertGreater(sum(carried[20:]) / 80, 0.6)
