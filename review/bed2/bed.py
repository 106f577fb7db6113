"""
Starts routers with the command of the deploy file, and plays the platform's
store and the callers for them.  Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from traceback import format_exc
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('plovdiv-a', 'plovdiv-b', 'stara-zagora', 'haskovo')
HOST = 'shop.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'


def free_port(ip: str = '127.0.0.1') -> int:
    """Return a port that was free just now, below the ephemeral range."""
    for port in range(20000 + os.getpid() * 50 % 10000, 32000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            if port in _TAKEN:
                continue
            _TAKEN.add(port)
            return port
    raise RuntimeError('no free port')


_TAKEN: set[int] = set()


def usable_routers(wanted: int) -> int:
    """Count the routers that can have a loopback address of their own."""
    for number in range(wanted):
        with socket.socket() as probe:
            try:
                probe.bind((f'127.0.0.{number + 1}', 0))
            except OSError:
                return number
    return wanted


class _Ports:
    """Ports of the routers of this run, the same on each of them."""

    front = 0
    ready = 0
    control = 0
    internal = 0

    @classmethod
    def choose(cls) -> None:
        """Choose free ports at the first call."""
        if cls.front:
            return
        cls.front, cls.ready, cls.control = (free_port() for _ in range(3))
        cls.internal = free_port()
        # The metrics have the port after the first internal one.
        while free_port() != cls.internal + 1:
            cls.internal = free_port()


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        elapsed = time.monotonic() - self._started
        self._file.write(f'{elapsed:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Read a start line and headers; the line is empty at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return '', {}
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's store: objects by kind and name, revisions, watches."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 10
        self.events: list[tuple[int, str, dict]] = []
        self.era = 1
        self._changed = asyncio.Event()
        self.address = ''
        self.is_away = False
        self._server: asyncio.Server | None = None
        # Objects whose content is sent as these bytes, by name.
        self.raw_by_name: dict[str, bytes] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.address = f'127.0.0.1:{port}'

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as its operator or a replica does."""
        self._store(kind, name, spec)

    def put_raw(self, kind: str, name: str, raw: bytes) -> None:
        """Write an object as another writer does, byte for byte."""
        self.raw_by_name[name] = raw
        self._store(kind, name, f'raw:{name}')

    def copy_state(self) -> tuple:
        """Copy the present state, for a drill."""
        return json.dumps(list(self.objects.items())), self.revision

    def restore(self, state: tuple) -> None:
        """Come back from a copy; what the system wrote since is gone."""
        text, self.revision = state
        self.objects = {tuple(key): stored for key, stored in json.loads(text)}
        self.events = [one for one in self.events if one[0] <= self.revision]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def go_away(self) -> None:
        """Refuse all calls with 503."""
        self.is_away = True
        self._changed.set()
        self._changed = asyncio.Event()

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._event(kind, {'deleted': True, 'object': stored})

    def _store(self, kind: str, name: str, spec: object) -> dict:
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'createdRev': known['metadata']['createdRev']
                if known
                else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = stored
        self._event(kind, {'deleted': False, 'object': stored})
        return stored

    def _event(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                if not line:
                    return
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                era = self.era
                status, answer = 503, {}
                if not self.is_away:
                    status, answer = await self._answer(method, target, body)
                if era != self.era and 'watch=' in target:
                    status, answer = 410, {}
                text = self._encode(answer)
                writer.write(
                    (
                        f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                        f'\r\nStore-Era: {self.era}'
                        f'\r\nContent-Length: {len(text)}\r\n\r\n'
                    ).encode()
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _encode(self, answer: dict) -> bytes:
        text = json.dumps(answer).encode()
        for name, raw in self.raw_by_name.items():
            text = text.replace(f'"raw:{name}"'.encode(), raw)
        return text

    async def _answer(self, method: str, target: str, body: bytes):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split('/')[2:]]
        kind = path[0]
        if method == 'GET' and len(path) == 1:
            if 'watch' in query:
                return await self._watch(kind, query)
            items = [
                item
                for (one, _), item in sorted(self.objects.items())
                if one == kind
            ]
            after = query.get('afterRevision', '')
            items = [i for i in items if i['metadata']['name'] > after]
            return 200, {
                'items': items,
                'hasMore': False,
                'currentRev': self.revision,
            }
        if method == 'POST':
            wire = json.loads(body)
            name = wire['metadata']['name']
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 201, self._store(kind, name, wire['spec'])
        name = path[1]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == 'GET':
            return 200, known
        if method == 'PUT':
            wire = json.loads(body)
            wanted = wire['metadata'].get('revision')
            if wanted is not None and wanted != known['metadata']['revision']:
                return 409, known
            return 200, self._store(kind, name, wire['spec'])
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, known
        return 400, {}

    async def _watch(self, kind: str, query: dict):
        after = int(query['watch'])
        if after > self.revision:
            return 410, {}
        ends = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        era = self.era
        while True:
            if era != self.era or self.is_away:
                return 503, {}
            events = [
                event
                for revision, one, event in self.events
                if one == kind and revision > after
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Router:
    """One router process, on a loopback address of its own."""

    def __init__(
        self, number: int, store: str, folder: Path, **settings
    ) -> None:
        self.ip = f'127.0.0.{number + 1}'
        self.zone = ZONES[number % len(ZONES)]
        self.node = f'edge-{self.zone}-{number + 1}'
        _Ports.choose()
        self.front = f'{self.ip}:{_Ports.front}'
        self.ready = f'{self.ip}:{_Ports.ready}'
        self._store = store
        self._folder = folder
        self._settings = settings
        self._process: subprocess.Popen | None = None
        self.log = folder / f'{self.node}.log'

    def start(self, seeds: list[str], bootstrap: bool = True) -> None:
        """Start the command of the deploy file."""
        fields = {
            'node': self.node,
            'role': 'router',
            'machineClass': 'edge',
            'serves': 'edge,control_plane',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'bg-south',
            **{f'zones.{zone}': 'bg-south' for zone in ZONES},
            'listen.front': self.front,
            'listen.ready': self.ready,
            'listen.control': f'{self.ip}:{_Ports.control}',
            'internalPorts': f'{_Ports.internal},{_Ports.internal + 1}',
            'seeds': ','.join(f'{ip}:{_Ports.control}' for ip in seeds[:3]),
            'bootstrap': 'true' if bootstrap else 'false',
            'lossCounts': 'false',
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.memoryMb': '300',
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'limits.diskMb': '0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,platform',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.configMs': '2000',
            'bounds.contactMs': '3000',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '58',
            'provider.address': self._store,
            'provider.form': 'objects',
            **self._settings,
        }
        path = self._folder / f'{self.node}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in fields.items()))
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': str(self._folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'EELGRASSFORK_BOOT': str(path),
        }
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'eelgrassfork.platform'],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    def exit_code(self) -> int | None:
        """Exit code, ``None`` while the process runs."""
        assert self._process is not None
        return self._process.poll()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.exit_code() is None:
            os.kill(self.pid, number)

    async def wait_ready(self, timeout_s: float = 20) -> bool:
        """Wait until ``/readyz`` answers 200."""
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            try:
                answer = await fetch(self.ready, 'GET', '/readyz')
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            self._process.wait()


