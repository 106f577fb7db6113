"""
bench.rollout_time
~~~~~~~~~~~~~~~~~~

Time until a change is in force at every router, and the bytes it takes.

The rollouts of all routers run on a mock clock; heartbeats between the peers
that :func:`choose_peers` names, and calls with the latency of their places,
are played by this module. Bundles are small, so that 2,800 fit in a process.
"""

import argparse
import collections
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
import trio.testing

from eelgrassfork.bundle import CURRENT_KEY, Manifest, part_key, seal_manifest
from eelgrassfork.bundle_fetch import BundleSources
from eelgrassfork.bundle_source import compile_parts
from eelgrassfork.errors import EelgrassError
from eelgrassfork.membership import PeerRecord
from eelgrassfork.peer_choice import choose_peers, is_poller
from eelgrassfork.rollout import Rollout, RolloutSettings
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform

from .measure import emit, row
from .slope_bundle import KEY, TRUSTED, make_organisation, make_sources
from .target import DOMAIN_REGIONS, NODES, make_vm_list

__all__ = ('main',)

HEARTBEAT_S = 2
SAME_DOMAIN_S = 0.0005
SAME_REGION_S = 0.001
OTHER_REGION_S = 0.075
START_SPREAD_S = 60
ORGANISATIONS = 8
CHANGES = 3
WAIT_S = 30


class _Router:
    def __init__(self, fleet: '_Fleet', record: VmRecord, watches: bool):
        self.fleet = fleet
        self.record = record
        self.handlers: dict[str, Callable[..., Awaitable[Any]]] = {}
        self.heard_by_vm: dict[str, PeerRecord] = {}
        self.heard_at_by_vm: dict[str, float] = {}
        self.rollout = Rollout(
            RolloutSettings(record.failure_domain, TRUSTED, watch_s=30),
            BundleSources(
                fleet.platform.for_client(record.failure_domain), self, self
            ),
            lambda: watches,
        )

    def register(self, kind: str, handler: Callable[..., Awaitable[Any]]):
        self.handlers[kind] = handler

    async def call(self, vm: str, kind: str, payload: Any) -> Any:
        peer = self.fleet.routers_by_vm[vm]
        await trio.sleep(self.fleet.one_way_s(self, peer))
        if self.fleet.is_cut(self, peer):
            await trio.sleep(1)
            raise EelgrassError('peer_unreachable', 'cut')
        sent = msgspec.msgpack.encode(payload)
        answer = await peer.handlers[kind](
            f'{self.record.vm}.0', msgspec.msgpack.decode(sent)
        )
        received = msgspec.msgpack.encode(answer)
        await trio.sleep(self.fleet.one_way_s(self, peer))
        self.fleet.calls_by_kind[kind] += 1
        self.fleet.bytes_by_kind[kind] += len(sent) + len(received)
        return msgspec.msgpack.decode(received)

    def peers(self) -> list[PeerRecord]:
        oldest = trio.current_time() - 3 * HEARTBEAT_S
        return [
            record._replace(suspect=self.heard_at_by_vm[vm] < oldest)
            for vm, record in self.heard_by_vm.items()
        ]

    def hear(self, peer: '_Router') -> None:
        version = peer.rollout.version
        self.heard_at_by_vm[peer.record.vm] = trio.current_time()
        self.heard_by_vm[peer.record.vm] = PeerRecord(
            peer.record.vm,
            f'{peer.record.vm}.0',
            peer.record.failure_domain,
            '',
            'ready' if version else 'starting',
            version,
            suspect=False,
        )
        if version:
            self.rollout.note_peer_version(version, peer.record.vm)

    async def run(self, nursery: trio.Nursery, start_s: float) -> None:
        await trio.sleep(start_s)
        await self.rollout.start(nursery)
        records = [each.record for each in self.fleet.routers_by_vm.values()]
        chosen = choose_peers(
            self.record.vm, self.record.failure_domain, records
        )
        while True:
            for record in chosen:
                peer = self.fleet.routers_by_vm[record.vm]
                if not self.fleet.is_cut(self, peer) and peer.handlers:
                    peer.hear(self)
                    self.hear(peer)
            await trio.sleep(HEARTBEAT_S)


