"""
eelgrassfork.backends
~~~~~~~~~~~~~~~~~~~~~

Known backend servers: own requests, load reports, cache hints, health.
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

__all__ = ('Backends', 'CacheEvent', 'Census', 'PollTarget')

_DRAINING_S: Final = 60.0
_IN_USE_S: Final = 60.0
_NO_METRICS: Final = NullMetrics()


class PollTarget(NamedTuple):
    """
    A server to ask for its load.

    :param probe: whether the server is ejected and due to be tried.
    :param events_after: number of the last cache event known.
    """

    vm: str
    address: str
    probe: bool
    events_after: int


class Census(NamedTuple):
    """Number of servers that are listed, ejected and leaving."""

    listed: int
    ejected: int
    leaving: int


class Backends:  # noqa: WPS214 - a small method for each event and query
    """
    State of the backend servers as this router sees it.

    :param policy: when a server is ejected.
    :param source: random source of jitter.
    :param metrics: where ejections and returns are counted.
    :param subset: which servers of a large service are used; all of them
        where it is ``None``.
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
        Take over the backend servers of a VM list.

        :param vms: all records.
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
        Describe the servers of a service that this router uses.

        :param service: qualified name.
        :returns: one state per server, leaving and ejected ones included
            unless the service is so large that only some are used.
        """
        now_s = trio.current_time()
        return [
            self._servers_by_vm[vm].state(now_s) for vm in self._in_use(service)
        ]

    def ranked(
        self, service: str, identity: str, most: int
    ) -> list[ServerState]:
        """
        Describe the servers that come first for an identity.

        Every router finds the same ones, whichever it uses otherwise.

        :param service: qualified name.
        :param identity: identity of a request with a key.
        :param most: number of servers.
        :returns: states in rendezvous order, leaving and ejected ones
            included.
        """
        now_s = trio.current_time()
        vms = rendezvous_order(identity, list(self._subsets.all_of(service)))
        return [self._servers_by_vm[vm].state(now_s) for vm in vms[:most]]

    def usable(self, service: str) -> int:
        """
        Count the servers that may get requests.

        :param service: qualified name.
        :returns: number of servers in use that are neither leaving nor
            ejected.
        """
        return sum(map(self._is_usable, self._in_use(service)))

    def census(self) -> Census:
        """
        Count the servers of all services.

        :returns: numbers of servers by state.
        """
        now_s = trio.current_time()
        servers = self._servers_by_vm.values()
        return Census(
            len(servers),
            sum(server.health.ejected for server in servers),
            sum(server.is_leaving(now_s) for server in servers),
        )

    def is_listed(self, vm: str) -> bool:
        """
        Tell whether a server is still in the VM list.

        :param vm: its name.
        :returns: whether the newest list has it.
        """
        return vm in self._servers_by_vm

    def begin(self, vm: str) -> None:
        """
        Count a request that is about to be sent.

        :param vm: where to.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.in_flight += 1
            service = server.record.service
            self._used_at_by_service[service] = trio.current_time()

    def end(self, vm: str) -> None:
        """
        Count a request that ended in any way.

        :param vm: where it was sent.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)

    def succeeded(self, vm: str) -> None:
        """
        Note a whole or well begun answer.

        :param vm: who answered.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            self._set_health(server, ServerHealth())

    def failed(self, vm: str, silent: bool = False) -> None:
        """
        Note a failed request.

        :param vm: who failed.
        :param silent: whether it stayed silent on a new connection.
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

    def probed(self, vm: str, alive: bool) -> None:
        """
        Note the result of a probe.

        :param vm: who was probed.
        :param alive: whether it answered.
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

    def draining(self, vm: str) -> None:
        """
        Note that a server refused a request because it is leaving.

        :param vm: who refused.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.draining_until = trio.current_time() + _DRAINING_S

    def reported(self, vm: str, running: int, waiting: int) -> None:
        """
        Take over a load report.

        :param vm: who reported.
        :param running: running requests.
        :param waiting: waiting requests.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.running = running
            server.waiting = waiting
            server.reported_at = trio.current_time()

    def cache_changed(self, vm: str, events: Iterable[CacheEvent]) -> None:
        """
        Take over cache events; they are hints, as some are lost.

        :param vm: whose cache changed.
        :param events: events in the order of their numbers.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.take_events(events)

    def polls_due(self, interval_s: float, most: int) -> list[PollTarget]:
        """
        Tell which servers to ask for their load now.

        :param interval_s: shortest time between two polls of a server.
        :param most: largest number of servers.
        :returns: ejected servers due to be tried, then those of services
            in use whose last poll is oldest.
        """
        now_s = trio.current_time()
        vms = self._ejected.copy()
        for service, used_at in self._used_at_by_service.items():
            if now_s - used_at < _IN_USE_S:
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
            for no_probe, _, vm in sorted(due)[:most]
        ]

    def polled(self, vm: str) -> None:
        """
        Note that a poll is sent.

        :param vm: where to.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.polled_at = trio.current_time()

    def dump(self) -> dict[str, object]:
        """
        Describe the state for operators.

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
