"""
bench.memory_transport
~~~~~~~~~~~~~~~~~~~~~~

Byte streams in memory without faults, for whole routers on a mock clock.

tests.memory_network wakes all its readers on each change, which is too slow
for hundreds of streams.
"""

import itertools

import trio
import trio.testing

from eelgrassfork.transport import BoundListeners, Transport

__all__ = ('MemoryTransports',)

_FIRST_PORT = 20000


class _Listener(trio.abc.Listener):
    def __init__(self) -> None:
        self.connect, self._accept = trio.open_memory_channel(10_000)

    async def accept(self) -> trio.abc.Stream:
        try:
            return await self._accept.receive()
        except trio.EndOfChannel:
            raise trio.ClosedResourceError from None

    async def aclose(self) -> None:
        await self._accept.aclose()


class MemoryTransports:
    """
    Listeners by address.

    :param delay_s: time to open a connection, in seconds.
    """

    def __init__(self, delay_s: float = 0.001) -> None:
        self._delay_s = delay_s
        self._listeners_by_address: dict[str, _Listener] = {}
        self._ports = itertools.count(_FIRST_PORT)

    def transport(self) -> Transport:
        """
        Make a transport; all of one object reach each other.

        :returns: connects and listens in memory.
        """
        return Transport(self._connect, self._listen)

    async def _connect(self, host: str, port: int) -> trio.abc.Stream:
        await trio.sleep(self._delay_s)
        listener = self._listeners_by_address.get(f'{host}:{port}')
        if listener is None:
            raise OSError(f'{host}:{port} refused the connection')
        near, far = trio.testing.memory_stream_pair()
        try:
            listener.connect.send_nowait(far)
        except trio.BrokenResourceError:
            raise OSError(f'{host}:{port} is closed') from None
        return near

    async def _listen(self, host: str, port: int) -> BoundListeners:
        await trio.lowlevel.checkpoint()
        address = f'{host}:{port or next(self._ports)}'
        listener = _Listener()
        self._listeners_by_address[address] = listener
        return BoundListeners(address, [listener])
