"""
eelgrassfork.gateway.servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This router's state of backend servers: load, health and lifetime.
"""

import math
import random
from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import trio

from ..retries import EjectionPolicy, ServerHealth, after_failure, needs_probe
from .cold_servers import (
    ColdState,
    after_implication,
    after_report,
    is_reported_cold,
)
from .departed_servers import DepartedServers
from .expected_time import (
    ExpectedTime,
    ServerTiming,
    decayed_slowdown,
    learnt_speed,
)
from .records import ServerEntry, ServerLoad

__all__ = ('RetentionPolicy', 'Server', 'ServerSet')

_log = logbook.Logger('servers')

# Crashed servers mostly restart under a new id, so an ejected server that does
# recover under its own id is probed again within a few seconds.
_EJECTION: Final = EjectionPolicy(failures=3, first_s=0.5, longest_s=4)
# About the duration of a short disturbance.
_FAILURE_HALF_LIFE_S: Final = 4.0
_SUCCESS_FACTOR: Final = 0.7
_LATENCY_EWMA_WEIGHT: Final = 0.2
# A load report is outdated after a few mean run times of requests.
_LOAD_HALF_LIFE_S: Final = 1.5
# A server that reports its slowdown is never taken to have more requests than
# this multiple of its slots, so that a false count does not exclude it for
# longer than some seconds.
_MAX_REQUESTS_PER_SLOT: Final = 4


class RetentionPolicy(NamedTuple):
    """
    How long servers are still used after the removal of their entries.

    :param removal_hold_s: after a removal while the store is available.  This
        covers entries that expired by mistake; servers that shut down
        continue to serve for longer than this.
    :param recovery_hold_s: after the recovery of the store from an outage,
        for entries that expired during the outage.
    :param min_outage_s: shorter outages of the store let no entry expire.
    """

    removal_hold_s: float = 0.5
    recovery_hold_s: float = 2.0
    min_outage_s: float = 2.0


