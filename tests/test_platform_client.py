"""
tests.test_platform_client
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a write reported as without effect that took effect.

The client's contract is checked against the stand-in behind sockets and
against the in-memory fake, so that parts tested on the fake hold on both.
"""

import functools

import testtools
import trio

from eelgrassfork.http_client import HttpClient
from eelgrassfork.http_server import Call, HttpServer
from eelgrassfork.platform_client import (
    AnswerLost,
    Conflict,
    PlatformClient,
    PlatformRefused,
    PlatformUnavailable,
    StoredObject,
)
from standins.fake_platform import FakePlatform
from standins.object_store import MAX_VALUE_BYTES
from standins.platform import PlatformStandin
from standins.platform_core import RateLimits

TIMEOUT_S = 5
SHORT_TIMEOUT_S = 0.2


async def with_fake(test):
    fake = FakePlatform(timeout_s=TIMEOUT_S)
    await test(fake, fake.for_client('kandy-a'), fake.core)


async def with_sockets(test):
    async with trio.open_nursery() as nursery:
        standin = PlatformStandin()
        await standin.start(nursery, '127.0.0.1', 0)
        http = HttpClient()
        client = PlatformClient(http, standin.address, TIMEOUT_S)
        named = PlatformClient(http, standin.address, TIMEOUT_S, 'kandy-a')
        await test(client, named, standin.core)
        await http.close()
        await standin.close()


def run(test):
    @functools.wraps(test)
    def wrapper(self):
        trio.run(self.setting, functools.partial(test, self))

    return wrapper


async def error_of(call):
    try:
        await call
    except Exception as error:
        return error
    return None


class Contract:
    """
    Tests of both settings.

    Subclasses choose the setting: pytest binds a test method to its first
    instance, so testscenarios' copies of a test lose their attributes.
    """

    @run
    async def test_stale_writer_is_told_the_current_version(
        self, client, _, core
    ):
        self.assertEqual(1, await client.put('a', b'1', None))
        self.assertEqual(2, await client.put('a', b'2', 1))
        for stale in (None, 1, 3):
            error = await error_of(client.put('a', b'x', stale))
            self.assertIsInstance(error, Conflict)
            self.assertEqual(2, error.current_version)
        missing = await error_of(client.put('b', b'x', 1))
        self.assertIsNone(missing.current_version)
        self.assertEqual(StoredObject('a', 2, b'2'), await client.get('a'))

    @run
    async def test_version_of_a_deleted_object_never_comes_back(
        self, client, _, core
    ):
        await client.put('a', b'1', None)
        await client.delete('a', 1)
        self.assertIsNone(await client.get('a'))
        self.assertGreater(await client.put('a', b'2', None), 1)
        error = await error_of(client.delete('a', 1))
        self.assertIsInstance(error, Conflict)

    @run
    async def test_lost_answers_are_neither_success_nor_failure(
        self, client, _, core
    ):
        core.change_faults(lose_answers=1, drop_writes=1)
        dropped = await error_of(client.put('a', b'1', None))
        self.assertIsNone(await client.get('a'))
        lost = await error_of(client.put('a', b'1', None))
        self.assertEqual(b'1', (await client.get('a')).body)
        self.assertEqual([AnswerLost, AnswerLost], [type(dropped), type(lost)])

    @run
    async def test_refused_calls_have_no_effect(self, client, named, core):
        for faults in ({'down': True}, {'cut': ['kandy-a']}):
            core.change_faults(**faults)
            error = await error_of(named.put('a', b'1', None))
            self.assertIsInstance(error, PlatformUnavailable)
            core.change_faults(down=False)
        self.assertIsNone(await client.get('a'))

    @run
    async def test_late_write_is_an_answer_lost(self, client, _, core):
        # The write was reported as without effect at the time-out, and took
        # effect afterwards.
        core.change_faults(delay_s=SHORT_TIMEOUT_S * 2)
        client._timeout_s = SHORT_TIMEOUT_S
        error = await error_of(client.put('a', b'1', None))
        self.assertIsInstance(error, AnswerLost)
        self.assertIsInstance(
            await error_of(client.get('a')), PlatformUnavailable
        )
        core.change_faults(delay_s=0)
        with trio.fail_after(5):
            while core.objects.get('a') is None:
                await core.objects.wait()

    @run
    async def test_over_the_rate_nothing_takes_effect(self, client, _, core):
        core.set_limits(RateLimits(writes_per_s=0.01, reads_per_s=0.01))
        puts = [await error_of(client.put(key, b'', None)) for key in 'ab']
        gets = [await error_of(client.get(key)) for key in 'ab']
        for errors in (puts, gets):
            self.assertIsNone(errors[0])
            self.assertIsInstance(errors[-1], PlatformUnavailable)
        self.assertEqual({'put': 2, 'get': 2}, dict(core.calls_by_kind))
        self.assertIsNone(core.objects.get('b'))

    @run
    async def test_watch_sees_every_change_after_its_revision(
        self, client, _, core
    ):
        await client.put('w/a', b'1', None)
        seen = await client.watch('w/', 0, 1)
        self.assertEqual([StoredObject('w/a', 1, b'1')], seen.objects)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.put, 'other', b'', None)
            nursery.start_soon(client.delete, 'w/a', 1)
            later = await client.watch('w/', seen.revision, 5)
        self.assertEqual([StoredObject('w/a', 0, b'')], later.objects)
        idle = await client.watch('w/', later.revision, 0.01)
        self.assertEqual([], idle.objects)

    @run
    async def test_waiting_watch_fails_with_the_platform(self, client, _, core):
        async with trio.open_nursery() as nursery:

            async def go_down():
                while not core.calls_by_kind['watch']:
                    await trio.sleep(0)
                core.change_faults(down=True)

            nursery.start_soon(go_down)
            error = await error_of(client.watch('w/', 0, 5))
        self.assertIsInstance(error, PlatformUnavailable)

    @run
    async def test_odd_keys_and_bodies_arrive_unchanged(self, client, _, core):
        key = 'claims/a b/%2F?x=1#é'
        body = bytes(range(256))
        await client.put(key, body, None)
        expected = StoredObject(key, 1, body)
        self.assertEqual(expected, await client.get(key))
        self.assertEqual([expected], await client.list_objects('claims/a b'))
        large = b'x' * (MAX_VALUE_BYTES + 1)
        error = await error_of(client.put('large', large, None))
        self.assertIsInstance(error, PlatformRefused)

    @run
    async def test_weights_are_limited(self, client, _, core):
        core.set_limits(RateLimits(weights_per_s=0.01))
        core.weights_by_name['m'] = b'weights'
        self.assertEqual(b'weights', await client.weight('m'))
        error = await error_of(client.weight('m'))
        self.assertIsInstance(error, PlatformUnavailable)


