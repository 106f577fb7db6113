"""
tests.memory_network
~~~~~~~~~~~~~~~~~~~~

In-memory network with partitions, stalled connections, and frozen or killed
hosts.

Replaces TCP under trio's mock clock, so that complete routers run in one
process with exact timing. Data that can't be delivered during a partition
arrives after it, as TCP would retransmit it.
"""

import itertools
from collections import deque
from collections.abc import Callable

import trio

from eelgrassfork.transport import BoundListeners, Transport

_FIRST_PORT = 20000


class _Pipe:
    """One direction of a connection between two hosts."""

    def __init__(self, network: 'MemoryNetwork', source: str, target: str):
        self.network = network
        self.source = source
        self.target = target
        self.chunks: deque[tuple[float, bytes]] = deque()
        self.ended = False
        self.reset = False
        self.silent = False

    def is_open(self) -> bool:
        return not self.silent and self.network.is_connected(
            self.source, self.target
        )


class MemoryStream(trio.abc.Stream):
    """One end of a connection between two hosts."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self.incoming = incoming
        self.outgoing = outgoing
        self.host = outgoing.source
        self._network = incoming.network
        self._closed = False

    async def send_all(self, data) -> None:
        await trio.lowlevel.checkpoint()
        await self._network.wait_for(
            lambda: self._closed or not self._network.is_frozen(self.host)
        )
        self._check_open()
        if self.incoming.reset and self.incoming.is_open():
            raise trio.BrokenResourceError('reset by the peer')
        arrival = trio.current_time() + self._network.latency_s
        self.outgoing.chunks.append((arrival, bytes(data)))
        self._network.wake_waiters()

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None) -> bytes:
        await trio.lowlevel.checkpoint()
        await self._network.wait_for(self._is_readable)
        self._check_open()
        if self.incoming.chunks:
            arrival, chunk = self.incoming.chunks.popleft()
            await trio.sleep(max(0, arrival - trio.current_time()))
            return chunk
        if self.incoming.reset:
            raise trio.BrokenResourceError('reset by the peer')
        return b''

    async def aclose(self) -> None:
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the outgoing direction; data already sent still arrives."""
        self._closed = True
        self.outgoing.ended = True
        self._network.wake_waiters()

    def abort(self) -> None:
        """Reset the connection, as the kernel does for a killed process."""
        self._closed = True
        self.outgoing.reset = True
        self.outgoing.ended = True
        self._network.wake_waiters()

    def _is_readable(self) -> bool:
        if self._closed:
            return True
        if self._network.is_frozen(self.host) or not self.incoming.is_open():
            return False
        return bool(self.incoming.chunks) or self.incoming.ended

    def _check_open(self) -> None:
        if self._closed:
            raise trio.ClosedResourceError('this end is closed')


class _MemoryListener(trio.abc.Listener):
    def __init__(self, network: 'MemoryNetwork', host: str, address: str):
        self.host = host
        self.address = address
        self.backlog: deque[MemoryStream] = deque()
        self.closed = False
        self._network = network

    async def accept(self) -> MemoryStream:
        await trio.lowlevel.checkpoint()
        await self._network.wait_for(
            lambda: (
                self.closed
                or (self.backlog and not self._network.is_frozen(self.host))
            )
        )
        if self.closed:
            raise trio.ClosedResourceError('the listener is closed')
        return self.backlog.popleft()

    async def aclose(self) -> None:
        self.closed = True
        self._network.listeners_by_address.pop(self.address, None)
        self._network.wake_waiters()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """
    Hosts by name, and the partitions between them.

    :param latency_s: one-way delay of each chunk, in seconds.
    """

    def __init__(self, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.listeners_by_address: dict[str, _MemoryListener] = {}
        self._streams: list[MemoryStream] = []
        self._cut: set[frozenset[str]] = set()
        self._frozen: set[str] = set()
        self._ports = itertools.count(_FIRST_PORT)
        self._change = trio.Event()

    def transport(self, host: str) -> Transport:
        """
        Create the transport of a host.

        :param host: name of the host.
        :returns: a transport that connects from and listens on this host.
        """

        async def connect(ip: str, port: int) -> trio.abc.Stream:
            return await self._connect(host, f'{ip}:{port}')

        async def listen(ip: str, port: int) -> BoundListeners:
            await trio.lowlevel.checkpoint()
            address = f'{ip}:{port or next(self._ports)}'
            if address in self.listeners_by_address:
                raise OSError(f'{address} is in use')
            listener = _MemoryListener(self, host, address)
            self.listeners_by_address[address] = listener
            return BoundListeners(address, [listener])

        return Transport(connect, listen)

    def cut(self, first: str, second: str) -> None:
        """
        Partition two hosts.

        :param first: one host.
        :param second: the other.
        """
        self._cut.add(frozenset((first, second)))
        self.wake_waiters()

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()
        self.wake_waiters()

    def freeze(self, host: str) -> None:
        """
        Stop all input and output of a host, as SIGSTOP does.

        :param host: name of the host.
        """
        self._frozen.add(host)
        self.wake_waiters()

    def thaw(self, host: str) -> None:
        """
        Resume a frozen host, as SIGCONT does.

        :param host: name of the host.
        """
        self._frozen.discard(host)
        self.wake_waiters()

    def kill(self, host: str) -> None:
        """
        Reset all connections of a host and close its listeners.

        :param host: name of the host.
        """
        for stream in self._streams:
            if stream.host == host:
                stream.abort()
        for listener in list(self.listeners_by_address.values()):
            if listener.host == host:
                del self.listeners_by_address[listener.address]
        self.wake_waiters()

    def silence(self, first: str, second: str) -> None:
        """
        Stop delivery on all open connections between two hosts, permanently.

        :param first: one host.
        :param second: the other.
        """
        for stream in self._streams:
            if {stream.incoming.source, stream.host} == {first, second}:
                stream.incoming.silent = True
                stream.outgoing.silent = True
        self.wake_waiters()

    def is_connected(self, first: str, second: str) -> bool:
        """
        Check whether data is delivered between two hosts.

        :param first: one host.
        :param second: the other.
        :returns: ``False`` during a partition.
        """
        return frozenset((first, second)) not in self._cut

    def is_frozen(self, host: str) -> bool:
        """
        Check whether a host is frozen.

        :param host: name of the host.
        :returns: ``True`` between :meth:`freeze` and :meth:`thaw`.
        """
        return host in self._frozen

    def wake_waiters(self) -> None:
        """Wake all tasks in :meth:`wait_for` after a change of the network."""
        self._change.set()
        self._change = trio.Event()

    async def wait_for(self, condition: Callable[[], object]) -> None:
        """
        Wait until a condition on the network holds.

        :param condition: callable without arguments.
        """
        while not condition():
            await self._change.wait()

    async def _connect(self, host: str, address: str) -> MemoryStream:
        await trio.sleep(2 * self.latency_s)
        listener = self.listeners_by_address.get(address)
        if listener is None:
            raise OSError(f'{address} refused the connection')
        target = listener.host
        await self.wait_for(
            lambda: self.is_connected(host, target) and not self.is_frozen(host)
        )
        if self.listeners_by_address.get(address) is not listener:
            raise OSError(f'{address} refused the connection')
        forward, backward = _Pipe(self, host, target), _Pipe(self, target, host)
        client_end, server_end = (
            MemoryStream(backward, forward),
            MemoryStream(forward, backward),
        )
        self._streams.extend((client_end, server_end))
        listener.backlog.append(server_end)
        self.wake_waiters()
        return client_end
