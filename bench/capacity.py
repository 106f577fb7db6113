"""
bench.capacity
~~~~~~~~~~~~~~

Works out the target's load on a node and the platform from slopes.

``python -m bench.slopes > out/slopes.jsonl`` first, then
``python -m bench.capacity out/slopes.jsonl``. docs/CAPACITY.md explains the
lines.
"""

import argparse
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .measure import emit
from .target import (
    DOMAINS,
    MODELS,
    NODES,
    REPLICAS,
    REQUESTS_PER_S,
    TOKENS_PER_S,
)

__all__ = ('Slopes', 'main', 'work_out')

DAY_S = 86_400
BUDGETS = 150_000
ORGANISATIONS = 3_300
CHANGES_A_DAY = 11_000
# Replaced VMs are listed as leaving, delisted, and a new one is listed;
# failed ones are delisted, and a new one is listed.
VM_CHANGES_A_DAY = 3 * 1_600 + 2 * 170
HEARTBEAT_S = 2
# Chosen by a router, and as many routers that chose it.
HEARTBEATS_OUT = 3 + len(DOMAINS) - 1
POLL_S = 1
FALLBACK_POLL_S = 30
OFFERS_A_CHANGE = 6
POLLS_PER_S = 16
SUBSET = 24
# What a router does with each new VM list.
TAKING_A_LIST = (
    'decode_from_peer',
    'learn_deaths',
    'pick_routers',
    'choose_peers',
    'is_poller',
    'update_backends',
    'order_servers',
)
RECLAIM_SCAN_S = 10
SCANNERS = 2
CREDIT_WRITES_PER_S = 200
SHARD_COUNTS = (200, 400, 2_400, 12_000)
REGIONS = 3
# TCP and IP headers of a small exchange: request, answer and an
# acknowledgement of each, 52 bytes with time stamps.
HEADERS_AN_EXCHANGE = 4 * 52

Line = dict[str, Any]


class Slopes:
    """
    Fits and values of a run of bench.slopes.

    :param lines: its output.
    """

    def __init__(self, lines: list[Line]) -> None:
        self._lines = lines

    def fit(self, measure: str, slope: str, **inputs: Any) -> float:
        """
        Read a slope.

        :param measure: what was measured.
        :param slope: name of the slope.
        :param inputs: further fields of the line.
        :returns: the slope.
        """
        return self._find(measure, 'fit', inputs)['fit'][slope]

    def value(self, measure: str, **inputs: Any) -> float:
        """
        Read a value.

        :param measure: what was measured.
        :param inputs: further fields of the line.
        :returns: the value.
        """
        return self._find(measure, 'value', inputs)['value']

    def _find(self, measure: str, field: str, inputs: Line) -> Line:
        for line in reversed(self._lines):
            matches = all(line.get(k) == want for k, want in inputs.items())
            if line['measure'] == measure and field in line and matches:
                return line
        raise KeyError(f'no {field} of {measure} with {inputs}')


def work_out(slopes: Slopes) -> Iterator[Line]:
    """
    Multiply slopes by the target's sizes.

    :param slopes: a run of bench.slopes.
    :returns: iterator of lines by duty.
    """
    for duty in (_membership, _bundle, _reports, _memory, _front):
        yield from duty(slopes)
    for shards in SHARD_COUNTS:
        yield from _ledger(slopes, shards)
    yield from _claims(slopes)
    yield from _reclaim(slopes)


def _line(duty: str, what: str, value: float, unit: str) -> Line:
    return {'duty': duty, 'what': what, 'value': round(value, 3), 'unit': unit}


def _membership(slopes: Slopes) -> Iterator[Line]:
    vms = NODES + REPLICAS
    rate = HEARTBEATS_OUT / HEARTBEAT_S
    beats = rate * sum(
        slopes.fit(f'peers.{side}_cpu_ms', 'per_exchange', calls_each=0)
        for side in ('caller', 'answerer')
    )
    size = sum(
        slopes.fit(f'peers.{way}_bytes', 'per_exchange', calls_each=0)
        for way in ('sent', 'received')
    )
    wire = 2 * rate * (size + HEADERS_AN_EXCHANGE) / 1000
    duty = 'membership'
    yield _line(duty, 'heartbeats', beats, 'ms/s a node')
    yield _line(duty, 'heartbeats', wire, 'KB/s a node')
    revisions = VM_CHANGES_A_DAY / DAY_S
    peer_bytes = slopes.value('vms.size_from_peer', vms=vms)
    take = sum(slopes.value(f'vms.{step}', vms=vms) for step in TAKING_A_LIST)
    yield _line(duty, 'VM list revisions', 1 / revisions, 's between two')
    yield _line(duty, 'VM list', peer_bytes / 1000, 'KB')
    passed = 2 * peer_bytes * revisions / 1000
    yield _line(duty, 'VM list, received and sent', passed, 'KB/s a node')
    yield _line(duty, 'VM list taken', take, 'ms at once')
    yield _line(duty, 'VM list taken', take * revisions, 'ms/s a node')
    platform_bytes = slopes.value('vms.size_from_platform', vms=vms)
    parse = slopes.value('vms.parse_platform', vms=vms)
    yield _line(duty, 'poller parses', parse / POLL_S, 'ms/s a poller')
    per_poller = platform_bytes / POLL_S / 1000
    yield _line(duty, 'poller reads', per_poller, 'KB/s a poller')
    reads = NODES / FALLBACK_POLL_S
    yield _line(duty, 'fallback polls', reads, 'reads/s at the platform')
    fallback = platform_bytes / FALLBACK_POLL_S / 1000
    yield _line(duty, 'fallback polls', fallback, 'KB/s a node')
    all_polls = reads + 2 * len(DOMAINS) / POLL_S
    served = all_polls * platform_bytes / 1e6
    yield _line(duty, 'all polls', served, 'MB/s at the platform')


