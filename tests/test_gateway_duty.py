"""
tests.test_gateway_duty
~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets in which too many routers watch the store, or none.
"""

import testtools
import trio

from eelgrassfork.gateway.duty import (
    DutyPolicy,
    WatchDuty,
    count_watchers,
    is_watcher,
)
from eelgrassfork.gateway.heartbeats import StoreRead
from eelgrassfork.gateway.roster import FleetView
from eelgrassfork.gateway.store_contact import StoreContact

from .mock_clock import run

DOMAINS = {
    f'd{domain}': [f'n{domain}-{number}' for number in range(18)]
    for domain in range(5)
}
POLICY = DutyPolicy()


def fleet_of(nodes_by_domain, domain):
    nodes = tuple(nodes_by_domain[domain])
    routers = sum(map(len, nodes_by_domain.values()))
    return FleetView(routers, nodes, len(nodes_by_domain))


def make_duty(node, fleet, **options):
    """Make a duty that has heard of no reading yet."""
    return WatchDuty(node, fleet, StoreContact(node), **options)


def hear(duty, age_ms=0):
    """Let a duty hear of a reading of its own by another router."""
    number = int(trio.current_time() * 1000)
    duty.contact.take(StoreRead(1, number, age_ms))


class WatcherTests(testtools.TestCase):
    def watchers(self, nodes_by_domain):
        return [
            node
            for domain, nodes in nodes_by_domain.items()
            for node in nodes
            if is_watcher(node, fleet_of(nodes_by_domain, domain), POLICY)
        ]

    def test_some_routers_of_each_domain_watch(self):
        found = self.watchers(DOMAINS)
        self.assertEqual(5 * POLICY.watchers, len(found))
        self.assertEqual(set(DOMAINS), {f'd{node[1]}' for node in found})

    def test_routers_know_how_many_watch(self):
        for domains in (DOMAINS, {'d0': ['a', 'b'], 'd1': ['c']}):
            fleet = fleet_of(domains, 'd0')
            self.assertEqual(
                len(self.watchers(domains)), count_watchers(fleet, POLICY)
            )

    def test_lost_watchers_are_replaced_by_others(self):
        lost = set(self.watchers(DOMAINS))
        left = {
            domain: [node for node in nodes if node not in lost]
            for domain, nodes in DOMAINS.items()
        }
        self.assertEqual(len(lost), len(self.watchers(left)))

    def test_routers_with_fast_links_watch(self):
        # Over a slow link versions of a large configuration queue up.
        nodes = tuple(DOMAINS['d0'])
        for fast in (nodes[3:5], nodes[3:9], nodes[3:4]):
            fleet = FleetView(90, nodes, 5, fast_nodes=fast)
            found = {node for node in nodes if is_watcher(node, fleet, POLICY)}
            self.assertEqual(POLICY.watchers, len(found))
            self.assertEqual(
                min(POLICY.watchers, len(fast)), len(found & set(fast))
            )

    def test_small_fleet_watches_whole(self):
        small = {'d0': ['a', 'b'], 'd1': ['c']}
        self.assertEqual(['a', 'b', 'c'], self.watchers(small))


FLEET = fleet_of(DOMAINS, 'd0')


