"""
eelgrassfork.memory_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides what a process may hold for others, and what it refuses or ends.
"""

import heapq
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol, TypeVar

__all__ = (
    'DEFAULT_MAX_FDS',
    'DEFAULT_MEMORY_MB',
    'SMALL_BYTES',
    'UNLIMITED',
    'AccountLimits',
    'HeldBytes',
    'IdleConnection',
    'Share',
    'body_deadline_s',
    'derive_limits',
    'find_idle',
    'fits',
    'order_stalled',
)

DEFAULT_MEMORY_MB: Final = 512
DEFAULT_MAX_FDS: Final = 4096
# What a holder may have to count as an ordinary, small one.
SMALL_BYTES: Final = 65536

_MB: Final = 1024 * 1024
# An idle process takes 35 MB, and a copy of the largest body, a fragmented
# heap and the state of a fleet need the rest.
_BYTES_SHARE: Final = 0.25
# Tasks and buffers of an idle connection take up to 16 KiB, and all of them
# together no more than this share.
_CONNECTION_BYTES: Final = 16384
_CONNECTIONS_MEMORY_SHARE: Final = 0.15
# Descriptors that the deployment reserves for files.
_FILE_FDS: Final = 200
# A request that is forwarded takes two descriptors, and the other listeners
# have a reserve.
_CALLERS_FD_SHARE: Final = 0.45
_SYSTEM_FD_SHARE: Final = 0.03
_MIN_CONNECTIONS: Final = 16
# A body without progress for this long may be ended for another one.
_STALL_S: Final = 2.0
# A connection that was accepted or answered within this time is not idle.
_IDLE_S: Final = 0.5
_IDLE_CANDIDATES: Final = 8
# A client that sends the largest body within the time-out is 140 times faster.
_MIN_BODY_BYTES_PER_S: Final = 1024
_BODY_GRACE_SHARE: Final = 0.5
# A body needs no more than this fraction of the rate that its time-out implies.
_LOW_RATE_SHARE: Final = 0.1
# Nothing is gained by closing such a body before its time-out.
_TINY_BODY_BYTES: Final = 1024


class AccountLimits(NamedTuple):
    """
    Limits on what a process holds for others.

    :param held_bytes: of all kinds together.
    :param caller_connections: connections of callers.
    :param system_connections: connections of each other listener.
    """

    held_bytes: float
    caller_connections: float
    system_connections: float


UNLIMITED: Final = AccountLimits(float('inf'), float('inf'), float('inf'))


class Share:
    """Fractions of the account up to which claims of each class are granted."""

    body = 0.65
    server_body = 0.8
    small = 0.9
    system = 1.0


class HeldBytes(Protocol):
    """What a connection holds, as far as decisions depend on it."""

    @property
    def held(self) -> int:
        """Bytes held, announced ones included."""

    @property
    def progressed_at(self) -> float:
        """Time of the last progress, on trio's clock."""


class IdleConnection(Protocol):
    """Activity of a connection, as far as decisions depend on it."""

    @property
    def idle_since(self) -> float | None:
        """Time since which there is no request; ``None`` if there is one."""


_Idle = TypeVar('_Idle', bound=IdleConnection)
_Held = TypeVar('_Held', bound=HeldBytes)


def derive_limits(memory_mb: float, max_fds: float) -> AccountLimits:
    """
    Derive the limits of the account from those of the machine.

    :param memory_mb: memory of the machine in MB; the default if 0.
    :param max_fds: file descriptors of the process; the default if 0.
    :returns: the limits.
    """
    memory = (memory_mb or DEFAULT_MEMORY_MB) * _MB
    usable_fds = max(0, (max_fds or DEFAULT_MAX_FDS) - _FILE_FDS)
    by_memory = memory * _CONNECTIONS_MEMORY_SHARE / _CONNECTION_BYTES
    callers = min(usable_fds * _CALLERS_FD_SHARE, by_memory)
    return AccountLimits(
        int(memory * _BYTES_SHARE),
        max(_MIN_CONNECTIONS, int(callers)),
        max(_MIN_CONNECTIONS, int(usable_fds * _SYSTEM_FD_SHARE)),
    )


def fits(limit: float, total: int, own: int, size: int) -> bool:
    """
    Decide whether more bytes fit; a single holder is always served.

    :param limit: bytes up to which claims of this class are granted.
    :param total: bytes held by all, those of the claimant included.
    :param own: bytes held by the claimant.
    :param size: bytes claimed.
    :returns: whether they fit.
    """
    return total + size <= limit or total <= own


def order_stalled(holders: Iterable[_Held], now_s: float) -> list[_Held]:
    """
    Order the holders that may be ended in favour of others.

    :param holders: connections that receive a body or send a response.
    :param now_s: current time on trio's clock.
    :returns: those without progress, the one that holds the most first.
    """
    stalled = [
        holder for holder in holders if now_s - holder.progressed_at >= _STALL_S
    ]
    return sorted(stalled, key=lambda holder: holder.held, reverse=True)


def find_idle(connections: Iterable[_Idle], now_s: float) -> list[_Idle]:
    """
    Find the connections that may be closed in favour of new ones.

    :param connections: open connections.
    :param now_s: current time on trio's clock.
    :returns: some of those without a request, the one idle longest first.
    """
    idle = [
        connection
        for connection in connections
        if connection.idle_since is not None
        and now_s - connection.idle_since >= _IDLE_S
    ]
    return heapq.nsmallest(_IDLE_CANDIDATES, idle, key=_idle_since)


def _idle_since(connection: IdleConnection) -> float:
    return connection.idle_since or 0


def body_deadline_s(
    received: int, announced: int | None, timeout_s: float
) -> float:
    """
    Compute when a body must have made more progress.

    :param received: bytes received so far.
    :param announced: announced size in bytes; ``None`` if unknown.
    :param timeout_s: time-out of the body, in seconds.
    :returns: longest time since the start of the body, in seconds.
    """
    rate: float = _MIN_BODY_BYTES_PER_S
    if announced is not None:
        if announced <= _TINY_BODY_BYTES:
            return timeout_s
        rate = min(rate, announced / timeout_s * _LOW_RATE_SHARE)
    return min(timeout_s, timeout_s * _BODY_GRACE_SHARE + received / rate)
