"""
tests.test_gateway_duty
~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets in which too many routers watch the store, or none.
"""

import testtools
import trio

from eelgrassfork.gateway.duty import DutyPolicy, WatchDuty, is_watcher

from .mock_clock import run

DOMAINS = {
    f'd{domain}': [f'n{domain}-{number}' for number in range(18)]
    for domain in range(5)
}
POLICY = DutyPolicy()


class WatcherTests(testtools.TestCase):
    def watchers(self, nodes_by_domain):
        return [
            node
            for nodes in nodes_by_domain.values()
            for node in nodes
            if is_watcher(node, nodes_by_domain, POLICY)
        ]

    def test_some_routers_of_each_domain_watch(self):
        found = self.watchers(DOMAINS)
        self.assertEqual(5 * POLICY.watchers, len(found))
        self.assertEqual(set(DOMAINS), {f'd{node[1]}' for node in found})

    def test_lost_watchers_are_replaced_by_others(self):
        lost = set(self.watchers(DOMAINS))
        left = {
            domain: [node for node in nodes if node not in lost]
            for domain, nodes in DOMAINS.items()
        }
        self.assertEqual(len(lost), len(self.watchers(left)))

    def test_small_fleet_watches_whole(self):
        small = {'d0': ['a', 'b'], 'd1': ['c']}
        self.assertEqual(['a', 'b', 'c'], self.watchers(small))


class DutyTests(testtools.TestCase):
    def duty(self, number):
        return WatchDuty(f'n0-{number}', lambda: DOMAINS)

    def idle(self):
        return next(
            duty
            for duty in map(self.duty, range(18))
            if not is_watcher(duty._node, DOMAINS, POLICY)
        )

    def test_router_that_never_heard_of_the_store_watches(self):
        async def main():
            return self.idle().must_watch, self.idle().store_age_ms

        self.assertEqual((True, None), run(main))

    def test_silence_of_the_store_is_measured_from_its_last_answer(self):
        async def main():
            duty = self.idle()
            duty.note_contact(900)
            duty.note_contact(None)
            before = duty.must_watch
            await trio.sleep(0.4)
            return before, duty.must_watch, duty.store_age_ms

        before, after, age_ms = run(main)
        self.assertEqual((False, True), (before, after))
        self.assertAlmostEqual(1300, age_ms, delta=2)

    def test_router_whose_peers_fail_it_watches_for_a_while(self):
        async def main():
            duty = self.idle()
            duty.note_contact()
            duty.volunteer()
            before = duty.must_watch
            await trio.sleep(POLICY.volunteer_s)
            duty.note_contact()
            return before, duty.must_watch

        self.assertEqual((True, False), run(main))
