"""
tests.test_front
~~~~~~~~~~~~~~~~

Guards against unauthenticated requests, and errors with a wrong outcome.
"""

import functools
import hashlib
import io

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork import logs
from eelgrassfork.bundle_types import Bundle, Caller, Organisation
from eelgrassfork.errors import RequestError
from eelgrassfork.front import Front, FrontParts
from eelgrassfork.http_client import (
    ClientRequest,
    ConnectionLost,
    HttpClient,
)
from eelgrassfork.http_server import HttpServer
from tests.memory_network import MemoryNetwork
from tests.metric_recorder import MetricRecorder

KEY = 'sk-atelier'
CALLER = Caller(
    'pazlen',
    Organisation('pazlen/atelier', {}, frozenset()),
    'pazlen/atelier/main',
)
BUNDLE = Bundle(
    7, {}, {}, {}, {}, {hashlib.sha256(KEY.encode()).hexdigest(): CALLER}
)
FIRST = (('idempotency-key', 'k'), ('x-stainless-retry-count', '0'))
AGAIN = (('idempotency-key', 'k'), ('x-stainless-retry-count', '1'))


class FrontFixture:
    """A caller listener with fake dependencies, and its client."""

    def __init__(self, log) -> None:
        self.log = log
        self.bundle = BUNDLE
        self.unready = ''
        self.draining = False
        self.refuses = False
        self.metrics = MetricRecorder()
        network = MemoryNetwork()
        parts = FrontParts(
            fleet='pazlen',
            bundle=lambda: self.bundle,
            unready=lambda: self.unready,
            is_draining=lambda: self.draining,
            refuses_new=lambda: self.refuses,
            chat=functools.partial(self.answer, b'chat'),
            models=functools.partial(self.answer, b'models'),
            plain=functools.partial(self.answer, b'plain'),
            issue_key=lambda organisation: f'efk1.{organisation}',
            metrics=self.metrics,
        )
        self.server = HttpServer(
            Front(parts).serve, transport=network.transport('router')
        )
        self.client = HttpClient(transport=network.transport('caller'))

    async def answer(self, body, call, caller):
        if 'x-bug' in call.headers_by_name:
            raise ValueError(f'bug near Bearer {KEY}')
        if 'x-poor' in call.headers_by_name:
            raise RequestError('budget_exhausted', 'the budget is exhausted')
        if 'x-cut' in call.headers_by_name:
            await call.start(200, ())
            raise RequestError('server_failed', 'cut', 'ran')
        await call.respond(200, body)

    async def call(self, method, path, headers=(), key=KEY):
        sent = (('authorization', f'Bearer {key}'.strip()), *headers)
        response, body = await self.client.fetch(
            ClientRequest(self.server.address, method, path, sent)
        )
        error = {}
        if response.status >= 400:
            error = msgspec.json.decode(body).get('error', {})
        return response.status, error.get('code', body), error


def with_front_fixture(test):
    @functools.wraps(test)
    def wrapper(self):
        log = io.StringIO()
        handler = logs.configure_logging(logs.LogOptions(), log)
        self.addCleanup(handler.pop_application)

        async def main():
            async with trio.open_nursery() as nursery:
                fixture = FrontFixture(log)
                await fixture.server.start(nursery, '10.0.0.1', 0)
                await test(self, fixture)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


class FrontTests(testtools.TestCase):
    @with_front_fixture
    async def test_refusals_for_lack_of_credit_name_the_organisation(
        self, fixture
    ):
        for headers in ((('x-poor', '1'),), (('x-bug', '1'),)):
            await fixture.call('POST', '/v1/chat/completions', headers)
        refusals = {
            key: amount
            for key, amount in fixture.metrics.counts.items()
            if 'refusals' in key[0]
        }
        self.assertEqual(
            {
                ('refusals', 'pazlen', 'budget_exhausted', 'not_run'): 1,
                ('refusals', 'pazlen', 'internal_error', 'unknown'): 1,
                (
                    'credit_refusals',
                    'pazlen',
                    'pazlen/atelier',
                    'budget_exhausted',
                ): 1,
            },
            refusals,
        )

    @with_front_fixture
    async def test_paths_are_routed_to_their_handler(self, fixture):
        cases = (
            ('POST', '/v1/chat/completions', 200, b'chat'),
            ('GET', '/v1/models', 200, b'models'),
            ('DELETE', '/services/a/b', 200, b'plain'),
            (
                'POST',
                '/v1/idempotency-keys',
                200,
                b'{"key":"efk1.pazlen/atelier"}',
            ),
            ('GET', '/v1/chat/completions', 400, 'invalid_request'),
            ('GET', '/v1/nothing', 404, 'unknown_service'),
        )
        for method, path, *expected in cases:
            result = await fixture.call(method, path)
            self.assertEqual(expected, list(result[:2]))

    @with_front_fixture
    async def test_unknown_keys_are_rejected(self, fixture):
        for key in ('', 'sk-atelier2', hashlib.sha256(b'x').hexdigest()):
            result = await fixture.call('POST', '/services/a/b', key=key)
            self.assertEqual((401, 'unknown_key'), result[:2])
            self.assertIn('version 7', result[2]['message'])

    @with_front_fixture
    async def test_refusals_report_the_known_outcome(self, fixture):
        fixture.draining = fixture.refuses = True
        cases = ((), 'not_run'), (FIRST, 'not_run'), (AGAIN, 'unknown')
        for headers, outcome in cases:
            result = await fixture.call('POST', '/services/a/b', headers)
            self.assertEqual((503, 'draining'), result[:2])
            self.assertEqual(outcome, result[2]['outcome'])
            self.assertEqual('not_run', result[2]['attempt'])
        fixture.unready = 'no bundle'
        result = await fixture.call('POST', '/services/a/b')
        self.assertEqual('not_ready', result[1])

    @with_front_fixture
    async def test_drain_serves_requests_but_issues_no_keys(self, fixture):
        self.assertEqual(
            200, (await fixture.call('GET', '/healthz', key=''))[0]
        )
        fixture.draining = True
        self.assertEqual(
            503, (await fixture.call('GET', '/healthz', key=''))[0]
        )
        self.assertEqual(200, (await fixture.call('GET', '/v1/models'))[0])
        result = await fixture.call('POST', '/v1/idempotency-keys')
        self.assertEqual('draining', result[1])

    @with_front_fixture
    async def test_access_log_has_one_line_per_request_and_no_keys(
        self, fixture
    ):
        await fixture.call('GET', f'/v1/models?key={KEY}')
        (line,) = fixture.log.getvalue().splitlines()
        self.assertIn('GET /v1/models -> 200', line)
        self.assertIn('for pazlen/atelier/main request=req-', line)
        result = await fixture.call('GET', '/v1/models', (('x-bug', '1'),))
        self.assertEqual((500, 'internal_error'), result[:2])
        self.assertEqual('unknown', result[2]['outcome'])
        self.assertNotIn(KEY, fixture.log.getvalue())

    @with_front_fixture
    async def test_aborted_answer_is_detected_as_incomplete(self, fixture):
        headers = (('x-cut', '1'),)
        with testtools.ExpectedException(ConnectionLost):
            await fixture.call('GET', '/v1/models', headers)
        self.assertIn('server_failed, outcome ran', fixture.log.getvalue())
