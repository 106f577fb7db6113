"""
eelgrassfork.transport
~~~~~~~~~~~~~~~~~~~~~~

Opens and accepts connections, over TCP unless a test replaces the transport.
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

# Lack of descriptors or memory; retried, as closed connections free them.
_OUT_OF_RESOURCES: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_OUT_OF_RESOURCES_RETRY_S: Final = 0.1
# Errors of a single queued connection, which accept(2) on Linux reports.
_PER_CONNECTION_ERRORS: Final = frozenset(
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
    """Bound listeners and their address, as ``ip:port``."""

    address: str
    listeners: Sequence[trio.abc.Listener[Any]]


class Transport(NamedTuple):
    """
    Opens and accepts byte streams.

    :param connect: opens a connection to an IP address and port; raises
        ``OSError``.
    :param listen: listens on an IP address and port, or 0 for any free port.
    """

    connect: Callable[[str, int], Awaitable[trio.abc.Stream]]
    listen: Callable[[str, int], Awaitable[BoundListeners]]


class TcpListener(trio.abc.Listener[trio.SocketStream]):
    """
    Accepts all queued connections at once, not one per event loop iteration.

    A busy process would otherwise leave callers in the kernel's accept queue,
    where it can neither reject them nor detect that they have disconnected.

    :param bound: a bound and listening socket.
    :ivar address: bound address, as ``ip:port``.
    """

    def __init__(self, bound: socket.socket) -> None:
        bound.setblocking(False)
        name = bound.getsockname()
        self.address = f'{name[0]}:{name[1]}'
        self._bound = bound
        self._accepted: deque[trio.SocketStream] = deque()

    async def accept(self) -> trio.SocketStream:
        """
        Wait for a connection.

        :returns: the next connection.
        :raises trio.ClosedResourceError: if the listener is closed.
        """
        while not self._accepted:
            if self._bound.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._bound)
            if not self.accept_queued():
                await trio.sleep(_OUT_OF_RESOURCES_RETRY_S)
        return self._accepted.popleft()

    def accept_queued(self) -> bool:
        """
        Accept all connections in the kernel's accept queue.

        :returns: ``False`` if descriptors or memory ran out before the end of
            the queue.
        :raises OSError: if the listening socket itself failed.
        """
        while True:
            try:
                accepted, _ = self._bound.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _OUT_OF_RESOURCES:
                    _log.error('accept failed', extra={'why': str(error)})
                    return False
                if error.errno not in _PER_CONNECTION_ERRORS:
                    raise
                continue
            accepted.setblocking(False)
            self._accepted.append(
                trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            )

    def drain(self) -> list[trio.SocketStream]:
        """
        Accept all queued connections, before the listener is closed.

        :returns: connections that :meth:`accept` has not returned yet.
        """
        self.accept_queued()
        drained = list(self._accepted)
        self._accepted.clear()
        return drained

    async def aclose(self) -> None:
        """Close the socket."""
        self._bound.close()
        await trio.lowlevel.checkpoint()


def is_readable(stream: trio.abc.Stream) -> bool:
    """
    Check whether data or the end of a stream can be read without blocking.

    :param stream: a connection.
    :returns: whether it is readable; always ``False`` for in-memory streams.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(stream: trio.abc.Stream) -> bool:
    """
    Check whether the peer has closed or reset a connection.

    :param stream: a connection.
    :returns: whether it has, and no data sent before is left to read.
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
        TcpListener(socket.socket(fileno=listener.socket.detach()))
        for listener in opened
    ]
    return BoundListeners(listeners[0].address, listeners)


async def _connect_tcp(host: str, port: int) -> trio.abc.Stream:
    try:
        return await trio.open_tcp_stream(host, port)
    except OSError as error:
        # An IP address is tried once; only the cause says how that failed.
        cause = error.__cause__
        if isinstance(cause, ExceptionGroup):
            cause = cause.exceptions[0]
        raise (cause if isinstance(cause, OSError) else error) from None


TCP: Final = Transport(_connect_tcp, _listen_tcp)
