"""
tests.test_gateway_unframed_answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against answers without length or chunks that look complete to callers
though their server broke them off.
"""

import socket
import struct
from types import SimpleNamespace

import testtools
import trio

from eelgrassfork.http_client import HttpClientError

from .gateway_world import run_world

STREAM = ('content-type: text/event-stream',)
PLAIN = ('content-type: text/plain',)
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 5)]
WHOLE = b''.join(EVENTS)
# Closes a connection with a reset.
LINGER = struct.pack('ii', 1, 0)


class RawServer:
    """
    Backend server that sends bytes and ends the connection.

    :param ending: ``close``, ``reset``, or ``exit`` to stop listening as well.
    """

    def __init__(self, headers, body, ending):
        self.head_lines = ('HTTP/1.1 200 OK', *headers, 'x-response-seal: raw')
        self.body = body
        self.ending = ending
        self.server_id = 'i-raw'
        self.server = None
        self.answered = 0

    async def start(self, world, nursery, service):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.listener = listeners[0]
        port = self.listener.socket.getsockname()[1]
        self.server = SimpleNamespace(
            address=f'127.0.0.1:{port}', server_id=self.server_id
        )
        nursery.start_soon(self.serve)
        world.register(self.server, service)

    async def serve(self):
        while True:
            try:
                stream = await self.listener.accept()
            except (trio.ClosedResourceError, OSError):
                return
            await self.answer(stream)

    async def answer(self, stream):
        request = b''
        while not request.endswith(b'\r\n\r\n'):
            chunk = await stream.receive_some()
            if not chunk:
                return
            request += chunk
        self.answered += 1
        head = '\r\n'.join((*self.head_lines, request_id_line(request)))
        await stream.send_all(head.encode() + b'\r\n\r\n' + self.body)
        await trio.sleep(0.05)
        if self.ending == 'exit':
            await self.listener.aclose()
        if self.ending == 'reset':
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        await stream.aclose()


def request_id_line(request):
    (line,) = (
        line
        for line in request.decode().split('\r\n')
        if line.lower().startswith('x-request-id:')
    )
    return line


def play(path, raw, **scripts):
    """Send requests until the raw server has answered one of them."""
    service = 'plain' if path.startswith('/look') else 'model'

    async def scenario(world, nursery):
        await raw.start(world, nursery, service)
        while not await knows(world, raw):
            await trio.sleep(0.02)
        for number in range(30):
            try:
                response, body = await world.call(path, f'r{number}')
            except HttpClientError:
                body = None
            if raw.answered:
                break
        servers = world.node._store_view.servers
        server = servers._by_id[raw.server_id]
        failures = server.failures(trio.current_time())
        return body, failures > 0, server.ended_at is not None

    return run_world(scenario, **scripts)


async def knows(world, raw):
    await trio.lowlevel.checkpoint()
    return world.node._store_view.servers.is_known(raw.server_id)


class StreamTests(testtools.TestCase):
    def play(self, body, ending, path='/match/x'):
        raw = RawServer(STREAM, body, ending)
        others = {'model': [['stream:4']]} if path == '/match/x' else {}
        return play(path, raw, **others)

    def test_stream_that_ends_with_its_connection_is_complete(self):
        self.assertEqual((WHOLE, False, False), self.play(WHOLE, 'close'))

    def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        # It did not count as a failure of the server.
        for cut in (1, 10, len(EVENTS[0]) + 3, len(WHOLE) - 1):
            outcome = self.play(WHOLE[:cut], 'close')
            self.assertEqual((WHOLE, True, False), outcome, cut)

    def test_stream_that_is_reset_is_resumed_elsewhere(self):
        for count in (1, 4):
            body = b''.join(EVENTS[:count])
            outcome = self.play(body, 'reset')
            self.assertEqual((WHOLE, True, False), outcome, count)

    def test_stream_of_a_server_that_ended_is_resumed_elsewhere(self):
        # The kernel closes the connections of a process that ends, which
        # looked like the end of the stream.
        for count in (0, 1, 3):
            body = b''.join(EVENTS[:count])
            outcome = self.play(body, 'exit')
            self.assertEqual((WHOLE, True, True), outcome, count)

    def test_broken_stream_that_may_not_be_resumed_is_not_complete(self):
        for body, ending in (
            (WHOLE[:-1], 'close'),
            (EVENTS[0], 'reset'),
            (EVENTS[0], 'exit'),
        ):
            body, failed, _ = self.play(body, ending, '/reply/x')
            self.assertIsNone(body)
            self.assertTrue(failed)


class PlainTests(testtools.TestCase):
    def play(self, ending):
        raw = RawServer(PLAIN, b'whole', ending)
        return play('/look/x', raw, plain=[['ok']])

    def test_answer_that_ends_with_its_connection_is_complete(self):
        self.assertEqual((b'whole', False, False), self.play('close'))

    def test_answer_that_is_reset_is_not_relayed(self):
        self.assertEqual((b'i-0', True, False), self.play('reset'))

    def test_answer_of_a_server_that_ended_is_not_relayed(self):
        self.assertEqual((b'i-0', True, True), self.play('exit'))
