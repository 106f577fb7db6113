"""
bench.processes
~~~~~~~~~~~~~~~

Runs parts of a measurement in processes of their own.
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

_ANSWER_S = 120

# Starts a part and returns what others need to know of it, and a query for
# figures of its own.
Setup = Callable[..., Awaitable[tuple[Any, Callable[[], dict[str, float]]]]]


class Figures(NamedTuple):
    """
    Cost of a part so far.

    :param cpu_s: processor time of the process in seconds.
    :param own: figures of the part itself.
    """

    at: float
    cpu_s: float
    resident_mb: float
    own: dict[str, float]

    def since(self, before: 'Figures') -> dict[str, float]:
        """
        Compare with an earlier reading.

        :param before: the earlier one.
        :returns: seconds between them, processor milliseconds a second,
            megabytes now, and each figure of its own a second.
        """
        wall_s = self.at - before.at
        return {
            'wall_s': wall_s,
            'cpu_ms_per_s': 1000 * (self.cpu_s - before.cpu_s) / wall_s,
            'resident_mb': self.resident_mb,
            **{
                f'{name}_per_s': (figure - before.own.get(name, 0)) / wall_s
                for name, figure in self.own.items()
            },
        }


class Part:
    """
    A process of a measurement.

    :ivar hello: what its setup returned.
    """

    def __init__(self, connection: Connection, hello: Any) -> None:
        self._connection = connection
        self.hello = hello

    def figures(self) -> Figures:
        """
        Read its cost so far.

        :returns: the figures.
        """
        self._connection.send('figures')
        return _receive(self._connection)


@contextmanager
def part(setup: Setup, *arguments: Any) -> Iterator[Part]:
    """
    Run a part while the context lasts.

    :param setup: module-level function, called with a nursery and arguments.
    :param arguments: further arguments.
    :returns: context manager of the running part.
    """
    context = multiprocessing.get_context('spawn')
    ours, theirs = context.Pipe()
    process = context.Process(
        target=_run, args=(theirs, setup, arguments), daemon=True
    )
    process.start()
    try:
        yield Part(ours, _receive(ours))
    finally:
        ours.close()
        process.join(10)
        if process.is_alive():
            process.terminate()
            process.join()


class WireCount:
    """Bytes of all streams of a transport, without those of TCP and IP."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def figures(self) -> dict[str, float]:
        """
        Read the counts.

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
    Make a transport over TCP that counts bytes.

    :param count: where they are counted.
    :returns: the transport.
    """

    async def connect(host: str, port: int) -> trio.abc.Stream:
        return _CountedStream(await TCP.connect(host, port), count)

    async def listen(host: str, port: int) -> BoundListeners:
        listening = await TCP.listen(host, port)
        counted = [
            _CountedListener(each, count) for each in listening.listeners
        ]
        return BoundListeners(listening.address, counted)

    return Transport(connect, listen)


def _receive(connection: Connection) -> Any:
    if not connection.poll(_ANSWER_S):
        raise TimeoutError('a part of the measurement does not answer')
    return connection.recv()


def _run(connection: Connection, setup: Setup, arguments: Any) -> None:
    trio.run(_serve, connection, setup, arguments)


async def _serve(connection: Connection, setup: Setup, arguments: Any) -> None:
    async with trio.open_nursery() as nursery:
        hello, own = await setup(nursery, *arguments)
        connection.send(hello)
        try:
            while await trio.to_thread.run_sync(connection.recv):
                connection.send(
                    Figures(
                        time.monotonic(),
                        time.process_time(),
                        resident_mb(),
                        own(),
                    )
                )
        except EOFError:
            nursery.cancel_scope.cancel()
