"""
tests.test_standins
~~~~~~~~~~~~~~~~~~~

Guards against stand-ins that are more lenient than the real systems.
"""

import functools
import json
import subprocess
import sys

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectionLost,
    HttpClient,
    ReceiveTimeout,
)
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.engine_batch import Batch, Generation, GenerationSpec
from standins.engine_cache import CacheEvents, PrefixCache
from standins.engine_text import completion_text, parse_chat
from standins.fake_platform import FakePlatform
from standins.plain_service import PlainServiceStandin
from standins.platform import PlatformStandin

SETTINGS = EngineSettings('m', pace=0.02, checks_fencing=True)
TIMEOUTS = ClientTimeouts(first_byte_s=5, silence_s=5)
SHORT = ClientTimeouts(first_byte_s=0.3, silence_s=0.3)
TIMEOUTS_BY_ERROR = {ReceiveTimeout: SHORT, ConnectionLost: TIMEOUTS}


def chat_body(words=5, stream=False, text='a b c', **fields):
    return json.dumps(
        {
            'model': 'm',
            'messages': [{'role': 'user', 'content': text}],
            'stream': stream,
            'metadata': {'words': str(words)},
            **fields,
        },
    ).encode()


class Server:
    """A started stand-in with shorthands for requests to it."""

    def __init__(self, standin, http):
        self.standin = standin
        self.http = http

    def request(self, method, target, body=b'', **headers):
        pairs = tuple(
            (name.replace('_', '-'), text) for name, text in headers.items()
        )
        return ClientRequest(self.standin.address, method, target, pairs, body)

    async def call(
        self, method, target, body=b'', timeouts=TIMEOUTS, **headers
    ):
        request = self.request(method, target, body, **headers)
        return await self.http.fetch(request, timeouts)

    async def json(self, method, target, body=b'', **headers):
        _, answer = await self.call(method, target, body, **headers)
        return json.loads(answer)

    async def chat(self, body, timeouts=TIMEOUTS, **headers):
        target = '/v1/chat/completions'
        return await self.call('POST', target, body, timeouts, **headers)

    async def open_chat(self, body, **headers):
        target = '/v1/chat/completions'
        request = self.request('POST', target, body, **headers)
        return await self.http.request(request, TIMEOUTS)


def with_standin(make):
    def decorate(test):
        @functools.wraps(test)
        def wrapper(self):
            async def main():
                async with trio.open_nursery() as nursery:
                    standin = make()
                    await standin.start(nursery, '127.0.0.1', 0)
                    http = HttpClient()
                    with trio.fail_after(30):
                        await test(self, Server(standin, http))
                    await http.close()
                    await standin.close()

            trio.run(main)

        return wrapper

    return decorate


with_engine = with_standin(lambda: EngineStandin(SETTINGS))
with_service = with_standin(PlainServiceStandin)


def events_of(body):
    blocks = [block for block in body.decode().split('\n\n') if block]
    events = []
    for block in blocks:
        number, data = block.split('\n')
        events.append((int(number[4:]), data[6:]))
    return events


def text_of(events):
    chunks = [json.loads(data) for _, data in events if data != '[DONE]']
    return ''.join(
        chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
    )


