"""
tests.test_memory_account
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that a full account runs all the same, and against
ordinary ones that it refuses without need.
"""

import socket

import testtools
import trio

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
    hold_bodies,
)
from eelgrassfork.http_server import HttpServer, ServerLimits
from eelgrassfork.memory_account import Account, ListenerShare
from eelgrassfork.memory_policy import AccountLimits
from eelgrassfork.platform.boot_file import parse_settings

from .gateway_world import SETTINGS

LIMITS = ServerLimits(
    max_header_bytes=2048,
    max_body_bytes=300_000,
    header_timeout_s=5,
    body_timeout_s=10,
)
ACCOUNT = AccountLimits(600_000, 8, 8)
LARGE_ANSWER = bytes(8_000_000)


class Setting:
    """A server with an account, and raw connections to it."""

    def __init__(self, limits=ACCOUNT, is_system=False, idle_timeout_s=0.5):
        self.account = Account(limits)
        self.calls = []
        share = ListenerShare(self.account, 'test', is_system)
        server_limits = LIMITS._replace(idle_timeout_s=idle_timeout_s)
        self.server = HttpServer(self.answer, server_limits, share=share)

    async def answer(self, call):
        self.calls.append(call.path)
        body = LARGE_ANSWER if call.path == '/large' else b'%d' % len(call.body)
        await call.respond(200, body)

    async def connect(self, receive_bytes=None):
        host, _, port = self.server.address.partition(':')
        caller = trio.socket.socket()
        if receive_bytes:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        await caller.connect((host, int(port)))
        return trio.SocketStream(caller)

    async def send(self, sent):
        stream = await self.connect()
        await stream.send_all(sent)
        await trio.sleep(0.05)
        return stream

    async def ask(self, body=b'x'):
        stream = await self.send(post(len(body), body))
        return await read_status(stream)

    async def check_released(self):
        """Wait until nothing is held, which may be after the answer."""
        with trio.fail_after(5):
            while self.held:
                await trio.sleep(0.01)

    @property
    def held(self):
        return {
            kind: size
            for kind, size in self.account.held_by_kind.items()
            if size
        }


def post(size, body=b''):
    return (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % size
    ) + body


async def read_status(stream):
    with trio.fail_after(5):
        received = await stream.receive_some(65536)
    return int(received.split()[1]) if received else 0


def run(scenario, **options):
    async def main():
        setting = Setting(**options)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await setting.server.start(nursery, '127.0.0.1', 0)
                await scenario(setting)
                await setting.server.close()

    trio.run(main)


class SettingsTests(testtools.TestCase):
    def test_limits_of_the_machine_are_read(self):
        """The settings of the deployment were ignored."""
        text = SETTINGS.format(ports=(1, 2, 3, 4, 5), store='127.0.0.1:9')
        settings = parse_settings(
            f'{text}limits.memoryMb=160\nlimits.maxFds=1638\n'
        )
        self.assertEqual((160, 1638), (settings.memory_mb, settings.max_fds))
        without = parse_settings(text)
        self.assertEqual((0, 0), (without.memory_mb, without.max_fds))


