"""
tests.test_bench_load
~~~~~~~~~~~~~~~~~~~~~

Tests that the load generator keeps to its schedule when the server is slow, and
classifies outcomes correctly.
"""

import msgspec
import testtools
import trio
from trio.testing import MockClock

from bench.load import Load, Target
from bench.memory_transport import MemoryTransports
from bench.profile import Profile, Stream, plan, rate_at, read_profile
from eelgrassfork.http_server import HttpServer

STREAM = Stream('call', [(0, 10), (10, 10)], timeout_s=8, target='/x')


def profile_of(**streams):
    return Profile('test', 3, 10, streams)


def run_load(profile, handler):
    """Run a profile; return the load and the arrival times of requests."""
    arrived_at = []

    async def main():
        transports = MemoryTransports(delay_s=0)
        started_at = trio.current_time()

        async def serve(call):
            arrived_at.append(trio.current_time() - started_at)
            await handler(call)

        async with trio.open_nursery() as nursery:
            server = HttpServer(serve, transport=transports.transport())
            await server.start(nursery, '10.0.0.1', 80)
            target = Target((f'http://{server.address}',))
            load = Load(profile, target, transport=transports.transport())
            await load.run()
            nursery.cancel_scope.cancel()
        return load

    return trio.run(main, clock=MockClock(autojump_threshold=0)), arrived_at


def lines_for(load, measure):
    return [line for line in load.lines() if line['measure'] == measure]


class ScheduleTests(testtools.TestCase):
    def test_same_seed_same_schedule(self):
        """Guards against comparisons of versions under different requests."""
        profile = read_profile('pazlen')
        self.assertEqual(plan(profile), plan(profile))
        self.assertNotEqual(plan(profile), plan(profile, seed=1))

    def test_arrivals_follow_the_rate(self):
        """Guards against a load that lacks a peak of its profile."""
        points = [(0.0, 1.0), (100.0, 1.0), (101.0, 9.0), (200.0, 9.0)]
        profile = profile_of(peak=Stream('call', points))
        profile.seconds = 200
        starts = [each.at_s for each in plan(profile)]
        early = sum(at < 100 for at in starts)
        self.assertTrue(70 < early < 130, early)
        self.assertTrue(800 < len(starts) - early < 1000, len(starts))

    def test_rate_between_and_beyond_points(self):
        points = [(0.0, 2.0), (10.0, 4.0)]
        rates = [rate_at(points, at) for at in (0, 5, 10, 11)]
        self.assertEqual([2, 3, 4, 0], rates)

    def test_profiles_can_be_read(self):
        """Guards against a misspelt field in a profile."""
        for name in ('pazlen', 'threadlantern'):
            self.assertEqual(name, read_profile(name).name)


class OpenLoopTests(testtools.TestCase):
    def test_slow_answers_do_not_delay_later_requests(self):
        """Guards against a closed loop: it sends less to a slow server."""

        async def slow(call):
            await trio.sleep(5)
            await call.respond(200, b'{}')

        profile = profile_of(calls=STREAM)
        load, arrived_at = run_load(profile, slow)
        intended = [each.at_s for each in plan(profile)]
        late = [at - scheduled for at, scheduled in zip(arrived_at, intended)]
        self.assertEqual(len(intended), len(arrived_at))
        self.assertTrue(max(late) < 0.01, max(late))
        [times] = lines_for(load, 'load.whole')
        self.assertTrue(4990 < times['p50'] < 5020, times)

    def test_outcomes(self):
        """Guards against incomplete responses that count as successful."""

        async def refuse(call):
            body = msgspec.json.encode({'error': {'code': 'overloaded'}})
            await call.respond(503, body)

        async def cut(call):
            await call.start(200, (('content-type', 'text/event-stream'),))
            await call.send(b'data: {}\n\n')
            await call.finish()

        async def drop(call):
            await call.start(200, (('content-type', 'text/event-stream'),))
            await call.send(b'data: {}\n\n')
            await call.abort()

        async def never(call):
            await trio.sleep(60)

        for handler, outcome in (
            (refuse, 'overloaded'),
            (cut, 'cut'),
            (drop, 'connection_lost'),
            (never, 'timeout'),
        ):
            load, _ = run_load(profile_of(calls=STREAM), handler)
            [line] = lines_for(load, 'load.outcomes')
            self.assertEqual({outcome}, set(line['by_outcome']))

    def test_requests_have_unique_idempotency_keys(self):
        """Guards against repeated keys: the service would skip the order."""
        keys = []

        async def record_key(call):
            keys.append(call.headers_by_name['idempotency-key'])
            await call.respond(200, b'{}')

        stream = msgspec.structs.replace(STREAM, once=True, method='POST')
        run_load(profile_of(orders=stream), record_key)
        self.assertEqual(len(keys), len(set(keys)))