class FakeContractTests(Contract, testtools.TestCase):
    setting = staticmethod(with_fake)


class SocketContractTests(Contract, testtools.TestCase):
    setting = staticmethod(with_sockets)


class AnswerTests(testtools.TestCase):
    """Each answer of a server, and the effect that a write must report."""

    def put_error(self, handler, key):
        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(handler)
                await server.start(nursery, '127.0.0.1', 0)
                http = HttpClient()
                client = PlatformClient(http, server.address, TIMEOUT_S)
                # Leaves a pooled connection behind.
                await error_of(client.get('warm'))
                self.error = await error_of(client.put(key, b'', None))
                await http.close()
                await server.close()

        trio.run(main)
        return self.error

    def test_effect_follows_the_status(self):
        cases = (
            (429, PlatformUnavailable),
            (503, PlatformUnavailable),
            (500, AnswerLost),
            (200, AnswerLost),
            (413, PlatformRefused),
            (412, Conflict),
        )
        for status, expected in cases:

            async def answer(call: Call, status=status) -> None:
                await call.respond(status)

            with self.subTest(status=status):
                self.assertIsInstance(self.put_error(answer, 'a'), expected)

    def test_broken_connection_sends_a_write_once(self):
        puts = []

        async def cut(call: Call) -> None:
            if call.method == 'GET':
                await call.respond(404)
            else:
                puts.append(call.path)
                await call.abort()

        error = self.put_error(cut, 'a')
        self.assertIsInstance(error, AnswerLost)
        self.assertEqual(['/v1/objects/a'], puts)

    def test_no_connection_means_no_effect(self):
        async def main():
            listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            client = PlatformClient(HttpClient(), f'127.0.0.1:{port}', 1)
            return await error_of(client.put('a', b'', None))

        self.assertIsInstance(trio.run(main), PlatformUnavailable)
