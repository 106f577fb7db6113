"""
eelgrassfork.memory_account
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Accounts for the bytes and connections that a process holds for others.
"""

import math
from collections import Counter
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

import logbook
import trio

from .memory_policy import (
    SMALL_BYTES,
    UNLIMITED,
    AccountLimits,
    Share,
    fits,
    order_stalled,
)

__all__ = (
    'KINDS',
    'REASONS',
    'Account',
    'Holding',
    'Kind',
    'ListenerShare',
    'Reason',
)

_log = logbook.Logger('memory')

Kind = Literal[
    'head',
    'body_announced',
    'body_received',
    'pipelined',
    'response',
    'server_body',
    'control_body',
]
KINDS: Final[tuple[Kind, ...]] = (
    'head',
    'body_announced',
    'body_received',
    'pipelined',
    'response',
    'server_body',
    'control_body',
)
Reason = Literal[
    'body_over_limit',
    'no_room',
    'stalled',
    'slow_body',
    'slow_reader',
    'idle_closed',
    'no_connection',
]
REASONS: Final[tuple[Reason, ...]] = (
    'body_over_limit',
    'no_room',
    'stalled',
    'slow_body',
    'slow_reader',
    'idle_closed',
    'no_connection',
)
_LOG_INTERVAL_S: Final = 10.0
# Fewer bytes are no progress, so that a trickle does not protect a body.
_PROGRESS_BYTES: Final = 4096


class Account:
    """
    Bytes held for others by kind, and connections by listener.

    :param limits: limits of this process.
    :ivar held_by_kind: bytes held now.
    :ivar counts_by_reason: refusals and ended connections since the start.
    :ivar connections_by_listener: open connections.
    :ivar sent_bytes_by_listener: bytes sent so far.
    :ivar moving: holders that receive a body or send a response.
    :ivar small_chunk_turn: held while many small chunks are parsed, so that
        connections with such bodies take turns.
    """

    def __init__(self, limits: AccountLimits = UNLIMITED) -> None:
        self.limits = limits
        self.held_by_kind: dict[Kind, int] = dict.fromkeys(KINDS, 0)
        self.counts_by_reason: Counter[Reason] = Counter()
        self.connections_by_listener: Counter[str] = Counter()
        self.sent_bytes_by_listener: Counter[str] = Counter()
        self.moving: set[Holding] = set()
        self.small_chunk_turn = trio.Lock()
        self._logged_at = -_LOG_INTERVAL_S
        self._logged_counts: Counter[Reason] = Counter()

    @property
    def total(self) -> int:
        """Bytes that count towards the limit."""
        held = self.held_by_kind
        # A response that is being sent was read from a server in most cases,
        # and the server's body is held until it has been sent.
        duplicate = min(held['response'], held['server_body'])
        return sum(held.values()) - duplicate

    def claim(
        self,
        kind: Kind,
        size: int,
        share: float,
        own: int,
        claimant: 'Holding | None' = None,
    ) -> bool:
        """
        Claim bytes; ends connections without progress if they are needed.

        :param kind: kind of the bytes.
        :param size: number of bytes.
        :param share: fraction of the limit up to which the claim is granted.
        :param own: bytes that the claimant holds already.
        :param claimant: the claimant, which is not ended.
        :returns: whether the claim is granted.
        """
        limit = self.limits.held_bytes * share
        while not fits(limit, self.total, own, size):
            if not self.end_stalled(claimant):
                return False
        self.held_by_kind[kind] += size
        return True

    def hold(self, kind: Kind, size: int) -> None:
        """
        Record bytes that are already held, or no longer if negative.

        :param kind: kind of the bytes.
        :param size: number of bytes.
        """
        self.held_by_kind[kind] += size

    def end_stalled(self, claimant: 'Holding | None' = None) -> bool:
        """
        End the connection that holds the most without progress.

        :param claimant: a holder that is not ended.
        :returns: whether there was one.
        """
        for holder in order_stalled(self.moving, trio.current_time()):
            # After a pause of this process all bodies seem to have stalled,
            # though their data has arrived.
            if holder is not claimant and not holder.has_progress():
                holder.end()
                self.count('stalled')
                return True
        return False

    def count(self, reason: Reason) -> None:
        """
        Count a refusal or an ended connection; logs them every 10 s.

        :param reason: why something was refused or ended.
        """
        self.counts_by_reason[reason] += 1
        now = trio.current_time()
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        recent = self.counts_by_reason - self._logged_counts
        self._logged_at = now
        self._logged_counts = self.counts_by_reason.copy()
        _log.warning(
            'callers refused or ended to bound memory and descriptors',
            extra={
                'counts': dict(recent),
                'held': dict(self.held_by_kind),
                'connections': dict(self.connections_by_listener),
            },
        )

    def dump(self) -> dict[str, object]:
        """
        Describe the account for operators.

        :returns: limits, held bytes, connections and counts, as JSON.
        """
        return {
            'limit_bytes': self.limits.held_bytes,
            'held_by_kind': dict(self.held_by_kind),
            'connections_by_listener': dict(self.connections_by_listener),
            'counts_by_reason': dict(self.counts_by_reason),
        }

    def gauges(self) -> dict[str, Callable[[], float]]:
        """
        List the functions that read the gauges.

        :returns: functions by gauge name.
        """
        held = self.held_by_kind
        return {
            'held_head_bytes': lambda: held['head'],
            'held_body_announced_bytes': lambda: held['body_announced'],
            'held_body_received_bytes': lambda: held['body_received'],
            'held_pipelined_bytes': lambda: held['pipelined'],
            'held_response_bytes': lambda: held['response'],
            'held_server_body_bytes': lambda: held['server_body'],
            'held_control_body_bytes': lambda: held['control_body'],
            'open_connections': self.connections_by_listener.total,
            'bounded_callers': self.counts_by_reason.total,
        }


