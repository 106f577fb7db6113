"""
tests.test_http_server
~~~~~~~~~~~~~~~~~~~~~~

Guards against invalid input that breaks the server, and truncated responses
that look complete.
"""

import functools
import socket
import time

import h11
import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    ReceiveTimeout,
)
from eelgrassfork.http_server import (
    Call,
    CallerDisconnected,
    HttpServer,
    ServerLimits,
)
from eelgrassfork.transport import TCP, BoundListeners, Transport

LIMITS = ServerLimits(
    max_header_bytes=2048,
    max_body_bytes=1000,
    header_timeout_s=0.2,
    body_timeout_s=0.2,
)


async def echo(call: Call) -> None:
    if call.path == '/cut':
        await call.start(200, ())
        await call.send(b'half')
        await call.abort()
    elif call.path == '/silent':
        await call.start(200, ())
        await call.send(b'half')
        await trio.sleep(5)
    elif call.path == '/crash':
        raise ValueError('bug in a handler')
    else:
        await call.respond(200, call.body or b'{}')


def run_with_server(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(echo, LIMITS)
                client = HttpClient(ClientTimeouts(silence_s=0.2))
                await server.start(nursery, '127.0.0.1', 0)
                await test(self, server, client)
                await client.close()
                await server.close()

        trio.run(main)

    return wrapper


async def raw_exchange(address: str, sent: bytes) -> bytes:
    host, _, port = address.partition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(sent)
        with trio.fail_after(3):
            return b''.join([chunk async for chunk in stream])


def read_now(caller):
    caller.setblocking(False)
    try:
        return caller.recv(65536)
    except OSError as error:
        return str(error).encode()
    finally:
        caller.close()


class ServerTests(testtools.TestCase):
    @run_with_server
    async def test_invalid_target_ends_only_its_connection(
        self, server, client
    ):
        for target in (b'//[', b'http://[::1', b'/%zz?%'):
            request = b'GET %b HTTP/1.1\r\nHost: h\r\n\r\n' % target
            with trio.move_on_after(0.5):
                await raw_exchange(server.address, request)
        response, _ = await client.fetch(
            ClientRequest(server.address, 'GET', '/')
        )
        self.assertEqual(200, response.status)

    def test_disconnect_is_detected_before_the_end_of_stream_is_read(self):
        found = []

        async def handler(call):
            found.append(call.has_disconnected())
            # Blocks the event loop, so that nothing is read meanwhile.
            time.sleep(0.2)
            found.append(call.has_disconnected())
            raise CallerDisconnected

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(handler)
                await server.start(nursery, '127.0.0.1', 0)
                await trio.to_thread.run_sync(leave, server.address)
                await trio.sleep(0.3)
                await server.close()

        def leave(address):
            host, _, port = address.partition(':')
            caller = socket.create_connection((host, int(port)))
            caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            time.sleep(0.05)
            caller.close()

        trio.run(main)
        self.assertEqual([False, True], found)

    def test_queued_connections_are_served_when_the_listener_closes(self):
        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(echo, LIMITS)
                await server.start(nursery, '127.0.0.1', 0)
                host, _, port = server.address.partition(':')
                await trio.testing.wait_all_tasks_blocked()
                callers = [
                    socket.create_connection((host, int(port)))
                    for _ in range(20)
                ]
                for caller in callers:
                    caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
                server.stop_accepting()
                await trio.sleep(0.3)
                answers = [read_now(caller) for caller in callers]
                await server.close()
            return answers

        answers = trio.run(main)
        self.assertEqual({b'HTTP/1.1 200'}, {one[:12] for one in answers})

    @run_with_server
    async def test_connection_is_reused_after_complete_responses(
        self, server, client
    ):
        for number in range(3):
            body = str(number).encode()
            request = ClientRequest(server.address, 'POST', '/', body=body)
            response, answer = await client.fetch(request)
            self.assertEqual((200, body), (response.status, answer))

    @run_with_server
    async def test_truncated_response_is_an_error(self, server, client):
        request = ClientRequest(server.address, 'GET', '/cut')
        with testtools.ExpectedException(ConnectionLost):
            await client.fetch(request)

    @run_with_server
    async def test_response_to_head_has_no_body(self, server, client):
        for _ in range(2):
            request = ClientRequest(server.address, 'HEAD', '/')
            response, body = await client.fetch(request)
            self.assertEqual((200, b''), (response.status, body))

    @run_with_server
    async def test_silent_server_times_out(self, server, client):
        request = ClientRequest(server.address, 'GET', '/silent')
        with testtools.ExpectedException(ReceiveTimeout):
            await client.fetch(request)

    @run_with_server
    async def test_handler_exception_is_an_internal_error(self, server, client):
        request = ClientRequest(server.address, 'GET', '/crash')
        response, body = await client.fetch(request)
        error = msgspec.json.decode(body)['error']
        self.assertEqual(500, response.status)
        self.assertEqual('internal_error', error['code'])
        self.assertEqual('unknown', error['outcome'])

    @run_with_server
    async def test_invalid_input_gets_the_matching_status(self, server, client):
        bomb = b'GET / HTTP/1.1\r\nhost: a\r\n' + b'x-a: b\r\n' * 999
        big = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n'
        slow = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab'
        cases = (
            (b'NONSENSE\r\n\r\n', 400),
            (bomb + b'\r\n', 431),
            (big + b'x' * 2000, 413),
            (slow, 408),
            (b'GET / HTTP/1.1\r\nhost:', 408),
        )
        for sent, status in cases:
            with self.subTest(status=status):
                answer = await raw_exchange(server.address, sent)
                head = answer.split(b'\r\n', 1)[0]
                self.assertIn(str(status).encode(), head)

    @run_with_server
    async def test_active_request_completes_after_stop_accepting(
        self, server, client
    ):
        request = ClientRequest(server.address, 'GET', '/')
        response = await client.request(request)
        server.stop_accepting()
        self.assertEqual(b'{}', await response.read())
        await response.close()
        with testtools.ExpectedException(ConnectFailed):
            await client.fetch(request._replace(fresh=True))

    @run_with_server
    async def test_lost_pooled_connection_counts_as_sent(self, server, client):
        # Guards against reporting a request as not run that was sent on a
        # pooled connection before the server stopped.
        request = ClientRequest(server.address, 'GET', '/')
        await client.fetch(request)
        await server.close()
        error = None
        try:
            await client.fetch(request)
        except ConnectFailed as failed:
            error = failed
        self.assertTrue(error.sent)


class ProtocolTests(testtools.TestCase):
    def test_h11_gives_the_status_for_large_headers(self):
        server = h11.Connection(h11.SERVER, max_incomplete_event_size=64)
        server.receive_data(b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 64)
        error = self.assertRaises(h11.RemoteProtocolError, server.next_event)
        self.assertEqual(431, error.error_status_hint)


class FailingListener(trio.abc.Listener):
    """Accepts one connection, then fails."""

    def __init__(self, stream):
        self.streams = [stream]

    async def accept(self):
        await trio.lowlevel.checkpoint()
        if self.streams:
            return self.streams.pop()
        raise OSError('the socket has failed')

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class FailedListenerTests(testtools.TestCase):
    def test_requests_in_progress_are_answered(self):
        """The error left the nursery and cut all requests of the process."""
        near, far = trio.testing.memory_stream_pair()

        async def listen(host, port):
            await trio.lowlevel.checkpoint()
            return BoundListeners('listener', (FailingListener(far),))

        async def respond_late(call):
            await trio.sleep(0.1)
            await call.respond(200)

        async def main():
            failures = []
            server = HttpServer(
                respond_late, transport=Transport(TCP.connect, listen)
            )
            server.on_failure = lambda: failures.append(True)
            await near.send_all(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            async with trio.open_nursery() as nursery:
                await server.start(nursery, 'host', 0)
                received = await near.receive_some(100)
                nursery.cancel_scope.cancel()
            return received, failures

        received, failures = trio.run(main)
        self.assertTrue(received.startswith(b'HTTP/1.1 200'))
        self.assertEqual([True], failures)
