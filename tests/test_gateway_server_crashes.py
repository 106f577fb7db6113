"""
tests.test_gateway_server_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against taking a reset connection, a silent server or a planned stop
for a server that ended under its requests.
"""

import testtools
import trio

from eelgrassfork.gateway.records import ServerEntry
from eelgrassfork.gateway.server_crashes import CrashDetector
from eelgrassfork.gateway.servers import Server
from eelgrassfork.http_client import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    ReceiveTimeout,
)

from .gateway_world import free_ports


def refused(sent):
    error = ConnectFailed('connect_failed', 'refused', sent)
    error.is_refused = True
    return error


LOST = ConnectionLost('connection_lost', 'connection broke', sent=True)


def make_server(port, **changes):
    entry = ServerEntry('i-0', 'model', f'127.0.0.1:{port}', 'd0', 8, 1, 1)
    return Server(entry._replace(**changes))


async def detect(server, error, count=1):
    """Let some requests fail at once; return the findings and crashes."""
    client = HttpClient()
    detector = CrashDetector(client)
    services = []
    detector.count_crash = services.append
    found = []

    async def fail():
        found.append(await detector.has_ended(server, error))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(fail)
    opened = client.connections_opened
    await client.close()
    return found, services, opened


def at_closed_port(error=LOST, count=1, **changes):
    async def main():
        return await detect(
            make_server(free_ports(1)[0], **changes), error, count
        )

    return trio.run(main)[:2]


class CrashDetectorTests(testtools.TestCase):
    def test_lost_connection_to_a_closed_port_is_one_crash(self):
        # Each request of the server fails by itself.
        self.assertEqual(
            ([True, True, True], ['model']), at_closed_port(count=3)
        )

    def test_reset_connection_to_a_listening_server_is_no_crash(self):
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(
                    trio.serve_listeners, trio.aclose_forcefully, listeners
                )
                found = await detect(make_server(port), LOST, 3)
                nursery.cancel_scope.cancel()
            return found

        self.assertEqual(([False] * 3, [], 1), trio.run(main))

    def test_planned_stop_is_no_crash(self):
        self.assertEqual(([False], []), at_closed_port(leaving=True))

    def test_removed_server_is_no_crash(self):
        async def main():
            server = make_server(free_ports(1)[0])
            server.expires_at = trio.current_time() + 1
            return await detect(server, LOST)

        self.assertEqual(([False], [], 0), trio.run(main))

    def test_silent_or_unreachable_server_is_no_crash(self):
        for error in (
            ReceiveTimeout('connection_silent', 'no answer', sent=True),
            ConnectFailed('connect_failed', 'timed out', sent=True),
            refused(sent=False),
        ):
            self.assertEqual(([False], []), at_closed_port(error))

    def test_pooled_connection_that_broke_is_a_crash_if_refused_then(self):
        found = at_closed_port(refused(sent=True))
        self.assertEqual(([True], ['model']), found)
