"""
bench.slope_reports
~~~~~~~~~~~~~~~~~~~

Cost of load reports and records asked of engines, per call.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any

import trio

from eelgrassfork.engine_client import EngineClient
from eelgrassfork.http_client import ClientRequest, HttpClient
from standins.engine import EngineSettings, EngineStandin

from .measure import fit, row
from .processes import WireCount, counting_transport, part

__all__ = ('measure',)

RATES = (1, 8, 32)
ENGINES = 8
WINDOW_S = 5
WARM_UP_S = 1.5
HOLDER = 'bg-south-entry-00001.0a1b2c3d/'

_Serving = tuple[Any, Callable[[], dict[str, float]]]


async def run_engines(nursery: trio.Nursery) -> _Serving:
    """
    Run engine stand-ins.

    :param nursery: where they run.
    :returns: addresses and a query for nothing.
    """
    addresses = []
    for number in range(ENGINES):
        engine = EngineStandin(EngineSettings('model-1', seed=number))
        await engine.start(nursery, '127.0.0.1', 0)
        addresses.append(engine.address)
    return addresses, dict


async def run_asker(
    nursery: trio.Nursery, addresses: list[str], rate: float, what: str
) -> _Serving:
    """
    Ask the engines in turn.

    :param nursery: where it runs.
    :param addresses: of the engines.
    :param rate: calls a second.
    :param what: ``load`` or ``records``.
    :returns: nothing and a query for bytes on the wire.
    """
    count = WireCount()
    http = HttpClient(transport=counting_transport(count))
    engines = EngineClient(http)

    async def ask(address: str) -> None:
        if what == 'load':
            await http.fetch(ClientRequest(address, 'GET', '/v1/load'))
        else:
            await engines.records(address, HOLDER)

    async def run() -> None:
        started_at = trio.current_time()
        number = 0
        while True:
            number += 1
            await trio.sleep_until(started_at + number / rate)
            nursery.start_soon(ask, addresses[number % len(addresses)])

    nursery.start_soon(run)
    await trio.lowlevel.checkpoint()
    return '', count.figures


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure the asking side against the rate of calls.

    :param seed: not used.
    :returns: iterator of lines.
    """
    with part(run_engines) as engines:
        for what in ('load', 'records'):
            points: dict[str, list[tuple[tuple[float, ...], float]]] = {}
            for rate in RATES:
                figures = _run(engines.setup_result, rate, what)
                for name, value in figures.items():
                    unit = 'ms/s' if name == 'cpu_ms' else 'bytes/s'
                    inputs = {'calls_per_s': rate}
                    yield row(f'{what}.{name}', value, unit, **inputs)
                    points.setdefault(name, []).append(((rate,), value))
            for name, listed in points.items():
                yield {
                    'measure': f'{what}.{name}',
                    'fit': fit(listed, ('per_call',)),
                }


def _run(addresses: list[str], rate: float, what: str) -> dict[str, float]:
    with part(run_asker, addresses, rate, what) as asker:
        time.sleep(WARM_UP_S)
        before = asker.figures()
        time.sleep(WINDOW_S)
        figures = asker.figures().since(before)
    return {
        'cpu_ms': figures['cpu_ms_per_s'],
        'sent_bytes': figures['sent_bytes_per_s'],
        'received_bytes': figures['received_bytes_per_s'],
    }
