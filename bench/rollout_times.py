"""
bench.rollout_times
~~~~~~~~~~~~~~~~~~~

Time, bytes and platform calls of changes of the bundle.

Runs the membership and the rollout of all routers in one process on a mock
clock. The peer exchange is replaced by direct calls of 1 ms there and back,
whose messages are encoded as the exchange does; the platform answers in 5 ms.
Times are those of the protocol; processor time is not in them. Prints JSON
lines.
"""

import argparse
import json
import statistics
import sys
import time
from collections import Counter

import trio
import trio.testing

from bench.bundle_memory import KEY, TRUSTED, key_hash
from eelgrassfork.bundle import Manifest
from eelgrassfork.bundle_fetch import BundleSources
from eelgrassfork.bundle_source import Entry, Sources, compile_parts
from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.bundle_submit import submit
from eelgrassfork.bundle_types import Fleet, Organisation, Place, Service
from eelgrassfork.errors import EelgrassError
from eelgrassfork.membership import Membership, MembershipSettings
from eelgrassfork.options import Problems
from eelgrassfork.peer_messages import (
    Exchange,
    ExchangeAnswer,
    Heartbeat,
    PeerCall,
    PeerResult,
    decode_answer,
    decode_exchange,
    encode,
)
from eelgrassfork.peering import PeerRefused
from eelgrassfork.rollout import Rollout, RolloutSettings
from eelgrassfork.signed_file import seal_bundle
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform

DOMAINS = 4
ORGANISATIONS = 200
BUDGETS = 5
PLATFORM_S = 0.005
ONE_WAY_S = 0.0005
OUTAGE_S = 60


class CountingPlatform(FakePlatform):
    """Counts the calls of one client and the bytes of values it reads."""

    def __init__(self, core, client):
        super().__init__(core, client)
        self.counts = Counter()

    async def get(self, key):
        self.counts['get'] += 1
        stored = await super().get(key)
        self.counts['platform_bytes'] += len(stored.body) if stored else 0
        return stored

    async def put(self, key, body, expected_version):
        self.counts['put'] += 1
        return await super().put(key, body, expected_version)

    async def watch(self, prefix, after_revision, wait_s):
        self.counts['watch'] += 1
        seen = await super().watch(prefix, after_revision, wait_s)
        sizes = (len(each.body) for each in seen.objects)
        self.counts['platform_bytes'] += sum(sizes)
        return seen

    async def vms(self):
        self.counts['vms'] += 1
        return await super().vms()


class DirectPeering:
    """Calls of one router to others, without connections."""

    def __init__(self, fleet, node):
        self.bytes_sent = 0
        self._fleet = fleet
        self._node = node
        self._handlers = {}

    def register(self, kind, handler):
        self._handlers[kind] = handler

    async def send_heartbeat(self, address):
        await self._exchange(self._fleet.nodes_by_address[address], [])

    async def call(self, vm, kind, payload):
        target = self._fleet.nodes_by_vm[vm]
        [result] = await self._exchange(target, [PeerCall(1, kind, payload)])
        if result.code:
            raise PeerRefused(result.code, str(result.payload))
        return result.payload

    async def _exchange(self, target, calls):
        started_at = trio.current_time()
        request = encode(Exchange(self._node.heartbeat(), calls))
        self.bytes_sent += len(request)
        await trio.sleep(ONE_WAY_S)
        body = await target.peering.serve(request)
        await trio.sleep(ONE_WAY_S)
        answer = decode_answer(body)
        self._node.heard(answer.sender, started_at)
        return answer.results

    async def serve(self, request):
        exchange = decode_exchange(request)
        self._node.heard(exchange.sender, trio.current_time())
        results = []
        for number, kind, payload in exchange.calls:
            handler = self._handlers[kind]
            try:
                result = await handler(exchange.sender.holder, payload)
            except EelgrassError as error:
                results.append(PeerResult(number, error.code, {}))
            else:
                results.append(PeerResult(number, '', result))
        answer = encode(ExchangeAnswer(self._node.heartbeat(), results))
        self.bytes_sent += len(answer)
        return answer


