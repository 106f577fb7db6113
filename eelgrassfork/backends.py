"""
eelgrassfork.backends
~~~~~~~~~~~~~~~~~~~~~

State of the listed backend servers: requests, load, cached prefixes, health.
"""

import random
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

import trio

from .backend_server import BackendServer, CacheEvent
from .metrics import Metrics, NullMetrics
from .names import rendezvous_order
from .retries import (
    EjectionPolicy,
    ServerHealth,
    after_failure,
    after_probe,
    needs_probe,
)
from .routing import ServerState
from .server_subsets import ServerSubsets
from .subsets import SubsetPolicy
from .vm_list import VmRecord

__all__ = ('Backends', 'CacheEvent', 'ServerCounts', 'PollTarget')

_DRAINING_HOLD_S: Final = 60.0
_RECENT_USE_S: Final = 60.0
_NO_METRICS: Final = NullMetrics()


class PollTarget(NamedTuple):
    """
    A server to poll for its load.

    :param probe: whether the server is ejected and due for a probe.
    :param events_after: number of the last cache event received.
    """

    vm: str
    address: str
    probe: bool
    events_after: int


class ServerCounts(NamedTuple):
    """Numbers of servers that are listed, ejected and leaving."""

    listed: int
    ejected: int
    leaving: int


