"""Starts the program of the deploy file, one process for each router."""

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

import trio

ROOT = Path(__file__).resolve().parents[2]

_SETTINGS = """\
node={node}
role=router
machineClass=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internalPorts={first},{last}
seeds={seeds}
bootstrap={bootstrap}
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=58
bounds.recoveryS=12
provider.address={store}
provider.form=objects
provider.writesPerS=400
provider.readsPerS=2000
provider.historyS=20
provider.valueBytes=1048576
"""


def _free_ports(ips):
    """Find six ports in a row that are free on all these addresses."""
    for _ in range(200):
        base = random.randrange(20000, 30000, 8)
        opened = []
        try:
            for ip in ips:
                for port in range(base, base + 6):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        opened.append(probe)
                        probe.bind((ip, port))
        except OSError:
            continue
        finally:
            for probe in opened:
                probe.close()
        return base
    raise OSError('no free ports')


class Routers:
    """
    Router processes on loopback addresses.

    :param zones: zone of each router.
    :param store: address of the store.
    """

    def __init__(self, zones, store):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._zones = zones
        self._store = store
        block = random.randrange(1, 200)
        self.ips = [f'127.{block}.0.{n + 2}' for n in range(len(zones))]
        self._base = _free_ports(self.ips)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = deploy['roles']['router']['run'].split()
        self._processes = [None] * len(zones)
        self._logs = []
        self._starts = 0

    def front(self, number):
        return f'{self.ips[number]}:{self._base}'

    def ready(self, number):
        return f'{self.ips[number]}:{self._base + 1}'

    def state(self, number):
        return f'{self.ips[number]}:{self._base + 5}'

    def process(self, number):
        return self._processes[number]

    def write_settings(self, number, bootstrap=False):
        path = self.folder / f'{number}.conf'
        path.write_text(
            _SETTINGS.format(
                node=f'edge-{self._zones[number]}-{number}',
                ip=self.ips[number],
                zone=self._zones[number],
                front=self._base,
                ready=self._base + 1,
                control=self._base + 2,
                first=self._base + 4,
                last=self._base + 5,
                seeds=','.join(f'{ip}:{self._base + 2}' for ip in self.ips[:3]),
                bootstrap='true' if bootstrap else 'false',
                store=self._store,
            )
        )
        return path

    def start(self, number, bootstrap=False):
        path = self.write_settings(number, bootstrap)
        self._starts += 1
        log = open(self.folder / f'{number}-{self._starts}.log', 'wb')
        self._logs.append(log)
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self._processes[number] = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'EELGRASSFORK_BOOT': str(path),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number, which):
        self._processes[number].send_signal(which)

    async def wait_end(self, number, limit_s):
        """Wait for the end of a process; returns its exit code, or ``None``."""
        with trio.move_on_after(limit_s):
            while self._processes[number].poll() is None:
                await trio.sleep(0.02)
        return self._processes[number].poll()

    async def wait_ready(self, numbers, limit_s=20):
        from .http import ask_once

        with trio.move_on_after(limit_s):
            for number in numbers:
                while True:
                    answer = await ask_once(
                        self.ready(number), 'GET', '/readyz', {'host': 'x'}
                    )
                    if answer.status == 200:
                        break
                    await trio.sleep(0.1)
            return True
        return False

    def log_text(self, number):
        return ''.join(
            path.read_text('utf-8', 'replace')
            for path in sorted(self.folder.glob(f'{number}-*.log'))
        )

    def close(self):
        for process in self._processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for log in self._logs:
            log.close()
        shutil.rmtree(self.folder, ignore_errors=True)
