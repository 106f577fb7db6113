"""
tests.test_gateway_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against taking bytes of a server for the answer to a request that they
do not belong to.
"""

import testtools
import trio

from .gateway_world import configuration, run_world
from .raw_server import add_raw_server, ok

REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
OLDER = REFUSAL.replace(b'\r\n\r\n', b'\r\nX-Request-Id: older\r\n\r\n')
# Pieces that a faulty server sends on a persistent connection, when the next
# request has arrived there.
STRAYS_BY_NAME = {
    'without an id': [REFUSAL],
    'with an older id': [OLDER],
    'misdirected': [REFUSAL.replace(b'503 Service Unavailable', b'421 M')],
    'in two pieces': [REFUSAL[:40], REFUSAL[40:]],
    'several in a row': [REFUSAL * 3],
    'after an interim response': [
        b'HTTP/1.1 103 Early Hints\r\n\r\n',
        REFUSAL,
    ],
    'an older and the own id': [
        OLDER.replace(b'Content-Length: 0\r\n\r\n', b'X-Cut: ')
    ],
    'continued by the answer': [
        b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Cut: '
    ],
    'misdirected, continued by the answer': [b'HTTP/1.1 421 M\r\nX-Cut: '],
}


def twice(wire):
    """Let non-idempotent requests go to a second server."""
    for route in wire['routes']:
        route['maxAttempts'] = 2
    return wire


async def refuse(exchange):
    """Refuse a request early, as a sound server does."""
    line = b'\r\nX-Request-Id: %b\r\n\r\n' % exchange.request_id.encode()
    await exchange.send(REFUSAL.replace(b'\r\n\r\n', line))
    return True


def play_orders(answer, count=8):
    """Send orders one after another to two servers; the results by id."""

    async def scenario(world, nursery):
        world.store.put('config', 'main', twice(configuration(2)))
        servers = [
            await add_raw_server(world, nursery, 'plain', answer)
            for _ in range(2)
        ]
        results = {}
        for number in range(count):
            response, body = await world.call('/order/x', f'r{number}')
            results[f'r{number}'] = response.status, body
        runs = [request_id for server in servers for request_id in server.runs]
        return results, runs

    return run_world(scenario)


class NotRunTests(testtools.TestCase):
    """A request is only known not to have run if its own answer says so."""

    def check(self, pieces):
        async def answer(exchange):
            if exchange.number:
                await exchange.send(*pieces)
            await exchange.send(ok(exchange.request_id))
            return True

        results, runs = play_orders(answer)
        statuses = {status for status, _ in results.values()}
        # Each order ran once, and none was answered as if it had not.
        self.assertEqual(sorted(results), sorted(runs))
        self.assertEqual({200, 502}, statuses)

    def test_stray_refusals_are_no_proof(self):
        # The order was sent to a second server, or refused although it ran.
        for name, pieces in STRAYS_BY_NAME.items():
            with self.subTest(name):
                self.check(pieces)

    def test_refusal_between_head_and_body_is_no_answer(self):
        # The stray bytes were relayed as the body of the answer.
        for body in (b'ok', b'x' * 200):

            async def answer(exchange, body=body):
                encoded = ok(exchange.request_id, body)
                head = encoded[: -len(body)]
                await exchange.send(head, REFUSAL + body)
                return True

            results, runs = play_orders(answer, count=4)
            self.assertEqual(sorted(results), sorted(runs))
            self.assertEqual({502}, {status for status, _ in results.values()})

    def test_stray_head_does_not_stop_its_server(self):
        # Stray bytes took a server out of use for as long as they named.
        stray = REFUSAL.replace(
            b'\r\n\r\n', b'\r\nServer-Leaving: 1\r\nRetry-After: 60\r\n\r\n'
        )
        self.check([stray])

    def test_refusal_with_the_own_id_is_a_proof(self):
        # A request that a sound server refused early got 502.
        async def scenario(world, nursery):
            world.store.put('config', 'main', twice(configuration(2)))
            server = await add_raw_server(world, nursery, 'plain', refuse)
            answers = [
                await world.call('/order/x', f'r{number}')
                for number in range(20)
            ]
            return [body for _, body in answers], server.runs

        bodies, refused = run_world(scenario, plain=[['ok']])
        self.assertEqual([b'i-0'] * 20, bodies)
        self.assertNotEqual([], refused)

    def test_refusal_with_the_own_id_may_be_told_the_caller(self):
        # The guarantee that a request has not run got lost on the way.
        results, _ = play_orders(refuse, count=1)
        self.assertEqual(503, results['r0'][0])


