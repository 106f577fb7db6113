"""
bench.control_cost
~~~~~~~~~~~~~~~~~~

Compares the peer exchange with grpcio unary calls handed to a trio loop.

Each transport runs a server and a client process on loopback. Both report
processor time, resident memory and threads, so that the choice of transport
in docs/design.md can be checked with one command.
"""

import argparse
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

CALLS = 3000
CALLERS = 30
PAYLOAD = {'body': b'x' * 200}
METHOD = '/bench.Peer/Call'


def process_figures() -> dict[str, float]:
    """
    Measure this process.

    :returns: processor seconds, resident memory in MB, number of threads.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    status = Path('/proc/self/status').read_text().split('\n')
    resident = next(line for line in status if line.startswith('VmRSS'))
    return {
        'cpu_s': usage.ru_utime + usage.ru_stime,
        'rss_mb': int(resident.split()[1]) / 1024,
        'threads': len(os.listdir('/proc/self/task')),
    }


async def drive(call: Callable[[], Awaitable[object]], calls: int) -> dict:
    """
    Make calls from a fixed number of callers.

    :param call: makes one call.
    :param calls: how many in all.
    :returns: figures of this process for the calls alone.
    """
    await call()
    before = process_figures()
    started = time.perf_counter()

    async def caller() -> None:
        for _ in range(calls // CALLERS):
            await call()

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(caller)
    after = process_figures()
    return {
        'calls': calls,
        'cpu_s': after['cpu_s'] - before['cpu_s'],
        'wall_s': time.perf_counter() - started,
        'rss_mb': after['rss_mb'],
        'threads': after['threads'],
    }


async def echo(sender: str, payload: dict) -> dict:
    await trio.lowlevel.checkpoint()
    return payload


def make_peering(vm: str, address: str):
    from eelgrassfork.peer_messages import Heartbeat
    from eelgrassfork.peering import Peering, PeerSettings

    beat = Heartbeat(vm, f'{vm}.1', 'pazlen', 'pazlen/haskovo', '', 'ready')
    return Peering(
        PeerSettings('secret', timeout_s=5),
        lambda: beat,
        lambda heartbeat, started_at: None,
        lambda name: address,
    )


async def peering_server() -> None:
    peering = make_peering('server', '')
    peering.register('echo', echo)
    async with trio.open_nursery() as nursery:
        await peering.start(nursery, '127.0.0.1', 0)
        announce(peering.address)
        await serve_until_closed()
        nursery.cancel_scope.cancel()


async def peering_client(address: str, calls: int, batched: bool) -> dict:
    peering = make_peering('client', address)
    async with trio.open_nursery() as nursery:
        await peering.start(nursery, '127.0.0.1', 0)
        if batched:
            figures = await drive(
                lambda: peering.call('server', 'echo', PAYLOAD), calls
            )
        else:
            figures = await drive(
                lambda: peering.send_heartbeat(address), calls
            )
        figures['bytes'] = peering.bytes_sent + peering.bytes_received
        nursery.cancel_scope.cancel()
    return figures


async def grpc_server() -> None:
    from concurrent import futures

    import grpc

    token = trio.lowlevel.current_trio_token()

    def handle(request: bytes, context: object) -> bytes:
        return trio.from_thread.run(echo_bytes, request, trio_token=token)

    method = grpc.unary_unary_rpc_method_handler(handle)

    class Handler(grpc.GenericRpcHandler):
        def service(self, details):
            return method if details.method == METHOD else None

    server = grpc.server(futures.ThreadPoolExecutor(16))
    server.add_generic_rpc_handlers((Handler(),))
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    announce(f'127.0.0.1:{port}')
    await serve_until_closed()
    server.stop(None)


async def echo_bytes(request: bytes) -> bytes:
    await trio.lowlevel.checkpoint()
    return request


async def grpc_client(address: str, calls: int) -> dict:
    import grpc

    token = trio.lowlevel.current_trio_token()
    channel = grpc.insecure_channel(address)
    unary = channel.unary_unary(METHOD)

    async def call() -> bytes:
        done = trio.Event()
        future = unary.future(PAYLOAD['body'])
        future.add_done_callback(lambda _: token.run_sync_soon(done.set))
        await done.wait()
        return future.result()

    figures = await drive(call, calls)
    channel.close()
    return figures


def announce(address: str) -> None:
    sys.stdout.write(json.dumps({'address': address}) + '\n')
    sys.stdout.flush()


async def serve_until_closed() -> None:
    before = process_figures()
    await trio.to_thread.run_sync(sys.stdin.read)
    after = process_figures()
    after['cpu_s'] -= before['cpu_s']
    sys.stdout.write(json.dumps(after) + '\n')


SERVERS = {
    'heartbeat': peering_server,
    'peering': peering_server,
    'grpc': grpc_server,
}
CLIENTS = {
    'heartbeat': lambda address, calls: peering_client(address, calls, False),
    'peering': lambda address, calls: peering_client(address, calls, True),
    'grpc': grpc_client,
}


def measure(transport: str, calls: int) -> dict:
    """
    Run one transport in two processes of its own.

    :param transport: a key of ``SERVERS``.
    :param calls: how many calls to make.
    :returns: figures of both ends.
    """
    command = [
        sys.executable,
        '-m',
        'bench.control_cost',
        '--transport',
        transport,
        '--calls',
        str(calls),
    ]
    server = subprocess.Popen(
        [*command, '--server'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    address = json.loads(server.stdout.readline())['address']
    client = subprocess.run(
        [*command, '--address', address],
        capture_output=True,
        text=True,
        check=True,
        timeout=120,
    )
    server.stdin.close()
    server_figures = json.loads(server.stdout.readline())
    server.wait(10)
    client_figures = json.loads(client.stdout)
    cpu_s = client_figures['cpu_s'] + server_figures['cpu_s']
    return {
        'transport': transport,
        'cpu_ms_per_call': 1000 * cpu_s / calls,
        'client': client_figures,
        'server': server_figures,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--transport', choices=sorted(SERVERS))
    parser.add_argument('--server', action='store_true')
    parser.add_argument('--address', default='')
    parser.add_argument('--calls', type=int, default=CALLS)
    options = parser.parse_args()
    if options.server:
        trio.run(SERVERS[options.transport])
    elif options.address:
        client = CLIENTS[options.transport]
        figures = trio.run(client, options.address, options.calls)
        sys.stdout.write(json.dumps(figures) + '\n')
    else:
        for transport in SERVERS:
            report = measure(transport, options.calls)
            sys.stdout.write(json.dumps(report) + '\n')


if __name__ == '__main__':
    main()