class Server:
    """
    One incarnation of a backend server.

    :ivar in_flight: requests of this router in progress at the server.
    :ivar sent: number of requests that this router has sent to the server.
    :ivar pending_prefill_tokens: prompt tokens of those requests that have
        not returned their first event.
    :ivar tokens_in_flight: maximum tokens of this router's requests in
        progress, prompts included.
    :ivar reports_slowdown: the server has reported a slowdown other than 1.
    :ivar speed: learnt factor between observed and expected time; above 1 for
        a slow server.
    :ivar expires_at: when to stop using the server; ``None`` while its entry
        exists.
    :ivar paused_until: end of the pause that the server requested.
    :ivar ended_at: when it was found to have ended with requests in progress,
        on trio's clock; ``None`` while it runs.
    :ivar cold: until when it is cold, as far as this router knows.
    """

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.sent = 0
        self.pending_prefill_tokens = 0
        self.tokens_in_flight = 0
        self.reports_slowdown = False
        self.speed: float = 1
        self.expires_at: float | None = None
        self.paused_until: float = 0
        self.ended_at: float | None = None
        self.cold = ColdState()
        self.health = ServerHealth()
        self.latency_s: float | None = None
        self._other_requests: float = 0
        self._waiting: float = 0
        self._slowdown: float = 1
        self._speed_learnt_at = -math.inf
        self._load_reported_at: float = 0
        self._failures: float = 0
        self._failed_at: float = 0
        self._has_logged_cold = False

    def load(self, now_s: float) -> float:
        """
        Estimate the requests in progress at the server.

        :param now_s: current time on trio's clock.
        :returns: exact count of this router's requests, plus the decayed last
            report for those of others.
        """
        decay = _decay_factor(now_s - self._load_reported_at, _LOAD_HALF_LIFE_S)
        return self.in_flight + self._other_requests * decay

    def waiting(self, now_s: float) -> float:
        """
        Estimate the requests queued at the server.

        :param now_s: current time on trio's clock.
        :returns: decayed count from the last report.
        """
        return self._waiting * _decay_factor(
            now_s - self._load_reported_at, _LOAD_HALF_LIFE_S
        )

    def failures(self, now_s: float) -> float:
        """
        Compute the decayed count of recent failures.

        :param now_s: current time on trio's clock.
        :returns: number of failures, reduced by age and by successes.
        """
        return self._failures * _decay_factor(
            now_s - self._failed_at, _FAILURE_HALF_LIFE_S
        )

    def load_age_s(self, now_s: float) -> float:
        """
        Compute the age of the last load report.

        :param now_s: current time on trio's clock.
        :returns: seconds.
        """
        return now_s - self._load_reported_at

    def timing(self, now_s: float, memory_tokens: int) -> ServerTiming:
        """
        Describe the load and speed of the server for estimates.

        :param now_s: current time on trio's clock.
        :param memory_tokens: tokens that fit into the memory of a server of
            this service; 0 if unknown.
        :returns: own requests, last report and learnt speed.
        """
        age_s = now_s - self._load_reported_at
        return ServerTiming(
            max(1, self.entry.slots),
            self.in_flight,
            self._other_requests,
            self._waiting,
            _decay_factor(age_s, _LOAD_HALF_LIFE_S),
            decayed_slowdown(self._slowdown, age_s),
            self.speed,
            now_s - self._speed_learnt_at,
            self.pending_prefill_tokens,
            self.tokens_in_flight,
            memory_tokens,
        )

    def is_due(self, now_s: float) -> bool:
        """
        Check whether an ejected server may be probed with a request.

        :param now_s: current time on trio's clock.
        :returns: whether its backoff has ended.
        """
        return needs_probe(self.health, now_s)

    def update_load(self, load: ServerLoad, now_s: float) -> None:
        """
        Record a load report of the server.

        :param load: reported load, which includes this router's requests.
        :param now_s: current time on trio's clock.
        """
        self._slowdown = load.slowdown
        if load.slowdown != 1:
            self.reports_slowdown = True
        if self.reports_slowdown:
            load = _bounded(load, self.entry.slots)
        total = load.running + load.waiting
        self._other_requests = max(0, total - self.in_flight)
        self._waiting = load.waiting
        self._load_reported_at = now_s

    def learn_speed(
        self, expected: ExpectedTime, observed_s: float, now_s: float
    ) -> None:
        """
        Learn the speed of the server from the first event of an answer.

        :param expected: estimate when the request was sent.
        :param observed_s: measured time to the first event.
        :param now_s: current time on trio's clock.
        """
        speed = self.speed
        if self._speed_learnt_at == -math.inf:
            speed = expected.speed
        self.speed = learnt_speed(speed, expected, observed_s)
        self._speed_learnt_at = now_s

    def mark_leaving(self) -> bool:
        """
        Record that the server announced its shutdown in an answer.

        Valid for this incarnation, like the ``leaving`` flag of its entry.

        :returns: whether this is new.
        """
        is_new = not self.entry.leaving
        self.entry = self.entry._replace(leaving=True)
        return is_new

    def report_cold(self, cold_s: float | None) -> None:
        """
        Apply what a new entry of the server says.

        :param cold_s: time that the server stays cold, in seconds; ``None`` if
            the entry has no valid one.
        """
        now_s = trio.current_time()
        was_cold = is_reported_cold(self.cold, now_s)
        self.cold = after_report(self.cold, cold_s, now_s)
        fields = {'server': self.entry.id, 'cold_s': cold_s}
        if cold_s is None:
            if not self._has_logged_cold:
                _log.warning('ignored an invalid cold time', extra=fields)
            self._has_logged_cold = True
        elif is_reported_cold(self.cold, now_s) != was_cold:
            _log.info('server reported its cold time', extra=fields)

    def imply_cold(self) -> None:
        """Record an event after which the server is cold."""
        self.cold = after_implication(self.cold, trio.current_time())

    def pause(self, pause_s: float, now_s: float) -> None:
        """
        Send no requests for the time that the server requested.

        :param pause_s: seconds; never shortens an earlier pause.
        :param now_s: current time on trio's clock.
        """
        self.paused_until = max(self.paused_until, now_s + pause_s)

    def record_success(self, latency_s: float, now_s: float) -> None:
        """
        Record a successful answer.

        :param latency_s: time to first byte or event.
        :param now_s: current time on trio's clock.
        """
        previous_s = self.latency_s
        if previous_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s = previous_s + _LATENCY_EWMA_WEIGHT * (
                latency_s - previous_s
            )
        self._failures = self.failures(now_s) * _SUCCESS_FACTOR
        self._failed_at = now_s
        self.ended_at = None
        self.health = ServerHealth()

    def record_failure(
        self, now_s: float, unreachable: bool, rng: random.Random
    ) -> None:
        """
        Record a failed request.

        :param now_s: current time on trio's clock.
        :param unreachable: no connection could be opened; this ejects the
            server immediately.
        :param rng: random source of the backoff jitter.
        """
        self._failures = self.failures(now_s) + 1
        self._failed_at = now_s
        health = self.health
        if health.ejected and needs_probe(health, now_s):
            health = health._replace(probe_at=None)
        self.health = after_failure(health, now_s, unreachable, _EJECTION, rng)


