"""
tests.router_process
~~~~~~~~~~~~~~~~~~~~

Routers as real processes, with stand-ins for the store and a backend server.
"""

import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    HttpClient,
    HttpClientError,
)
from eelgrassfork.process_signals import ACTIONS_BY_SIGNAL
from standins.metadata_store import MetadataStore
from standins.replica import Replica

from .gateway_world import SETTINGS, World, configuration

GRACE_S = 6
# Long enough for a machine that runs many other processes.
READY_TIMEOUT_S = 60
EXIT_TIMEOUT_S = 60
POLL_S = 0.01
# Metrics are on the second internal port.
PORTS = (8740, 8749, 8748, 7200, 7201)
# The stand-in's slow streams have a pause of 0.3 s before each event.
STREAM_EVENTS = 10
USE_INTERVAL_S = 0.01
STREAM_TIMEOUTS = ClientTimeouts(first_byte_s=5, silence_s=5)

# Each router has an address of its own, as the platform's VMs do, so that two
# routers never bind the same port.
own_ips = (
    f'127.{os.getpid() % 200 + 20}.{number // 250}.{number % 250 + 1}'
    for number in itertools.count()
)


def handled_signals(pid):
    """Read the signals that a process handles or ignores."""
    handled = 0
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, text = line.partition(':')
        if name in {'SigCgt', 'SigIgn'}:
            handled |= int(text, 16)
    return {
        number for number in signal.valid_signals() if handled >> number - 1 & 1
    }


