"""
eelgrassfork.backends
~~~~~~~~~~~~~~~~~~~~~

Known backend servers: own requests, load reports, cache hints, health.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

import trio

from .retries import (
    EjectionPolicy,
    ServerHealth,
    after_failure,
    after_probe,
    needs_probe,
)
from .routing import ServerState
from .vm_list import VmRecord

__all__ = ('Backends', 'CacheEvent', 'PollTarget')

_DRAINING_S: Final = 60.0
_IN_USE_S: Final = 60.0
_MAX_CACHED_PREFIXES: Final = 1024


class CacheEvent(NamedTuple):
    """
    A prefix entered or left a server's cache.

    :param number: number of the event at its server.
    """

    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


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


class _Server:
    def __init__(self, record: VmRecord, now_s: float) -> None:
        self.record = record
        self.in_flight = 0
        self.health = ServerHealth()
        self.draining_until = now_s
        self.running = 0
        self.waiting = 0
        self.reported_at = now_s
        self.polled_at = -_IN_USE_S
        self.events_after = 0
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.cached_prefixes: frozenset[str] = frozenset()

    def is_leaving(self, now_s: float) -> bool:
        return self.record.state == 'leaving' or now_s < self.draining_until

    def state(self, now_s: float) -> ServerState:
        record = self.record
        return ServerState(
            record.vm,
            record.address,
            record.service,
            record.failure_domain,
            'leaving' if self.is_leaving(now_s) else 'live',
            self.in_flight,
            self.running,
            self.waiting,
            now_s - self.reported_at,
            self.health.ejected,
            self.cached_prefixes,
        )


class Backends:
    """
    State of the backend servers as this router sees it.

    :param policy: when a server is ejected.
    :param source: random source of jitter.
    """

    def __init__(self, policy: EjectionPolicy, source: random.Random) -> None:
        self._policy = policy
        self._source = source
        self._servers_by_vm: dict[str, _Server] = {}
        self._vms_by_service: dict[str, list[str]] = {}
        self._used_at_by_service: dict[str, float] = {}

    def update(self, vms: Iterable[VmRecord]) -> None:
        """
        Take over the backend servers of a VM list.

        :param vms: records; those of other roles are ignored.
        """
        now_s = trio.current_time()
        servers_by_vm: dict[str, _Server] = {}
        vms_by_service: dict[str, list[str]] = {}
        for record in vms:
            if record.role == 'backend':
                server = self._servers_by_vm.get(record.vm)
                server = server or _Server(record, now_s)
                server.record = record
                servers_by_vm[record.vm] = server
                vms_by_service.setdefault(record.service, []).append(record.vm)
        self._servers_by_vm = servers_by_vm
        self._vms_by_service = vms_by_service

    def servers(self, service: str) -> list[ServerState]:
        """
        Describe the servers of a service.

        :param service: qualified name.
        :returns: one state per server, leaving and ejected ones included.
        """
        now_s = trio.current_time()
        return [
            self._servers_by_vm[vm].state(now_s)
            for vm in self._vms_by_service.get(service, ())
        ]

    def usable(self, service: str) -> int:
        """
        Count the servers that may get requests.

        :param service: qualified name.
        :returns: number of servers neither leaving nor ejected.
        """
        now_s = trio.current_time()
        return sum(
            not server.health.ejected and not server.is_leaving(now_s)
            for server in map(
                self._servers_by_vm.__getitem__,
                self._vms_by_service.get(service, ()),
            )
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
            server.health = ServerHealth()

    def failed(self, vm: str, silent: bool = False) -> None:
        """
        Note a failed request.

        :param vm: who failed.
        :param silent: whether it stayed silent on a new connection.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.health = after_failure(
                server.health,
                trio.current_time(),
                silent,
                self._policy,
                self._source,
            )

    def probed(self, vm: str, alive: bool) -> None:
        """
        Note the result of a probe.

        :param vm: who was probed.
        :param alive: whether it answered.
        """
        server = self._servers_by_vm.get(vm)
        if server is not None:
            server.health = after_probe(
                server.health,
                trio.current_time(),
                alive,
                self._policy,
                self._source,
            )

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
        if server is None:
            return
        for event in events:
            server.events_after = max(server.events_after, event.number)
            server.prefixes.pop(event.prefix, None)
            if event.kind == 'stored':
                server.prefixes[event.prefix] = None
        while len(server.prefixes) > _MAX_CACHED_PREFIXES:
            server.prefixes.popitem(last=False)
        server.cached_prefixes = frozenset(server.prefixes)

    def polls_due(self, interval_s: float, most: int) -> list[PollTarget]:
        """
        Tell which servers to ask for their load now.

        :param interval_s: shortest time between two polls of a server.
        :param most: largest number of servers.
        :returns: ejected servers due to be tried, then those of services
            in use whose last poll is oldest.
        """
        now_s = trio.current_time()
        due = [
            (not needs_probe(server.health, now_s), server.polled_at, vm)
            for vm, server in self._servers_by_vm.items()
            if self._is_due(server, now_s, interval_s)
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

    def _is_due(self, server: _Server, now_s: float, interval_s: float) -> bool:
        if now_s - server.polled_at < interval_s:
            return False
        if server.health.ejected:
            return needs_probe(server.health, now_s)
        used_at = self._used_at_by_service.get(server.record.service)
        return used_at is not None and now_s - used_at < _IN_USE_S

    def _target(self, vm: str, probe: bool) -> PollTarget:
        server = self._servers_by_vm[vm]
        return PollTarget(vm, server.record.address, probe, server.events_after)
