"""
tests.test_http_client
~~~~~~~~~~~~~~~~~~~~~~

Guards against requests sent twice, and bytes read as the wrong response.
"""

import os
import socket
import struct

import testtools
import trio

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectionLost,
    HttpClient,
    ReceiveTimeout,
)

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
KEEP_ALIVE = b'\r\nKeep-Alive: timeout=1, max=100\r\n\r\n'
TIMEOUTS = ClientTimeouts(connect_s=1, first_byte_s=1, silence_s=1)


class Server:
    """Runs a script on each connection and records the requests received."""

    def __init__(self, play):
        self.play = play
        self.connections = 0
        self.received = []

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            try:
                await self.play(self, stream, self.connections)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def request(self, stream):
        received = b''
        while b'\r\n\r\n' not in received:
            chunk = await stream.receive_some(65536)
            if not chunk:
                raise trio.BrokenResourceError
            received += chunk
        self.received.append(received)


def run(play, scenario):
    async def main():
        server = Server(play)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                nursery.start_soon(
                    trio.serve_listeners, server.serve, listeners
                )
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient(TIMEOUTS, max_idle_s=1)
                found = await scenario(client, server, f'127.0.0.1:{port}')
                nursery.cancel_scope.cancel()
        return found

    return trio.run(main)


async def fetch(client, address, **options):
    try:
        _, body = await client.fetch(
            ClientRequest(address, 'POST', '/', **options)
        )
    except ConnectionLost as error:
        return error.code
    return body


class HttpClientTests(testtools.TestCase):
    def test_broken_idle_connection_is_replaced_where_that_is_safe(self):
        async def play(server, stream, number):
            await server.request(stream)
            await stream.send_all(ANSWER)
            if number == 1:
                await server.request(stream)

        async def scenario(client, server, address):
            first = await fetch(client, address)
            again = await fetch(client, address)
            return first, again, len(server.received)

        self.assertEqual((b'ok', b'ok', 3), run(play, scenario))

    def test_request_without_resend_is_not_sent_again(self):
        async def play(server, stream, number):
            await server.request(stream)
            await stream.send_all(ANSWER)
            await server.request(stream)

        async def scenario(client, server, address):
            first = await fetch(client, address, no_resend=True)
            again = await fetch(client, address, no_resend=True)
            return first, again, len(server.received)

        self.assertEqual((b'ok', 'connection_lost', 2), run(play, scenario))

    def test_connection_is_dropped_before_the_server_closes_it(self):
        async def play(server, stream, number):
            while True:
                await server.request(stream)
                await stream.send_all(
                    ANSWER.replace(b'\r\n\r\n', KEEP_ALIVE, 1)
                )

        async def scenario(client, server, address):
            await fetch(client, address)
            await fetch(client, address)
            reused = server.connections
            await trio.sleep(0.6)
            await fetch(client, address)
            return reused, server.connections

        self.assertEqual((1, 2), run(play, scenario))

    def test_excess_bytes_are_not_read_as_the_next_response(self):
        async def play(server, stream, number):
            await server.request(stream)
            excess = ANSWER.replace(b'ok', b'NO') if number == 1 else b''
            await stream.send_all(ANSWER + excess)
            await trio.sleep(0.5)

        async def scenario(client, server, address):
            first = await fetch(client, address)
            await trio.sleep(0.1)
            return first, await fetch(client, address), server.connections

        self.assertEqual((b'ok', b'ok', 2), run(play, scenario))

    def test_late_excess_bytes_are_detected(self):
        async def play(server, stream, number):
            await server.request(stream)
            await stream.send_all(ANSWER)
            if number == 1:
                await trio.sleep(0.05)
                await stream.send_all(ANSWER.replace(b'ok', b'NO'))
            await trio.sleep(0.5)

        async def scenario(client, server, address):
            first = await fetch(client, address)
            await trio.sleep(0.2)
            return first, await fetch(client, address), server.connections

        self.assertEqual((b'ok', b'ok', 2), run(play, scenario))

    def test_expired_idle_connection_is_not_reused(self):
        async def play(server, stream, number):
            for _ in range(2):
                await server.request(stream)
                await stream.send_all(ANSWER)

        async def scenario(client, server, address):
            await fetch(client, address)
            await trio.sleep(1.1)
            await fetch(client, address)
            return server.connections

        self.assertEqual(2, run(play, scenario))

    def test_response_before_the_end_of_a_large_request_closes_the_connection(
        self,
    ):
        body = b'x' * 3_000_000

        async def play(server, stream, number):
            await server.request(stream)
            await stream.send_all(ANSWER)
            await trio.sleep(0.5)

        async def scenario(client, server, address):
            first = await fetch(client, address, body=body)
            again = await fetch(client, address)
            return first, again, server.connections

        self.assertEqual((b'ok', b'ok', 2), run(play, scenario))


def endless(head, pieces, pause_s):
    """Send a response head, then the same bytes until the client closes."""

    async def play(server, stream, number):
        await server.request(stream)
        await stream.send_all(head)
        while True:
            await stream.send_all(pieces)
            await trio.sleep(pause_s)

    return play


async def fail(client, server, address):
    started_at = trio.current_time()
    try:
        await client.fetch(ClientRequest(address, 'POST', '/'))
    except (ConnectionLost, ReceiveTimeout) as error:
        return error.code, trio.current_time() - started_at
    return 'answered', 0