class DutyTests(testtools.TestCase):
    def duty(self, number):
        return make_duty(f'n0-{number}', lambda: FLEET)

    def idle(self):
        return next(
            duty
            for duty in map(self.duty, range(18))
            if not is_watcher(duty._node, FLEET, POLICY)
        )

    def test_routers_ask_in_turn_for_a_store_that_nobody_reaches(self):
        # A second of a fleet of 90, as far as its own clock goes.
        async def main():
            duties = [self.idle() for _ in range(90)]
            for duty in duties:
                hear(duty)
                duty.must_ask  # noqa: B018
            await trio.sleep(POLICY.longest_silence_s)
            asked = 0
            for _ in range(40):
                asked += sum(duty.must_ask for duty in duties)
                await trio.sleep(0.25)
            return asked / 10, duties[0].contact.age_ms, duties[0].must_watch

        asked_per_s, age_ms, watches = run(main)
        self.assertAlmostEqual(POLICY.asks_per_s, asked_per_s, delta=3)
        self.assertGreater(age_ms, 10_000)
        self.assertFalse(watches)

    def test_silence_of_the_store_is_measured_from_its_last_answer(self):
        async def main():
            duty = self.idle()
            hear(duty, 900)
            duty.contact.take(None)
            before = duty.is_store_reached
            await trio.sleep(0.4)
            return before, duty.is_store_reached, duty.contact.age_ms

        before, after, age_ms = run(main)
        self.assertEqual((True, False), (before, after))
        self.assertAlmostEqual(1300, age_ms, delta=2)

    def test_restarted_router_does_not_trust_peers_without_the_store(self):
        # They may not know of a key that was withdrawn, or a server that left,
        # while the former process on this VM did.
        async def main():
            lone, informed = self.idle(), self.idle()
            hear(informed, 100)
            return [(duty.must_ask, duty.must_ask) for duty in (lone, informed)]

        self.assertEqual([(True, False), (False, False)], run(main))

    def test_last_router_that_drains_survives(self):
        async def main():
            duty = make_duty('n', lambda: FleetView(0, ()))
            asks = duty.must_ask, duty.must_ask
            return duty.must_watch, asks, duty.watchers

        self.assertEqual((False, (True, False), 1), run(main))

    def test_watchers_ask_less_often_the_more_they_are(self):
        async def main():
            few = make_duty('n', lambda: FleetView(9, ('n',), 9))
            many = make_duty('n', lambda: FleetView(900, ('n',), 90))
            calls = []
            for duty in (few, many):
                waits = [duty.retry_s(10) for _ in range(200)]
                calls.append(duty.watchers / (sum(waits) / len(waits)))
            return calls

        few, many = run(main)
        self.assertLess(few, 30)
        self.assertLess(many, 15)

    def test_watcher_that_others_relieve_waits_longer(self):
        async def main():
            duty = self.idle()
            hear(duty)
            return min(duty.retry_s(4) for _ in range(50))

        self.assertGreater(run(main), POLICY.retry_s)

    def test_own_contact_relieves_nobody(self):
        # Its other watch was answered, so that the store can be asked, and
        # peers that repeat what they heard from this router know no more.
        async def main():
            duty = self.idle()
            duty.contact.note_own(trio.current_time())
            told = duty.contact.newest()
            await trio.sleep(0.3)
            duty.contact.take(told._replace(number=told.number + 5, age_ms=1))
            longest_s = POLICY.watcher_retry_s * duty.watchers
            return max(duty.retry_s(10) for _ in range(99)) <= longest_s

        self.assertTrue(run(main))

    def test_router_that_has_just_started_waits_for_its_peers(self):
        fleet = FleetView(1, ('n',), 1, is_settled=False)

        async def main():
            return [
                (duty.must_watch, duty.must_ask)
                for duty in (
                    make_duty('n', lambda: fleet),
                    make_duty('n', lambda: fleet, is_seed=True),
                )
            ]

        self.assertEqual([(False, False), (True, False)], run(main))

    def test_router_whose_peers_fail_it_watches_for_a_while(self):
        async def main():
            duty = self.idle()
            hear(duty)
            duty.volunteer()
            before = duty.must_watch
            await trio.sleep(POLICY.volunteer_s)
            hear(duty)
            return before, duty.must_watch

        self.assertEqual((True, False), run(main))

    def test_time_that_a_silent_call_took_counts_for_the_pause(self):
        # A silent store is given up after a second.  The pause on top of it
        # left a router behind for longer than the bound on configurations.
        async def main():
            duty = make_duty('n', lambda: FleetView(9, ('n',), 9))
            pauses = [duty.retry_s(10, spent_s=1) for _ in range(200)]
            return min(pauses) > 0, max(pauses) <= POLICY.retry_s / 4

        self.assertEqual((True, True), run(main))
