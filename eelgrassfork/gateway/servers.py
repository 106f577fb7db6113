"""
eelgrassfork.gateway.servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Backend servers as this router sees them.
"""

import random
from typing import Final, NamedTuple

import trio

from ..retries import EjectionPolicy, ServerHealth, after_failure, needs_probe
from .records import ServerEntry, ServerLoad

__all__ = ('Server', 'ServerSet', 'TableBounds')

# Crashed servers mostly come back under a new id, so an ejected one that does
# come back is tried again within a few seconds.
_EJECTION: Final = EjectionPolicy(failures=3, first_s=0.5, longest_s=4)
# Failures count half after this time, the length of a short disturbance.
_FAILURE_HALF_LIFE_S: Final = 4.0
_SUCCESS_FACTOR: Final = 0.7
_LATENCY_WEIGHT: Final = 0.2
# A server's own count of requests says little after a few mean run times.
_LOAD_HALF_LIFE_S: Final = 1.5


class TableBounds(NamedTuple):
    """
    How long entries that vanished are still used.

    :param hold_s: after a removal while the store works; servers that leave
        serve for longer than this, so it covers an entry that lapsed by
        mistake.
    :param return_s: after the store came back, for entries that lapsed while
        it was away.
    :param outage_s: no entry lapses while the store is away for less.
    """

    hold_s: float = 0.5
    return_s: float = 2.0
    outage_s: float = 2.0


class Server:
    """
    One incarnation of a backend server.

    :ivar in_flight: requests of this router in progress there.
    :ivar unread_tokens: prompt tokens of those without a first event.
    :ivar expires_at: when to stop using it; ``None`` while its entry stands.
    :ivar paused_until: it asked for no requests before.
    """

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.unread_tokens = 0
        self.expires_at: float | None = None
        self.paused_until: float = 0
        self.health = ServerHealth()
        self.latency_s: float | None = None
        self._others: float = 0
        self._waiting: float = 0
        self._load_at: float = 0
        self._failures: float = 0
        self._failed_at: float = 0

    def load(self, now_s: float) -> float:
        """
        Estimate the requests in progress at the server.

        :param now_s: time on the clock of trio.
        :returns: own requests and those of others by its last word.
        """
        age = _half_lives(now_s - self._load_at, _LOAD_HALF_LIFE_S)
        return self.in_flight + self._others * age

    def waiting(self, now_s: float) -> float:
        """
        Estimate the requests that wait at the server.

        :param now_s: time on the clock of trio.
        :returns: waiting requests by its last word.
        """
        return self._waiting * _half_lives(
            now_s - self._load_at, _LOAD_HALF_LIFE_S
        )

    def failures(self, now_s: float) -> float:
        """
        Count recent failures.

        :param now_s: time on the clock of trio.
        :returns: failures, less for older ones and after successes.
        """
        return self._failures * _half_lives(
            now_s - self._failed_at, _FAILURE_HALF_LIFE_S
        )

    def load_age_s(self, now_s: float) -> float:
        """
        Compute the age of the server's last word on its load.

        :param now_s: time on the clock of trio.
        :returns: seconds.
        """
        return now_s - self._load_at

    def is_due(self, now_s: float) -> bool:
        """
        Tell whether an ejected server may be tried with a request.

        :param now_s: time on the clock of trio.
        :returns: whether its backoff is over.
        """
        return needs_probe(self.health, now_s)

    def note_load(self, load: ServerLoad, now_s: float) -> None:
        """
        Take over the server's own count of its requests.

        :param load: what it said, this router's requests included.
        :param now_s: time on the clock of trio.
        """
        total = load.running + load.waiting
        self._others = max(0, total - self.in_flight)
        self._waiting = load.waiting
        self._load_at = now_s

    def note_leaving(self) -> bool:
        """
        Take over that the server itself said that it leaves.

        Holds for this incarnation, like the same word in its entry.

        :returns: whether that was not known.
        """
        is_new = not self.entry.leaving
        self.entry = self.entry._replace(leaving=True)
        return is_new

    def pause(self, pause_s: float, now_s: float) -> None:
        """
        Keep requests away for as long as the server asked for.

        :param pause_s: seconds; never ends an earlier wish sooner.
        :param now_s: time on the clock of trio.
        """
        self.paused_until = max(self.paused_until, now_s + pause_s)

    def note_success(self, latency_s: float, now_s: float) -> None:
        """
        Take a good answer into account.

        :param latency_s: time to its first byte or event.
        :param now_s: time on the clock of trio.
        """
        known = self.latency_s
        if known is None:
            self.latency_s = latency_s
        else:
            self.latency_s = known + _LATENCY_WEIGHT * (latency_s - known)
        self._failures = self.failures(now_s) * _SUCCESS_FACTOR
        self._failed_at = now_s
        self.health = ServerHealth()

    def note_failure(
        self, now_s: float, unreachable: bool, source: random.Random
    ) -> None:
        """
        Take a failed request into account.

        :param now_s: time on the clock of trio.
        :param unreachable: no connection could be opened; this ejects the
            server at once.
        :param source: random source of the backoff.
        """
        self._failures = self.failures(now_s) + 1
        self._failed_at = now_s
        health = self.health
        if health.ejected and needs_probe(health, now_s):
            health = health._replace(probe_at=None)
        self.health = after_failure(
            health, now_s, unreachable, _EJECTION, source
        )


