"""
tests.test_gateway_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against taking bytes of a server for the answer to a request that they
do not belong to.
"""

import testtools

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
                for number in range(4)
            ]
            return [body for _, body in answers], server.runs

        bodies, refused = run_world(scenario, plain=[['ok']])
        self.assertEqual([b'i-0'] * 4, bodies)
        self.assertNotEqual([], refused)

    def test_refusal_with_the_own_id_may_be_told_the_caller(self):
        # The guarantee that a request has not run got lost on the way.
        results, _ = play_orders(refuse, count=1)
        self.assertEqual(503, results['r0'][0])
