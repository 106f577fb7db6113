"""
tests.test_backends
~~~~~~~~~~~~~~~~~~~

Guards against new requests to a server that is leaving or ejected.
"""

import random

import testtools
import trio
import trio.testing

from eelgrassfork.backends import Backends, CacheEvent
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.server_subsets import ServerSubsets
from eelgrassfork.subsets import SubsetPolicy
from eelgrassfork.vm_list import VmRecord
from tests.metric_recorder import MetricRecorder


def record(vm: str, state: str = 'live', **fields) -> VmRecord:
    listed = VmRecord(
        vm, 'backend', state, 'p', 'p/matcher', 'p/a', 'r', f'{vm}:1'
    )
    return listed._replace(**fields)


def in_trio(test):
    def wrapper(self):
        async def main():
            backends = Backends(EjectionPolicy(), random.Random(2))
            backends.update([record('vm-1'), record('vm-2')])
            await test(self, backends)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


def states(backends: Backends):
    return {state.vm: state for state in backends.servers('p/matcher')}


def usable(backends: Backends):
    return backends.count_usable('p/matcher')


class BackendsTests(testtools.TestCase):
    @in_trio
    async def test_vm_list_determines_known_and_leaving_servers(self, backends):
        backends.request_started('vm-1')
        backends.update(
            [
                record('vm-1', 'leaving'),
                record('vm-3', service='p/shopdesk'),
                record('vm-4', role='router'),
            ]
        )
        self.assertEqual(['vm-1'], list(states(backends)))
        self.assertEqual('leaving', states(backends)['vm-1'].state)
        self.assertEqual(1, states(backends)['vm-1'].in_flight)
        self.assertEqual(0, backends.count_usable('p/matcher'))
        self.assertFalse(backends.is_listed('vm-2'))
        backends.request_ended('vm-2')

    @in_trio
    async def test_refusal_marks_a_server_as_leaving_at_once(self, backends):
        backends.mark_draining('vm-1')
        self.assertEqual('leaving', states(backends)['vm-1'].state)
        backends.update([record('vm-1'), record('vm-2')])
        self.assertEqual(1, backends.count_usable('p/matcher'))

    @in_trio
    async def test_ejected_server_returns_after_one_probe(self, backends):
        backends.record_failure('vm-1', silent=True)
        self.assertTrue(states(backends)['vm-1'].ejected)
        self.assertEqual([], backends.polls_due(0, 9))
        await trio.sleep(1)
        due = backends.polls_due(0, 9)
        self.assertEqual([('vm-1', True)], [(t.vm, t.probe) for t in due])
        backends.record_poll('vm-1')
        self.assertEqual([], backends.polls_due(0.5, 9))
        backends.record_probe('vm-1', alive=True)
        self.assertFalse(states(backends)['vm-1'].ejected)

    @in_trio
    async def test_subset_of_a_large_service_is_used(self, backends):
        small = [record(f'vm-{n}') for n in range(24)]
        large = [
            record(f'vm-{n}', failure_domain=('p/a', 'p/b')[n % 2])
            for n in range(200)
        ]
        routers = [
            record(f'r-{n}', role='router', service='') for n in range(40)
        ]
        backends._subsets = ServerSubsets(SubsetPolicy('r-0', 'p/a'))
        backends.update(small)
        backends.record_failure('vm-3', silent=True)
        self.assertEqual((24, 23), (len(states(backends)), usable(backends)))
        backends.update(large + routers)
        before = set(states(backends))
        self.assertEqual((24, 24), (len(before), usable(backends)))
        self.assertNotIn('vm-3', before)
        failed, left, draining = sorted(before)[:3]
        backends.record_failure(failed, silent=True)
        backends.mark_draining(draining)
        large = [
            each._replace(state='leaving') if each.vm == left else each
            for each in large
        ]
        backends.update(large + routers)
        after = set(states(backends))
        self.assertEqual({failed, left, draining}, before - after)
        self.assertEqual(24, len(after))
        # The ejected server is probed although another has replaced it.
        backends.request_started(min(after))
        await trio.sleep(30)
        polled = {target.vm for target in backends.polls_due(1, 99)}
        self.assertEqual(after | {failed, 'vm-3'}, polled)
        backends.record_probe(failed, alive=True)
        self.assertIn(failed, states(backends))

    @in_trio
    async def test_every_router_ranks_servers_in_the_same_order(self, backends):
        records = [record(f'vm-{n}') for n in range(200)]
        other = Backends(
            EjectionPolicy(),
            random.Random(3),
            subset=SubsetPolicy('r-9', 'p/b'),
        )
        other.update(records)
        backends.update(records)
        for number in range(20):
            ranked = [
                [state.vm for state in each.rank('p/matcher', f'{number}', 8)]
                for each in (backends, other)
            ]
            self.assertEqual(ranked[0], ranked[1])

    @in_trio
    async def test_each_ejection_and_return_is_counted_once(self, backends):
        backends._metrics = MetricRecorder()
        for _ in range(5):
            backends.record_failure('vm-1')
        backends.mark_draining('vm-2')
        self.assertEqual((2, 1, 1), backends.server_counts())
        backends.record_probe('vm-1', alive=False)
        backends.record_probe('vm-1', alive=True)
        backends.record_success('vm-1')
        self.assertEqual(
            {
                ('ejections', 'p', 'p/matcher'): 1,
                ('server_returns', 'p', 'p/matcher'): 1,
            },
            backends._metrics.counts,
        )

    @in_trio
    async def test_polls_are_bounded_and_only_for_services_in_use(
        self, backends
    ):
        self.assertEqual([], backends.polls_due(1, 9))
        backends.request_started('vm-1')
        first = backends.polls_due(1, 1)
        backends.record_poll(first[0].vm)
        second = backends.polls_due(1, 1)
        self.assertEqual({'vm-1', 'vm-2'}, {first[0].vm, second[0].vm})
        await trio.sleep(100)
        self.assertEqual([], backends.polls_due(1, 9))

    @in_trio
    async def test_report_has_an_age_and_cached_prefixes_are_bounded(
        self, backends
    ):
        backends.record_load('vm-1', running=3, waiting=2)
        stored = [CacheEvent(n, 'stored', f'x{n}') for n in range(1, 2000)]
        backends.apply_cache_events('vm-1', stored)
        evicted = [CacheEvent(2000, 'evicted', 'x1999')]
        backends.apply_cache_events('vm-1', evicted)
        await trio.sleep(4)
        state = states(backends)['vm-1']
        self.assertEqual((3, 2), state[6:8])
        self.assertEqual(4, state.report_age_s)
        self.assertIn('x1998', state.cached_prefixes)
        self.assertNotIn('x1999', state.cached_prefixes)
        self.assertLessEqual(len(state.cached_prefixes), 1024)
