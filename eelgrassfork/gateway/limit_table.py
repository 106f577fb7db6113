"""
eelgrassfork.gateway.limit_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits of backend servers, from their answers, entries and other routers.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import logbook
import trio

from .cold_servers import lowest_rate
from .heartbeats import LimitNotice
from .records import NamedLimit, ServerEntry

__all__ = ('KnownLimit', 'LimitTable')

_log = logbook.Logger('limits')

_UNLIMITED: Final = float('inf')
_MS_PER_S: Final = 1000
# Time for which every heartbeat reports a change; with a few recipients each
# quarter of a second it reaches thousands of routers.
_SPREAD_S: Final = 2.0
_MAX_FRESH_NOTICES: Final = 16
# Older limits, for routers that have just started or were cut off.
_SAMPLE_SIZE: Final = 4
# Bounds the versions that peers report; no server changes its limit as often.
_MAX_VERSION: Final = 1_000_000_000
# Longer than routers are usually cut off from each other, so that an older
# report does not bring back a limit that was withdrawn.
_RETENTION_S: Final = 60.0
# Each router knows from the server's entry that it is cold, so that notices of
# this limit have no version and are not merged.
_COLD_VERSION: Final = 0


class KnownLimit(NamedTuple):
    """
    Newest limit of one incarnation of a server.

    :param per_s: requests a second from all routers together; ``None`` once
        the server names no limit any more.
    :param version: increases with each change that a router observes.
    :param observed_at: when an answer last confirmed it, as far as this router
        knows, on trio's clock.
    :param changed_at: when this router learned of the current value.
    """

    incarnation: int
    per_s: float | None
    version: int
    observed_at: float
    changed_at: float


class LimitTable:
    """
    Limits of the servers that named one or are cold.

    :param on_first: called when a server has begun to name a limit.
    :param is_server: returns whether this router knows a server.
    :ivar cold_rate_of: returns the limit of a server, given its id, as long as
        it is cold; ``None`` otherwise.
    :ivar limits_cold: returns whether cold servers of a service have a limit.
    :ivar server_ids: returns the ids of the servers that have a limit whenever
        they are cold.
    """

    def __init__(
        self, on_first: Callable[[], None], is_server: Callable[[str], bool]
    ) -> None:
        self._on_first = on_first
        self._is_server = is_server
        self._random = random.Random()
        self._by_id: dict[str, KnownLimit] = {}
        self.cold_rate_of: Callable[[str], float | None] = _no_rate
        self.limits_cold: Callable[[str], bool] = _never
        self.server_ids: Callable[[], Iterable[str]] = tuple

    def limit_of(self, entry: ServerEntry) -> KnownLimit | None:
        """
        Look up the limit of a server.

        :param entry: entry of the server.
        :returns: the lower one of the limits that the server names at present
            and that it has as it is cold; ``None`` without either.
        """
        named = self._named_limit(entry)
        cold_per_s = self.cold_rate_of(entry.id)
        if cold_per_s is None:
            return named
        if named is None:
            now_s = trio.current_time()
            return KnownLimit(
                entry.incarnation, cold_per_s, _COLD_VERSION, now_s, now_s
            )
        # The version makes a refusal end together with the cold time.
        return named._replace(
            per_s=lowest_rate((named.per_s, cold_per_s)), version=_COLD_VERSION
        )

    def rate_of(self, notice: LimitNotice) -> float | None:
        """
        Look up the limit of a server that another router knows of.

        :param notice: limit that the other router knows.
        :returns: requests a second of the newest known incarnation, ``None``
            once the limit was withdrawn and the server is not cold.
        """
        known = self._by_id.get(notice.server_id)
        rates = [self.cold_rate_of(notice.server_id)]
        if known is not None:
            rates.append(known.per_s)
        if notice.version == _COLD_VERSION:
            is_rate = 0 <= _as_rate(notice.per_s) < _UNLIMITED
            rates.append(notice.per_s if is_rate else None)
        elif known is None:
            rates.append(notice.per_s)
        return lowest_rate(rates)

    def may_limit(self, service: str) -> bool:
        """
        Check whether servers of a service may have limits now.

        :param service: name of the service.
        :returns: ``False`` if it is certain that none has one.
        """
        return bool(self.count) or self.limits_cold(service)

    def limited_ids(self) -> set[str]:
        """
        List the servers that have a limit now.

        :returns: ids of the servers that name one or are cold.
        """
        named = {
            server_id
            for server_id, known in self._by_id.items()
            if known.per_s is not None
        }
        return named | self.cold_ids()

    def cold_ids(self) -> set[str]:
        """
        List the servers that have a limit as they are cold.

        :returns: ids of the servers.
        """
        return {
            server_id
            for server_id in self.server_ids()
            if self.cold_rate_of(server_id) is not None
        }

    @property
    def count(self) -> int:
        """Number of servers that name a limit."""
        return sum(known.per_s is not None for known in self._by_id.values())

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
        version = 0 if known is None else known.version
        if known is not None and known.incarnation < entry.incarnation:
            known = None
        if not limit.is_valid or _is_outdated(known, entry, limit, sent_at):
            return
        now_s = trio.current_time()
        if known is not None and known.per_s == limit.per_s:
            self._by_id[entry.id] = known._replace(observed_at=now_s)
            return
        newest = KnownLimit(
            entry.incarnation, limit.per_s, version + 1, now_s, now_s
        )
        self._change(entry.id, newest, 'answer')

    def merge(self, notices: Iterable[LimitNotice], source: str) -> None:
        """
        Apply limits that another router reports.

        Of two changes with the same version, the lower limit counts.  Routers
        would report the limits of servers that are gone to each other for
        good, so that only those of known servers are taken over.

        :param notices: limits that the router knows.
        :param source: VM of the router, for the log.
        """
        now_s = trio.current_time()
        for notice in notices:
            if notice.version == _COLD_VERSION:
                continue
            if not _is_valid(notice):
                _log.warning(
                    'ignored an invalid limit of a peer',
                    extra={'server': notice.server_id, 'source': source},
                )
                continue
            known = self._by_id.get(notice.server_id)
            is_newer = _supersedes(notice, known)
            if is_newer and self._is_server(notice.server_id):
                newest = KnownLimit(
                    notice.incarnation,
                    notice.per_s,
                    notice.version,
                    now_s - max(0, notice.age_ms) / _MS_PER_S,
                    now_s,
                )
                self._change(notice.server_id, newest, source)

    def notice_of(self, entry: ServerEntry) -> LimitNotice | None:
        """
        Describe the limit of a server for another router.

        :param entry: entry of the server.
        :returns: the notice, ``None`` without a limit.
        """
        known = self.limit_of(entry)
        return None if known is None else _make_notice(entry.id, known)

    def notices(self) -> tuple[LimitNotice, ...]:
        """
        Choose the limits that are reported to other routers now.

        :returns: recent changes, and a random sample of the others.
        """
        oldest = trio.current_time() - _SPREAD_S
        fresh = [
            server_id
            for server_id, known in self._by_id.items()
            if known.changed_at >= oldest
        ]
        # With more changes than fit, each report has others of them.
        chosen = self._sample(fresh, _MAX_FRESH_NOTICES)
        rest = [
            server_id for server_id in self._by_id if server_id not in chosen
        ]
        chosen += self._sample(rest, _SAMPLE_SIZE)
        return tuple(
            _make_notice(server_id, self._by_id[server_id])
            for server_id in chosen
        )

    def discard_expired(self) -> None:
        """Drop limits that have ended, and those of servers that are gone."""
        oldest = trio.current_time() - _RETENTION_S
        for server_id, known in list(self._by_id.items()):
            has_ended = known.per_s is None and known.changed_at < oldest
            if has_ended or not self._is_server(server_id):
                self._by_id.pop(server_id)

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
                'version': known.version,
                'age_s': round(now_s - known.observed_at, 1),
                'unchanged_s': round(now_s - known.changed_at, 1),
            }
            for server_id, known in self._by_id.items()
            if known.per_s is not None
        ]

    def _named_limit(self, entry: ServerEntry) -> KnownLimit | None:
        known = self._by_id.get(entry.id)
        if known is None or known.per_s is None:
            return None
        return known if known.incarnation >= entry.incarnation else None

    def _sample(self, server_ids: list[str], size: int) -> list[str]:
        return self._random.sample(server_ids, min(size, len(server_ids)))

    def _change(self, server_id: str, newest: KnownLimit, source: str) -> None:
        former = self._by_id.get(server_id)
        self._by_id[server_id] = newest
        _log.info(
            'server withdrew its limit'
            if newest.per_s is None
            else 'server named a limit',
            extra={
                'server': server_id,
                'per_s': newest.per_s,
                'former_per_s': None if former is None else former.per_s,
                'version': newest.version,
                'source': source,
            },
        )
        if former is None or former.per_s is None:
            self._on_first()


def _no_rate(server_id: str) -> float | None:
    return None


def _never(service: str) -> bool:
    return False


def _make_notice(server_id: str, known: KnownLimit) -> LimitNotice:
    age_s = trio.current_time() - known.observed_at
    return LimitNotice(
        server_id,
        known.incarnation,
        known.version,
        known.per_s,
        int(age_s * _MS_PER_S),
    )


def _is_valid(notice: LimitNotice) -> bool:
    rate_per_s = _as_rate(notice.per_s)
    is_limit = notice.per_s is None or math.isfinite(rate_per_s)
    return is_limit and rate_per_s >= 0 and 0 < notice.version <= _MAX_VERSION


def _supersedes(notice: LimitNotice, known: KnownLimit | None) -> bool:
    if known is None:
        return notice.per_s is not None
    order = (notice.incarnation, notice.version)
    known_order = (known.incarnation, known.version)
    if order == known_order:
        return _as_rate(notice.per_s) < _as_rate(known.per_s)
    return order > known_order


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
