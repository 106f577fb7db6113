"""
eelgrassfork.transport
~~~~~~~~~~~~~~~~~~~~~~

How connections are opened and accepted; TCP unless a test replaces it.
"""

import errno
import select
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple

import logbook
import trio

__all__ = (
    'TCP',
    'BoundListeners',
    'TcpListener',
    'Transport',
    'has_ended',
    'is_readable',
)

_log = logbook.Logger('transport')

# Connections that end free descriptors again.
_NO_DESCRIPTOR: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_NO_DESCRIPTOR_S: Final = 0.1
# Errors of one connection that waited, which accept(2) of Linux passes on.
_OF_CONNECTION: Final = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    ),
)


class BoundListeners(NamedTuple):
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
    listen: Callable[[str, int], Awaitable[BoundListeners]]


class TcpListener(trio.abc.Listener[trio.SocketStream]):
    """
    Accepts all connections that wait, not one for each turn of the loop.

    A busy process would otherwise keep callers in the queue of the kernel,
    where it can neither refuse them nor see that they have left.

    :param bound: a bound and listening socket.
    :ivar address: as ``ip:port``.
    """

    def __init__(self, bound: socket.socket) -> None:
        bound.setblocking(False)
        name = bound.getsockname()
        self.address = f'{name[0]}:{name[1]}'
        self._bound = bound
        self._waiting: deque[trio.SocketStream] = deque()

    async def accept(self) -> trio.SocketStream:
        """
        Wait for a connection.

        :returns: the next one.
        :raises trio.ClosedResourceError: if the listener is closed.
        """
        while not self._waiting:
            if self._bound.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._bound)
            if not self.accept_waiting():
                await trio.sleep(_NO_DESCRIPTOR_S)
        return self._waiting.popleft()

    def accept_waiting(self) -> bool:
        """
        Accept the connections that wait in the queue of the kernel.

        :returns: whether there were descriptors for all of them.
        :raises OSError: if the listening socket itself is broken.
        """
        while True:
            try:
                accepted, _ = self._bound.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _NO_DESCRIPTOR:
                    _log.error('could not accept', extra={'why': str(error)})
                    return False
                if error.errno not in _OF_CONNECTION:
                    raise
                continue
            accepted.setblocking(False)
            self._waiting.append(
                trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            )

    def drain(self) -> list[trio.SocketStream]:
        """
        Accept what waits before the listener is closed.

        :returns: connections that :meth:`accept` did not return yet.
        """
        self.accept_waiting()
        drained = list(self._waiting)
        self._waiting.clear()
        return drained

    async def aclose(self) -> None:
        """Close the socket."""
        self._bound.close()
        await trio.lowlevel.checkpoint()


def is_readable(stream: trio.abc.Stream) -> bool:
    """
    Look whether bytes or an end of a connection wait to be read.

    :param stream: a connection.
    :returns: whether they do; ``False`` for streams in memory.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(stream: trio.abc.Stream) -> bool:
    """
    Look whether the other side of a connection has closed or reset it.

    :param stream: a connection.
    :returns: whether it has, and nothing that it sent before is left to read.
    """
    if not isinstance(stream, trio.SocketStream) or not is_readable(stream):
        return False
    borrowed = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, fileno=stream.socket.fileno()
    )
    try:
        return not borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        borrowed.detach()


async def _listen_tcp(host: str, port: int) -> BoundListeners:
    opened = await trio.open_tcp_listeners(port, host=host)
    listeners = [
        TcpListener(socket.socket(fileno=one.socket.detach())) for one in opened
    ]
    return BoundListeners(listeners[0].address, listeners)


TCP: Final = Transport(trio.open_tcp_stream, _listen_tcp)
