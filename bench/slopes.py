"""
bench.slopes
~~~~~~~~~~~~

Measures how the cost of each duty grows, as JSON lines.

``python -m bench.slopes ledger`` and so on; docs/CAPACITY.md names the
command behind each of its figures.
"""

import argparse
import importlib

from .measure import emit

__all__ = ('DUTIES', 'main')

DUTIES = (
    'ledger',
    'vms',
    'memory',
    'bundle',
    'claims',
    'peers',
    'relay',
    'routing',
    'reports',
    'reclaim',
    'router',
    'credit',
)

SEED = 20260


def main() -> None:
    """Measure the duties named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('duties', nargs='*', metavar='duty', help=str(DUTIES))
    parser.add_argument('--seed', type=int, default=SEED)
    options = parser.parse_args()
    unknown = set(options.duties) - set(DUTIES)
    if unknown:
        parser.error(f'unknown: {sorted(unknown)}; known: {DUTIES}')
    for duty in options.duties or DUTIES:
        module = importlib.import_module(f'.slope_{duty}', __package__)
        for line in module.measure(options.seed):
            emit(line)


if __name__ == '__main__':
    main()
