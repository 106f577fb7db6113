"""
bench.slope_ledger
~~~~~~~~~~~~~~~~~~

Bytes and processor time of a ledger shard against its size.
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
# The entries that one group commit replaces.
COMMITTED = 0.5


def make_shard(
    source: random.Random, budgets: int, holders: int, top_ups: int = TOP_UPS
) -> LedgerShard:
    """
    Make a shard as the target would have it.

    :param source: random source of the amounts.
    :param budgets: how many budgets.
    :param holders: entries of each.
    :param top_ups: grants that each has seen.
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
                        _entry(source)
                    )
                    for holder in range(holders)
                },
            }
            for number in range(budgets)
        }
    }


def _entry(source: random.Random) -> HolderEntry:
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
    Measure decoding, changing and encoding.

    :param seed: seed of the amounts.
    :returns: iterator of lines.
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
    without = len(encode_shard(make_shard(source, 400, 1, 0)))
    with_ups = len(encode_shard(make_shard(source, 400, 1, 50)))
    per_top_up = (with_ups - without) / 400 / 50
    yield row('ledger.size', per_top_up, 'bytes', per='top-up of a budget')


def _figures(
    source: random.Random, shard: LedgerShard
) -> dict[tuple[str, str], float]:
    body = encode_shard(shard)
    changed = int(len(shard['budgets']) * COMMITTED)
    entries = {
        budget: _entry(source) for budget in list(shard['budgets'])[:changed]
    }
    return {
        ('size', 'bytes'): len(body),
        ('decode', 'ms'): cpu_ms(lambda: decode_shard(body)),
        ('change', 'ms'): cpu_ms(
            lambda: put_holder_entries(shard, 'bg-south-entry-0.1', entries)
        ),
        ('encode', 'ms'): cpu_ms(lambda: encode_shard(shard)),
    }
