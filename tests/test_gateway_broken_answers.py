"""
tests.test_gateway_broken_answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against answers that a server broke off or garbled, and that callers
take for whole and correct ones.
"""

import os
import socket
import struct

import testtools
import trio

from .gateway_world import configuration, run_world
from .raw_server import add_raw_server

# Closes a connection with a reset.
LINGER = struct.pack('ii', 1, 0)
UPLOAD = b'x' * 4_000_000
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 5)]


def add_id(head, exchange):
    """Insert the header with the id of the request after the status line."""
    status_line, _, rest = head.partition(b'\r\n')
    request_id = b'x-request-id: ' + exchange.request_id.encode()
    return b'\r\n'.join((status_line, request_id, rest))


def play(path, answer, others, **options):
    """
    Send requests until one of them has reached a raw server.

    :param answer: of the raw server.
    :param others: scripts of the other servers of the service.
    :returns: status and body of the last answer.
    """
    service = 'model' if path.startswith(('/match', '/reply')) else 'plain'

    async def scenario(world, nursery):
        world.store.put('config', 'main', configuration(2))
        raw = await add_raw_server(world, nursery, service, answer)
        for number in range(30):
            response, body = await world.call(path, f'r{number}', **options)
            if raw.runs:
                break
        return response.status, body

    return run_world(scenario, **{service: others})


class ResetTests(testtools.TestCase):
    """A reset breaks an answer off, also while the request is being sent."""

    def play(self, path, head, part, others=()):
        async def answer(exchange):
            # The router fills the buffers of the connection, and waits.
            await trio.sleep(0.05)
            stream = exchange.stream
            os.write(stream.socket.fileno(), add_id(head, exchange) + part)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            stream.socket.close()
            return False

        return play(path, answer, list(others), method='POST', body=UPLOAD)

    def test_part_of_an_answer_is_not_relayed_as_the_whole(self):
        # The caller got 200 and the part.
        head = b'HTTP/1.1 200 OK\r\nx-response-seal: s\r\n\r\n'
        self.assertEqual(502, self.play('/order/x', head, b'part')[0])

    def test_part_of_an_error_page_is_not_relayed_as_the_whole(self):
        head = b'HTTP/1.1 404 Not Found\r\n\r\n'
        self.assertEqual(502, self.play('/order/x', head, b'part')[0])

    def test_request_that_may_run_again_is_sent_elsewhere(self):
        head = b'HTTP/1.1 200 OK\r\nx-response-seal: s\r\n\r\n'
        outcome = self.play('/look/x', head, b'part', [['ok']])
        self.assertEqual((200, b'i-0'), outcome)

    def test_stream_is_resumed_elsewhere(self):
        head = (
            b'HTTP/1.1 200 OK\r\nx-response-seal: s\r\n'
            b'content-type: text/event-stream\r\n\r\n'
        )
        outcome = self.play('/match/x', head, EVENTS[0], [['stream:4']])
        self.assertEqual((200, b''.join(EVENTS)), outcome)


async def keep_open(stream):
    """Leave the rest of the request unread, and the connection open."""
    await trio.sleep_forever()


async def end_unread(stream):
    """End the answer, and leave the rest of the request unread."""
    await stream.send_eof()
    await trio.sleep_forever()


async def end_and_drain(stream):
    """End the answer, and read until the router closes the connection."""
    await stream.send_eof()
    while await stream.receive_some():
        continue


async def end_and_reset(stream):
    """End the answer, and refuse the rest of the request."""
    stream.socket.shutdown(socket.SHUT_WR)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    stream.socket.close()


LENGTH = b'content-length: 5\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
ENDINGS = (end_unread, end_and_drain, end_and_reset)