class ServerSet:
    """
    Servers that may be used, by what the store and peers say of them.

    :param bounds: how long vanished entries are still used.
    """

    def __init__(self, bounds: TableBounds | None = None) -> None:
        self._bounds = bounds or TableBounds()
        self._by_id: dict[str, Server] = {}
        self._store_returned_at: float | None = None
        self._store_away_at: float | None = None

    @property
    def entries(self) -> tuple[ServerEntry, ...]:
        """Entries of all servers that are not gone."""
        return tuple(
            server.entry
            for server in self._by_id.values()
            if server.expires_at is None
        )

    def usable(self, service: str) -> list[Server]:
        """
        List the servers that may get requests now.

        :param service: name of the service.
        :returns: servers that neither leave, nor pause, nor are gone; ejected
            ones are among them.
        """
        now_s = trio.current_time()
        return [
            server
            for server in self._by_id.values()
            if server.entry.service == service and _is_usable(server, now_s)
        ]

    def pause_left_s(self, service: str) -> float:
        """
        Tell when a server of a service ends its pause.

        :param service: name of the service.
        :returns: seconds until the first one does; 0 unless all pause.
        """
        if self.usable(service):
            return 0
        now_s = trio.current_time()
        pauses = [
            server.paused_until - now_s
            for server in self._by_id.values()
            if server.entry.service == service
            and _is_wanted(server, now_s)
            and server.paused_until > now_s
        ]
        return min(pauses, default=0)

    def is_unavailable(self, service: str) -> bool:
        """
        Tell whether no server of a service can be used.

        :param service: name of the service.
        :returns: whether all are ejected, or there is none.
        """
        return all(server.health.ejected for server in self.usable(service))

    def take(self, entry: ServerEntry) -> bool:
        """
        Take over what a server says of itself.

        An incarnation that has said that it leaves stays so, whatever older
        statement comes later.

        :param entry: its statement.
        :returns: whether it changed what is believed.
        """
        known = self._by_id.get(entry.id)
        if known is None or entry.incarnation > known.entry.incarnation:
            self._by_id[entry.id] = Server(entry)
            return True
        if _is_older(entry, known.entry):
            return False
        if known.entry.leaving:
            entry = entry._replace(leaving=True)
        changed = entry._replace(sequence=0, cold_s=0) != known.entry._replace(
            sequence=0, cold_s=0
        )
        returned = known.expires_at is not None
        known.entry = entry
        known.expires_at = None
        return changed or returned

    def mark_removed(self, server_id: str) -> bool:
        """
        Note that the entry of a server was removed.

        :param server_id: which server.
        :returns: whether it was in use.
        """
        server = self._by_id.get(server_id)
        if server is None or server.expires_at is not None:
            return False
        now_s = trio.current_time()
        hold_until = now_s + self._bounds.hold_s
        if self._store_returned_at is not None:
            returned_until = self._store_returned_at + self._bounds.return_s
            hold_until = max(hold_until, returned_until)
        if self._is_outage:
            hold_until = max(hold_until, now_s + self._bounds.return_s)
        server.expires_at = hold_until
        return True

    def mark_misdirected(self, server: Server) -> None:
        """
        Stop using a server whose address belongs to another one.

        :param server: the server.
        """
        server.expires_at = trio.current_time()

    def note_store(self, reachable: bool) -> None:
        """
        Note whether the store could be reached.

        Entries lapse while it is away, and are back some time after it.

        :param reachable: outcome of the last call.
        """
        now_s = trio.current_time()
        if not reachable:
            if self._store_away_at is None:
                self._store_away_at = now_s
            return
        if self._is_outage:
            self._store_returned_at = now_s
        self._store_away_at = None

    @property
    def _is_outage(self) -> bool:
        if self._store_away_at is None:
            return False
        away_s = trio.current_time() - self._store_away_at
        return away_s >= self._bounds.outage_s

    def discard_expired(self) -> None:
        """Drop servers that are gone and have no request in progress."""
        now_s = trio.current_time()
        for server_id, server in list(self._by_id.items()):
            gone = server.expires_at is not None and server.expires_at <= now_s
            if gone and not server.in_flight:
                self._by_id.pop(server_id)

    def dump(self) -> list[dict[str, object]]:
        """
        Describe the servers for operators.

        :returns: one record a server.
        """
        now_s = trio.current_time()
        return [
            {
                'id': server.entry.id,
                'service': server.entry.service,
                'address': server.entry.address,
                'leaving': server.entry.leaving,
                'pause_left_s': round(max(0, server.paused_until - now_s), 1),
                'in_flight': server.in_flight,
                'load': round(server.load(now_s), 1),
                'failures': round(server.failures(now_s), 1),
                'ejected': server.health.ejected,
            }
            for server in self._by_id.values()
        ]


def _is_usable(server: Server, now_s: float) -> bool:
    return _is_wanted(server, now_s) and now_s >= server.paused_until


def _is_wanted(server: Server, now_s: float) -> bool:
    if server.entry.leaving:
        return False
    return server.expires_at is None or now_s < server.expires_at


def _is_older(entry: ServerEntry, known: ServerEntry) -> bool:
    return (entry.incarnation, entry.sequence) < (
        known.incarnation,
        known.sequence,
    )


def _half_lives(age_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(0, age_s) / half_life_s))