class EngineTests(testtools.TestCase):
    @with_engine
    async def test_stream_and_whole_answer_have_the_same_text(self, server):
        plain, streamed = chat_body(), chat_body(stream=True)
        response, answer = await server.chat(
            plain, x_request_id='one', x_payer='vm.1/f/o/main/7'
        )
        completion = json.loads(answer)
        text = completion['choices'][0]['message']['content']
        self.assertEqual(completion_text(plain), text)
        usage = completion['usage']
        self.assertEqual(
            (3, 5), (usage['prompt_tokens'], usage['completion_tokens'])
        )
        self.assertEqual('one', response.headers_by_name['x-request-id'])
        _, answer = await server.chat(streamed)
        events = events_of(answer)
        self.assertEqual(text, text_of(events))
        self.assertEqual(list(range(7)), [number for number, _ in events])
        self.assertEqual('[DONE]', events[-1][1])
        self.assertEqual(usage, json.loads(events[-2][1])['usage'])

    @with_engine
    async def test_repeated_identity_attaches_and_keeps_its_payer(self, server):
        body = chat_body(stream=True)
        _, first = await server.chat(
            body, x_request_id='one', x_payer='vm.1/f/o/main/1'
        )
        response, again = await server.chat(
            body,
            x_request_id='one',
            x_payer='vm.2/f/o/main/9',
            x_resume_from='3',
        )
        self.assertEqual(events_of(first)[3:], events_of(again))
        payer = response.headers_by_name['x-payer']
        self.assertEqual('vm.1/f/o/main/1', payer)
        by_first = await server.json('GET', '/v1/requests?payer=vm.1/')
        by_second = await server.json('GET', '/v1/requests?payer=vm.2/')
        self.assertEqual(5, by_first['requests'][0]['completion_tokens'])
        self.assertEqual([], by_second['requests'])

    @with_engine
    async def test_generation_outlives_its_connection(self, server):
        body = chat_body(words=20, stream=True)
        response = await server.open_chat(body, x_request_id='one')
        await response.close()
        _, answer = await server.chat(body, x_request_id='one')
        self.assertEqual(completion_text(body), text_of(events_of(answer)))

    @with_engine
    async def test_cancelled_stream_never_looks_complete(self, server):
        body = chat_body(words=100_000, max_tokens=100_000, stream=True)
        response = await server.open_chat(body, x_request_id='one')
        record = await server.json('DELETE', '/v1/requests/one')
        self.assertEqual('cancelled', record['state'])
        with testtools.ExpectedException(ConnectionLost):
            await response.read()
        await response.close()
        again, _ = await server.chat(chat_body(), x_request_id='one')
        self.assertEqual(409, again.status)
        records = server.standin.records()
        self.assertEqual(
            [record['completion_tokens']],
            [kept['completion_tokens'] for kept in records],
        )

    @with_engine
    async def test_cap_is_kept_unless_a_fault_ignores_it(self, server):
        spent = []
        for ignore_cap in (False, True):
            server.standin.set_faults(ignore_cap=ignore_cap)
            _, answer = await server.chat(chat_body(9), x_max_tokens='4')
            spent.append(json.loads(answer)['usage']['completion_tokens'])
        self.assertEqual([4, 9], spent)

    @with_engine
    async def test_faults_delay_or_abort_responses(self, server):
        body = chat_body(stream=True)
        cases = (
            ({'silent': True}, ReceiveTimeout),
            ({'silent_after_events': 2}, ReceiveTimeout),
            ({'cut_after_events': 2}, ConnectionLost),
        )
        for faults, expected in cases:
            with self.subTest(faults=faults):
                await server.json(
                    'POST', '/admin/faults', json.dumps(faults).encode()
                )
                with testtools.ExpectedException(expected):
                    await server.chat(body, TIMEOUTS_BY_ERROR[expected])
                off = {name: None for name in faults}
                server.standin.set_faults(**off)

    @with_engine
    async def test_wrong_identity_and_failure_show_in_response_head(
        self, server
    ):
        server.standin.set_faults(wrong_identity=True)
        response, _ = await server.chat(chat_body(), x_request_id='one')
        self.assertNotEqual('one', response.headers_by_name['x-request-id'])
        server.standin.set_faults(wrong_identity=False, fail=True)
        response, _ = await server.chat(chat_body(), x_request_id='two')
        self.assertEqual(500, response.status)
        self.assertNotIn('two', server.standin.generations_by_id)

    @with_engine
    async def test_silenced_connections_stay_so_while_new_ones_work(
        self, server
    ):
        await server.json('GET', '/v1/load')
        server.standin.set_faults(silence_open=True)
        with testtools.ExpectedException(ReceiveTimeout):
            await server.call('GET', '/v1/load', timeouts=SHORT)
        self.assertEqual(0, (await server.json('GET', '/v1/load'))['running'])

    @with_engine
    async def test_old_fencing_numbers_are_refused(self, server):
        cases = ((5, 200), (4, 409), (5, 200), (None, 409), (6, 200))
        for number, status in cases:
            order = {'order': 'change_role', 'name': f'r{number}'}
            body = json.dumps({**order, 'fencing_number': number}).encode()
            response, _ = await server.call('POST', '/v1/orders', body)
            self.assertEqual((number, status), (number, response.status))
        self.assertEqual('r6', server.standin.orders.role)
        server.standin.orders._checks_fencing = False
        stale = b'{"order": "load_adapter", "name": "a", "fencing_number": 1}'
        state = await server.json('POST', '/v1/orders', stale)
        self.assertEqual(['m', 'a'], state['models'])
        self.assertEqual(state, await server.json('GET', '/v1/state'))

    @with_engine
    async def test_leaving_engine_takes_no_new_work(self, server):
        await server.chat(chat_body(), x_request_id='old')
        await server.json('POST', '/v1/orders', b'{"order": "leave"}')
        server.standin.leave()
        refused, answer = await server.chat(chat_body(), x_request_id='new')
        self.assertEqual(503, refused.status)
        self.assertEqual('draining', json.loads(answer)['error']['code'])
        kept, _ = await server.chat(chat_body(), x_request_id='old')
        self.assertEqual(200, kept.status)

    @with_engine
    async def test_exported_prefix_saves_prefill_elsewhere(self, server):
        text = ' '.join(f'w{number}' for number in range(40))
        body = chat_body(text=text)
        await server.chat(body, x_prefix_hash='p')
        _, exported = await server.call('GET', '/v1/kv/p')
        async with trio.open_nursery() as nursery:
            standin = EngineStandin(SETTINGS)
            await standin.start(nursery, '127.0.0.1', 0)
            other = Server(standin, server.http)
            await other.call('PUT', '/v1/kv/p', exported)
            _, answer = await other.chat(body)
            await standin.close()
        details = json.loads(answer)['usage']['prompt_tokens_details']
        self.assertEqual(32, details['cached_tokens'])

    @with_engine
    async def test_invalid_requests_start_no_generation(self, server):
        cases = (b'{', b'{"model": "m"}', chat_body(max_tokens=-1))
        for body in cases:
            response, _ = await server.chat(body)
            self.assertEqual(400, response.status)
        response, _ = await server.chat(chat_body().replace(b'"m"', b'"n"'))
        self.assertEqual(404, response.status)
        self.assertEqual([], server.standin.records())


