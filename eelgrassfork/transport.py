"""
eelgrassfork.transport
~~~~~~~~~~~~~~~~~~~~~~

How connections are opened and accepted; TCP unless a test replaces it.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple

import trio

__all__ = ('TCP', 'Listening', 'Transport')


class Listening(NamedTuple):
    """Bound listeners and their address as ``ip:port``."""

    address: str
    listeners: Sequence[trio.abc.Listener[Any]]


class Transport(NamedTuple):
    """
    Opens and accepts byte streams.

    :param connect: takes IP address and port; raises ``OSError``.
    :param listen: takes IP address and port, 0 for any free one.
    """

    connect: Callable[[str, int], Awaitable[trio.abc.Stream]]
    listen: Callable[[str, int], Awaitable[Listening]]


async def _listen_tcp(host: str, port: int) -> Listening:
    listeners = await trio.open_tcp_listeners(port, host=host)
    name = listeners[0].socket.getsockname()
    return Listening(f'{name[0]}:{name[1]}', listeners)


TCP: Final = Transport(trio.open_tcp_stream, _listen_tcp)
