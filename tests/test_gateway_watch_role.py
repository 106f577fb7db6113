"""
tests.test_gateway_watch_role
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets in which no router watches the store, or too many do.
"""

import testtools
import trio

from eelgrassfork.gateway.heartbeats import StoreRead
from eelgrassfork.gateway.roster import FleetView
from eelgrassfork.gateway.store_contact import StoreContact
from eelgrassfork.gateway.watch_role import (
    WatchPolicy,
    WatchRole,
    count_watchers,
    is_watcher,
)

from .mock_clock import run

DOMAINS = {
    f'd{domain}': [f'n{domain}-{number}' for number in range(18)]
    for domain in range(5)
}
POLICY = WatchPolicy()


def fleet_of(nodes_by_domain, domain):
    nodes = tuple(nodes_by_domain[domain])
    routers = sum(map(len, nodes_by_domain.values()))
    return FleetView(routers, nodes, len(nodes_by_domain))


def make_role(node, fleet, **options):
    """Create a role that has received no store read yet."""
    return WatchRole(node, fleet, StoreContact(node), **options)


def receive_store_read(role, age_ms=0):
    """Deliver a new store read by another router to a role."""
    number = int(trio.current_time() * 1000)
    role.contact.merge(StoreRead(1, number, age_ms))


class WatcherTests(testtools.TestCase):
    def watchers(self, nodes_by_domain):
        return [
            node
            for domain, nodes in nodes_by_domain.items()
            for node in nodes
            if is_watcher(node, fleet_of(nodes_by_domain, domain), POLICY)
        ]

    def test_watchers_are_elected_in_each_failure_domain(self):
        found = self.watchers(DOMAINS)
        self.assertEqual(5 * POLICY.watchers, len(found))
        self.assertEqual(set(DOMAINS), {f'd{node[1]}' for node in found})

    def test_watcher_count_matches_the_election(self):
        for domains in (DOMAINS, {'d0': ['a', 'b'], 'd1': ['c']}):
            fleet = fleet_of(domains, 'd0')
            self.assertEqual(
                len(self.watchers(domains)), count_watchers(fleet, POLICY)
            )

    def test_lost_watchers_are_replaced(self):
        lost = set(self.watchers(DOMAINS))
        left = {
            domain: [node for node in nodes if node not in lost]
            for domain, nodes in DOMAINS.items()
        }
        self.assertEqual(len(lost), len(self.watchers(left)))

    def test_routers_with_fast_links_are_preferred_as_watchers(self):
        # On a slow link, the versions of a large configuration queue up.
        nodes = tuple(DOMAINS['d0'])
        for fast in (nodes[3:5], nodes[3:9], nodes[3:4]):
            fleet = FleetView(90, nodes, 5, fast_nodes=fast)
            found = {node for node in nodes if is_watcher(node, fleet, POLICY)}
            self.assertEqual(POLICY.watchers, len(found))
            self.assertEqual(
                min(POLICY.watchers, len(fast)), len(found & set(fast))
            )

    def test_all_routers_of_a_small_fleet_watch(self):
        small = {'d0': ['a', 'b'], 'd1': ['c']}
        self.assertEqual(['a', 'b', 'c'], self.watchers(small))


FLEET = fleet_of(DOMAINS, 'd0')


