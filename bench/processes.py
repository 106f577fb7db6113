"""
bench.processes
~~~~~~~~~~~~~~~

Runs parts of a measurement in separate processes.
"""

import multiprocessing
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

import trio

from eelgrassfork.transport import TCP, BoundListeners, Transport

from .measure import resident_mb

__all__ = ('Figures', 'Part', 'WireCount', 'counting_transport', 'part')

_RESPONSE_TIMEOUT_S = 120

# Starts a part; returns data for the parent process, such as addresses, and a
# function that reads the figures of the part.
Setup = Callable[..., Awaitable[tuple[Any, Callable[[], dict[str, float]]]]]


class Figures(NamedTuple):
    """
    Resource use of a part since its start.

    :param at: time of the reading on the monotonic clock.
    :param cpu_s: processor time of the process in seconds.
    :param resident_mb: resident memory in megabytes.
    :param part_figures: cumulative figures of the part by name.
    """

    at: float
    cpu_s: float
    resident_mb: float
    part_figures: dict[str, float]

    def since(self, before: 'Figures') -> dict[str, float]:
        """
        Compute rates since an earlier reading.

        :param before: the earlier reading.
        :returns: seconds between the readings, processor milliseconds per
            second, current megabytes, and the rate of each figure of the
            part per second.
        """
        wall_s = self.at - before.at
        return {
            'wall_s': wall_s,
            'cpu_ms_per_s': 1000 * (self.cpu_s - before.cpu_s) / wall_s,
            'resident_mb': self.resident_mb,
            **{
                f'{name}_per_s': (figure - before.part_figures.get(name, 0))
                / wall_s
                for name, figure in self.part_figures.items()
            },
        }


class Part:
    """
    Process that runs a part of a measurement.

    :ivar setup_result: data that the setup function returned.
    """

    def __init__(self, connection: Connection, setup_result: Any) -> None:
        self._connection = connection
        self.setup_result = setup_result

    def figures(self) -> Figures:
        """
        Read the resource use of the process.

        :returns: the figures.
        :raises TimeoutError: if the process does not answer within 120 s.
        """
        self._connection.send('figures')
        return _receive(self._connection)


@contextmanager
def part(setup: Setup, *arguments: Any) -> Iterator[Part]:
    """
    Run a part for the duration of the context.

    :param setup: module-level function, called with a nursery and arguments.
    :param arguments: arguments after the nursery.
    :returns: context manager of the running part.
    """
    context = multiprocessing.get_context('spawn')
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=_run, args=(child_end, setup, arguments), daemon=True
    )
    process.start()
    try:
        yield Part(parent_end, _receive(parent_end))
    finally:
        parent_end.close()
        process.join(10)
        if process.is_alive():
            process.terminate()
            process.join()


class WireCount:
    """Payload bytes of all streams of a transport, without TCP/IP headers."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def figures(self) -> dict[str, float]:
        """
        Read the counters.

        :returns: bytes sent and received.
        """
        return {'sent_bytes': self.sent, 'received_bytes': self.received}


class _CountedStream(trio.abc.Stream):
    def __init__(self, stream: trio.abc.Stream, count: WireCount) -> None:
        self._stream = stream
        self._count = count

    async def send_all(self, data) -> None:
        self._count.sent += len(data)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None) -> bytes:
        received = await self._stream.receive_some(max_bytes)
        self._count.received += len(received)
        return received

    async def aclose(self) -> None:
        await self._stream.aclose()


class _CountedListener(trio.abc.Listener):
    def __init__(self, listener: Any, count: WireCount) -> None:
        self._listener = listener
        self._count = count

    async def accept(self) -> _CountedStream:
        return _CountedStream(await self._listener.accept(), self._count)

    async def aclose(self) -> None:
        await self._listener.aclose()


def counting_transport(count: WireCount) -> Transport:
    """
    Create a TCP transport that counts bytes.

    :param count: counters to update.
    :returns: the transport.
    """

    async def connect(host: str, port: int) -> trio.abc.Stream:
        return _CountedStream(await TCP.connect(host, port), count)

    async def listen(host: str, port: int) -> BoundListeners:
        listening = await TCP.listen(host, port)
        listeners = [
            _CountedListener(each, count) for each in listening.listeners
        ]
        return BoundListeners(listening.address, listeners)

    return Transport(connect, listen)


def _receive(connection: Connection) -> Any:
    if not connection.poll(_RESPONSE_TIMEOUT_S):
        raise TimeoutError('measurement process did not answer in time')
    return connection.recv()


def _run(connection: Connection, setup: Setup, arguments: Any) -> None:
    trio.run(_serve, connection, setup, arguments)


async def _serve(connection: Connection, setup: Setup, arguments: Any) -> None:
    async with trio.open_nursery() as nursery:
        setup_result, part_figures = await setup(nursery, *arguments)
        connection.send(setup_result)
        try:
            while await trio.to_thread.run_sync(connection.recv):
                connection.send(
                    Figures(
                        time.monotonic(),
                        time.process_time(),
                        resident_mb(),
                        part_figures(),
                    )
                )
        except EOFError:
            nursery.cancel_scope.cancel()
