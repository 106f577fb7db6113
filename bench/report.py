"""
bench.report
~~~~~~~~~~~~

Tables and plots from the JSON lines of the measurements.

``python -m bench.report out/run.jsonl ...`` prints tables and writes SVG
files beside the input.
"""

import argparse
import json
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

__all__ = ('main', 'plot', 'read_lines', 'table', 'tables')

Line = Mapping[str, Any]

_HIDDEN = frozenset(('histogram_us',))
_PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9)


def read_lines(paths: Iterable[Path]) -> list[Line]:
    """
    Read measurements.

    :param paths: files of JSON lines.
    :returns: all lines.
    """
    return [
        json.loads(line)
        for path in paths
        for line in path.read_text().splitlines()
        if line.startswith('{')
    ]


def tables(lines: Iterable[Line]) -> str:
    """
    Set out measurements in tables, one for each kind with the same fields.

    :param lines: measurements.
    :returns: text.
    """
    groups: dict[tuple[str, tuple[str, ...]], list[Line]] = {}
    for line in lines:
        if line['measure'] == 'load.second':
            continue
        flat = _flat(line)
        fields = tuple(name for name in flat if name != 'measure')
        groups.setdefault((line['measure'], fields), []).append(flat)
    return '\n\n'.join(
        f'{measure}\n{table(fields, rows)}'
        for (measure, fields), rows in groups.items()
    )


def table(fields: Sequence[str], rows: Iterable[Line]) -> str:
    """
    Set out one table.

    :param fields: names of the columns.
    :param rows: lines with these fields.
    :returns: text with aligned columns.
    """
    cells = [list(fields)]
    cells += [[_text(line[field]) for field in fields] for line in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def plot(lines: Sequence[Line], directory: Path, name: str) -> list[Path]:
    """
    Draw what can be drawn: times of a load by percentile, its outcomes by
    second, and choosers side by side.

    :param lines: measurements.
    :param directory: where the files go.
    :param name: beginning of their names.
    :returns: the SVG files.
    """
    drawn = []
    for kind, draw in (
        ('times', _draw_times),
        ('seconds', _draw_seconds),
        ('routing', _draw_routing),
    ):
        path = directory / f'{name}-{kind}.svg'
        if draw(lines, path):
            drawn.append(path)
    return drawn


def _draw_times(lines: Sequence[Line], path: Path) -> bool:
    from hdrh.histogram import HdrHistogram

    chosen = [
        line
        for line in lines
        if line['measure'] in {'load.first_byte', 'load.whole'}
    ]
    if not chosen:
        return False
    axes, save = _figure('percentile', 'ms from the intended start')
    for line in chosen:
        histogram = HdrHistogram.decode(line['histogram_us'])
        values = [
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in _PERCENTILES
        ]
        kind = line['measure'].partition('.')[2].replace('_', ' ')
        ticks = range(len(_PERCENTILES))
        axes.plot(ticks, values, marker='.', label=f'{line["stream"]}, {kind}')
    axes.set_xticks(range(len(_PERCENTILES)), map(str, _PERCENTILES))
    axes.set_yscale('log')
    save(path)
    return True


def _draw_seconds(lines: Sequence[Line], path: Path) -> bool:
    chosen = [line for line in lines if line['measure'] == 'load.second']
    if not chosen:
        return False
    axes, save = _figure('second', 'requests')
    counts: dict[tuple[str, str], dict[int, int]] = {}
    for line in chosen:
        for outcome, count in line['by_outcome'].items():
            by_second = counts.setdefault((line['stream'], outcome), {})
            by_second[line['second']] = count
    last = max(line['second'] for line in chosen)
    for (stream, outcome), by_second in sorted(counts.items()):
        heights = [by_second.get(second, 0) for second in range(last + 1)]
        style = '-' if outcome == 'ok' else ':'
        axes.plot(heights, style, label=f'{stream}: {outcome}')
    save(path)
    return True


def _draw_routing(lines: Sequence[Line], path: Path) -> bool:
    chosen = [line for line in lines if line['measure'] == 'routing']
    if not chosen:
        return False
    settings = list(dict.fromkeys(line['setting'] for line in chosen))
    policies = list(dict.fromkeys(line['policy'] for line in chosen))
    axes, save = _figure('setting', 'first token, p99 in ms')
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        found = [line for line in chosen if line['policy'] == policy]
        places = [
            settings.index(line['setting']) + number * width for line in found
        ]
        heights = [line['first_token']['p99_ms'] for line in found]
        axes.bar(places, heights, width, label=policy)
    axes.set_xticks(range(len(settings)), settings)
    axes.set_yscale('log')
    save(path)
    return True


def _figure(x_label: str, y_label: str) -> Any:
    import matplotlib as mpl

    mpl.use('svg')
    # The same input gives the same file.
    mpl.rcParams['svg.hashsalt'] = 'bench'
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)

    def save(path: Path) -> None:
        axes.legend(fontsize='small')
        figure.tight_layout()
        figure.savefig(path, metadata={'Date': None})
        pyplot.close(figure)

    return axes, save


def _flat(line: Line) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, value in line.items():
        if name in _HIDDEN:
            continue
        if isinstance(value, dict) and name in {'first_token', 'fit'}:
            flat.update({f'{name}.{key}': each for key, each in value.items()})
        else:
            flat[name] = value
    return flat


def _text(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.4g}' if abs(value) < 10_000 else f'{value:,.0f}'
    if isinstance(value, dict):
        return ', '.join(f'{key} {_text(each)}' for key, each in value.items())
    return str(value)


def main() -> None:
    """Print tables of files of JSON lines and draw plots beside them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('files', nargs='+', type=Path)
    options = parser.parse_args()
    for path in options.files:
        lines = read_lines([path])
        print(tables(lines))  # noqa: T201
        for drawn in plot(lines, path.parent, path.stem):
            print(f'\n{drawn}')  # noqa: T201


if __name__ == '__main__':
    main()
