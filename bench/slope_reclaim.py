"""
bench.slope_reclaim
~~~~~~~~~~~~~~~~~~~

Time to ask every engine for the records of one dead holder.

A few stand-ins answer in place of all engines, each under many addresses of
the list; the asking router does the same work as with engines of their own.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any

import trio

from eelgrassfork.engine_client import EngineClient
from eelgrassfork.http_client import ClientTimeouts, HttpClient
from eelgrassfork.record_sources import engine_source
from eelgrassfork.spend_records import RecordsMissing

from .measure import row
from .processes import part
from .slope_reports import HOLDER, run_engines

__all__ = ('measure',)

ENGINES = (100, 400, 1_600, 7_200)
# As in eelgrassfork.router.
MAX_IDLE = 32


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Ask ever more engines at once, as the reclaimer does.

    :param seed: not used.
    :returns: iterator of lines.
    """
    with part(run_engines) as first, part(run_engines) as second:
        answering = [*first.setup_result, *second.setup_result]
        for engines in ENGINES:
            addresses = [
                answering[number % len(answering)] for number in range(engines)
            ]
            figures = trio.run(_ask_all, addresses)
            for name, value in figures.items():
                unit = 'engines' if name == 'failed' else 's'
                yield row(f'reclaim.{name}', value, unit, engines=engines)


async def _ask_all(addresses: list[str]) -> dict[str, float]:
    http = HttpClient(ClientTimeouts(), MAX_IDLE)
    read: Callable[[str], Any] = engine_source(
        EngineClient(http), lambda: addresses
    )
    failed = 0
    cpu_s, started_at = time.process_time(), trio.current_time()
    try:
        await read(HOLDER)
    except RecordsMissing as error:
        failed = len(error.message.split('; '))
    figures = {
        'wall': trio.current_time() - started_at,
        'cpu': time.process_time() - cpu_s,
        'failed': failed,
    }
    await http.close()
    return figures
