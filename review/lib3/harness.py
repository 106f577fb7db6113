"""
Stand-ins for the script cases of the third review, with asyncio only.

The store, the backend servers and the callers run in the process of the
script.  The routers are the project's own program, each a separate process.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, text):
        elapsed = time.monotonic() - self._began
        self._file.write(f'{elapsed:9.3f} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Read an HTTP request: first line, headers by name, body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.era = 1
        self.events = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.available = True
        # Called with kind, former and new content after each write of a router.
        self.on_write = None
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.get((kind, name))
        made = known['metadata']['createdRev'] if known else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'createdRev': made,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = stored
        self._announce(kind, stored, deleted=False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._announce(kind, stored, deleted=True)

    def copy(self):
        return json.dumps(
            [[*key, stored] for key, stored in self.objects.items()]
        ), self.revision

    def restore(self, state):
        objects, self.revision = state
        self.objects = {
            (kind, name): stored for kind, name, stored in json.loads(objects)
        }
        self.oldest = self.revision
        self.events.clear()
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def go_away(self):
        """Refuse all calls and cut the present ones."""
        self.available = False
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self):
        self.available = True

    def _announce(self, kind, stored, deleted):
        event = {'object': stored, 'deleted': deleted}
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(' ')
                if self.available:
                    status, content = await self._answer(method, target, body)
                else:
                    status, content = 503, {}
                encoded = json.dumps(content).encode()
                head = (
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: {self.era}\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'
                )
                writer.write(head.encode() + encoded)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: text[0] for name, text in parse_qs(url.query).items()}
        _, _, kind, *rest = url.path.split('/')
        if method == 'GET' and rest:
            stored = self.objects.get((kind, rest[0]))
            return (200, stored) if stored else (404, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            items = [
                self.objects[key]
                for key in sorted(self.objects)
                if key[0] == kind
            ]
            return 200, {
                'items': items, 'hasMore': False, 'currentRev': self.revision,
            }
        return self._write(method, kind, rest, json.loads(body))

    async def _watch(self, kind, query):
        after, era = int(query['watch']), self.era
        if not self.oldest <= after <= self.revision:
            return 410, {}
        ends = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            if self.era != era:
                return 410, {}
            found = [
                event
                for revision, event_kind, event in self.events
                if event_kind == kind and revision > after
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, rest, document):
        name = rest[0] if rest else document['metadata']['name']
        known = self.objects.get((kind, name))
        if method == 'POST':
            if known:
                return 409, known
            return 201, self.put(kind, name, document['spec'])
        if known is None:
            return 404, {}
        wanted = document['metadata'].get('revision')
        if wanted is not None and wanted != known['metadata']['revision']:
            return 409, known
        if known['spec'] == document['spec']:
            return 200, known
        stored = self.put(kind, name, document['spec'])
        if self.on_write is not None:
            self.on_write(kind, known['spec'], stored['spec'])
        return 200, stored


class Replica:
    """
    A backend server.

    :param answer: coroutine that gets the replica, the headers and the body
        of a request and its writer, and answers it; returns whether the
        connection is kept.
    """

    def __init__(self, store, record, identity, service, answer, zone='zone-a'):
        self.store = store
        self.record = record
        self.identity = identity
        self.service = service
        self.answer = answer
        self.zone = zone
        self.address = ''
        self.runs = []
        # Last 421 on each connection.
        self.refusal_by_writer = {}
        self.state = 'ready'
        self._beats = None
        self._server = None
        self._writers = set()
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f'{host}:{port}'
        self.record.write(f'replica {self.identity} starts at {self.address}')
        self._beats = asyncio.create_task(self._beat())

    async def crash(self):
        """End like a killed process: sockets closed, nothing said."""
        self.record.write(f'replica {self.identity} crashes')
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        await asyncio.sleep(0)

    async def _beat(self):
        while True:
            self._sequence += 1
            self.store.put(
                'servers',
                self.identity,
                {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 64,
                    'state': self.state,
                    'coldRemainingMs': 0,
                    'sequence': self._sequence,
                    'born': self._born,
                },
            )
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            kept = True
            while kept:
                first, headers, body = await read_message(reader)
                wanted = headers.get('x-expect-replica', self.identity)
                if wanted != self.identity:
                    identity = headers.get('x-request-id', '')
                    refusal = (
                        'HTTP/1.1 421 Misdirected Request\r\n'
                        f'X-Request-Id: {identity}\r\n'
                        f'X-Replica-Id: {self.identity}\r\n'
                        'Content-Length: 0\r\n\r\n'
                    ).encode()
                    self.record.write(f'replica {self.identity}: 421')
                    self.refusal_by_writer[writer] = refusal
                    writer.write(refusal)
                    continue
                self.runs.append(headers['x-request-id'])
                self.record.write(
                    f'replica {self.identity} runs {headers["x-request-id"]}'
                )
                kept = await self.answer(self, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def answer_head(replica, headers, *more, status=200):
    """Encode the head of a replica's answer."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'X-Request-Id: {headers["x-request-id"]}',
        f'X-Response-Seal: {replica.identity}',
        *more,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


