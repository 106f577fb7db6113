"""
tests.test_chat
~~~~~~~~~~~~~~~

Guards against wrong outcomes, missed deadlines and mixed-up keys.
"""

import msgspec
import testtools

from eelgrassfork.http_client import ClientRequest
from tests.chat_setting import with_chat_fixture

KEY = ('idempotency-key', 'k1')
FIRST = ('x-stainless-retry-count', '0')


class OutcomeTests(testtools.TestCase):
    @with_chat_fixture
    async def test_not_run_is_reported_only_if_no_earlier_attempt_may_have_run(
        self, fixture
    ):
        fixture.router.accounts.limit = 10
        cases = (
            ((), 'not_run', 'not_run'),
            ((KEY,), 'unknown', 'not_run'),
            ((KEY, FIRST), 'not_run', 'not_run'),
        )
        for headers, outcome, attempt in cases:
            with self.subTest(headers=headers):
                error = (await fixture.ask(headers=headers)).error
                self.assertEqual(outcome, error['outcome'])
                self.assertEqual(attempt, error['attempt'])

    @with_chat_fixture
    async def test_same_key_with_another_body_is_refused_by_the_same_router(
        self, fixture
    ):
        fixture.router.accounts.limit = 10
        refused = await fixture.ask(headers=[KEY], words=5)
        self.assertEqual(402, refused.status)
        fixture.router.accounts.limit = 100
        first = await fixture.ask(headers=[KEY])
        second = await fixture.ask(headers=[KEY], temperature=0.1)
        self.assertEqual(422, second.status)
        other = await fixture.ask(
            headers=[KEY], router=fixture.other_router, words=7
        )
        self.assertEqual((6, 7), (len(first.words), len(other.words)))
        self.assertEqual([3 + 6], await fixture.settled_bills())


class DeadlineTests(testtools.TestCase):
    @with_chat_fixture
    async def test_deadline_error_is_sent_without_delay(self, fixture):
        fixture.engines[0].set_faults(slow_factor=100)
        timeout = [('x-request-timeout-ms', '700')]
        answer = await fixture.ask(headers=timeout)
        self.assertEqual('deadline_exceeded', answer.error['code'])
        self.assertEqual('unknown', answer.error['outcome'])
        self.assertLess(answer.finished_at_s, 0.71)
        await fixture.settled_bills()
        self.assertEqual('cancelled', fixture.generations()[0]['state'])

    @with_chat_fixture
    async def test_deadline_aborts_a_started_stream(self, fixture):
        timeout = [('x-request-timeout-ms', '300')]
        answer = await fixture.ask(words=45, headers=timeout)
        self.assertTrue(answer.truncated)
        self.assertEqual('deadline_exceeded', answer.error['code'])
        bills = await fixture.settled_bills()
        record = fixture.generations()[0]
        self.assertEqual([3 + record['completion_tokens']], bills)


class ModelsTests(testtools.TestCase):
    @with_chat_fixture
    async def test_lists_the_permitted_models_of_the_organisation(
        self, fixture
    ):
        address = fixture.router.server.address
        request = ClientRequest(address, 'GET', '/v1/models')
        _, body = await fixture.http.fetch(request)
        models = msgspec.json.decode(body)['data']
        self.assertEqual(['matcher'], [model['id'] for model in models])
