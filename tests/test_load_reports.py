"""
tests.test_load_reports
~~~~~~~~~~~~~~~~~~~~~~~

Guards against polling of unused servers, and against ejected servers that
are not returned after they recover.
"""

import random

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork.backends import Backends
from eelgrassfork.http_client import HttpClient
from eelgrassfork.http_server import Call, HttpServer
from eelgrassfork.load_reports import LoadReports, PollSettings
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.vm_list import VmRecord

REPORT = msgspec.json.encode({'running': 5, 'waiting': 1, 'slots': 8})
EVENT = {'number': 4, 'kind': 'stored', 'prefix': 'abc'}
EVENTS = msgspec.json.encode({'events': [EVENT]})


class FakeEngine:
    def __init__(self):
        self.status = 200
        self.paths = []

    async def serve(self, call: Call) -> None:
        self.paths.append(call.target)
        body = REPORT if call.path == '/v1/load' else EVENTS
        await call.respond(self.status, body)


def with_engine(test):
    def wrapper(self):
        async def main():
            engine = FakeEngine()
            server = HttpServer(engine.serve)
            backends = Backends(EjectionPolicy(), random.Random(2))
            reports = LoadReports(
                backends, HttpClient(), PollSettings(), random.Random(3)
            )
            async with trio.open_nursery() as nursery:
                await server.start(nursery, '127.0.0.1', 0)
                vm = VmRecord(
                    'vm-1',
                    'backend',
                    'live',
                    'p',
                    'p/m',
                    'p/a',
                    'r',
                    server.address,
                )
                backends.update([vm])
                await reports.start(nursery)
                await test(self, engine, backends)
                await reports.close()
                await server.close()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


class LoadReportsTests(testtools.TestCase):
    @with_engine
    async def test_servers_in_use_are_polled(self, engine, backends):
        await trio.sleep(5)
        self.assertEqual([], engine.paths)
        backends.request_started('vm-1')
        await trio.sleep(12)
        (state,) = backends.servers('p/m')
        reported = (state.reported_running, state.reported_waiting)
        self.assertEqual((5, 1), reported)
        self.assertLess(state.report_age_s, 1.5)
        self.assertEqual({'abc'}, state.cached_prefixes)
        self.assertIn('/v1/cache-events?after=4', engine.paths)

    @with_engine
    async def test_server_returns_once_it_responds_to_a_probe(
        self, engine, backends
    ):
        engine.status = 500
        backends.record_failure('vm-1', silent=True)
        await trio.sleep(60)
        self.assertEqual(0, backends.count_usable('p/m'))
        self.assertLess(len(engine.paths), 10)
        engine.status = 404
        await trio.sleep(31)
        self.assertEqual(1, backends.count_usable('p/m'))