def _bundle(slopes: Slopes) -> Iterator[Line]:
    between_s = DAY_S / CHANGES_A_DAY
    size = {'organisations': ORGANISATIONS}
    change = slopes.value('bundle.change', **size)
    manifest = slopes.value('bundle.manifest', **size)
    take = slopes.value('bundle.take_change', **size)
    offers = OFFERS_A_CHANGE * sum(
        slopes.fit(f'peers.{side}_cpu_ms', 'per_exchange', calls_each=1)
        for side in ('caller', 'answerer')
    )
    parts = 2 * (change + manifest) / between_s / 1000
    offered = 2 * OFFERS_A_CHANGE * manifest / between_s / 1000
    duty = 'configuration'
    yield _line(duty, 'changes', between_s, 's between two')
    yield _line(duty, 'change taken', take, 'ms at once')
    yield _line(duty, 'changes taken', take / between_s, 'ms/s a node')
    yield _line(duty, 'offers', offers / between_s, 'ms/s a node')
    yield _line(duty, 'parts, received and sent', parts, 'KB/s a node')
    yield _line(duty, 'offers, received and sent', offered, 'KB/s a node')
    writes = 3 / between_s
    yield _line(duty, 'submits', writes, 'writes/s at the platform')


def _reports(slopes: Slopes) -> Iterator[Line]:
    duty = 'engine orders and reports'
    cpu = POLLS_PER_S * slopes.fit('load.cpu_ms', 'per_call')
    size = sum(
        slopes.fit(f'load.{way}_bytes', 'per_call')
        for way in ('sent', 'received')
    )
    wire = POLLS_PER_S * (size + HEADERS_AN_EXCHANGE) / 1000
    yield _line(duty, 'load reports', cpu, 'ms/s a node')
    yield _line(duty, 'load reports', wire, 'KB/s a node')
    age = MODELS * SUBSET / POLLS_PER_S
    yield _line(duty, 'age of a report when renewed', age, 's')
    polls = NODES * POLLS_PER_S / REPLICAS
    yield _line(duty, 'load reports', polls, 'calls/s an engine')


def _memory(slopes: Slopes) -> Iterator[Line]:
    vms = NODES + REPLICAS
    state = {
        'process at rest': slopes.value(
            'router.memory', of='VmRSS', when='at rest'
        ),
        'bundle': slopes.value('bundle.held', organisations=ORGANISATIONS)
        / 1e6,
        'VM list': slopes.value('vms.held_list', vms=vms) / 1e6,
        'backend servers': slopes.value('vms.held_backends', vms=vms) / 1e6,
    }
    for what, size in state.items():
        yield _line('memory', what, size, 'MB')
    yield _line('memory', 'sum', sum(state.values()), 'MB')