class ListenerShare(NamedTuple):
    """
    Part of a listener in what the process holds.

    :param account: account of the process.
    :param name: name of the listener, for metrics.
    :param is_system: whether it has a reserve, as it is not for callers.
    """

    account: Account
    name: str
    is_system: bool = False

    @property
    def max_connections(self) -> float:
        """Largest number of connections."""
        limits = self.account.limits
        if self.is_system:
            return limits.system_connections
        return limits.caller_connections


class Holding:
    """
    Bytes that one connection holds.

    :param share: part of its listener in what the process holds.
    :param on_end: called once when the connection is ended for others.
    :param has_progress: returns whether the caller has sent or read data
        that was not noticed yet.
    :ivar is_ended: whether the connection was ended in favour of others.
    """

    def __init__(
        self,
        share: ListenerShare,
        on_end: Callable[[], None],
        has_progress: Callable[[], bool],
    ) -> None:
        self.account = share.account
        self.has_progress = has_progress
        self.is_ended = False
        self._is_system = share.is_system
        self._on_end = on_end
        self._held_by_kind: dict[Kind, int] = {}
        self._progressed_at = -math.inf
        self._unmarked_bytes = 0

    @property
    def held(self) -> int:
        """Bytes held, announced ones included."""
        return sum(self._held_by_kind.values())

    @property
    def progressed_at(self) -> float:
        """Time of the last progress, on trio's clock."""
        return self._progressed_at

    def claim(self, kind: Kind, size: int) -> bool:
        """
        Claim bytes.

        :param kind: kind of the bytes.
        :param size: number of bytes.
        :returns: whether they may be received.
        """
        if self.is_ended:
            return False
        own = self.held
        share = Share.body
        if self._is_system:
            share = Share.system
        elif own + size <= SMALL_BYTES:
            share = Share.small
        if not self.account.claim(kind, size, share, own, self):
            return False
        self._held_by_kind[kind] = self._held_by_kind.get(kind, 0) + size
        return True

    def hold(self, kind: Kind, size: int) -> None:
        """
        Record bytes that are already held, or no longer if negative.

        :param kind: kind of the bytes.
        :param size: number of bytes.
        """
        if not self.is_ended:
            self._held_by_kind[kind] = self._held_by_kind.get(kind, 0) + size
            self.account.hold(kind, size)

    def release(self) -> None:
        """Record that the connection holds no bytes any more."""
        for kind, size in self._held_by_kind.items():
            self.account.hold(kind, -size)
        self._held_by_kind.clear()
        self.account.moving.discard(self)

    def start_moving(self) -> None:
        """Record that a body or a response begins to be transferred."""
        self._progressed_at = trio.current_time()
        self._unmarked_bytes = 0
        self.account.moving.add(self)

    def note_progress(self, size: int) -> None:
        """
        Record transferred bytes.

        :param size: number of bytes.
        """
        self._unmarked_bytes += size
        if self._unmarked_bytes >= _PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self._progressed_at = trio.current_time()

    def stop_moving(self) -> None:
        """Record that the body or the response is complete."""
        self.account.moving.discard(self)

    def end(self) -> None:
        """End the connection in favour of others, and release its bytes."""
        self.release()
        self.is_ended = True
        self._on_end()