class ServerSet:
    """
    Known servers, from their entries in the store and at peers.

    :param retention: how long servers with removed entries are still used.
    :param may_send: returns whether the servers of a failure domain may get
        new requests.
    """

    def __init__(
        self,
        retention: RetentionPolicy | None = None,
        may_send: Callable[[str], bool] | None = None,
    ) -> None:
        self._retention = retention or RetentionPolicy()
        self._may_send = may_send or _always
        self._by_id: dict[str, Server] = {}
        self._departed = DepartedServers()
        self._store_recovered_at: float | None = None
        self._store_down_since: float | None = None

    @property
    def entries(self) -> tuple[ServerEntry, ...]:
        """Entries of all servers, except for removed ones."""
        return tuple(
            server.entry
            for server in self._by_id.values()
            if server.expires_at is None
        )

    @property
    def slowdown_count(self) -> int:
        """Number of known servers that have reported a slowdown."""
        return sum(server.reports_slowdown for server in self._by_id.values())

    def count(self, service: str) -> int:
        """
        Count the servers of a service that have an entry.

        :param service: name of the service.
        :returns: number of servers.
        """
        return sum(entry.service == service for entry in self.entries)

    def is_known(self, server_id: str) -> bool:
        """
        Check whether a server is known, even if its entry was just removed.

        :param server_id: id of the server.
        :returns: ``False`` once it has expired.
        """
        return server_id in self._by_id

    def find(self, server_id: str) -> Server | None:
        """
        Look up a server.

        :param server_id: id of the server.
        :returns: the server; ``None`` if it is not known.
        """
        return self._by_id.get(server_id)

    def imply_cold(self, failure_domain: str) -> None:
        """
        Record an event after which the servers of a domain are cold.

        :param failure_domain: name of the domain.
        """
        for server in self._by_id.values():
            if server.entry.failure_domain == failure_domain:
                server.imply_cold()

    def usable(self, service: str) -> list[Server]:
        """
        List the servers that may receive requests now.

        :param service: name of the service.
        :returns: servers that are neither leaving, paused, expired nor in an
            evacuated failure domain; this includes ejected ones.
        """
        now_s = trio.current_time()
        return [
            server
            for server in self._by_id.values()
            if server.entry.service == service
            and _is_usable(server, now_s)
            and self._may_send(server.entry.failure_domain)
        ]

    def pause_left_s(self, service: str) -> float:
        """
        Compute the time until the first paused server of a service resumes.

        :param service: name of the service.
        :returns: seconds; 0 if a server is usable now, or none is paused.
        """
        if self.usable(service):
            return 0
        now_s = trio.current_time()
        pauses = [
            server.paused_until - now_s
            for server in self._by_id.values()
            if server.entry.service == service
            and _is_active(server, now_s)
            and server.paused_until > now_s
            and self._may_send(server.entry.failure_domain)
        ]
        return min(pauses, default=0)

    def is_unavailable(self, service: str) -> bool:
        """
        Check whether a service has no healthy server.

        :param service: name of the service.
        :returns: whether all usable servers are ejected, or there is none.
        """
        return all(server.health.ejected for server in self.usable(service))

    def apply_entry(self, entry: ServerEntry) -> bool:
        """
        Apply an entry that a server published.

        Entries older than the known one are ignored.  An incarnation that has
        announced its shutdown stays marked as leaving, even if a later entry
        is not.  Entries of servers that had left before a restore of the store
        are held back.

        :param entry: published entry.
        :returns: whether the state of the server changed.
        """
        if self._departed.hold_back(entry):
            return False
        known = self._by_id.get(entry.id)
        if known is None or entry.incarnation > known.entry.incarnation:
            self._by_id[entry.id] = _make_server(entry, known is not None)
            return True
        if _is_older(entry, known.entry):
            return False
        if known.entry.leaving:
            entry = entry._replace(leaving=True)
        changed = entry._replace(sequence=0, cold_s=0) != known.entry._replace(
            sequence=0, cold_s=0
        )
        was_removed = known.expires_at is not None
        known.report_cold(entry.cold_s)
        known.entry = entry
        known.expires_at = None
        return changed or was_removed

    def mark_removed(self, server_id: str) -> bool:
        """
        Record that the entry of a server was removed.

        :param server_id: id of the server.
        :returns: whether the server was known and not yet marked.
        """
        self._departed.discard_unconfirmed(server_id)
        server = self._by_id.get(server_id)
        if server is None or server.expires_at is not None:
            return False
        self._departed.record_removal(server.entry)
        now_s = trio.current_time()
        hold_until = now_s + self._retention.removal_hold_s
        if self._store_recovered_at is not None:
            recovery_until = (
                self._store_recovered_at + self._retention.recovery_hold_s
            )
            hold_until = max(hold_until, recovery_until)
        if self._is_outage:
            hold_until = max(
                hold_until, now_s + self._retention.recovery_hold_s
            )
        server.expires_at = hold_until
        return True

    def mark_misdirected(self, server: Server) -> None:
        """
        Stop using a server whose address now belongs to another server.

        :param server: server with the outdated address.
        """
        server.expires_at = trio.current_time()

    def record_store_contact(self, reachable: bool) -> None:
        """
        Record whether the store is reachable.

        Entries expire during an outage, and are published again some time
        after it.

        :param reachable: result of the last call.
        """
        now_s = trio.current_time()
        if not reachable:
            if self._store_down_since is None:
                self._store_down_since = now_s
            return
        if self._is_outage:
            self._store_recovered_at = now_s
        self._store_down_since = None

    def record_restore(self) -> None:
        """
        Record that the store came back from an older copy.

        Entries that it lacks are published again some time after it.
        """
        self._store_recovered_at = trio.current_time()
        self._departed.record_restore()

    @property
    def _is_outage(self) -> bool:
        if self._store_down_since is None:
            return False
        outage_s = trio.current_time() - self._store_down_since
        return outage_s >= self._retention.min_outage_s

    def discard_expired(self) -> None:
        """Drop expired servers that have no request in progress."""
        self._departed.discard_expired()
        for entry in self._departed.take_confirmed():
            self.apply_entry(entry)
        now_s = trio.current_time()
        for server_id, server in list(self._by_id.items()):
            expired = (
                server.expires_at is not None and server.expires_at <= now_s
            )
            if expired and not server.in_flight:
                self._by_id.pop(server_id)

    def dump(self) -> list[dict[str, object]]:
        """
        Describe the servers for operators.

        :returns: one record per server.
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
                'sent': server.sent,
                'load': round(server.load(now_s), 1),
                'speed': round(server.speed, 2),
                'failures': round(server.failures(now_s), 1),
                'ejected': server.health.ejected,
                'cold': is_reported_cold(server.cold, now_s),
            }
            for server in self._by_id.values()
        ]


def _make_server(entry: ServerEntry, is_restart: bool) -> Server:
    server = Server(entry)
    # The first entry after a start may still contain the former cold time.
    if is_restart or entry.cold_s is None:
        server.imply_cold()
    server.report_cold(entry.cold_s)
    return server


def _always(failure_domain: str) -> bool:
    return True


def _is_usable(server: Server, now_s: float) -> bool:
    return _is_active(server, now_s) and now_s >= server.paused_until


def _is_active(server: Server, now_s: float) -> bool:
    if server.entry.leaving:
        return False
    return server.expires_at is None or now_s < server.expires_at


def _is_older(entry: ServerEntry, known: ServerEntry) -> bool:
    return (entry.incarnation, entry.sequence) < (
        known.incarnation,
        known.sequence,
    )


def _bounded(load: ServerLoad, slots: int) -> ServerLoad:
    most = max(1, slots) * _MAX_REQUESTS_PER_SLOT
    return load._replace(
        running=min(load.running, most), waiting=min(load.waiting, most)
    )


def _decay_factor(age_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(0, age_s) / half_life_s))