def _front(slopes: Slopes) -> Iterator[Line]:
    requests = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / NODES
    servers = REPLICAS // MODELS
    duty = 'front'
    per_chat = slopes.fit('router.whole chat answers', 'per_call')
    per_event = slopes.fit('router.stream', 'per_event')
    routing = sum(
        slopes.value(f'routing.{step}', servers=servers)
        for step in ('snapshot', 'choose')
    )
    admission = slopes.value(
        'admission.enter_and_leave', servers=servers, waiting=0
    )
    yield _line(duty, 'requests', requests, '1/s a node')
    yield _line(duty, 'tokens', tokens, '1/s a node')
    yield _line(duty, 'requests', requests * per_chat, 'ms/s a node')
    yield _line(duty, 'tokens', tokens * per_event, 'ms/s a node')
    yield _line(duty, 'routing', requests * routing, 'ms/s a node')
    yield _line(duty, 'admission', requests * admission, 'ms/s a node')
    homes = slopes.value('credit.find_home', routers=NODES)
    homes += slopes.value('credit.choose_lenders', routers=NODES)
    yield _line(duty, 'finding the home', requests * homes, 'ms/s a node')
    lend = sum(
        slopes.fit(f'peers.{side}_cpu_ms', 'per_exchange', calls_each=1)
        for side in ('caller', 'answerer')
    )
    size = sum(
        slopes.fit(f'peers.{way}_bytes', 'per_exchange', calls_each=1)
        for way in ('sent', 'received')
    )
    calls = 2 * requests
    yield _line(duty, 'reserving at the home', calls * lend, 'ms/s a node')
    wire = 2 * calls * (size + HEADERS_AN_EXCHANGE) / 1000
    yield _line(duty, 'reserving at the home', wire, 'KB/s a node')
    most = 1000 / per_event
    yield _line(duty, 'tokens that fill a core', most, '1/s')


def _ledger(slopes: Slopes, shards: int) -> Iterator[Line]:
    holders = len(DOMAINS)
    per_shard = BUDGETS / shards
    entries = per_shard * holders

    def shard_cost(step: str) -> float:
        per_budget = slopes.fit(f'ledger.{step}', 'per_budget')
        per_entry = slopes.fit(f'ledger.{step}', 'per_entry')
        return per_shard * per_budget + entries * per_entry

    size = shard_cost('size bytes')
    interval_s = shards * holders / CREDIT_WRITES_PER_S
    commit = sum(map(shard_cost, ('decode ms', 'change ms', 'encode ms')))
    duty = f'credit, {shards} shards'
    yield _line(duty, 'shard', size / 1000, 'KB')
    yield _line(duty, 'report interval', interval_s, 's')
    moved = 2 * CREDIT_WRITES_PER_S * size
    yield _line(duty, 'commits', moved / 1e6, 'MB/s at the platform')
    yield _line(duty, 'commits', moved / NODES / 1000, 'KB/s a node')
    yield _line(duty, 'commit', commit, 'ms at once')
    busy = CREDIT_WRITES_PER_S / NODES * commit
    yield _line(duty, 'commits', busy, 'ms/s a node')
    scans = shards * SCANNERS * holders / RECLAIM_SCAN_S
    yield _line(duty, 'reclaim scans', scans, 'reads/s at the platform')
    per_scan = slopes.value('credit.scan_a_shard', routers=NODES)
    scanning = shards * per_scan / RECLAIM_SCAN_S
    yield _line(duty, 'reclaim scans', scanning, 'ms/s a node')


def _claims(slopes: Slopes) -> Iterator[Line]:
    duty = 'claims'
    writes = slopes.value('claims.platform_calls', kind='put')
    for allowed in (60, 300):
        share = allowed / writes / REQUESTS_PER_S
        what = f'orders that {allowed} writes/s carry'
        yield _line(duty, what, 100 * share, '% of requests')
        yield _line(duty, what, allowed / writes, '1/s')
    per_claim = slopes.value('claims.reclaim_list', claims=16_000, unit='ms')
    month = 10_000 * 30
    listed = month * per_claim / 16_000
    yield _line(duty, 'listing a month of 10,000 a day', listed, 'ms at once')
    size = slopes.value('claims.reclaim_list', claims=16_000, unit='bytes')
    listed_mb = month * size / 16_000 / 1e6
    yield _line(duty, 'listing a month of 10,000 a day', listed_mb, 'MB')


def _reclaim(slopes: Slopes) -> Iterator[Line]:
    duty = 'reclaiming'
    share = NODES / (NODES + REPLICAS)
    dead = 170 * share
    engines = slopes.value('reclaim.cpu', engines=REPLICAS)
    failed = slopes.value('reclaim.failed', engines=REPLICAS)
    yield _line(duty, 'dead routers', dead, 'a day')
    yield _line(duty, 'asking all engines', engines, 's of processor time')
    yield _line(duty, 'engines that miss the bound', failed, 'engines')
    calls = dead * REPLICAS / DAY_S
    yield _line(duty, 'asking all engines', calls, 'calls/s in all')
    survey = NODES * slopes.fit(
        'peers.caller_cpu_ms', 'per_exchange', calls_each=1
    )
    yield _line(duty, 'asking all routers', survey / 1000, 's of processor')
    other = (REGIONS - 1) / REGIONS * NODES * 0.15
    yield _line(duty, 'asking all routers in turn', other, 's at 150 ms')


def main() -> None:
    """Read slopes and print what follows from them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('slopes', type=Path)
    options = parser.parse_args()
    text = options.slopes.read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    for line in work_out(Slopes(lines)):
        emit(line)


if __name__ == '__main__':
    main()
