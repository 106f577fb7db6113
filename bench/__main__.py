"""
bench.__main__
~~~~~~~~~~~~~~

Runs the short measurements of ``make bench`` and prints them as tables.

They take a few minutes in all. docs/MEASUREMENTS.md lists the commands of the
longer ones.
"""

import json
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import trio

from . import (
    control_cost,
    exp_credit,
    exp_limits,
    exp_retries,
    exp_routing,
    first_token,
    slope_ledger,
    slope_memory,
    slope_routing,
)
from .load import Load, Target
from .profile import read_profile
from .report import plot, tables
from .sim import run_mocked
from .small_fleet import FleetSize, SmallFleet

OUT = Path('out')
SEED = 20260
CALL_COUNT = 1500
SERVICES = {
    'pazlen': ('matcher', 'shopdesk'),
    'threadlantern': ('eelgrass-llm', 'robe-orders'),
}

Line = dict[str, Any]


def compare_transports() -> Iterator[Line]:
    """
    Compare the cost of the peer exchange with that of grpcio.

    :returns: iterator of measurement lines.
    """
    for transport in control_cost.SERVERS:
        figures = control_cost.measure(transport, CALL_COUNT)
        yield {
            'measure': 'control_cost',
            'transport': transport,
            'cpu_ms_per_call': figures['cpu_ms_per_call'],
            'client_mb': figures['client']['rss_mb'],
            'client_threads': figures['client']['threads'],
            'server_threads': figures['server']['threads'],
        }


def run_profiles() -> Iterator[Line]:
    """
    Run both load profiles, each against its own small fleet.

    :returns: iterator of measurement lines.
    """
    for name, (model, plain_service) in SERVICES.items():
        size = FleetSize(
            places=2,
            routers=2,
            engines=3,
            plain=2,
            model=model,
            plain_service=plain_service,
        )
        with tempfile.TemporaryDirectory() as directory:
            fleet = SmallFleet(Path(directory), size)
            for line in trio.run(_run_profile, fleet, name):
                yield {'profile': name, **line}


async def _run_profile(fleet: SmallFleet, name: str) -> list[Line]:
    try:
        await fleet.start()
        addresses = {'platform': fleet.platform}
        for number, address in enumerate(fleet.server_addresses):
            is_engine = number < fleet.size.engines
            kind = 'engine' if is_engine else 'plain'
            index = number if is_engine else number - fleet.size.engines
            addresses[f'{kind}-{index}'] = address
        urls = tuple(f'http://{each}' for each in fleet.router_addresses)
        target = Target(urls, 'bench-key-{organisation}', addresses)
        load = Load(read_profile(name), target)
        await load.run()
        return list(load.lines())
    finally:
        await fleet.close()


def compare_decisions() -> Iterator[Line]:
    """
    Run one short setting of each experiment against its baselines.

    :returns: iterator of measurement lines.
    """
    for name in ('least requests', 'affinity', 'ours'):
        setting = exp_routing.SETTINGS[0]._replace(duration_s=50)
        figures = run_mocked(exp_routing.run, setting, name, SEED)
        yield {
            'measure': 'routing',
            'setting': 'short',
            'policy': name,
        } | figures
    for name in ('no admission', 'ours, 8 routers'):
        policy = exp_limits.POLICIES[name]
        figures = run_mocked(exp_limits.run, 2, policy, SEED)
        yield {'measure': 'limits', 'load': 2, 'policy': name} | figures
    for name in exp_retries.POLICIES:
        figures = run_mocked(exp_retries.run, 'look-up', 'failing', name, SEED)
        yield {
            'measure': 'retries',
            'kind': 'look-up',
            'policy': name,
        } | figures
    scenario = exp_credit.Scenario('partitioned', cut=True, per_s=8)
    for name in ('equal shares', 'one write each', 'ours'):
        figures = run_mocked(exp_credit.run, scenario, name, SEED)
        yield {
            'measure': 'credit',
            'scenario': 'short',
            'policy': name,
        } | figures


STEPS: dict[str, Callable[[], Iterator[Line]]] = {
    'first token through a router': lambda: first_token.measure(SEED),
    'peer exchange and grpcio': compare_transports,
    'memory of imports': lambda: slope_memory.measure(SEED),
    'ledger shards': lambda: slope_ledger.measure(SEED),
    'routing and admission': lambda: slope_routing.measure(SEED),
    'decisions against baselines': compare_decisions,
    'load of both users': run_profiles,
}


def main() -> int:
    """
    Run all steps, print tables, and write lines and plots to out/.

    :returns: 1 if the latency of the first token through a router is above
        the limit, otherwise 0.
    """
    OUT.mkdir(exist_ok=True)
    lines: list[Line] = []
    for title, step in STEPS.items():
        started_at = time.monotonic()
        step_lines = list(step())
        lines += step_lines
        duration_s = time.monotonic() - started_at
        sys.stdout.write(
            f'== {title} ({duration_s:.0f} s)\n{tables(step_lines)}\n\n'
        )
        sys.stdout.flush()
    with (OUT / 'bench.jsonl').open('w') as file:
        file.writelines(json.dumps(line) + '\n' for line in lines)
    for name in SERVICES:
        profile_lines = [line for line in lines if line.get('profile') == name]
        plot(profile_lines, OUT, name)
    plot([line for line in lines if 'setting' in line], OUT, 'bench')
    return _check_first_token(lines)


def _check_first_token(lines: list[Line]) -> int:
    ratios = [
        line['value']
        for line in lines
        if line['measure'] == 'first_token.ratio'
    ]
    limit = first_token.LARGEST_RATIO
    is_within = max(ratios) <= limit
    verdict = 'within' if is_within else 'ABOVE'
    sys.stdout.write(
        f'first token through a router: at most {max(ratios):.2f} times that '
        f'of the engine, {verdict} the limit of {limit}\n'
    )
    return 0 if is_within else 1


if __name__ == '__main__':
    sys.exit(main())