def mock_run(test):
    @functools.wraps(test)
    def wrapper(self):
        trio.run(
            functools.partial(test, self),
            clock=MockClock(autojump_threshold=0),
        )

    return wrapper


def generation(number, priority=1, words=4, text='a'):
    chat = parse_chat(chat_body(words, text=text))
    return Generation(GenerationSpec(f'{number}', '', priority, chat, words))


class BatchTests(testtools.TestCase):
    async def run_batch(self, slots, generations):
        """Return the duration and the request identities in finishing order."""
        cache = PrefixCache(4, CacheEvents(1))
        batch = Batch(slots, cache, 1)
        finished = []

        async def follow(gen):
            while not gen.ended:
                await gen.wait()
            finished.append(gen.spec.request_id)

        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(batch.run)
            async with trio.open_nursery() as followers:
                for gen in generations:
                    batch.submit(gen)
                    followers.start_soon(follow, gen)
            nursery.cancel_scope.cancel()
        return trio.current_time() - start, finished

    @mock_run
    async def test_steps_slow_down_with_the_batch(self):
        alone, _ = await self.run_batch(8, [generation(0)])
        full, _ = await self.run_batch(8, [generation(n) for n in range(8)])
        queued, _ = await self.run_batch(2, [generation(n) for n in range(8)])
        self.assertLess(alone, full)
        self.assertLess(full, queued)

    @mock_run
    async def test_lower_priority_number_starts_first(self):
        waiting = [generation(n, priority=2 - n) for n in range(3)]
        _, finished = await self.run_batch(1, waiting)
        self.assertEqual(['2', '1', '0'], finished)

    @mock_run
    async def test_prefill_of_a_cached_prompt_is_shorter(self):
        text = ' '.join(str(number) for number in range(64))
        first, second = (generation(n, words=1, text=text) for n in range(2))
        once, _ = await self.run_batch(1, [generation(2, 1, 1, text)])
        both, _ = await self.run_batch(1, [first, second])
        self.assertLess(both, 2 * once)
        cached = (first.cached_tokens, second.cached_tokens)
        self.assertEqual((0, 64), cached)


class CacheTests(testtools.TestCase):
    @mock_run
    async def test_least_recently_used_prefix_is_evicted_first(self):
        events = CacheEvents(1, delay_s=2, loss_fraction=0)
        cache = PrefixCache(4, events)
        for name in ('a', 'b', 'a', 'c'):
            cache.store(name, (f'{name}1', f'{name}2'))
        cached = [bool(cache.blocks(name)) for name in 'abc']
        self.assertEqual([True, False, True], cached)
        self.assertEqual([], events.after(0))
        await trio.sleep(2)
        shown = [(event.kind, event.prefix) for event in events.after(2)]
        self.assertEqual([('stored', 'c'), ('evicted', 'b')], shown)

    @mock_run
    async def test_lost_events_leave_gaps_in_the_numbers(self):
        events = CacheEvents(1, delay_s=0, loss_fraction=0.3)
        for number in range(100):
            events.record('stored', f'{number}')
        numbers = [event.number for event in events.after(0)]
        self.assertTrue(50 < len(numbers) < 90)
        self.assertTrue(
            all(
                int(event.prefix) + 1 == event.number
                for event in events.after(0)
            )
        )


