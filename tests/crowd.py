"""
tests.crowd
~~~~~~~~~~~

Misbehaving callers and servers, and the memory of the router that they meet.

The number of callers, what they send and the bounds are fixed; a change of
them would make earlier results incomparable.
"""

import itertools
import json
import os
import socket
import tempfile
from pathlib import Path

import trio

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from eelgrassfork.http_server import CallerDisconnected
from eelgrassfork.json_comments import read_document
from standins.metadata_store import MetadataStore
from standins.replica import Replica
from standins.serving import HttpStandin

from .gateway_world import World, configuration
from .router_process import Program, RouterProcess, own_ips

CALLERS = 48
ABANDONED_CALLERS = 150
MEMORY_MB = 80
MAX_FDS = 290
# The descriptors that the deployment reserves for files.
FILE_FDS = 200
MAX_BODY_BYTES = 2 * 1024 * 1024
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': MAX_BODY_BYTES,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 3000,
}
# The product's own router has no such settings before the change, so that it
# is tested with the defaults.
OWN_BODY_BYTES = 8 * 1024 * 1024
OWN_CALLERS = 40
OWN_MEMORY_MB = 256
ENDLESS_PAGES = 10

_MB = 1024 * 1024
# Callers that the router neither reads nor closes stop sending after this.
_CROWD_S = 8
# Far above the time in which a sound router answers on a busy machine.
_ANSWER_S = 60
_POLL_S = 0.05
# Time in which the answers that nobody reads arrive at the router.
_ANSWERS_ARRIVE_S = 1.5
_PIECE_BYTES = 16384
_CHUNK_BYTES = 65536
_TINY_CHUNKS = 4096
_OVER_LIMIT_BYTES = 4 * MAX_BODY_BYTES
_PIPELINED = 20
_PIPELINED_BODY_BYTES = 8192
_RECEIVE_BUFFER_BYTES = 4096
# More than the kernel keeps of one connection.
_LARGE_ANSWER_BYTES = 6 * _MB

_ids = (f'{number:016x}' for number in itertools.count(1))


