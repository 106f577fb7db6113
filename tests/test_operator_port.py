"""
tests.test_operator_port
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against unauthenticated drains, and a failing dump that hides others.
"""

import hashlib

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork.http_client import ClientRequest, HttpClient
from eelgrassfork.http_server import HttpServer
from eelgrassfork.operator_port import OperatorParts, operator_handler
from tests.memory_network import MemoryNetwork

KEY = 'operator'
DUMPS = {'good': lambda: {'at': 1, 'odd': object}, 'bad': lambda: 1 / 0}


class OperatorTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reason = ''
        self.drains = []

    async def try_bundle(self, envelope):
        await trio.lowlevel.checkpoint()
        return {'bytes': len(envelope)}

    async def exchange(self, calls):
        network = MemoryNetwork()
        parts = OperatorParts(
            hashlib.sha256(KEY.encode()).hexdigest(),
            lambda: self.reason,
            DUMPS,
            lambda: self.drains.append(1),
            self.try_bundle,
        )
        server = HttpServer(
            operator_handler(parts), transport=network.transport('router')
        )
        client = HttpClient(transport=network.transport('operator'))
        answers = []
        async with trio.open_nursery() as nursery:
            await server.start(nursery, '10.0.0.1', 0)
            for method, path, key in calls:
                headers = (('authorization', f'Bearer {key}'),) if key else ()
                response, body = await client.fetch(
                    ClientRequest(server.address, method, path, headers)
                )
                answers.append((response.status, msgspec.json.decode(body)))
            nursery.cancel_scope.cancel()
        return answers

    def run_calls(self, *calls):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self.exchange, calls, clock=clock)

    def test_all_calls_except_health_require_the_key(self):
        calls = [
            (*call, key)
            for call in (
                ('GET', '/state'),
                ('POST', '/drain'),
                ('POST', '/bundle/trial'),
                ('GET', '/x'),
            )
            for key in ('', 'wrong', hashlib.sha256(KEY.encode()).hexdigest())
        ]
        statuses = [status for status, _ in self.run_calls(*calls)]
        self.assertEqual([401] * len(calls), statuses)
        self.assertEqual([], self.drains)

    def test_drain_and_readiness(self):
        self.reason = 'draining'
        answers = self.run_calls(
            ('GET', '/healthz', ''),
            ('GET', '/readyz', ''),
            ('POST', '/drain', KEY),
            ('GET', '/drain', KEY),
        )
        self.assertEqual([200, 503, 202, 400], [each[0] for each in answers])
        self.assertEqual('draining', answers[1][1]['reason'])
        self.assertEqual([1], self.drains)

    def test_bundle_trial_returns_the_report(self):
        answers = self.run_calls(
            ('POST', '/bundle/trial', KEY), ('GET', '/bundle/trial', KEY)
        )
        self.assertEqual((200, {'bytes': 0}), answers[0])
        self.assertEqual(400, answers[1][0])

    def test_failing_dump_does_not_hide_the_others(self):
        ((status, body),) = self.run_calls(('GET', '/state', KEY))
        self.assertEqual((200, 1), (status, body['good']['at']))
        self.assertIn('ZeroDivisionError', body['bad']['error'])
