"""
bench.slope_ledger
~~~~~~~~~~~~~~~~~~

Measures the size and processor time of a ledger shard by number of budgets and
holder entries.
"""

import itertools
import random
from collections.abc import Iterator
from typing import Any

from eelgrassfork.ledger import (
    HolderEntry,
    LedgerShard,
    decode_shard,
    encode_shard,
    put_holder_entries,
)

from .measure import cpu_ms, fit, row

__all__ = ('make_shard', 'measure')

BUDGETS = (100, 400, 1600)
HOLDERS = (0, 1, 6, 12)
TOP_UPS = 4
# Fraction of the budgets whose entries one group commit replaces.
COMMITTED_SHARE = 0.5


def make_shard(
    source: random.Random, budgets: int, holders: int, top_ups: int = TOP_UPS
) -> LedgerShard:
    """
    Generate a shard like those of the target fleet.

    :param source: random source of the amounts.
    :param budgets: number of budgets.
    :param holders: number of holder entries of each budget.
    :param top_ups: number of top-ups of each budget.
    :returns: the shard.
    """
    return {
        'budgets': {
            f'pazlen/organisation-{number // 45:04}/budget-{number:06}': {
                'granted': top_ups * 100_000_000,
                'top_ups': {
                    f'op-{source.getrandbits(64):016x}': 100_000_000
                    for _ in range(top_ups)
                },
                'closed_spent': source.randrange(100_000_000),
                'holders': {
                    f'bg-south-entry-{holder:04}.{source.getrandbits(32):08x}': (
                        _make_entry(source)
                    )
                    for holder in range(holders)
                },
            }
            for number in range(budgets)
        }
    }


def _make_entry(source: random.Random) -> HolderEntry:
    drawn = source.randrange(1_000_000, 10_000_000)
    through = source.randrange(100_000)
    beyond = ((through + 2, through + 5), (through + 7, through + 30))
    return {
        'drawn': drawn,
        'spent': drawn - source.randrange(500_000),
        'through': through,
        'beyond': beyond,
        'listed_at': source.randrange(100_000),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure decoding, changing and encoding of shards.

    :param seed: seed of the amounts.
    :returns: iterator of measurement lines.
    """
    source = random.Random(seed)
    by_step: dict[str, list[tuple[tuple[float, ...], float]]] = {}
    for budgets, holders in itertools.product(BUDGETS, HOLDERS):
        shard = make_shard(source, budgets, holders)
        for (step, unit), value in _figures(source, shard).items():
            size = {'budgets': budgets, 'holders': holders}
            yield row(f'ledger.{step}', value, unit, **size)
            point = ((budgets, budgets * holders), value)
            by_step.setdefault(f'{step} {unit}', []).append(point)
    for step, points in by_step.items():
        slopes = fit(points, ('per_budget', 'per_entry'))
        yield {'measure': f'ledger.{step}', 'fit': slopes}
    source = random.Random(seed)
    bytes_without_top_ups = len(encode_shard(make_shard(source, 400, 1, 0)))
    bytes_with_top_ups = len(encode_shard(make_shard(source, 400, 1, 50)))
    per_top_up = (bytes_with_top_ups - bytes_without_top_ups) / 400 / 50
    yield row('ledger.size', per_top_up, 'bytes', per='top-up of a budget')


def _figures(
    source: random.Random, shard: LedgerShard
) -> dict[tuple[str, str], float]:
    body = encode_shard(shard)
    changed_count = int(len(shard['budgets']) * COMMITTED_SHARE)
    entries = {
        budget: _make_entry(source)
        for budget in list(shard['budgets'])[:changed_count]
    }
    return {
        ('size', 'bytes'): len(body),
        ('decode', 'ms'): cpu_ms(lambda: decode_shard(body)),
        ('change', 'ms'): cpu_ms(
            lambda: put_holder_entries(shard, 'bg-south-entry-0.1', entries)
        ),
        ('encode', 'ms'): cpu_ms(lambda: encode_shard(shard)),
    }