def head(path, *headers, method='POST'):
    """Encode the head of a valid request, with more header lines."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'host: shop.example',
        f'x-request-id: {next(_ids)}',
        'x-request-deadline: 9000',
        'api-key: bigkey',
        *headers,
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def send_whole_body(stream, size=MAX_BODY_BYTES):
    """Send an announced body, up to one byte before its end."""
    await stream.send_all(head('/order/x', f'content-length: {size}'))
    await stream.send_all(bytes(size - 1))


async def send_pieces(stream):
    """Send an announced body in pieces, up to one byte before its end."""
    await stream.send_all(head('/order/x', f'content-length: {MAX_BODY_BYTES}'))
    for _ in range(MAX_BODY_BYTES // _PIECE_BYTES - 1):
        await stream.send_all(bytes(_PIECE_BYTES))
    await stream.send_all(bytes(_PIECE_BYTES - 1))


async def send_large_chunks(stream):
    """Send a chunked body of legal size without its last chunk."""
    await stream.send_all(head('/order/x', 'transfer-encoding: chunked'))
    chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    for _ in range(MAX_BODY_BYTES // _CHUNK_BYTES):
        await stream.send_all(chunk)


async def send_tiny_chunks(stream):
    """Send a body in chunks of one byte, without its last chunk."""
    await stream.send_all(head('/order/x', 'transfer-encoding: chunked'))
    await stream.send_all(b'1\r\nx\r\n' * _TINY_CHUNKS)


async def send_announced_over_limit(stream):
    """Announce and send a body far over the limit."""
    length = f'content-length: {_OVER_LIMIT_BYTES}'
    await stream.send_all(head('/order/x', length))
    for _ in range(_OVER_LIMIT_BYTES // _CHUNK_BYTES):
        await stream.send_all(bytes(_CHUNK_BYTES))


async def send_unannounced_over_limit(stream):
    """Send a chunked body far over the limit."""
    await stream.send_all(head('/order/x', 'transfer-encoding: chunked'))
    chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    for _ in range(_OVER_LIMIT_BYTES // _CHUNK_BYTES):
        await stream.send_all(chunk)


async def send_head_slowly(stream):
    """Send a part of a head, one byte at a time."""
    for byte in head('/order/x')[:100]:
        await stream.send_all(bytes((byte,)))
        await trio.sleep(0.01)


async def send_pipelined(stream):
    """Send many requests without waiting for an answer."""
    length = f'content-length: {_PIPELINED_BODY_BYTES}'
    body = bytes(_PIPELINED_BODY_BYTES)
    await stream.send_all(
        b''.join(head('/look/x', length) + body for _ in range(_PIPELINED))
    )


async def never_read(stream):
    """Ask for a large answer, and read none of it."""
    await stream.send_all(head('/large/x', method='GET'))
    await trio.sleep(_ANSWERS_ARRIVE_S)


async def send_nothing(stream):
    """Leave a connection open without a request."""
    await trio.lowlevel.checkpoint()


async def ask_endless_page(stream):
    """Ask a server whose error page has no end, and read what comes."""
    await stream.send_all(head('/endless/x', method='GET'))
    await stream.receive_some(_CHUNK_BYTES)


class Crowd:
    """
    Callers that behave alike; their connections stay open until the end.

    :param address: listener of the router.
    :param send: what each caller does with its connection.
    """

    def __init__(self, address, send):
        host, _, port = address.rpartition(':')
        self._endpoint = (host, int(port))
        self._send = send
        self._streams = []

    async def run(self, count):
        """Run the callers until they have sent all, or were refused."""
        with trio.move_on_after(_CROWD_S):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(self._run_one)

    async def _run_one(self):
        caller = trio.socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        try:
            await caller.connect(self._endpoint)
            stream = trio.SocketStream(caller)
            self._streams.append(stream)
            await self._send(stream)
        except (OSError, trio.BrokenResourceError):
            return

    async def close(self):
        for stream in self._streams:
            await trio.aclose_forcefully(stream)


class ProcessUse(dict):
    """Peak memory (MB) and descriptors of a process, while it is watched."""

    def __init__(self, pid):
        super().__init__(memory_mb=0, descriptors=0)
        self._folder = Path('/proc', str(pid))

    async def watch(self):
        while True:
            self.update_peaks()
            await trio.sleep(_POLL_S)

    def update_peaks(self):
        for line in Path(self._folder, 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                peak_kb = int(line.split()[1])
                self['memory_mb'] = round(peak_kb * 1024 / _MB, 1)
        found = len(os.listdir(Path(self._folder, 'fd')))
        self['descriptors'] = max(self['descriptors'], found)


class LargeServer(HttpStandin):
    """Server whose answers are large, or whose error pages have no end."""

    def __init__(self, server_id):
        super().__init__(self._serve)
        self.server_id = server_id

    async def _serve(self, call):
        call.request_id = call.headers_by_name['x-request-id']
        seal = (('x-response-seal', self.server_id),)
        if call.path.startswith('/large'):
            await call.respond(200, bytes(_LARGE_ANSWER_BYTES), seal)
            return
        await call.start(500, seal)
        page = bytes(_CHUNK_BYTES)
        try:
            while not call.disconnected.is_set():
                await call.send(page)
        except CallerDisconnected:
            return


class CrowdWorld:
    """Store and servers of a router that meets a crowd."""

    def __init__(self):
        self.store = MetadataStore()
        self._plain = Replica('i-0', ['ok'])
        self._large = LargeServer('i-1')

    async def start(self, nursery):
        await self.store.start(nursery, '127.0.0.1', 0)
        wire = configuration(limits=LIMITS)
        for name in ('large', 'endless'):
            route = {
                **wire['routes'][0],
                'name': name,
                'pathPrefix': f'/{name}/',
                'service': 'large',
                'maxAttempts': 1,
                'timeoutMs': 9000,
            }
            wire['routes'].append(route)
        wire['services'].append({'name': 'large', 'maxConnections': 200})
        self.store.put('config', 'main', wire)
        await self._plain.start(nursery, '127.0.0.1', 0)
        World.register(self, self._plain, 'plain')
        await self._large.start(nursery, '127.0.0.1', 0)
        World.register(self, self._large, 'large')


async def ask_until_answered(address, target='/order/x', status=200):
    """
    Send an ordinary request until it gets the expected status.

    :returns: the status, or a description of what came instead.
    """
    client = HttpClient()
    found = 'no answer'
    with trio.move_on_after(_ANSWER_S):
        while found != status:
            request = ClientRequest(
                address,
                'POST',
                target,
                (
                    ('x-request-id', next(_ids)),
                    ('x-request-deadline', '9000'),
                    ('api-key', 'bigkey'),
                ),
                b'{}',
                fresh=True,
                host='shop.example',
            )
            try:
                answer, _ = await client.fetch(request, ClientTimeouts(9, 9, 9))
                found = answer.status
            except HttpClientError as error:
                found = str(error)
            await trio.sleep(_POLL_S)
    await client.close()
    return found


async def meet_crowd(program, address, send, count, target, status):
    """
    Let a crowd meet a router, and ask an ordinary request afterwards.

    :returns: peak memory and descriptors, whether the process lives, and the
        status of the ordinary request.
    """
    use = ProcessUse(program.popen.pid)
    crowd = Crowd(address, send)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(use.watch)
        await crowd.run(count)
        answer = await ask_until_answered(address, target, status)
        use.update_peaks()
        nursery.cancel_scope.cancel()
    await crowd.close()
    return {**use, 'lives': program.popen.poll() is None, 'answer': answer}


def run_platform_crowd(send, count=CALLERS):
    """
    Let a crowd meet a router of the users' platform.

    :returns: result of :func:`meet_crowd`.
    """

    async def main():
        world = CrowdWorld()
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            router = RouterProcess(
                world.store.address,
                more=f'limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_FDS}\n',
            )
            try:
                await router.wait_ready()
                outcome = await meet_crowd(
                    router.program,
                    router.caller_address,
                    send,
                    count,
                    '/order/x',
                    200,
                )
            finally:
                router.close()
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main)


def run_own_crowd(send, count=OWN_CALLERS):
    """
    Let a crowd meet the product's own router, which has no bundle yet.

    :returns: result of :func:`meet_crowd`.
    """
    ip = next(own_ips)
    example = Path(__file__).parent.parent / 'examples/pazlen'
    settings = read_document(str(example / 'router-haskovo.json')).content
    for number, name in enumerate(('callers', 'peers', 'operators')):
        settings[name] = {'host': ip, 'port': 8740 + number}
    settings.update(platform=f'{ip}:8750', statsd=None, seed_peers=[])
    address = f'{ip}:8740'

    async def main():
        # A router without a bundle says so in its health page.
        found = await ask_until_answered(address, '/healthz', 503)
        assert found == 503, program.log_text()
        return await meet_crowd(program, address, send, count, '/healthz', 503)

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'settings.json')
        path.write_text(json.dumps(settings))
        program = Program(('eelgrassfork.routerd', str(path)))
        try:
            return trio.run(main)
        finally:
            program.close()