class EarlyAnswerTests(testtools.TestCase):
    """A whole answer is delivered though its server has not read the request."""

    def play(self, path, status, framing, body, ending):
        async def answer(exchange):
            await trio.sleep(0.05)
            head = b'HTTP/1.1 %b\r\nx-response-seal: s\r\n%b\r\n'
            encoded = add_id(head % (status, framing), exchange) + body
            os.write(exchange.stream.socket.fileno(), encoded)
            await ending(exchange.stream)
            return False

        return play(path, answer, [], method='POST', body=UPLOAD)

    def test_answer_with_a_length_or_chunks_is_delivered(self):
        chunks = b'5\r\nwhole\r\n0\r\n\r\n'
        for framing, body in ((LENGTH, b'whole'), (CHUNKED, chunks)):
            for ending in (keep_open, *ENDINGS):
                outcome = self.play(
                    '/order/x', b'200 OK', framing, body, ending
                )
                self.assertEqual((200, b'whole'), outcome, (framing, ending))

    def test_answer_that_ends_with_its_connection_is_delivered(self):
        for status in (b'200 OK', b'413 Content Too Large'):
            for ending in ENDINGS:
                outcome = self.play('/order/x', status, b'', b'whole', ending)
                expected = (int(status[:3]), b'whole')
                self.assertEqual(expected, outcome, ending)

    def test_stream_that_ends_with_its_connection_is_delivered(self):
        kind = b'content-type: text/event-stream\r\n'
        events = b''.join(EVENTS)
        for ending in ENDINGS:
            outcome = self.play('/reply/x', b'200 OK', kind, events, ending)
            self.assertEqual((200, events), outcome, ending)


# Malformed lines and, for some, the framing that they hide from the client.
MALFORMED_LINES = (
    b' x-odd: 1\r\ncontent-length: 2',
    b'\tx-odd: 1\r\ncontent-length: 2',
    b'\nx-odd: 1\r\ncontent-length: 2',
    b'x odd: 1\r\ncontent-length: 2',
    b'x-odd : 1\r\ncontent-length: 2',
    b'x-\x01odd: 1\r\ncontent-length: 2',
    b'x-odd\x00: 1\r\ncontent-length: 2',
    b' content-length: 2',
    b'\ncontent-length: 2',
    b'content-length : 2',
    b' transfer-encoding: chunked',
    b'\ntransfer-encoding: chunked',
)
MALFORMED_HEAD = b'HTTP/1.1 200 OK\r\nx-response-seal: s\r\n%b\r\n\r\n'


class MalformedHeadTests(testtools.TestCase):
    """A head with a malformed line is no answer."""

    def play(self, path, line, others=()):
        async def answer(exchange):
            head = add_id(MALFORMED_HEAD % line, exchange)
            chunked = b'chunked' in line
            body = b'2\r\nok\r\n0\r\n\r\n' if chunked else b'ok'
            await exchange.send(head + body)
            return False

        return play(path, answer, list(others))

    def test_answer_with_a_malformed_name_is_not_relayed(self):
        # The caller got 200, with the line in the value before it, or with the
        # rest of the head or the lines between the chunks as the body.
        answers = {
            line: self.play('/order/x', line) for line in MALFORMED_LINES
        }
        self.assertEqual(
            dict.fromkeys(MALFORMED_LINES, 502),
            {line: status for line, (status, _) in answers.items()},
        )

    def test_request_that_may_run_again_is_sent_elsewhere(self):
        for line in MALFORMED_LINES[:3]:
            outcome = self.play('/look/x', line, [['ok']])
            self.assertEqual((200, b'i-0'), outcome, line)


class InvalidStatusTests(testtools.TestCase):
    """An answer with a status below 100 is no answer."""

    def play(self, path, status, others=(), framing=b'content-length: 2\r\n'):
        async def answer(exchange):
            head = b'HTTP/1.1 %b\r\nx-response-seal: s\r\n%b\r\n'
            encoded = add_id(head % (status, framing), exchange)
            await exchange.send(encoded + b'ok')
            return False

        return play(path, answer, list(others))

    def test_answer_is_not_relayed(self):
        for status in (b'000', b'000 OK', b'001 OK', b'099 OK'):
            for framing in (b'content-length: 2\r\n', b''):
                outcome = self.play('/order/x', status, framing=framing)
                self.assertEqual(502, outcome[0], (status, framing))

    def test_request_that_may_run_again_is_sent_elsewhere(self):
        outcome = self.play('/look/x', b'000 OK', [['ok']])
        self.assertEqual((200, b'i-0'), outcome)
