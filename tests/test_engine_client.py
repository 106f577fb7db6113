"""
tests.test_engine_client
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against crossed and truncated answers, and orders without a valid lease.
"""

import functools

import msgspec
import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.engine_client import EngineClient
from eelgrassfork.engine_types import EngineCall, EngineError
from eelgrassfork.http_client import HttpClient
from eelgrassfork.leases import Lease
from standins.engine import EngineSettings, EngineStandin
from tests.memory_network import MemoryNetwork

PAYER = 'vm-1.a/p/o/main/1'


def chat_body(**fields) -> bytes:
    chat = {
        'model': 'm',
        'messages': [{'role': 'user', 'content': 'a b c'}],
        'stream': True,
        'metadata': {'words': '6'},
    }
    return msgspec.json.encode({**chat, **fields})


class EngineFixture:
    def __init__(self, nursery):
        self.network = MemoryNetwork()
        self.engine = EngineStandin(
            EngineSettings('m', checks_fencing=True),
            self.network.transport('engine'),
        )
        http = HttpClient(transport=self.network.transport('router'))
        self.client = EngineClient(http)

    def call(self, request_id='one', payer=PAYER, **fields) -> EngineCall:
        return EngineCall(
            self.engine.address,
            request_id,
            payer,
            chat_body(**fields),
            priority=1,
            max_tokens=100,
            prefix='',
            head_timeouts_s=(1, 2),
            silence_s=1,
        )

    async def stream(self, answer):
        try:
            found = [batch async for batch in answer.events()]
        finally:
            await answer.close()
        return [event for batch in found for event in batch]

    async def result_of(self, call):
        try:
            answer = await self.client.open(call)
            await self.stream(answer)
        except EngineError as error:
            return error.code, error.may_have_run
        return 'whole', True


def with_engine(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                fixture = EngineFixture(nursery)
                await fixture.engine.start(nursery, '127.0.0.1', 0)
                await test(self, fixture)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return wrapper


class AnswerTests(testtools.TestCase):
    @with_engine
    async def test_failures_report_whether_the_request_may_have_run(
        self, fixture
    ):
        cases = (
            ({}, ('whole', True)),
            ({'fail': True}, ('engine_failed', True)),
            ({'wrong_identity': True}, ('wrong_identity', True)),
            ({'silent': True}, ('engine_silent', True)),
            ({'cut_after_events': 2}, ('engine_lost', True)),
            ({'silent_after_events': 2}, ('engine_silent', True)),
        )
        for number, (faults, expected) in enumerate(cases):
            with self.subTest(faults=faults):
                fixture.engine.set_faults(**faults)
                call = fixture.call(f'request-{number}')
                self.assertEqual(expected, await fixture.result_of(call))
                cleared = {name: None for name in faults if 'after' in name}
                fixture.engine.set_faults(
                    **{**dict.fromkeys(faults, False), **cleared}
                )

    @with_engine
    async def test_refusals_did_not_run(self, fixture):
        call = fixture.call()
        missing = fixture.call(model='other')
        bad = call._replace(body=b'{}')
        self.assertEqual(
            ('model_missing', False), await fixture.result_of(missing)
        )
        self.assertEqual(
            ('engine_rejected', False), await fixture.result_of(bad)
        )
        fixture.engine.leave()
        self.assertEqual(
            ('engine_draining', False), await fixture.result_of(call)
        )
        # The request was sent on a pooled connection before its loss was
        # detected.
        fixture.network.kill('engine')
        self.assertEqual(
            ('engine_unreachable', True), await fixture.result_of(call)
        )

    @with_engine
    async def test_silenced_connection_is_replaced(self, fixture):
        await fixture.result_of(fixture.call('first'))
        fixture.network.silence('router', 'engine')
        self.assertEqual(
            ('whole', True), await fixture.result_of(fixture.call('second'))
        )
        self.assertEqual(2, len(fixture.engine.records()))

    @with_engine
    async def test_resumed_stream_continues_at_the_next_event(self, fixture):
        whole = await fixture.stream(await fixture.client.open(fixture.call()))
        answer = await fixture.client.resume(fixture.call(), 3)
        self.assertEqual(whole[3:], await fixture.stream(answer))

    @with_engine
    async def test_attached_answer_reports_the_first_payer(self, fixture):
        first = await fixture.client.open(fixture.call())
        other = fixture.call(payer='vm-2.b/p/o/main/9')
        second = await fixture.client.open(other)
        self.assertEqual([PAYER, PAYER], [first.payer, second.payer])
        self.assertEqual(
            await fixture.stream(first), await fixture.stream(second)
        )


class RecordTests(testtools.TestCase):
    @with_engine
    async def test_cancelled_request_keeps_its_record(self, fixture):
        answer = await fixture.client.open(fixture.call())
        await answer.close()
        address = fixture.engine.address
        record = await fixture.client.cancel(address, 'one')
        self.assertEqual(('cancelled', PAYER), (record.state, record.payer))
        self.assertEqual(3 + record.completion_tokens, record.tokens)
        self.assertIsNone(await fixture.client.cancel(address, 'unknown'))
        records = await fixture.client.records(address, 'vm-1.a/')
        self.assertEqual([record], records)
        self.assertEqual([], await fixture.client.records(address, 'vm-2'))


class OrderTests(testtools.TestCase):
    @with_engine
    async def test_expired_or_superseded_lease_sends_no_order(self, fixture):
        async def result_of(number, rest_s):
            until = trio.current_time() + rest_s
            lease = Lease('orders', number, 1, until)
            try:
                await fixture.client.order(
                    fixture.engine.address, 'load_adapter', f'a{number}', lease
                )
            except EngineError as error:
                return error.code
            return 'done'

        codes = [
            await result_of(number, rest_s)
            for number, rest_s in ((2, 5), (3, 0), (1, 5), (3, 5))
        ]
        self.assertEqual(
            ['done', 'order_fenced', 'order_fenced', 'done'], codes
        )
        names = [order['name'] for order in fixture.engine.orders.carried_out]
        self.assertEqual(['a2', 'a3'], names)
        state = await fixture.client.state(fixture.engine.address)
        self.assertEqual(('m', 'a2', 'a3'), state.models)
        lease = Lease('orders', 9, 1, trio.current_time() + 5)
        with testtools.ExpectedException(EngineError, 'engine_rejected'):
            await fixture.client.order(
                fixture.engine.address, 'dance', '', lease
            )
