"""
bench.measure
~~~~~~~~~~~~~

Processor time, memory and straight-line fits, shared by the measurements.
"""

import gc
import json
import statistics
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

__all__ = ('cpu_ms', 'emit', 'fit', 'resident_mb', 'row')

_REPEATS = 7
_SHORTEST_S = 0.02


def emit(line: Mapping[str, Any]) -> None:
    """
    Print one measurement.

    :param line: fields; each figure names its unit.
    """
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


def row(measure: str, value: float, unit: str, **inputs: Any) -> dict[str, Any]:
    """
    Make one measurement.

    :param measure: what was measured.
    :param value: the figure.
    :param unit: its unit.
    :param inputs: what it depends on.
    :returns: the fields of a line.
    """
    return {
        'measure': measure,
        **inputs,
        'value': round(value, 6),
        'unit': unit,
    }


def cpu_ms(action: Callable[[], object], repeats: int = _REPEATS) -> float:
    """
    Measure the processor time of an action.

    The median of several runs, because the machine is shared. Short actions
    are looped until a run is long enough for the clock.

    :param action: what is run.
    :param repeats: number of runs.
    :returns: milliseconds for one action.
    """
    action()
    loops = 1
    while (taken := _cpu_s(action, loops)) < _SHORTEST_S:
        loops = max(loops * 2, int(loops * _SHORTEST_S / max(taken, 1e-6)))
    runs = [_cpu_s(action, loops) / loops for _ in range(repeats)]
    return 1000 * statistics.median(runs)


def fit(
    points: Iterable[tuple[tuple[float, ...], float]], names: tuple[str, ...]
) -> dict[str, float]:
    """
    Fit a plane by least squares.

    Every point weighs the same relative to its value; otherwise the largest
    sizes alone would decide.

    :param points: inputs and the measured value.
    :param names: one per input.
    :returns: slope by name, ``base``, and ``worst_error``, the largest
        relative distance of a point from the plane.
    """
    # Not imported above: it would count as memory of measured processes.
    import numpy

    listed = list(points)
    values = numpy.array([value for _, value in listed])
    inputs = numpy.array([[*given, 1.0] for given, _ in listed])
    scaled = inputs / values[:, None]
    solved, *_ = numpy.linalg.lstsq(scaled, numpy.ones(len(values)), rcond=None)
    worst = numpy.max(numpy.abs(scaled @ solved - 1))
    slopes = dict(zip((*names, 'base'), map(float, solved), strict=True))
    return {**slopes, 'worst_error': round(float(worst), 3)}


def resident_mb() -> float:
    """
    Read the resident memory of this process.

    :returns: megabytes.
    """
    status = Path('/proc/self/status').read_text().split('\n')
    line = next(line for line in status if line.startswith('VmRSS'))
    return int(line.split()[1]) / 1024


def _cpu_s(action: Callable[[], object], loops: int) -> float:
    gc.collect()
    started = time.process_time()
    for _ in range(loops):
        action()
    return time.process_time() - started