class BodyTests(testtools.TestCase):
    def test_announced_size_over_the_limit_is_refused_unread(self):
        """The body was read up to the limit before the refusal."""

        async def scenario(setting):
            stream = await setting.send(post(300_001))
            self.assertEqual(413, await read_status(stream))
            self.assertEqual([], setting.calls)
            await setting.check_released()

        run(scenario)

    def test_expected_continue_is_not_sent_for_a_refused_body(self):
        """A caller was asked to send a body that is refused."""

        async def scenario(setting):
            head = post(300_001)[:-2] + b'expect: 100-continue\r\n\r\n'
            stream = await setting.send(head)
            self.assertEqual(413, await read_status(stream))

        run(scenario)

    def test_body_that_does_not_fit_is_refused_and_not_run(self):
        """Bodies of legal size filled the memory together."""

        async def scenario(setting):
            first = await setting.send(post(300_000, bytes(1000)))
            self.assertEqual(299_000, setting.held['body_announced'])
            self.assertEqual(1000, setting.held['body_received'])
            second = await setting.send(post(300_000))
            received = await second.receive_some(65536)
            self.assertIn(b' 503 ', received.split(b'\r\n')[0])
            self.assertIn(b'retry-after: 1', received.lower())
            self.assertIn(b'"outcome":"not_run"', received)
            self.assertEqual(b'', await second.receive_some(1))
            self.assertEqual([], setting.calls)
            await first.send_all(bytes(299_000))
            self.assertEqual(200, await read_status(first))
            await setting.check_released()

        run(scenario)

    def test_small_request_is_served_while_large_ones_fill_the_account(self):
        """Ordinary callers were refused along with the others."""

        async def scenario(setting):
            await setting.send(post(300_000, bytes(1000)))
            self.assertEqual(200, await setting.ask())

        run(scenario)

    def test_stalled_body_is_ended_for_a_new_one(self):
        """A body that stays incomplete kept others out until its time-out."""

        async def scenario(setting):
            stalled = await setting.send(post(300_000, bytes(299_999)))
            await trio.sleep(2.1)
            self.assertEqual(200, await setting.ask(bytes(200_000)))
            self.assertEqual(503, await read_status(stalled))
            self.assertEqual(['/'], setting.calls)
            self.assertEqual(
                {'stalled': 1}, dict(setting.account.counts_by_reason)
            )

        run(scenario)

    def test_body_with_progress_is_not_ended_for_a_new_one(self):
        """A slow caller within the limits lost its request to another one."""

        async def scenario(setting):
            slow = await setting.send(post(300_000, bytes(100_000)))
            for _ in range(25):
                await slow.send_all(bytes(8000))
                await trio.sleep(0.1)
            answer = await setting.ask(bytes(200_000))
            self.assertEqual(200, answer)
            self.assertEqual(200, await read_status(slow))

        run(scenario)

    def test_idle_timeout_does_not_end_a_body(self):
        """The idle time-out applied to a body that takes longer."""

        async def scenario(setting):
            stream = await setting.send(post(2, b'x'))
            await trio.sleep(0.8)
            await stream.send_all(b'x')
            self.assertEqual(200, await read_status(stream))

        run(scenario)

    def test_chunked_body_claims_as_it_grows(self):
        """Bodies of unknown length were not counted before their end."""

        async def scenario(setting):
            head = b'POST / HTTP/1.1\r\nhost: a\r\n'
            head += b'transfer-encoding: chunked\r\n\r\n'
            stream = await setting.send(
                head + b'c350\r\n' + bytes(50_000) + b'\r\n'
            )
            held = setting.held['body_received']
            self.assertTrue(50_000 <= held < 70_000, held)
            await stream.send_all(b'0\r\n\r\n')
            self.assertEqual(200, await read_status(stream))
            await setting.check_released()

        run(scenario)

    def test_system_listener_is_served_while_callers_fill_the_account(self):
        """Readiness, peers and metrics failed along with the callers."""

        async def scenario(setting):
            setting.account.hold('body_received', 560_000)
            self.assertEqual(200, await setting.ask(b'x' * 1000))

        run(scenario, is_system=True)


class ConnectionTests(testtools.TestCase):
    def test_connection_idle_longest_makes_room(self):
        """Idle connections kept new callers out."""

        async def scenario(setting):
            idle = [await setting.connect() for _ in range(2)]
            await trio.sleep(0.6)
            await idle[1].send_all(post(1, b'x'))
            self.assertEqual(200, await read_status(idle[1]))
            self.assertEqual(200, await setting.ask())
            self.assertEqual(b'', await idle[0].receive_some(1))
            self.assertEqual(
                {'idle_closed': 1}, dict(setting.account.counts_by_reason)
            )

        limits = ACCOUNT._replace(caller_connections=2)
        run(scenario, limits=limits, idle_timeout_s=20)

    def test_connections_beyond_the_limit_are_refused(self):
        """Connections used up the descriptors of the process."""

        async def scenario(setting):
            streams = [await setting.connect() for _ in range(12)]
            await trio.sleep(0.1)
            open_now = setting.account.connections_by_listener['test']
            self.assertEqual(8, open_now)
            self.assertEqual(503, await read_status(streams[-1]))

        run(scenario)


