"""
demo.processes
~~~~~~~~~~~~~~

Starts and ends the processes of the demo and of process tests.
"""

import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ('Process', 'Processes', 'free_ports', 'run_command')

_STOP_S = 20


class Process(NamedTuple):
    """A process that was started here, and where it listens."""

    name: str
    popen: subprocess.Popen[str]
    address: str


class Processes:
    """
    Processes by name; :meth:`close` leaves none behind.

    :param log_directory: where their standard error goes.
    """

    def __init__(self, log_directory: Path) -> None:
        self._log_directory = log_directory
        self.by_name: dict[str, Process] = {}

    def start_standin(self, name: str, module: str, *options: str) -> None:
        """
        Start a stand-in; :meth:`wait_listening` tells where it listens.

        :param name: name of the process.
        :param module: module within ``standins``.
        :param options: its command line.
        """
        popen = self._popen(name, f'standins.{module}', *options)
        self.by_name[name] = Process(name, popen, '')

    def wait_listening(self, name: str) -> str:
        """
        Wait until a stand-in listens.

        :param name: name of the process.
        :returns: its address.
        """
        process = self.by_name[name]
        assert process.popen.stdout is not None
        address = json.loads(process.popen.stdout.readline())['address']
        self.by_name[name] = process._replace(address=address)
        return str(address)

    def start_router(self, name: str, settings: Path, address: str) -> None:
        """
        Start a router; it is not ready yet.

        :param name: name of the process.
        :param settings: its settings file.
        :param address: its callers' address, as set there.
        """
        popen = self._popen(name, 'eelgrassfork.routerd', str(settings))
        self.by_name[name] = Process(name, popen, address)

    def read_log(self, name: str) -> str:
        """
        Read what a process logged.

        :param name: name of the process.
        :returns: its standard error.
        """
        return (self._log_directory / f'{name}.log').read_text()

    def stop(self, name: str) -> int:
        """
        Ask a process to end, and wait for it.

        :param name: name of the process.
        :returns: its exit code.
        """
        process = self.by_name.pop(name)
        process.popen.terminate()
        return process.popen.wait(_STOP_S)

    def close(self) -> None:
        """End all processes, by force where asking is not enough."""
        for process in self.by_name.values():
            process.popen.kill()
        for process in self.by_name.values():
            process.popen.wait(_STOP_S)
            if process.popen.stdout is not None:
                process.popen.stdout.close()
        self.by_name.clear()

    def _popen(self, name: str, *command: str) -> subprocess.Popen[str]:
        with (self._log_directory / f'{name}.log').open('a') as log:
            return subprocess.Popen(
                [sys.executable, '-m', *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )


def free_ports(count: int) -> list[int]:
    """
    Find ports that nothing listens on.

    :param count: how many.
    :returns: ports on loopback, free a moment ago.
    """
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def run_command(*arguments: Any) -> str:
    """
    Run the ``eelgrassfork`` command.

    :param arguments: its command line.
    :returns: its output.
    :raises RuntimeError: if it fails, with what it wrote.
    """
    script = 'import sys; from eelgrassfork.cli import main; sys.exit(main())'
    finished = subprocess.run(
        [sys.executable, '-c', script, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    if finished.returncode:
        command = ' '.join(map(str, arguments))
        output = finished.stdout + finished.stderr
        raise RuntimeError(
            f'eelgrassfork {command} exited with {finished.returncode}: '
            f'{output}'
        )
    return finished.stdout