class Router:
    """One process of the project's program."""

    def __init__(self, name, host, folder, record, **settings):
        self.name = name
        self.host = host
        self.record = record
        self.process = None
        self._folder = folder
        self._settings = settings

    def write_settings(self, store, seeds, zones, bootstrap=True):
        zone = self._settings.get('zone', 'zone-a')
        lines = {
            'node': self.name,
            'role': 'router',
            'machineClass': 'edge',
            'serves': 'edge,control_plane',
            'ip': self.host,
            'zone': zone,
            'region': 'region-a',
            **{f'zones.{other}': 'region-a' for other in zones},
            'listen.front': f'{self.host}:{PORTS["front"]}',
            'listen.ready': f'{self.host}:{PORTS["ready"]}',
            'listen.control': f'{self.host}:{PORTS["control"]}',
            'internalPorts': f'{PORTS["internal"]},{PORTS["internal"] + 15}',
            'seeds': ','.join(f'{seed}:{PORTS["control"]}' for seed in seeds),
            'bootstrap': str(bootstrap).lower(),
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.memoryMb': '300',
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'limits.diskMb': '0',
            'heartbeatMs': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,platform',
            'bounds.contactMs': '3000',
            'bounds.ackMs': '4000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.lossSlackMs': '200',
            'bounds.configMs': '2000',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '58',
            'provider.address': store,
            'provider.form': 'objects',
            'provider.writesPerS': '400',
            'provider.readsPerS': '2000',
            'provider.historyS': '20',
        }
        text = ''.join(f'{key}={value}\n' for key, value in lines.items())
        (self._folder / f'{self.name}.conf').write_text(text)

    async def start(self):
        log = open(self._folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'eelgrassfork.platform',
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'EELGRASSFORK_BOOT': str(self._folder / f'{self.name}.conf'),
            },
        )
        log.close()
        self.record.write(f'router {self.name} starts')

    def send_signal(self, number):
        self.record.write(
            f'router {self.name} gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)

    async def is_ready(self, timeout=1.0):
        try:
            answer = await asyncio.wait_for(
                ask(
                    f'{self.host}:{PORTS["ready"]}',
                    'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n'.encode(),
                ),
                timeout,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, timeout=20):
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            if self.process.returncode is not None:
                raise NotRun(f'router {self.name} ended')
            if await self.is_ready():
                self.record.write(f'router {self.name} is ready')
                return
            await asyncio.sleep(0.1)
        raise NotRun(f'router {self.name} is not ready')

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    @property
    def front(self):
        return f'{self.host}:{PORTS["front"]}'


class Answer:
    """
    Answer that a caller got.

    :ivar whole: whether the protocol says that it is complete.
    :ivar events: numbers of the events of a stream, in order.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.first_at = None
        self.ended_at = None

    @property
    def events(self):
        return [
            int(line[3:])
            for line in self.body.split(b'\n')
            if line.startswith(b'id:') and line[3:].strip().isdigit()
        ]


class Connection:
    """
    Connection that a caller keeps; opened again once it was closed.

    :ivar opened: number of connections opened so far.
    """

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None
        self.opened = 0

    async def ask(self, request, on_bytes=None):
        """Send one request and read its answer."""
        if self._writer is None:
            host, _, port = self._address.rpartition(':')
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
            self.opened += 1
        answer = Answer()
        try:
            self._writer.write(request)
            await self._writer.drain()
        except OSError:
            pass
        try:
            await self._read(answer, on_bytes)
            answer.whole = True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            answer.ended_at = time.monotonic()
            if not answer.whole or (
                answer.headers.get('connection', '').lower() == 'close'
            ):
                self.close()
        return answer

    def close(self):
        """Close it."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def _read(self, answer, on_bytes):
        reader = self._reader
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        answer.status = int(first.split(' ')[1])
        answer.first_at = time.monotonic()
        for line in lines:
            name, colon, value = line.partition(':')
            if colon:
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readline() or b'-1', 16):
                if size < 0:
                    raise OSError('cut')
                answer.body += await reader.readexactly(size)
                if on_bytes is not None:
                    on_bytes(answer)
                await reader.readexactly(2)
            await reader.readline()
        elif 'content-length' in answer.headers:
            size = int(answer.headers['content-length'])
            answer.body = await reader.readexactly(size)
        else:
            answer.body = await reader.read()


async def ask(address, request, on_bytes=None):
    """Send one request on a new connection, and read its answer."""
    connection = Connection(address)
    try:
        return await connection.ask(request, on_bytes)
    finally:
        connection.close()


PORTS = {}


def _free_block(hosts, size):
    for base in range(21000, 60000, 64):
        opened = []
        try:
            for host in hosts:
                for port in range(base, base + size):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        opened.append(one)
                        one.bind((host, port))
        except OSError:
            continue
        else:
            return base
        finally:
            for one in opened:
                one.close()
    raise NotRun('no free ports')


def choose_ports(hosts):
    """Find ports that are free at all of these addresses."""
    base = _free_block(hosts, 40)
    PORTS.update(
        front=base, ready=base + 1, control=base + 2, internal=base + 4,
        store=base + 20, replica=base + 21,
    )


def run_case(folder, case, limit_s=110):
    """
    Run a case and exit with its result.

    :param case: coroutine function; gets the record, a temporary folder and a
        list to which it adds the routers that it starts; returns whether the
        rule held.
    """
    record = Record(Path(folder) / 'record.txt')
    scratch = Path(tempfile.mkdtemp(prefix='review3-'))
    routers = []

    async def main():
        # A script that is stopped ends what it started, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            held = await asyncio.wait_for(
                case(record, scratch, routers), limit_s
            )
            return HELD if held else BROKEN
        except NotRun as error:
            record.write(f'not run: {error}')
            return NOT_RUN
        except asyncio.TimeoutError:
            record.write('not run: the case took too long')
            return NOT_RUN
        except asyncio.CancelledError:
            record.write('not run: the case was stopped')
            return NOT_RUN
        finally:
            for router in routers:
                await router.end()

    result = asyncio.run(main())
    record.write(f'trouble={int(TROUBLE)} result={result}')
    if os.environ.get('KEEP_LOGS'):
        print(scratch)
    else:
        shutil.rmtree(scratch, ignore_errors=True)
    print({HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'could not run'}[result])
    sys.exit(result)