class SlowReaderTests(testtools.TestCase):
    def test_caller_that_never_reads_is_disconnected(self):
        """An answer that nobody reads was kept for ever."""

        async def scenario(setting):
            stream = await setting.connect(receive_bytes=4096)
            await stream.send_all(b'GET /large HTTP/1.1\r\nhost: a\r\n\r\n')
            await trio.sleep(0.3)
            self.assertTrue(setting.held['response'] > 0)
            await trio.sleep(1)
            await setting.check_released()
            self.assertEqual(
                {'slow_reader': 1}, dict(setting.account.counts_by_reason)
            )

        run(scenario)

    def test_caller_that_reads_slowly_gets_everything(self):
        """A caller that made progress was taken for one that never reads."""

        async def scenario(setting):
            stream = await setting.connect(receive_bytes=4096)
            await stream.send_all(b'GET /large HTTP/1.1\r\nhost: a\r\n\r\n')
            received = 0
            for _ in range(12):
                received += len(await stream.receive_some(65536))
                await trio.sleep(0.1)
            while received < len(LARGE_ANSWER):
                received += len(await stream.receive_some(65536))
            self.assertEqual({}, dict(setting.account.counts_by_reason))

        run(scenario)


class ClientTests(testtools.TestCase):
    def play(self, scenario, status, body, limits=ACCOUNT, length=True):
        """Run a scenario with a client of a server that sends one answer."""

        async def serve(stream):
            async with stream:
                await stream.receive_some(65536)
                head = b'HTTP/1.1 %d X\r\n' % status
                if length:
                    head += b'content-length: %d\r\n' % len(body)
                try:
                    await stream.send_all(head + b'\r\n' + body)
                except trio.BrokenResourceError:
                    return

        async def main():
            account = Account(limits)
            client = HttpClient(
                ClientTimeouts(silence_s=0.5),
                hold_body=hold_bodies(account, 'server_body'),
            )
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    listeners = await trio.open_tcp_listeners(
                        0, host='127.0.0.1'
                    )
                    nursery.start_soon(trio.serve_listeners, serve, listeners)
                    port = listeners[0].socket.getsockname()[1]
                    request = ClientRequest(f'127.0.0.1:{port}', 'GET', '/')
                    response = await client.request(request)
                    try:
                        await scenario(response, account)
                    finally:
                        await response.close()
                    self.assertEqual(0, account.total)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_error_page_is_cut_at_a_small_size(self):
        """Each error page without end grew a router by 16 MB."""

        async def scenario(response, account):
            body = await response.read()
            self.assertEqual(65536, len(body))
            self.assertTrue(response.is_cut)

        self.play(scenario, 500, bytes(1_000_000), length=False)

    def test_error_page_within_the_size_is_complete(self):
        """An ordinary error page was taken for one that was cut."""

        async def scenario(response, account):
            self.assertEqual(b'page', await response.read())
            self.assertFalse(response.is_cut)

        self.play(scenario, 500, b'page')

    def test_caller_of_read_may_choose_the_size(self):
        """Only bodies of a fixed size could be bounded."""

        async def scenario(response, account):
            self.assertEqual(b'pa', await response.read(2))
            self.assertTrue(response.is_cut)

        self.play(scenario, 200, b'page')

    def test_body_is_held_until_the_response_is_closed(self):
        """Bodies of servers were not counted while callers read them."""

        async def scenario(response, account):
            await response.read()
            self.assertEqual(100_000, account.held_by_kind['server_body'])

        self.play(scenario, 200, bytes(100_000))

    def test_body_waits_for_room(self):
        """A server's answer was lost where room is free a moment later."""

        async def scenario(response, account):
            account.hold('body_received', 560_000)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.free_later, account)
                self.assertEqual(100_000, len(await response.read()))

        self.play(scenario, 200, bytes(100_000))

    async def free_later(self, account):
        await trio.sleep(0.2)
        account.hold('body_received', -560_000)

    def test_body_without_room_times_out(self):
        """A full account was exceeded by the answers of servers."""

        async def scenario(response, account):
            account.hold('body_received', 560_000)
            error = None
            try:
                await response.read()
            except HttpClientError as failed:
                error = failed
            account.hold('body_received', -560_000)
            self.assertIsInstance(error, ReceiveTimeout)

        self.play(scenario, 200, bytes(100_000))
