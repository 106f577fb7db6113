"""
bench.slope_router
~~~~~~~~~~~~~~~~~~

Processor time and memory of a whole router process against its load.
"""

import functools
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.http_client import ClientRequest, HttpClient

from .measure import fit, row
from .small_fleet import LLM, STOCK, FleetSize, SmallFleet, key_of

__all__ = ('measure',)

SIZE = FleetSize(engines=2, plain=2, engine_slots=256, in_flight=512)
RATES = (5, 20, 60)
STREAMS = (4, 16, 48)
WORDS = 230
IDLE_S = 10
WINDOW_S = 6
WARM_UP_S = 2
TICKS_PER_S = 100
CHAT = '/v1/chat/completions'


class _Usage(NamedTuple):
    at: float
    cpu_s: float


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure a router at rest, with look-ups, orders and streams.

    :param seed: not used.
    :returns: iterator of lines.
    """
    with tempfile.TemporaryDirectory() as directory:
        yield from trio.run(_measure, Path(directory))


async def _measure(directory: Path) -> list[dict[str, Any]]:
    fleet = SmallFleet(directory, SIZE)
    lines: list[dict[str, Any]] = []
    try:
        await fleet.start()
        pid = fleet.pid_of(0)
        await trio.sleep(WARM_UP_S)
        before = _usage(pid)
        lines += _memory(pid, 'at rest')
        await trio.sleep(IDLE_S)
        idle = _cpu_ms_per_s(before, _usage(pid))
        lines.append(row('router.cpu', idle, 'ms/s', load='none'))
        for name, ask in _CALLS.items():
            lines += await _calls(fleet, name, ask)
        lines += await _streams(fleet)
        lines += _memory(pid, 'after load')
    finally:
        await fleet.close()
    return lines


async def _calls(
    fleet: SmallFleet, name: str, ask: Callable[[str, int], ClientRequest]
) -> list[dict[str, Any]]:
    lines, points = [], []
    for rate in RATES:
        cpu, done = await _drive(fleet, ask, rate)
        lines.append(row('router.cpu', cpu, 'ms/s', load=name, per_s=done))
        points.append(((done,), cpu))
    slopes = fit(points, ('per_call',))
    lines.append({'measure': f'router.{name}', 'unit': 'ms', 'fit': slopes})
    return lines


async def _drive(
    fleet: SmallFleet, ask: Callable[[str, int], ClientRequest], rate: float
) -> tuple[float, float]:
    http = HttpClient(max_idle=64)
    address = fleet.router_addresses[0]
    statuses: list[int] = []

    async def one(number: int) -> None:
        response, _ = await http.fetch(ask(address, number))
        statuses.append(response.status)

    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        end = started_at + WARM_UP_S + WINDOW_S
        number, before, counted = 0, None, 0
        while trio.current_time() < end:
            number += 1
            await trio.sleep_until(started_at + number / rate)
            nursery.start_soon(one, number)
            if before is None and trio.current_time() > started_at + WARM_UP_S:
                before, counted = _usage(fleet.pid_of(0)), len(statuses)
        after, done = _usage(fleet.pid_of(0)), len(statuses) - counted
    await http.close()
    if set(statuses) != {200}:
        raise RuntimeError(f'answers: {sorted(set(statuses))}')
    assert before is not None
    return _cpu_ms_per_s(before, after), done / (after.at - before.at)


async def _streams(fleet: SmallFleet) -> list[dict[str, Any]]:
    lines, points = [], []
    for streams in STREAMS:
        cpu, events = await _keep_open(fleet, streams)
        inputs = {'streams': streams, 'events_per_s': round(events)}
        lines.append(row('router.cpu', cpu, 'ms/s', load='streams', **inputs))
        points.append(((events,), cpu))
    slopes = fit(points, ('per_event',))
    lines.append({'measure': 'router.stream', 'unit': 'ms', 'fit': slopes})
    return lines


async def _keep_open(fleet: SmallFleet, streams: int) -> tuple[float, float]:
    http = HttpClient(max_idle=64)
    address = fleet.router_addresses[0]
    events = 0

    async def stream(number: int) -> None:
        nonlocal events
        await trio.sleep(number * 0.003)
        while True:
            response = await http.request(_chat(address, number, WORDS))
            async for chunk in response.chunks():
                events += chunk.count(b'data: ')
            await response.close()
            number += streams

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(stream, number)
        await trio.sleep(WARM_UP_S)
        before, counted = _usage(fleet.pid_of(0)), events
        await trio.sleep(WINDOW_S)
        after, done = _usage(fleet.pid_of(0)), events - counted
        nursery.cancel_scope.cancel()
    await http.close()
    # The engines end what they still generate.
    await trio.sleep(1)
    return _cpu_ms_per_s(before, after), done / (after.at - before.at)


def _look_up(address: str, number: int) -> ClientRequest:
    target = f'/services/{STOCK}/thread-stock?sku={number}'
    return ClientRequest(address, 'GET', target, _key(number))


def _order(address: str, number: int) -> ClientRequest:
    headers = (
        *_key(number),
        (
            'idempotency-key',
            f'order-{id(address)}-{number}-{trio.current_time()}',
        ),
    )
    target = f'/services/{STOCK}/orders'
    return ClientRequest(address, 'POST', target, headers, b'{"robe": 1}')


def _chat(
    address: str, number: int, words: int, stream: bool = True
) -> ClientRequest:
    question = f'where does piece {number} fit? ' * 40
    content = {
        'model': LLM,
        'messages': [{'role': 'user', 'content': question}],
        'stream': stream,
        'metadata': {'words': str(words)},
    }
    body = msgspec.json.encode(content)
    return ClientRequest(address, 'POST', CHAT, _key(number), body)


def _key(number: int) -> tuple[tuple[str, str], ...]:
    key = key_of(number % SIZE.organisations)
    return (('authorization', f'Bearer {key}'),)


_CALLS: dict[str, Callable[[str, int], ClientRequest]] = {
    'look-ups': _look_up,
    'orders': _order,
    'whole chat answers': functools.partial(_chat, words=1, stream=False),
}


def _usage(pid: int) -> _Usage:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return _Usage(trio.current_time(), ticks / TICKS_PER_S)


def _cpu_ms_per_s(before: _Usage, after: _Usage) -> float:
    return 1000 * (after.cpu_s - before.cpu_s) / (after.at - before.at)


def _memory(pid: int, when: str) -> list[dict[str, Any]]:
    status = Path(f'/proc/{pid}/status').read_text().split('\n')
    return [
        row(
            'router.memory',
            int(line.split()[1]) / 1024,
            'MB',
            of=name,
            when=when,
        )
        for line in status
        for name in ('VmRSS', 'RssAnon', 'VmHWM')
        if line.startswith(name)
    ]