class Backends:  # noqa: WPS214 - a small method for each event and query
    """
    State of the backend servers as seen by this router.

    :param policy: conditions for the ejection of a server.
    :param source: random source for jitter.
    :param metrics: counts ejections and returns of servers.
    :param subset: selects the servers of a large service that this router
        uses; ``None`` to use all of them.
    """

    def __init__(
        self,
        policy: EjectionPolicy,
        source: random.Random,
        metrics: Metrics = _NO_METRICS,
        subset: SubsetPolicy | None = None,
    ) -> None:
        self._policy = policy
        self._source = source
        self._metrics = metrics
        self._servers_by_vm: dict[str, BackendServer] = {}
        self._subsets = ServerSubsets(subset)
        self._ejected: set[str] = set()
        self._used_at_by_service: dict[str, float] = {}

    def update(self, vms: Iterable[VmRecord]) -> None:
        """
        Replace the known backend servers by those of a VM list.

        :param vms: all records of the list.
        """
        now_s = trio.current_time()
        servers_by_vm: dict[str, BackendServer] = {}
        listed = list(vms)
        for record in listed:
            if record.role == 'backend':
                server = self._servers_by_vm.get(record.vm)
                server = server or BackendServer(record, now_s)
                server.record = record
                servers_by_vm[record.vm] = server
        self._servers_by_vm = servers_by_vm
        self._ejected &= servers_by_vm.keys()
        self._subsets.update(listed)

    def servers(self, service: str) -> list[ServerState]:
        """
        Return the state of the servers of a service that this router uses.

        :param service: qualified name.
        :returns: one state per server, including leaving and ejected ones
            unless the router uses only a subset of the service's servers.
        """
        now_s = trio.current_time()
        return [
            self._servers_by_vm[vm].state(now_s) for vm in self._in_use(service)
        ]

    def rank(
        self, service: str, identity: str, max_count: int
    ) -> list[ServerState]:
        """
        Return the servers that rank first for an identity.

        The ranking is the same on every router, independent of the subset
        of servers that the router uses otherwise.

        :param service: qualified name.
        :param identity: identity of a request with an idempotency key.
        :param max_count: maximum number of servers.
        :returns: states in rendezvous order, including leaving and ejected
            servers.
        """
        now_s = trio.current_time()
        vms = rendezvous_order(
            identity, list(self._subsets.servers_of(service))
        )
        return [self._servers_by_vm[vm].state(now_s) for vm in vms[:max_count]]

    def count_usable(self, service: str) -> int:
        """
        Count the servers that can receive requests.

        :param service: qualified name.
        :returns: number of servers in use that are neither leaving nor
            ejected.
        """
        return sum(map(self._is_usable, self._in_use(service)))

    def server_counts(self) -> ServerCounts:
        """
        Count the servers of all services by state.

        :returns: numbers of servers.
        """
        now_s = trio.current_time()
        servers = self._servers_by_vm.values()
        return ServerCounts(
            len(servers),
            sum(server.health.ejected for server in servers),
            sum(server.is_leaving(now_s) for server in servers),
        )

    def is_listed(self, vm: str) -> bool:
        """
        Return whether a server is still in the VM list.

        :param vm: name of the server's VM.
        :returns: whether the latest VM list includes it.
        """
        return vm in self._servers_by_vm

    def request_started(self, vm: str) -> None:
        """
        Record that a request is about to be sent.

        :param vm: VM of the server.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.in_flight += 1
            service = server.record.service
            self._used_at_by_service[service] = trio.current_time()

    def request_ended(self, vm: str) -> None:
        """
        Record that a request has ended, whatever its outcome.

        :param vm: VM of the server.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)

    def record_success(self, vm: str) -> None:
        """
        Record a response that is complete or has started successfully.

        :param vm: VM of the server.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            self._set_health(server, ServerHealth())

    def record_failure(self, vm: str, silent: bool = False) -> None:
        """
        Record a failed request.

        :param vm: VM of the server.
        :param silent: whether the server did not respond on a new
            connection.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            health = after_failure(
                server.health,
                trio.current_time(),
                silent,
                self._policy,
                self._source,
            )
            self._set_health(server, health)

    def record_probe(self, vm: str, alive: bool) -> None:
        """
        Record the result of a probe.

        :param vm: VM of the server.
        :param alive: whether the server responded.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            health = after_probe(
                server.health,
                trio.current_time(),
                alive,
                self._policy,
                self._source,
            )
            self._set_health(server, health)

    def mark_draining(self, vm: str) -> None:
        """
        Record that a server refused a request because it is leaving.

        :param vm: VM of the server.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.draining_until = trio.current_time() + _DRAINING_HOLD_S

    def record_load(self, vm: str, running: int, waiting: int) -> None:
        """
        Record a load report.

        :param vm: VM of the server.
        :param running: number of running requests.
        :param waiting: number of queued requests.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.running = running
            server.waiting = waiting
            server.reported_at = trio.current_time()

    def apply_cache_events(self, vm: str, events: Iterable[CacheEvent]) -> None:
        """
        Apply cache events; they are only hints, because some are lost.

        :param vm: VM of the server.
        :param events: events in the order of their numbers.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.apply_events(events)

    def polls_due(self, interval_s: float, max_count: int) -> list[PollTarget]:
        """
        Select the servers to poll for their load now.

        :param interval_s: minimum time between two polls of a server.
        :param max_count: maximum number of servers.
        :returns: ejected servers that are due for a probe, then servers of
            recently used services, least recently polled first.
        """
        now_s = trio.current_time()
        vms = self._ejected.copy()
        for service, used_at in self._used_at_by_service.items():
            if now_s - used_at < _RECENT_USE_S:
                vms.update(self._in_use(service))
        servers = map(self._servers_by_vm.__getitem__, vms)
        due = [
            (
                not needs_probe(server.health, now_s),
                server.polled_at,
                server.record.vm,
            )
            for server in servers
            if _is_due(server, now_s, interval_s)
        ]
        return [
            self._target(vm, probe=not no_probe)
            for no_probe, _, vm in sorted(due)[:max_count]
        ]

    def record_poll(self, vm: str) -> None:
        """
        Record that a poll is sent.

        :param vm: VM of the server.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.polled_at = trio.current_time()

    def dump(self) -> dict[str, object]:
        """
        Return the state of all servers for operators.

        :returns: state by VM.
        """
        now_s = trio.current_time()
        states_by_vm: dict[str, object] = {}
        for vm, server in self._servers_by_vm.items():
            state = server.state(now_s)._asdict()
            state['cached_prefixes'] = len(server.cached_prefixes)
            states_by_vm[vm] = state
        return {'servers_by_vm': states_by_vm}

    def _set_health(self, server: BackendServer, health: ServerHealth) -> None:
        was_ejected = server.health.ejected
        server.health = health
        service = server.record.service
        fleet = service.partition('/')[0]
        if health.ejected and not was_ejected:
            self._ejected.add(server.record.vm)
            self._metrics.count('ejections', fleet, service)
        elif was_ejected and not health.ejected:
            self._ejected.discard(server.record.vm)
            self._metrics.count('server_returns', fleet, service)

    def _in_use(self, service: str) -> Sequence[str]:
        return self._subsets.in_use(service, self._is_usable)

    def _is_usable(self, vm: str) -> bool:
        server = self._servers_by_vm[vm]
        if server.health.ejected:
            return False
        return not server.is_leaving(trio.current_time())

    def _target(self, vm: str, probe: bool) -> PollTarget:
        server = self._servers_by_vm[vm]
        return PollTarget(vm, server.record.address, probe, server.events_after)


def _is_due(server: BackendServer, now_s: float, interval_s: float) -> bool:
    if now_s - server.polled_at < interval_s:
        return False
    return not server.health.ejected or needs_probe(server.health, now_s)
