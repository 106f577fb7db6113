"""
demo.processes
~~~~~~~~~~~~~~

Starts and stops the processes of the demo and of process tests.
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
    """A started process and its listening address."""

    name: str
    popen: subprocess.Popen[str]
    address: str


class Processes:
    """
    Started processes by name; :meth:`close` ends all of them.

    :param log_directory: directory of the processes' standard error logs.
    """

    def __init__(self, log_directory: Path) -> None:
        self._log_directory = log_directory
        self.by_name: dict[str, Process] = {}

    def start_standin(self, name: str, module: str, *options: str) -> None:
        """
        Start a stand-in; :meth:`wait_listening` returns its address.

        :param name: name of the process.
        :param module: module within ``standins``.
        :param options: command-line options.
        """
        popen = self._popen(name, 'standins', module, *options)
        self.by_name[name] = Process(name, popen, '')

    def wait_listening(self, name: str) -> str:
        """
        Wait until a stand-in is listening.

        :param name: name of the process.
        :returns: its listening address.
        """
        process = self.by_name[name]
        assert process.popen.stdout is not None
        address = json.loads(process.popen.stdout.readline())['address']
        self.by_name[name] = process._replace(address=address)
        return str(address)

    def start_router(self, name: str, settings: Path, address: str) -> None:
        """
        Start a router without waiting until it is ready.

        :param name: name of the process.
        :param settings: settings file.
        :param address: callers' address in the settings file.
        """
        popen = self._popen(name, 'eelgrassfork.routerd', str(settings))
        self.by_name[name] = Process(name, popen, address)

    def read_log(self, name: str) -> str:
        """
        Read the log of a process.

        :param name: name of the process.
        :returns: content of its standard error.
        """
        return (self._log_directory / f'{name}.log').read_text()

    def stop(self, name: str) -> int:
        """
        Terminate a process with SIGTERM and wait for it.

        :param name: name of the process.
        :returns: exit code.
        """
        process = self.by_name.pop(name)
        process.popen.terminate()
        return process.popen.wait(_STOP_S)

    def close(self) -> None:
        """Kill all processes and wait for them."""
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
    Find unused ports.

    :param count: number of ports.
    :returns: ports on loopback; another process may take them meanwhile.
    """
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def run_command(*arguments: Any) -> str:
    """
    Run the ``eelgrassfork`` command.

    :param arguments: command-line arguments.
    :returns: standard output.
    :raises RuntimeError: if it fails; the message contains its output.
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