class ServiceTests(testtools.TestCase):
    @with_service
    async def test_executions_are_counted_regardless_of_the_response(
        self, server
    ):
        cases = (
            ({'cut_before': True}, ConnectionLost, 0),
            ({'cut_after': True}, ConnectionLost, 1),
            ({'silent': True}, ReceiveTimeout, 1),
        )
        for faults, expected, count in cases:
            (name,) = faults
            server.standin.set_faults(**faults)
            request = server.request(
                'POST', '/orders', x_request_id=name, idempotency_key=name
            )
            with testtools.ExpectedException(expected):
                # On a pooled connection that is lost, the client would retry.
                await server.http.fetch(
                    request._replace(fresh=True), TIMEOUTS_BY_ERROR[expected]
                )
            server.standin.set_faults(**{name: False})
            executed = await server.json('GET', '/admin/executions')
            for table in ('by_request_id', 'by_key'):
                self.assertEqual(count, executed[table].get(name, 0))

    @with_service
    async def test_responses_carry_the_request_id(self, server):
        for method in ('GET', 'HEAD', 'PUT'):
            response, _ = await server.call(method, '/a?b=c', x_request_id='x')
            self.assertEqual('x', response.headers_by_name['x-request-id'])
        server.standin.set_faults(wrong_identity=True)
        response, _ = await server.call('GET', '/a', x_request_id='x')
        self.assertNotEqual('x', response.headers_by_name['x-request-id'])
        self.assertEqual(3, server.standin.look_ups)
        self.assertEqual(1, server.standin.orders)


def vm(name, state='live'):
    return VmRecord(name, 'router', state, 'f', '', 'f/a', 'r', '127.0.0.1:1')


class PlatformTests(testtools.TestCase):
    @mock_run
    async def test_vm_list_lags_and_can_freeze(self):
        fake = FakePlatform()
        fake.set_vms(vm('a'))
        fake.core.vm_lists.lag_s = 5
        fake.set_vms(vm('a'), vm('b'))
        seen = [(await fake.vms()).revision]
        await trio.sleep(5)
        seen.append((await fake.vms()).revision)
        fake.set_vms(vm('b'))
        fake.set_faults(stale_vms=True)
        await trio.sleep(9)
        seen.append((await fake.vms()).revision)
        fake.set_faults(stale_vms=False)
        seen.append((await fake.vms()).revision)
        self.assertEqual([1, 2, 2, 3], seen)

    @with_standin(PlatformStandin)
    async def test_admin_calls_patch_and_check(self, server):
        rows = [vm('a')._asdict(), vm('b')._asdict()]
        cases = (
            ('/admin/vms', {'vms': rows}, 200),
            ('/admin/vms', {'patch': {'a': {'state': 'leaving'}}}, 200),
            ('/admin/vms', {'patch': {'b': None}}, 200),
            ('/admin/vms', {'patch': {'a': {'state': 'gone'}}}, 400),
            ('/admin/faults', {'dwn': True}, 400),
            ('/admin/faults', {'down': True, 'slow_ms': 1}, 200),
        )
        for target, body, status in cases:
            response, _ = await server.call(
                'POST', target, json.dumps(body).encode()
            )
            self.assertEqual((body, status), (body, response.status))
        response, _ = await server.call('GET', '/v1/vms')
        self.assertEqual(503, response.status)
        await server.call('POST', '/admin/faults', b'{"down": false}')
        listed = await server.json('GET', '/v1/vms')
        self.assertEqual(3, listed['revision'])
        self.assertEqual(
            [('a', 'leaving')],
            [(row['vm'], row['state']) for row in listed['vms']],
        )
        counters = await server.json('GET', '/admin/counters')
        self.assertEqual({'vms': 2}, counters['calls_by_kind'])


class ProcessTests(testtools.TestCase):
    def test_each_process_prints_its_address(self):
        cases = ('platform', 'engine --model m', 'plain_service')
        for case in cases:
            command = f'{sys.executable} -m standins {case} --port 0'.split()
            with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                address = json.loads(process.stdout.readline())['address']
                process.terminate()
            self.assertTrue(address.startswith('127.0.0.1:'))