class Program:
    """
    A started program.

    :param command: module and arguments for the interpreter.
    :param variables: additional environment variables.
    :param stdout: file descriptor of its standard output; by default a file.
    """

    def __init__(self, command, variables=(), stdout=None):
        self._log = tempfile.TemporaryFile()
        self.popen = subprocess.Popen(
            [sys.executable, '-m', *command],
            stdin=subprocess.DEVNULL,
            stdout=self._log if stdout is None else stdout,
            stderr=self._log,
            env={**os.environ, **dict(variables)},
        )

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    async def wait_handlers(self):
        """Wait until no signal takes its default action any more."""
        await self._wait_until(
            lambda: handled_signals(self.popen.pid) >= set(ACTIONS_BY_SIGNAL),
            0.001,
        )

    async def wait_exit(self, timeout_s=EXIT_TIMEOUT_S):
        """Wait for the end of the process; returns its exit code."""
        with trio.fail_after(timeout_s):
            while self.popen.poll() is None:
                await trio.sleep(POLL_S)
        return self.popen.returncode

    async def wait_logged(self, message):
        """Wait until a line of the log has a message."""
        await self._wait_until(lambda: message in self.log_text(), POLL_S)

    async def _wait_until(self, condition, interval_s):
        started_at = trio.current_time()
        while not condition():
            waited_s = trio.current_time() - started_at
            if self.popen.poll() is not None or waited_s > READY_TIMEOUT_S:
                status = Path(f'/proc/{self.popen.pid}/status').read_text()
                raise AssertionError(
                    f'after {waited_s:.1f} s: {status}\n{self.log_text()}'
                )
            await trio.sleep(interval_s)

    def log_text(self):
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode('utf-8', 'replace')

    def log_lines(self):
        """Return the log lines that are JSON objects."""
        return [
            json.loads(line)
            for line in self.log_text().splitlines()
            if line.startswith('{')
        ]

    def messages(self):
        return [line['message'] for line in self.log_lines()]

    def close(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        self._log.close()


class Streams:
    """
    Callers that read streams of 3 s through a router.

    :ivar events_by_id: events received by each caller whose stream has ended;
        ``None`` if it ended without being complete.
    """

    def __init__(self, address):
        self._address = address
        self._client = HttpClient()
        self.events_by_id = {}
        self.started = 0

    async def read(self, request_id):
        request = ClientRequest(
            self._address,
            'GET',
            '/reply/x',
            (
                ('x-request-id', request_id),
                ('x-request-deadline', '9000'),
                ('api-key', 'bigkey'),
            ),
            fresh=True,
            host='shop.example',
        )
        self.events_by_id[request_id] = None
        self.started += 1
        try:
            _, body = await self._client.fetch(request, STREAM_TIMEOUTS)
        except HttpClientError:
            return
        if body.count(b'id:') == STREAM_EVENTS:
            self.events_by_id[request_id] = STREAM_EVENTS

    def incomplete(self):
        return [
            name for name, events in self.events_by_id.items() if not events
        ]


class OpenConnection:
    """
    Caller that uses one connection for as long as the router leaves it open.

    :ivar answered: number of complete answers.
    :ivar lost: IDs of requests that were sent and not answered, by the time
        after which the connection ended.
    """

    def __init__(self, address, prefix):
        self._address = address
        self._prefix = prefix
        self._client = HttpClient(max_idle_s=60)
        self.answered = 0
        self.lost = {}

    async def use(self):
        for number in itertools.count():
            request_id = f'{self._prefix}{number:08x}'
            request = ClientRequest(
                self._address,
                'POST',
                '/order/x',
                (
                    ('x-request-id', request_id),
                    ('x-request-deadline', '1500'),
                    ('api-key', 'bigkey'),
                ),
                b'{}',
                host='shop.example',
                no_resend=True,
            )
            started_at = trio.current_time()
            try:
                await self._client.fetch(request)
            except ConnectFailed:
                return
            except HttpClientError:
                self.lost[request_id] = trio.current_time() - started_at
                return
            self.answered += 1
            await trio.sleep(USE_INTERVAL_S)


class RouterProcess:
    """
    A router process with its settings file.

    :param store: address of the store.
    :param stdout: file descriptor of its standard output; by default a file.
    :param more: further lines of the settings file.
    """

    def __init__(self, store, stdout=None, more=''):
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name, 'settings.conf')
        ip = next(own_ips)
        self.caller_address = f'{ip}:{PORTS[0]}'
        self._ready_address = f'{ip}:{PORTS[1]}'
        self.settings = (
            SETTINGS.replace('127.0.0.1', ip)
            .replace('graceS=3', f'graceS={GRACE_S}')
            .format(ports=PORTS, store=store)
        ) + more
        self.path.write_text(self.settings)
        self.program = Program(
            ('eelgrassfork.platform',),
            {'EELGRASSFORK_BOOT': str(self.path)},
            stdout,
        )

    async def wait_ready(self):
        client = HttpClient()
        request = ClientRequest(self._ready_address, 'GET', '/readyz')
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                try:
                    answer, _ = await client.fetch(request)
                except HttpClientError:
                    answer = None
                if answer is not None and answer.status == 200:
                    return
                if self.program.popen.poll() is not None:
                    raise AssertionError(self.program.log_text())
                await trio.sleep(POLL_S)

    def close(self):
        self.program.close()
        self._folder.cleanup()


class ProcessWorld:
    """Stand-ins in this process that router processes use."""

    def __init__(self):
        self.store = MetadataStore()
        self._replica = Replica('i-0', [f'slow:{STREAM_EVENTS}'])
        self.plain = Replica('i-1', ['ok'])

    async def start(self, nursery):
        await self.store.start(nursery, '127.0.0.1', 0)
        wire = configuration()
        for route in wire['routes']:
            route.update(timeoutMs=9000, gapAimMs=1000)
        self.store.put('config', 'main', wire)
        await self._replica.start(nursery, '127.0.0.1', 0)
        World.register(self, self._replica, 'model')
        await self.plain.start(nursery, '127.0.0.1', 0)
        World.register(self, self.plain, 'plain')


def run_processes(scenario):
    """
    Run a scenario in real time with stand-ins.

    :param scenario: called with a :class:`ProcessWorld` and a nursery.
    :returns: result of the scenario.
    """

    async def main():
        world = ProcessWorld()
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            outcome = await scenario(world)
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main)
