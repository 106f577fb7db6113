"""
eelgrassfork.gateway.limit_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits that backend servers name in their answers.
"""

from typing import Final, NamedTuple

import logbook
import trio

from .records import NamedLimit, ServerEntry

__all__ = ('KnownLimit', 'LimitTable')

_log = logbook.Logger('limits')

_UNLIMITED: Final = float('inf')


class KnownLimit(NamedTuple):
    """
    Newest limit of one incarnation of a server.

    :param per_s: requests a second from all routers together; ``None`` once
        the server names no limit any more.
    :param observed_at: when an answer last confirmed it, on trio's clock.
    :param changed_at: when this router learned of the current value.
    """

    incarnation: int
    per_s: float | None
    observed_at: float
    changed_at: float


class LimitTable:
    """Limits of the servers that named one, by the id of the server."""

    def __init__(self) -> None:
        self._by_id: dict[str, KnownLimit] = {}

    def limit_of(self, entry: ServerEntry) -> KnownLimit | None:
        """
        Look up the limit of a server.

        :param entry: entry of the server.
        :returns: the limit that the server names at present, ``None`` without
            one.
        """
        known = self._by_id.get(entry.id)
        if known is None or known.per_s is None:
            return None
        return known if known.incarnation >= entry.incarnation else None

    def dump(self) -> list[dict[str, object]]:
        """
        Describe the limits for operators.

        :returns: one record per server that names a limit.
        """
        now_s = trio.current_time()
        return [
            {
                'server': server_id,
                'per_s': known.per_s,
                'age_s': round(now_s - known.observed_at, 1),
                'unchanged_s': round(now_s - known.changed_at, 1),
            }
            for server_id, known in self._by_id.items()
            if known.per_s is not None
        ]

    @property
    def count(self) -> int:
        """Number of servers that name a limit."""
        return len(self.dump())

    def observe(
        self, entry: ServerEntry, limit: NamedLimit, sent_at: float
    ) -> None:
        """
        Apply what an answer of a server says about its limit.

        Answers to requests sent before the current value was known may be
        older than it, so that they can't raise or withdraw it.

        :param entry: entry of the server that sent the answer.
        :param limit: limit in the answer.
        :param sent_at: when the request was sent, on trio's clock.
        """
        known = self._by_id.get(entry.id)
        if known is not None and known.incarnation < entry.incarnation:
            known = None
        if not limit.is_valid or _is_outdated(known, entry, limit, sent_at):
            return
        now_s = trio.current_time()
        if known is not None and known.per_s == limit.per_s:
            self._by_id[entry.id] = known._replace(observed_at=now_s)
            return
        self._by_id[entry.id] = KnownLimit(
            entry.incarnation, limit.per_s, now_s, now_s
        )
        _log.info(
            'server named a limit'
            if limit.per_s is not None
            else 'server withdrew its limit',
            extra={
                'server': entry.id,
                'per_s': limit.per_s,
                'former_per_s': None if known is None else known.per_s,
            },
        )


def _is_outdated(
    known: KnownLimit | None,
    entry: ServerEntry,
    limit: NamedLimit,
    sent_at: float,
) -> bool:
    if known is None:
        return limit.per_s is None
    if known.incarnation > entry.incarnation:
        return True
    if sent_at >= known.changed_at:
        return False
    return _as_rate(limit.per_s) > _as_rate(known.per_s)


def _as_rate(per_s: float | None) -> float:
    return _UNLIMITED if per_s is None else per_s
