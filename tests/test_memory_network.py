"""
tests.test_memory_network
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a test network that hides faults of a real one.
"""

import functools

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
from eelgrassfork.http_server import HttpServer
from tests.memory_network import MemoryNetwork


async def answer(call):
    await trio.sleep(0.01)
    await call.respond(200, b'{}')


def run_on_network(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            network = MemoryNetwork()
            server = HttpServer(answer, transport=network.transport('b'))
            client = HttpClient(
                ClientTimeouts(1, 2, 2), transport=network.transport('a')
            )
            async with trio.open_nursery() as nursery:
                await server.start(nursery, '10.0.0.2', 80)
                request = ClientRequest(server.address, 'GET', '/')
                await test(
                    self, network, functools.partial(client.fetch, request)
                )
                await server.close()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


class MemoryNetworkTests(testtools.TestCase):
    @run_on_network
    async def test_partitioned_host_does_not_respond_until_healed(
        self, network, get
    ):
        await get()
        network.cut('a', 'b')
        with testtools.ExpectedException(ReceiveTimeout):
            await get()
        with testtools.ExpectedException(ConnectFailed):
            await get()
        network.heal()
        self.assertEqual(200, (await get())[0].status)

    @run_on_network
    async def test_silenced_connection_stays_silent_but_new_ones_work(
        self, network, get
    ):
        await get()
        network.silence('a', 'b')
        with testtools.ExpectedException(ReceiveTimeout):
            await get()
        self.assertEqual(200, (await get())[0].status)

    @run_on_network
    async def test_frozen_host_responds_after_thaw(self, network, get):
        await get()
        network.freeze('b')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(get)
            await trio.sleep(1.5)
            network.thaw('b')

    @run_on_network
    async def test_killed_host_resets_connections(self, network, get):
        async def kill_soon():
            await trio.sleep(0.005)
            network.kill('b')

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_soon)
            with testtools.ExpectedException(ConnectionLost):
                await get()
        with testtools.ExpectedException(ConnectFailed):
            await get()