class Node:
    """The control part of one router."""

    def __init__(self, fleet, number):
        self.vm = f'vm-{number}'
        addresses = [f'10.0.0.{number}:{port}' for port in (8080, 8081, 8082)]
        domain = f'pazlen/domain-{number % DOMAINS}'
        self.record = VmRecord(
            self.vm, 'router', 'live', 'pazlen', '', domain, 'r', *addresses
        )
        self.platform = CountingPlatform(fleet.platform.core, self.vm)
        self.in_force_at = {}
        self.peering = DirectPeering(fleet, self)

    def build(self, seeds):
        record = self.record
        self.members = Membership(
            self._heartbeat_at_start(),
            self.platform,
            MembershipSettings(seeds=seeds),
        )
        self.rollout = Rollout(
            RolloutSettings(record.failure_domain, TRUSTED),
            BundleSources(self.platform, self.peering, self.members),
            self.members.is_poller,
        )
        put_in_force = self.rollout._put_in_force

        def note(bundle):
            put_in_force(bundle)
            self.in_force_at[bundle.version] = trio.current_time()

        self.rollout._put_in_force = note

    async def start(self, nursery):
        await self.rollout.start(nursery)
        await self.members.start(nursery, self.peering)

    def _heartbeat_at_start(self):
        record = self.record
        return Heartbeat(
            self.vm,
            f'{self.vm}.1',
            'pazlen',
            record.failure_domain,
            record.peer_address,
            'starting',
        )

    def heartbeat(self):
        return self._heartbeat_at_start()._replace(
            state='ready' if self.rollout.current else 'starting',
            bundle_version=self.rollout.version,
            vm_list_revision=self.members.vm_lists.newest.revision,
        )

    def heard(self, heartbeat, started_at):
        self.members.record_heartbeat(heartbeat, started_at)
        self.rollout.note_peer_version(heartbeat.bundle_version, heartbeat.vm)


class BenchFleet:
    """All routers, the platform and one operator."""

    def __init__(self, routers):
        self.platform = FakePlatform()
        self.platform.set_faults(delay_s=PLATFORM_S)
        self.nodes = [Node(self, number) for number in range(routers)]
        self.nodes_by_vm = {node.vm: node for node in self.nodes}
        self.nodes_by_address = {
            node.record.peer_address: node for node in self.nodes
        }
        self.platform.set_vms(*(node.record for node in self.nodes))
        self.operator = CountingPlatform(self.platform.core, 'operator')
        self.store = BundleStore(self.operator, TRUSTED)
        self.version = 0

    async def start(self, nursery):
        await self.change()
        seeds = tuple(node.record.peer_address for node in self.nodes[:8])
        for node in self.nodes:
            node.build(seeds)
        for node in self.nodes:
            await node.start(nursery)
        await trio.sleep(20)
        assert {node.rollout.version for node in self.nodes} == {1}

    async def change(self):
        """Accept a change of one organisation, and tell when."""
        held = sealed(self.version + 1)
        await submit(self.store, held, await self.store.accepted(held))
        self.version += 1
        return trio.current_time()

    def delays(self, version, accepted_at):
        return [
            node.in_force_at[version] - accepted_at
            for node in self.nodes
            if version in node.in_force_at
        ]

    def totals(self):
        totals = Counter()
        for node in self.nodes:
            totals.update(node.platform.counts)
            totals['peer_bytes'] += node.peering.bytes_sent
        return totals


def sealed(version):
    """Sign a bundle in which one organisation differs by version."""
    names = ['pazlen/m']
    organisations = [
        Organisation(
            f'pazlen/o{number}',
            {key_hash(number, each): f'b-{each}' for each in range(BUDGETS)},
            frozenset(names),
            # Each version differs from the one before in one organisation.
            max_in_flight=64 + (version + number) // ORGANISATIONS,
        )
        for number in range(ORGANISATIONS)
    ]
    records = {
        'fleets': [Fleet('pazlen')],
        'places': [
            Place(f'pazlen/domain-{number}', 'pazlen', 'region')
            for number in range(DOMAINS)
        ],
        'services': [Service(name, 'model', 'm') for name in names],
        'organisations': organisations,
    }
    problems = Problems()
    parts = compile_parts(
        Sources(
            {
                kind: {each.name: Entry(each, (), problems) for each in listed}
                for kind, listed in records.items()
            }
        )
    )
    return seal_bundle(Manifest(version, (), version - 1), parts, KEY)


