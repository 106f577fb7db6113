"""
eelgrassfork.transport
~~~~~~~~~~~~~~~~~~~~~~

Opens and accepts connections, over TCP unless a test replaces the transport.
"""

import contextlib
import errno
import fcntl
import os
import select
import socket
import struct
import termios
from collections import deque
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, Final, NamedTuple

import logbook
import trio

__all__ = (
    'TCP',
    'BoundListeners',
    'TcpListener',
    'Transport',
    'close_now',
    'has_ended',
    'is_readable',
    'queued_bytes',
    'send_some',
    'was_reset_early',
)

_log = logbook.Logger('transport')

# Lack of descriptors or memory; retried, as closed connections free them.
_OUT_OF_RESOURCES: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_C_INT: Final = struct.Struct('i')
_OUT_OF_RESOURCES_RETRY_S: Final = 0.1
# Connections accepted at once; the limit on connections applies after each.
_ACCEPT_BATCH: Final = 32
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
        Accept connections in the kernel's accept queue, up to a batch.

        :returns: ``False`` if descriptors or memory ran out before the end of
            the queue.
        :raises OSError: if the listening socket itself failed.
        """
        while len(self._accepted) < _ACCEPT_BATCH:
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
        return True

    def drain(self) -> Iterator[trio.SocketStream]:
        """
        Accept all queued connections, before the listener is closed.

        :returns: connections that :meth:`accept` has not returned yet.
        """
        while self.accept_queued() and self._accepted:
            while self._accepted:
                yield self._accepted.popleft()
        yield from self._accepted
        self._accepted.clear()

    async def aclose(self) -> None:
        """Close the socket."""
        self._bound.close()
        await trio.lowlevel.checkpoint()


def close_now(stream: trio.abc.Stream, farewell: bytes = b'') -> None:
    """
    Close a socket without waiting; other streams are left open.

    :param stream: a connection.
    :param farewell: data to send before, as far as it can be sent at once.
    """
    if isinstance(stream, trio.SocketStream):
        with contextlib.suppress(OSError):
            os.write(stream.socket.fileno(), farewell)
        stream.socket.close()


async def send_some(stream: trio.abc.Stream, unsent: memoryview) -> int:
    """
    Send as much as can be sent at once, or wait until some can be.

    :param stream: a connection.
    :param unsent: the data.
    :returns: number of bytes sent; all of them for in-memory streams. None
        are sent if the call is cancelled.
    :raises trio.BrokenResourceError: if the connection broke.
    :raises trio.ClosedResourceError: if it was closed here.
    """
    if isinstance(stream, trio.SocketStream):
        try:
            return await stream.socket.send(unsent)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from None
    await stream.send_all(unsent)
    return len(unsent)


def queued_bytes(stream: trio.abc.Stream) -> int:
    """
    Return the sent data that the peer has not received yet.

    :param stream: a connection.
    :returns: number of bytes; 0 for in-memory streams and once it is closed.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    answer = bytearray(_C_INT.size)
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, answer)
    except (OSError, ValueError):
        return 0
    return int(_C_INT.unpack(answer)[0])


def is_readable(stream: trio.abc.Stream) -> bool:
    """
    Check whether data or the end of a stream can be read without blocking.

    :param stream: a connection.
    :returns: whether it is readable; always ``False`` for in-memory streams
        and once it is closed.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
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


def was_reset_early(error: trio.BrokenResourceError) -> bool:
    """
    Check whether a connection broke before the peer ended its stream.

    :param error: the first error of the connection, raised while sending.
    :returns: whether it did; ``True`` if unknown.
    """
    # A reset that follows the end of the peer's stream fails with EPIPE on
    # Linux, any other one with ECONNRESET.
    cause = error.__cause__
    return not isinstance(cause, OSError) or cause.errno != errno.EPIPE


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