class ErrorPageTests(testtools.TestCase):
    """Error pages are read up to a bound."""

    def play(self, size):
        async def answer(exchange):
            page = ok(exchange.request_id, b'x' * size)
            await exchange.send(page.replace(b'200 OK', b'404 Not Found'))
            return True

        results, _ = play_orders(answer, count=1)
        return results['r0']

    def test_beginning_of_a_large_page_does_not_look_complete(self):
        # The caller got the first 64 KiB with a length that fitted.
        self.assertEqual(502, self.play(200_000)[0])

    def test_page_within_the_bound_is_relayed_whole(self):
        self.assertEqual((404, b'x' * 60_000), self.play(60_000))


EVENT = b'id: 1\ndata: x\n\n'
# Latin-1, UTF-8, and bytes that are invalid in UTF-8.
ODD_VALUES = (b'caf\xe9', 'Ł😀'.encode(), b'\xff\xfe\x80')


class OddHeaderTests(testtools.TestCase):
    """Headers that are not ASCII are relayed byte by byte."""

    def play(self, line, kind=b'text/plain', organisation='acme'):
        async def scenario(world, nursery):
            tenants = [{'name': organisation, 'apiKeys': ['key']}]
            wire = configuration(2, tenants=tenants)
            world.store.put('config', 'main', wire)

            async def answer(exchange):
                seen.append(exchange.head)
                await exchange.send(
                    ok(exchange.request_id, EVENT).replace(
                        b'content-length',
                        b'x-odd: %b\r\ncontent-type: %b\r\ncontent-length'
                        % (line.partition(b': ')[2], kind),
                    )
                )
                return True

            seen = []
            await add_raw_server(world, nursery, 'plain', answer)
            while world.node._store_view.configuration.version < 2:
                await trio.sleep(0.01)
            return await send_raw(world.settings.caller_address, line), seen

        return run_world(scenario)

    def test_header_is_relayed_in_both_directions(self):
        # The caller got 500, or its connection was closed without an answer.
        for value in ODD_VALUES:
            for kind in (b'text/plain', b'text/event-stream'):
                answer, seen = self.play(b'x-custom: ' + value, kind)
                self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
                self.assertIn(b'x-odd: ' + value + b'\r\n', answer)
                self.assertIn(b'x-custom: ' + value + b'\r\n', seen[0])

    def test_organisation_is_sent_in_utf_8(self):
        # Each request of such an organisation got 500.
        answer, seen = self.play(b'x-custom: x', organisation='Łódź')
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertIn('x-tenant: Łódź\r\n'.encode(), seen[0])

    def test_request_id_that_is_not_ascii_is_refused(self):
        # The caller's connection was closed without an answer.
        answer, seen = self.play(b'x-request-id: caf\xe9')
        self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)
        self.assertEqual([], seen)


async def send_raw(address, line):
    """Send one request with a header line; the bytes of the answer."""
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    request_id = (
        b'' if line.startswith(b'x-request-id') else b'x-request-id: r\r\n'
    )
    async with stream:
        await stream.send_all(
            b'GET /order/x HTTP/1.1\r\nhost: shop.example\r\napi-key: key\r\n'
            b'connection: close\r\n%b%b\r\n\r\n' % (request_id, line)
        )
        answer = b''
        while chunk := await stream.receive_some():
            answer += chunk
    return answer
