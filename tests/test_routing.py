"""
tests.test_routing
~~~~~~~~~~~~~~~~~~

Guards against requests sent to a leaving, ejected or full server.
"""

import random
from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import routing

POLICY = routing.RoutePolicy()


def server(number: int, domain: str = 'p/a', **fields) -> routing.ServerState:
    return routing.ServerState(
        vm=f'vm-{number}',
        address=f'127.0.0.1:{number}',
        service='p/matcher',
        failure_domain=domain,
        **fields,
    )


def snapshot(*servers, **fields) -> routing.RouteSnapshot:
    return routing.RouteSnapshot(servers, 'p/a', **fields)


def keyed(shot, policy, source):
    return routing.choose_keyed(shot, 'identity')


CHOOSERS = (
    routing.choose,
    routing.choose_random,
    routing.choose_least_requests,
    routing.choose_affinity,
    keyed,
)


class ExclusionTests(testtools.TestCase):
    def test_unusable_servers_are_never_chosen(self):
        shot = snapshot(
            server(1, state='leaving'),
            server(2, ejected=True),
            server(3),
            prefix='x',
            excluded=frozenset(['vm-3']),
        )
        more = shot._replace(servers=(*shot.servers, server(4)))
        for chooser in CHOOSERS:
            with self.subTest(chooser=chooser.__name__):
                source = random.Random(1)
                self.assertIsNone(chooser(shot, POLICY, source))
                self.assertEqual('vm-4', chooser(more, POLICY, source).vm)


class ChooseTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.source = random.Random(7)

    def choose(self, shot, policy=POLICY):
        found = routing.choose(shot, policy, self.source)
        return None if found is None else found.vm

    def test_full_server_is_not_chosen(self):
        shot = snapshot(server(1, in_flight=POLICY.in_flight_per_server))
        self.assertIsNone(self.choose(shot))

    def test_own_failure_domain_is_used_until_spill_bound(self):
        cases = ((2, 'vm-1'), (3, 'vm-1'), (4, 'vm-2'))
        for local_load, expected in cases:
            with self.subTest(local_load=local_load):
                shot = snapshot(
                    server(1, in_flight=local_load),
                    server(2, 'p/b', in_flight=1),
                )
                self.assertEqual(expected, self.choose(shot))

    def test_other_domain_is_used_without_a_usable_local_server(self):
        shot = snapshot(server(1, ejected=True), server(2, 'p/b'))
        self.assertEqual('vm-2', self.choose(shot))

    def test_stale_report_has_less_weight(self):
        shot = snapshot(
            server(1, reported_running=8, report_age_s=20),
            server(2, reported_running=2),
        )
        self.assertEqual('vm-1', self.choose(shot))

    def test_prefix_stays_on_its_server_up_to_the_bound(self):
        idle = [server(number) for number in range(8)]
        vm = self.choose(snapshot(*idle, prefix='abc'))
        for in_flight, stays in ((1, True), (2, False)):
            with self.subTest(in_flight=in_flight):
                loaded = [
                    entry._replace(in_flight=in_flight)
                    if entry.vm == vm
                    else entry
                    for entry in idle
                ]
                found = self.choose(snapshot(*loaded, prefix='abc'))
                self.assertEqual(stays, found == vm)

    def test_cache_events_override_the_preferred_server(self):
        servers = [server(number) for number in range(8)]
        preferred = self.choose(snapshot(*servers, prefix='abc'))
        holder = servers[0] if preferred != 'vm-0' else servers[1]
        servers[servers.index(holder)] = holder._replace(
            cached_prefixes=frozenset(['abc'])
        )
        self.assertEqual(
            holder.vm, self.choose(snapshot(*servers, prefix='abc'))
        )

    def test_stale_reports_do_not_send_all_requests_to_one_server(self):
        servers = [server(n, reported_running=20) for n in range(4)]
        servers[0] = servers[0]._replace(reported_running=18)
        counts = Counter(self.choose(snapshot(*servers)) for _ in range(400))
        self.assertEqual(4, len(counts))
        self.assertLess(counts['vm-0'], 300)

    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(st.integers(0, 15), min_size=2, max_size=12),
        st.text(min_size=1, max_size=8),
    )
    def test_affinity_never_exceeds_its_bound(self, loads, prefix):
        servers = [server(n, in_flight=load) for n, load in enumerate(loads)]
        shot = snapshot(*servers, prefix=prefix)
        found = routing.choose(shot, POLICY, random.Random(3))
        bound = POLICY.bound_factor * sum(loads) / len(loads)
        self.assertLessEqual(found.in_flight, bound + POLICY.bound_slack)

    def test_removed_server_moves_only_its_own_prefixes(self):
        servers = [server(number) for number in range(6)]
        for number in range(60):
            prefix = f'prefix-{number}'
            before = self.choose(snapshot(*servers, prefix=prefix))
            after = self.choose(snapshot(*servers[1:], prefix=prefix))
            if before != 'vm-0':
                self.assertEqual(before, after)


class KeyedTests(testtools.TestCase):
    def test_load_and_failure_domain_do_not_change_the_server(self):
        servers = [server(number) for number in range(6)]
        first = routing.choose_keyed(snapshot(*servers), 'key')
        busy = tuple(
            entry._replace(in_flight=16, reported_running=number)
            for number, entry in enumerate(servers)
        )
        other = routing.RouteSnapshot(busy[::-1], 'p/b')
        self.assertEqual(first.vm, routing.choose_keyed(other, 'key').vm)


class PrefixHashTests(testtools.TestCase):
    def test_different_texts_and_services_have_different_hashes(self):
        inputs = (
            ('p/a', ['ab', 'c']),
            ('p/a', ['a', 'bc']),
            ('p/b', ['ab', 'c']),
        )
        hashes = {routing.prefix_hash(*given) for given in inputs}
        self.assertEqual(len(inputs), len(hashes))
