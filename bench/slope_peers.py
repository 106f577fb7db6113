"""
bench.slope_peers
~~~~~~~~~~~~~~~~~

Cost of the peer exchange in a running process against its rate.

Exchanges are spread in time as heartbeats are, so that each one pays for
its wake-up; exchanges back to back, as in bench.control_cost, cost less.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any

import trio

from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.peering import Peering, PeerSettings

from .measure import fit, row
from .processes import WireCount, counting_transport, part

__all__ = ('measure',)

RATES = (1, 8, 32, 64)
PEERS = 8
WINDOW_S = 5
WARM_UP_S = 1.5
RESERVE = {
    'budget': 'pazlen/organisation-0001/budget-000001',
    'amount': 1400,
    'number': 12345,
}


def _peering(vm: str, count: WireCount, addresses: dict[str, str]) -> Peering:
    beat = Heartbeat(
        vm,
        f'{vm}.0a1b2c3d',
        'pazlen',
        'pazlen/haskovo',
        '10.12.34.56:8081',
        'ready',
        4_012_345,
        31_000,
    )
    return Peering(
        PeerSettings('a-secret-of-thirty-two-characters', timeout_s=5),
        lambda: beat,
        lambda heartbeat, started_at: None,
        addresses.get,
        counting_transport(count),
    )


async def _echo(sender: str, payload: dict[str, Any]) -> dict[str, Any]:
    await trio.lowlevel.checkpoint()
    return payload


async def serve_peers(
    nursery: trio.Nursery,
) -> tuple[list[str], Callable[[], dict[str, float]]]:
    """
    Run the peers that answer.

    :param nursery: where they run.
    :returns: their addresses and a query for nothing.
    """
    addresses = []
    for number in range(PEERS):
        peering = _peering(f'bg-south-entry-{number:05}', WireCount(), {})
        peering.register('reserve', _echo)
        await peering.start(nursery, '127.0.0.1', 0)
        addresses.append(peering.address)
    return addresses, dict


async def exchange_steadily(
    nursery: trio.Nursery, addresses: list[str], rate: float, calls: int
) -> tuple[str, Callable[[], dict[str, float]]]:
    """
    Run the router under test: it exchanges with each peer in turn.

    :param nursery: where it runs.
    :param addresses: of the peers.
    :param rate: exchanges a second.
    :param calls: calls in each exchange; 0 for a heartbeat alone.
    :returns: its address and a query for bytes on the wire.
    """
    count = WireCount()
    by_vm = {f'peer-{number}': each for number, each in enumerate(addresses)}
    peering = _peering('bg-south-entry-09999', count, by_vm)
    peering.register('reserve', _echo)
    await peering.start(nursery, '127.0.0.1', 0)

    async def exchange(number: int) -> None:
        vm = f'peer-{number % len(addresses)}'
        if not calls:
            await peering.send_heartbeat(by_vm[vm])
            return
        async with trio.open_nursery() as group:
            for _ in range(calls):
                group.start_soon(peering.call, vm, 'reserve', RESERVE)

    async def run() -> None:
        started_at = trio.current_time()
        number = 0
        while rate:
            number += 1
            await trio.sleep_until(started_at + number / rate)
            nursery.start_soon(exchange, number)

    nursery.start_soon(run)
    return peering.address, count.figures


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure the calling and the answering side.

    :param seed: not used.
    :returns: iterator of lines.
    """
    with part(serve_peers) as peers:
        for calls in (0, 1, 8):
            points: dict[str, list[tuple[tuple[float, ...], float]]] = {}
            for rate in RATES:
                figures = _run(peers, rate, calls)
                inputs = {'exchanges_per_s': rate, 'calls_each': calls}
                for name, value in figures.items():
                    yield row(f'peers.{name}', value, _unit(name), **inputs)
                    points.setdefault(name, []).append(((rate,), value))
            for name, listed in points.items():
                yield {
                    'measure': f'peers.{name}',
                    'calls_each': calls,
                    'fit': fit(listed, ('per_exchange',)),
                }


def _unit(name: str) -> str:
    return 'ms/s' if name.endswith('_ms') else 'bytes/s'


def _run(peers: Any, rate: float, calls: int) -> dict[str, float]:
    arguments = (peers.setup_result, rate, calls)
    with part(exchange_steadily, *arguments) as caller:
        time.sleep(WARM_UP_S)
        before, peers_before = caller.figures(), peers.figures()
        time.sleep(WINDOW_S)
        figures = caller.figures().since(before)
        served = peers.figures().since(peers_before)
    return {
        'caller_cpu_ms': figures['cpu_ms_per_s'],
        'answerer_cpu_ms': served['cpu_ms_per_s'],
        'sent_bytes': figures['sent_bytes_per_s'],
        'received_bytes': figures['received_bytes_per_s'],
    }