class EndlessResponseTests(testtools.TestCase):
    def assert_ends(self, play, code):
        found, seconds = run(play, fail)
        self.assertEqual(code, found)
        self.assertLess(seconds, 2)

    def test_endless_head_is_limited_in_size(self):
        self.assert_ends(
            endless(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 1000, 0),
            'connection_lost',
        )

    def test_invalid_head_is_limited_in_size(self):
        self.assert_ends(endless(b'', b'x' * 9000, 0), 'connection_lost')

    def test_slow_head_times_out(self):
        self.assert_ends(
            endless(b'HTTP/1.1 200 OK\r\nx: ', b'y', 0.05),
            'connection_silent',
        )

    def test_endless_informational_responses_are_limited(self):
        self.assert_ends(
            endless(b'', b'HTTP/1.1 103 Early\r\n\r\n', 0), 'connection_lost'
        )

    def test_endless_body_is_limited_in_size(self):
        self.assert_ends(
            endless(b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 65536, 0),
            'connection_lost',
        )

    def test_endless_chunk_extension_is_limited(self):
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;'
        self.assert_ends(endless(head, b'y' * 9000, 0), 'connection_lost')


# Closes a connection with a reset.
LINGER = struct.pack('ii', 1, 0)
LARGE_BODY = b'x' * 4_000_000
PART = b'HTTP/1.1 200 OK\r\n\r\npart'


def answer_early(encoded, *, finish=False):
    """Answer a large request and reset the connection in the same moment."""

    async def play(server, stream, number):
        await server.request(stream)
        # The client fills the buffers of the connection, and waits.
        await trio.sleep(0.05)
        os.write(stream.socket.fileno(), encoded)
        if finish:
            stream.socket.shutdown(socket.SHUT_WR)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        stream.socket.close()

    return play


async def upload(client, server, address):
    return await fetch(client, address, body=LARGE_BODY)


class EarlyAnswerTests(testtools.TestCase):
    """The end of an answer is known while the request is being sent."""

    def test_answer_that_is_reset_is_incomplete(self):
        # The reset failed the sending only; the part that was received looked
        # like the whole answer.
        self.assertEqual('connection_lost', run(answer_early(PART), upload))

    def test_framed_answer_before_a_reset_is_complete(self):
        self.assertEqual(b'ok', run(answer_early(ANSWER), upload))

    def test_answer_that_ended_before_the_reset_is_complete(self):
        play = answer_early(PART, finish=True)
        self.assertEqual(b'part', run(play, upload))


BLANKS_AND_CONTROLS = [bytes([code]) for code in (*range(0x21), 0x7F)]
FIELD = b'HTTP/1.1 200 OK\r\nX-First: 1\r\n%b: 2\r\nContent-Length: 2\r\n\r\nok'
LENGTH = b'HTTP/1.1 200 OK\r\nX-First: 1\r\n%b: 2\r\n\r\nok'
CHUNKS = (
    b'HTTP/1.1 200 OK\r\nX-First: 1\r\n%b: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n%b: 2\r\n\r\n' + ANSWER


def malformed_names(name):
    """Insert a blank or a control byte before, into and after a name."""
    for odd in BLANKS_AND_CONTROLS:
        yield odd + name
        yield name[:3] + odd + name[3:]
        yield name + odd


def answer_in_turn(answers, size=65536):
    """Send each answer on a connection of its own, in pieces of some size."""

    async def play(server, stream, number):
        await server.request(stream)
        encoded = answers[number - 1]
        for start in range(0, len(encoded), size):
            await stream.send_all(encoded[start : start + size])

    return play


class HeadTests(testtools.TestCase):
    """Heads are read as the server meant them, or not at all."""

    def play(self, answers, **options):
        async def scenario(client, server, address):
            return [await fetch(client, address) for _ in answers]

        return run(answer_in_turn(answers, **options), scenario)

    def check(self, head, name, **options):
        answers = [head % malformed for malformed in malformed_names(name)]
        bodies = self.play(answers, **options)
        read = {
            answer: body
            for answer, body in zip(answers, bodies, strict=True)
            if body != 'connection_lost'
        }
        self.assertEqual({}, read)

    def test_name_with_a_blank_or_control_byte_is_no_answer(self):
        # The line was passed on as a part of the value before it, or the head
        # ended there and the rest of it became the body.
        self.check(FIELD, b'X-Odd')

    def test_names_of_a_head_in_pieces_are_checked(self):
        self.check(FIELD, b'X-Odd', size=1)

    def test_malformed_length_does_not_change_the_body(self):
        # The body lasted until the end of the connection.
        self.check(LENGTH, b'Content-Length')

    def test_malformed_encoding_does_not_change_the_body(self):
        # The lines between the chunks were passed on.
        self.check(CHUNKS, b'Transfer-Encoding')

    def test_names_of_interim_responses_are_checked(self):
        self.check(INTERIM, b'X-Odd')

    def test_lines_of_bodies_are_not_taken_for_fields(self):
        body = b'\n a: b\nc d: e\r\n\tf: g\n\n'
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        answer = ANSWER.replace(b'Content-Length: 2\r\n\r\nok', length + body)
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        answers = [answer, interim + answer, interim * 2 + answer]
        self.assertEqual([body] * 3, self.play(answers))
        self.assertEqual([body] * 3, self.play(answers, size=1))

    def test_lines_may_end_with_a_line_feed_only(self):
        for count in (1, 3):
            answer = ANSWER.replace(b'\r\n', b'\n', count)
            self.assertEqual([b'ok'], self.play([answer]), answer)

    def test_status_below_100_is_no_answer(self):
        for status in (b'000', b'001', b'099'):
            answers = [
                ANSWER.replace(b'200', status),
                b'HTTP/1.1 %b\r\n\r\nok' % status,
                b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %b\r\n\r\n' % status,
            ]
            codes = self.play(answers)
            self.assertEqual(['connection_lost'] * 3, codes, status)
