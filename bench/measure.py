"""
bench.measure
~~~~~~~~~~~~~

Processor time, memory and linear fits, shared by the measurements.
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
_MIN_RUN_S = 0.02


def emit(line: Mapping[str, Any]) -> None:
    """
    Print one measurement.

    :param line: fields; each figure names its unit.
    """
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


def row(measure: str, value: float, unit: str, **inputs: Any) -> dict[str, Any]:
    """
    Build one measurement.

    :param measure: name of the measurement.
    :param value: measured value.
    :param unit: unit of the value.
    :param inputs: parameters of the measurement.
    :returns: fields of the output line.
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

    The result is the median of several runs, because the machine is shared.
    Short actions are repeated until a run is long enough for the resolution of
    the clock.

    :param action: the measured function.
    :param repeats: number of runs.
    :returns: milliseconds per call.
    """
    action()
    loops = 1
    while (run_s := _cpu_s(action, loops)) < _MIN_RUN_S:
        loops = max(loops * 2, int(loops * _MIN_RUN_S / max(run_s, 1e-6)))
    runs = [_cpu_s(action, loops) / loops for _ in range(repeats)]
    return 1000 * statistics.median(runs)


def fit(
    points: Iterable[tuple[tuple[float, ...], float]], names: tuple[str, ...]
) -> dict[str, float]:
    """
    Fit a plane by least squares.

    Errors are weighted relative to the measured value; with absolute errors,
    the largest sizes would dominate the fit.

    :param points: inputs and measured value of each point.
    :param names: names of the inputs.
    :returns: slope by name, ``base``, and ``worst_error``, the largest
        relative distance of a point from the plane.
    """
    # Imported here so that numpy does not add to the memory of measured
    # processes.
    import numpy

    point_list = list(points)
    values = numpy.array([value for _, value in point_list])
    inputs = numpy.array([[*point, 1.0] for point, _ in point_list])
    scaled = inputs / values[:, None]
    solution, *_ = numpy.linalg.lstsq(
        scaled, numpy.ones(len(values)), rcond=None
    )
    worst = numpy.max(numpy.abs(scaled @ solution - 1))
    slopes = dict(zip((*names, 'base'), map(float, solution), strict=True))
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