class Answer:
    """What a caller got: status, headers, body, and whether it is complete."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 30,
) -> Answer:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await exchange(
            reader, writer, method, path, headers, body, timeout_s
        )
    finally:
        writer.close()


async def exchange(
    reader, writer, method, path, headers=None, body=b'', timeout_s=30.0
) -> Answer:
    """Send one request on an open connection, and read its answer."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    answer = Answer()
    try:
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        await asyncio.wait_for(_read_answer(reader, answer), timeout_s)
    except (
        ConnectionError,
        TimeoutError,
        ValueError,
        asyncio.IncompleteReadError,
    ):
        # The connection ended before the answer.
        pass
    return answer


async def _read_answer(reader, answer: Answer) -> None:
    line, answer.headers = await read_head(reader)
    if not line:
        return
    answer.status = int(line.split(' ')[1])
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'x', 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += chunk[:-2]
    else:
        length = int(answer.headers.get('content-length', 0))
        while len(answer.body) < length:
            chunk = await reader.read(length - len(answer.body))
            if not chunk:
                return
            answer.body += chunk
    answer.complete = True


def entry(service, address, zone, slots, sequence=1, **more) -> dict:
    """Make the entry with which a replica registers."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': sequence,
        'born': int(time.time() * 1000),
        **more,
    }


def configuration(version: int = 7, **changes) -> dict:
    """Make a configuration with the kinds of request of the sheet."""
    routes = [
        _route('r-piece', '/piece/', 'streaming', 4000, 500, 'matcher', 2, 1),
        _route('r-reply', '/reply/', 'streaming', 12000, 400, 'matcher', 1, 0),
        _route(
            'r-order', '/order/', 'non_idempotent', 1000, 200, 'shopdesk', 1, 2
        ),
        _route(
            'r-status', '/status/', 'idempotent', 1000, 200, 'shopdesk', 2, 2
        ),
    ]
    routes[0]['streamResume'] = True
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'matcher',
                'healthPath': '/healthz',
                'maxConnections': 370,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 64,
                    'kvCapacity': 420042,
                    'kvTokenBytes': 35136,
                    'linkMbps': 1100000.0,
                    'stride': 6,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': 'shopdesk',
                'healthPath': '/healthz',
                'maxConnections': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': TENANT,
                'apiKeys': [KEY],
                'priority': 1,
                'prepaid': 50_000_000,
            }
        ],
        **changes,
    }


def _route(name, prefix, kind, timeout, target, service, attempts, priority):
    route = {
        'name': name,
        'hostname': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout,
        'targetLatencyMs': target,
        'priority': priority,
        'service': service,
        'maxAttempts': attempts,
        'allowAnonymous': False,
    }
    if kind == 'streaming':
        route |= {'sticky': True, 'streamResume': False, 'gapAimMs': 300}
    return route


def request_headers(request_id: str, deadline_ms: int, **more) -> dict:
    """Make the headers of a caller."""
    return {
        'X-Request-Id': request_id,
        'X-Request-Deadline': str(deadline_ms),
        'Api-Key': KEY,
        **more,
    }


def prompt_headers(tokens: int, output: int, own: str) -> dict:
    """Make the headers of a model request."""
    return {
        'X-Model': 'm',
        'X-Token-Counts': f'{tokens},{output}',
        'X-Prompt-Prefix': f'{own}:{tokens}',
    }


def event(number: int, size: int = 60) -> bytes:
    """Make one event of a stream."""
    return f'id: {number}\ndata: {"x" * size}\n\n'.encode()


class Case:
    """Folder, record and routers of one run."""

    def __init__(self, script: str, trouble: bool) -> None:
        self.folder = Path(script).resolve().parent
        self.record = Record(self.folder)
        self.temporary = Path(tempfile.mkdtemp(prefix='review-'))
        self.trouble = trouble
        self.routers: list[Router] = []
        self.processes: list[subprocess.Popen] = []

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for router in self.routers:
            router.stop()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.temporary, ignore_errors=True)


class Link:
    """A path to a replica that can be cut; both ends then hear nothing."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, '127.0.0.1', port)
        self.address = f'127.0.0.1:{port}'

    def cut(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Deliver what was held, and all further bytes."""
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(':')
        await self._open.wait()
        try:
            behind = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, behind[1]), self._pump(behind[0], writer)
        )
        for one in (writer, behind[1]):
            one.close()

    async def _pump(self, reader, writer) -> None:
        try:
            while True:
                chunk = await reader.read(65536)
                await self._open.wait()
                if not chunk:
                    writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()
        except OSError:
            await self._open.wait()
            writer.transport.abort()


def play(script: str, main, trouble: bool, limit_s: float = 110) -> None:
    """Run a case with or without its disruption, and exit with 1, 0 or 2."""
    case = Case(script, trouble)
    words = {0: 'held', 1: 'broken', 2: 'could not run'}

    async def run() -> None:
        code = 2
        task = asyncio.create_task(main(case))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            code = await asyncio.wait_for(task, limit_s)
        except (Exception, asyncio.CancelledError):
            case.record.write(f'the case could not run:\n{format_exc()}')
        finally:
            case.close()
        case.record.write(f'result: {words[code]}')
        print(f'{case.folder.name}: {words[code]}', flush=True)
        # Waiting calls of the stand-ins end with the process.
        os._exit(code)

    asyncio.run(run())
