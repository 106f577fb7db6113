"""
bench.slope_memory
~~~~~~~~~~~~~~~~~~

Resident memory and time of each import, one after the other.
"""

import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from .measure import row

__all__ = ('measure',)

LIBRARIES = (
    'trio',
    'h11',
    'msgspec',
    'logbook',
    'statsd',
    'nacl.signing',
)
PACKAGE = (
    'eelgrassfork.http_server',
    'eelgrassfork.http_client',
    'eelgrassfork.platform_client',
    'eelgrassfork.peering',
    'eelgrassfork.membership',
    'eelgrassfork.ledger',
    'eelgrassfork.claims',
    'eelgrassfork.rollout',
    'eelgrassfork.routing',
    'eelgrassfork.limits',
    'eelgrassfork.backends',
    'eelgrassfork.load_reports',
    'eelgrassfork.engine_client',
)
# Each run of its own process, since an import can't be undone.
PROGRAM = """
import gc, json, sys, time
def resident(field='VmRSS'):
    with open('/proc/self/status') as status:
        line = next(line for line in status if line.startswith(field))
    return int(line.split()[1]) / 1024
out = [['python', resident(), 0.0]]
for name in sys.argv[1:]:
    before, started = resident(), time.process_time()
    __import__(name)
    gc.collect()
    out.append([name, resident() - before, time.process_time() - started])
out.append(['total', resident(), time.process_time()])
out.append(['total, not backed by files', resident('RssAnon'), 0.0])
sys.stdout.write(json.dumps(out))
"""


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Import libraries alone, then libraries and package in order.

    :param seed: not used.
    :returns: iterator of lines.
    """
    for name in LIBRARIES:
        figures = run_imports(name)
        yield row('memory.alone', figures[1][1], 'MB', module=name)
    for name, added_mb, taken_s in run_imports(*LIBRARIES, *PACKAGE):
        yield row('memory.in_order', added_mb, 'MB', module=name)
        yield row('memory.import_time', taken_s, 's', module=name)


def run_imports(*names: str) -> list[tuple[str, float, float]]:
    """
    Import modules in a fresh process.

    :param names: modules in order.
    :returns: name, added resident MB and processor seconds of each; the
        first is the bare interpreter, the last the total.
    """
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM, *names],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    return [tuple(entry) for entry in json.loads(done.stdout)]
