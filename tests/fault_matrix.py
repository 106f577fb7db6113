"""
tests.fault_matrix
~~~~~~~~~~~~~~~~~~

Runs every fault at every step; start as ``python -m tests.fault_matrix``.
"""

import argparse
import json
import multiprocessing
import os
import signal
import sys
import time
import traceback
import zlib
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from tests.fault_cells import all_cells, impossible_cells
from tests.fault_play import Outcome, play

__all__ = ('CellResult', 'main')

# Half of the cores of the machine that CI runs on.
JOBS = 5
CELL_LIMIT_S = 90
KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


class CellResult(NamedTuple):
    """Result of a cell."""

    name: str
    seed: int
    outcome: Outcome


def main() -> int:
    """
    Run the matrix and print the results.

    :returns: exit code; 1 if a cell broke that KNOWN-RED.txt does not list.
    """
    options = _options()
    if os.environ.get('PYTHONHASHSEED') != '0':
        # The iteration order of sets of strings must be the same in each run.
        os.environ['PYTHONHASHSEED'] = '0'
        os.execv(sys.executable, [sys.executable, '-m', 'tests.fault_matrix',
                                  *sys.argv[1:]])  # fmt: skip
    cells = [cell for cell in all_cells() if options.only in cell.name]
    impossible = impossible_cells()
    if options.list:
        print(*[cell.name for cell in cells], sep='\n')
        for name, reason in impossible:
            print(f'impossible: {name}: {reason}')
        return 0
    started = time.monotonic()
    results = _play_all(cells, options)
    unknown = _report(results, options)
    broken = sum(bool(each.outcome.problems) for each in results)
    print(f'faults: {time.monotonic() - started:.0f} s')
    print(
        f'faults: cells={len(results)} held={len(results) - broken} '
        f'broken={broken} impossible={len(impossible)}'
    )
    return 1 if unknown else 0


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', default='', help='part of the names')
    parser.add_argument('--seed', type=int, default=1, help='of the run')
    parser.add_argument('--jobs', type=int, default=JOBS)
    parser.add_argument('--list', action='store_true')
    parser.add_argument('--told', action='store_true', help='all answers')
    parser.add_argument('--json', help='file for the outcomes')
    return parser.parse_args()


def _play_all(cells, options) -> list[CellResult]:
    context = multiprocessing.get_context('spawn')
    jobs = [(cell, _seed(cell.name, options.seed)) for cell in cells]
    if options.jobs == 1:
        return [_play(*job) for job in jobs]
    with ProcessPoolExecutor(options.jobs, context) as pool:
        futures = [pool.submit(_play, *job) for job in jobs]
        return [future.result() for future in futures]


def _seed(name: str, seed: int) -> int:
    return zlib.crc32(f'{seed} {name}'.encode())


def _play(cell, seed: int) -> CellResult:
    signal.signal(signal.SIGALRM, _raise_time_out)
    signal.alarm(CELL_LIMIT_S)
    try:
        outcome = play(cell, seed)
    except BaseException:
        outcome = Outcome([traceback.format_exc()], 0, 0, [])
    finally:
        signal.alarm(0)
    return CellResult(cell.name, seed, outcome)


def _raise_time_out(*_) -> None:
    raise TimeoutError(f'the cell took over {CELL_LIMIT_S} s')


def _report(results: list[CellResult], options) -> list[str]:
    known = set(KNOWN_RED.read_text().split()) if KNOWN_RED.exists() else ()
    unknown = []
    for each in results:
        problems = each.outcome.problems
        if problems and each.name not in known:
            unknown.append(each.name)
        if problems:
            note = ' (known)' if each.name in known else ''
            print(f'broken: {each.name} seed {each.seed}{note}')
            print(*[f'    {problem}' for problem in problems], sep='\n')
        elif each.name in known:
            print(f'holds, though listed as known: {each.name}')
        if options.told:
            print(*[f'    {line}' for line in each.outcome.results], sep='\n')
    _report_measures(results)
    if options.json:
        text = json.dumps([[*each[:2], each.outcome] for each in results])
        Path(options.json).write_text(text)
    return unknown


def _report_measures(results: list[CellResult]) -> None:
    refused = Counter()
    settled_s: dict[str, float] = {}
    for each in results:
        fault = each.name.rpartition(':')[-1]
        refused[fault] += each.outcome.refused
        slowest = max(settled_s.get(fault, 0), each.outcome.settled_s)
        settled_s[fault] = slowest
    print(f'faults: false refusals {sum(refused.values())}')
    for fault in sorted(settled_s):
        print(
            f'faults: {fault}: false refusals {refused[fault]}, '
            f'settled after {settled_s[fault]:.0f} s at most'
        )


if __name__ == '__main__':
    sys.exit(main())