class _Fleet:
    def __init__(self, routers: int, seed: int) -> None:
        self.source = random.Random(seed)
        self.platform = FakePlatform()
        self.cut_regions: set[str] = set()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        records = list(make_vm_list(self.source, routers, 0).vms)
        self.routers_by_vm = {
            record.vm: _Router(
                self,
                record,
                is_poller(record.vm, record.failure_domain, records),
            )
            for record in records
        }

    def one_way_s(self, first: _Router, second: _Router) -> float:
        if first.record.failure_domain == second.record.failure_domain:
            return SAME_DOMAIN_S
        same = first.record.region == second.record.region
        return SAME_REGION_S if same else OTHER_REGION_S

    def is_cut(self, first: _Router, second: _Router) -> bool:
        return (first.record.region in self.cut_regions) != (
            second.record.region in self.cut_regions
        )

    def cut(self, region: str) -> None:
        self.cut_regions.add(region)
        domains = [
            domain
            for domain, where in DOMAIN_REGIONS.items()
            if where == region
        ]
        self.platform.set_faults(cut=domains)

    def heal(self) -> None:
        self.cut_regions.clear()
        self.platform.set_faults(cut=())

    async def accept(self, version: int) -> float:
        sources = make_sources(random.Random(1), ORGANISATIONS)
        entries = sources.entries_by_kind['organisations']
        changed = make_organisation(random.Random(version), 0)
        entries[changed.name] = entries[changed.name]._replace(record=changed)
        compiled = compile_parts(sources)
        for name, body in compiled.bodies_by_hash.items():
            if await self.platform.get(part_key(name)) is None:
                await self.platform.put(part_key(name), body, None)
        envelope = seal_manifest(Manifest(version, compiled.hashes), KEY)
        stored = await self.platform.get(CURRENT_KEY)
        await self.platform.put(
            CURRENT_KEY, envelope, stored.version if stored else None
        )
        return trio.current_time()

    async def time_to(self, version: int, accepted_at: float) -> list[float]:
        waiting = set(self.routers_by_vm)
        times = []
        while waiting and trio.current_time() < accepted_at + WAIT_S:
            await trio.sleep(0.01)
            done = {
                vm
                for vm in waiting
                if self.routers_by_vm[vm].rollout.version >= version
            }
            times.extend([trio.current_time() - accepted_at] * len(done))
            waiting -= done
        return times


async def run_fleet(routers: int, seed: int) -> None:
    """
    Start all routers, change the bundle, then cut a region for an hour.

    :param routers: how many.
    :param seed: seed of start times and addresses.
    """
    fleet = _Fleet(routers, seed)
    await fleet.accept(1)
    async with trio.open_nursery() as nursery:
        for router in fleet.routers_by_vm.values():
            start_s = fleet.source.uniform(0, START_SPREAD_S)
            nursery.start_soon(router.run, nursery, start_s)
        await trio.sleep(START_SPREAD_S + WAIT_S)
        for version in range(2, 2 + CHANGES):
            await _change(fleet, routers, version, 'connected')
        fleet.cut('lk-central')
        await trio.sleep(WAIT_S)
        await _change(fleet, routers, 2 + CHANGES, 'a region cut off')
        await trio.sleep(fleet.source.uniform(0, HEARTBEAT_S))
        fleet.heal()
        times = await fleet.time_to(2 + CHANGES, trio.current_time())
        _report(times, routers, 'after the cut', 2 + CHANGES)
        nursery.cancel_scope.cancel()


async def _change(
    fleet: _Fleet, routers: int, version: int, state: str
) -> None:
    await trio.sleep(fleet.source.uniform(0, HEARTBEAT_S))
    fleet.calls_by_kind.clear()
    fleet.bytes_by_kind.clear()
    reads = fleet.platform.core.calls_by_kind.copy()
    accepted_at = await fleet.accept(version)
    times = await fleet.time_to(version, accepted_at)
    _report(times, routers, state, version)
    for kind, count in fleet.calls_by_kind.items():
        inputs = {'kind': kind, 'state': state, 'version': version}
        emit(row('rollout.calls', count / routers, '1/router', **inputs))
        size = fleet.bytes_by_kind[kind] / routers
        emit(row('rollout.bytes', size, 'bytes/router', **inputs))
    calls = fleet.platform.core.calls_by_kind
    for kind in ('get', 'watch'):
        count = calls[kind] - reads[kind]
        emit(row('rollout.platform', count, 'calls', kind=kind, state=state))


def _report(times: list[float], routers: int, state: str, version: int) -> None:
    inputs = {'routers': routers, 'state': state, 'version': version}
    emit(row('rollout.in_force', len(times), 'routers', **inputs))
    for part in (0.5, 0.99, 1.0):
        index = max(0, round(part * len(times)) - 1)
        emit(row('rollout.time', times[index], 's', part=part, **inputs))


def main() -> None:
    """Run the fleet of the size asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, default=NODES)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run_fleet, options.routers, options.seed, clock=clock)


if __name__ == '__main__':
    main()