def say(measure, value, unit, **inputs):
    line = {'measure': f'rollout.{measure}', **inputs, 'value': round(value, 4)}
    sys.stdout.write(json.dumps({**line, 'unit': unit}) + '\n')
    sys.stdout.flush()


def say_times(delays, **inputs):
    say('in_force_median', statistics.median(delays), 's', **inputs)
    say('in_force_worst', max(delays), 's', **inputs)


async def measure_rate(fleet, per_minute, changes):
    """Change the bundle at a rate; compare with an idle time as long."""
    routers = len(fleet.nodes)
    inputs = {'routers': routers, 'changes_a_minute': per_minute}
    period = 60 / per_minute
    start = fleet.totals()
    await trio.sleep(period * changes)
    idle = fleet.totals() - start
    operator_before = Counter(fleet.operator.counts)
    before = fleet.totals()
    accepted = {}
    started = trio.current_time()
    for number in range(changes):
        await trio.sleep_until(started + number * period)
        at = await fleet.change()
        accepted[fleet.version] = at
    await trio.sleep_until(started + changes * period)
    busy = fleet.totals() - before
    operator = fleet.operator.counts - operator_before
    await trio.sleep(15)
    delays = [
        delay
        for version, at in accepted.items()
        for delay in fleet.delays(version, at)
    ]
    skipped = changes * routers - len(delays)
    say_times(delays, **inputs)
    say('skipped', skipped / (changes * routers), 'of versions', **inputs)
    for key in ('peer_bytes', 'platform_bytes'):
        extra = (busy[key] - idle[key]) / changes / routers
        say(f'{key}_per_change', extra, 'bytes a router', **inputs)
    for kind in ('get', 'watch'):
        extra = (busy[kind] - idle[kind]) / changes
        say(f'{kind}_calls_per_change', extra, 'calls of all', **inputs)
    calls = operator['get'] + operator['put']
    say('operator_calls_per_change', calls / changes, 'calls', **inputs)
    say(
        'idle_peer_bytes',
        idle['peer_bytes'] / (period * changes) / routers,
        'bytes a second and router',
        **inputs,
    )
    for kind in ('watch', 'vms'):
        say(
            f'idle_{kind}_calls',
            idle[kind] / (period * changes),
            'calls a second of all',
            **inputs,
        )


async def measure_outage(fleet, after_s, repeats):
    """Let the platform fail shortly after it accepted a bundle."""
    delays = []
    late = 0
    for _ in range(repeats):
        at = await fleet.change()
        await trio.sleep_until(at + after_s)
        fleet.platform.set_faults(down=True)
        await trio.sleep(OUTAGE_S)
        fleet.platform.set_faults(down=False)
        await trio.sleep(15)
        found = fleet.delays(fleet.version, at)
        late += sum(delay > 10 for delay in found)
        delays.extend(found)
    inputs = {
        'routers': len(fleet.nodes),
        'platform_down_after_ms': 1000 * after_s,
        'down_s': OUTAGE_S,
        'repeats': repeats,
    }
    say_times(delays, **inputs)
    say('later_than_10_s', late / len(delays), 'of routers', **inputs)


async def run(routers, quick):
    fleet = BenchFleet(routers)
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        for per_minute, changes in ((1, 4), (10, 20), (100, 100)):
            await measure_rate(
                fleet, per_minute, max(changes // (10 if quick else 1), 2)
            )
        for after_ms in (0, 10, 30, 100):
            await measure_outage(fleet, after_ms / 1000, 2 if quick else 5)
        nursery.cancel_scope.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, nargs='*', default=[8, 64])
    parser.add_argument('--quick', action='store_true')
    given = parser.parse_args()
    for routers in given.routers:
        started = time.monotonic()
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run, routers, given.quick, clock=clock)
        say('real_time', time.monotonic() - started, 's', routers=routers)


if __name__ == '__main__':
    main()