class WatchRoleTests(testtools.TestCase):
    def role(self, number):
        return make_role(f'n0-{number}', lambda: FLEET)

    def make_non_watcher(self):
        return next(
            role
            for role in map(self.role, range(18))
            if not is_watcher(role._node, FLEET, POLICY)
        )

    def test_total_probe_rate_of_an_unreachable_store_is_limited(self):
        # 90 routers for ten seconds of simulated time.
        async def main():
            roles = [self.make_non_watcher() for _ in range(90)]
            for role in roles:
                receive_store_read(role)
                role.must_probe  # noqa: B018
            await trio.sleep(POLICY.max_silence_s)
            probes = 0
            for _ in range(40):
                probes += sum(role.must_probe for role in roles)
                await trio.sleep(0.25)
            return probes / 10, roles[0].contact.age_ms, roles[0].must_watch

        measured_probes_per_s, age_ms, watches = run(main)
        self.assertAlmostEqual(
            POLICY.probes_per_s, measured_probes_per_s, delta=3
        )
        self.assertGreater(age_ms, 10_000)
        self.assertFalse(watches)

    def test_reachability_accounts_for_the_age_of_a_store_read(self):
        async def main():
            role = self.make_non_watcher()
            receive_store_read(role, 900)
            role.contact.merge(None)
            before = role.is_store_reachable
            await trio.sleep(0.4)
            return before, role.is_store_reachable, role.contact.age_ms

        before, after, age_ms = run(main)
        self.assertEqual((True, False), (before, after))
        self.assertAlmostEqual(1300, age_ms, delta=2)

    def test_restarted_router_probes_if_peers_have_no_store_contact(self):
        # Such peers may have missed a revoked key or a removed server that the
        # previous process on this VM knew about.
        async def main():
            isolated, informed = (
                self.make_non_watcher(),
                self.make_non_watcher(),
            )
            receive_store_read(informed, 100)
            return [
                (role.must_probe, role.must_probe)
                for role in (isolated, informed)
            ]

        self.assertEqual([(True, False), (False, False)], run(main))

    def test_empty_fleet_view_is_handled_while_the_last_router_drains(self):
        async def main():
            role = make_role('n', lambda: FleetView(0, ()))
            probe_decisions = role.must_probe, role.must_probe
            return role.must_watch, probe_decisions, role.watchers

        self.assertEqual((False, (True, False), 1), run(main))

    def test_retry_rate_of_all_watchers_is_limited(self):
        async def main():
            few = make_role('n', lambda: FleetView(9, ('n',), 9))
            many = make_role('n', lambda: FleetView(900, ('n',), 90))
            calls = []
            for role in (few, many):
                waits = [role.retry_delay_s(10) for _ in range(200)]
                calls.append(role.watchers / (sum(waits) / len(waits)))
            return calls

        few, many = run(main)
        self.assertLess(few, 30)
        self.assertLess(many, 15)

    def test_watcher_retries_less_often_while_others_reach_the_store(self):
        async def main():
            role = self.make_non_watcher()
            receive_store_read(role)
            return min(role.retry_delay_s(4) for _ in range(50))

        self.assertGreater(run(main), POLICY.retry_interval_s)

    def test_own_read_does_not_raise_the_retry_interval(self):
        # An own read shows that this router can reach the store, and peers
        # that relay it have no newer one.
        async def main():
            role = self.make_non_watcher()
            role.contact.record_own_read(trio.current_time())
            gossiped = role.contact.newest()
            await trio.sleep(0.3)
            role.contact.merge(
                gossiped._replace(number=gossiped.number + 5, age_ms=1)
            )
            longest_s = POLICY.retry_interval_per_watcher_s * role.watchers
            return max(role.retry_delay_s(10) for _ in range(99)) <= longest_s

        self.assertTrue(run(main))

    def test_new_router_waits_until_its_membership_view_settles(self):
        fleet = FleetView(1, ('n',), 1, is_settled=False)

        async def main():
            return [
                (role.must_watch, role.must_probe)
                for role in (
                    make_role('n', lambda: fleet),
                    make_role('n', lambda: fleet, is_seed=True),
                )
            ]

        self.assertEqual([(False, False), (True, False)], run(main))

    def test_router_watches_temporarily_after_failed_pulls(self):
        async def main():
            role = self.make_non_watcher()
            receive_store_read(role)
            role.watch_temporarily()
            before = role.must_watch
            await trio.sleep(POLICY.temporary_watch_s)
            receive_store_read(role)
            return before, role.must_watch

        self.assertEqual((True, False), run(main))

    def test_duration_of_a_failed_call_counts_towards_the_retry_interval(self):
        # A call to a silent store times out after a second.  With the full
        # pause added, a router exceeded the propagation bound for
        # configurations.
        async def main():
            role = make_role('n', lambda: FleetView(9, ('n',), 9))
            pauses = [role.retry_delay_s(10, elapsed_s=1) for _ in range(200)]
            return min(pauses) > 0, max(pauses) <= POLICY.retry_interval_s / 4

        self.assertEqual((True, True), run(main))
