"""
bench.exp_retries
~~~~~~~~~~~~~~~~~

One of five backend servers is slow, silent or failing: whole routers with
their retry budget and ejection, against retries without either.
"""

import argparse
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.http_client import ClientRequest, HttpClientError

from .measure import emit
from .sim import quantiles, run_mocked
from .world import World, WorldSize

__all__ = ('FAULTS', 'POLICIES', 'main', 'run')

FAULTS: dict[str, dict[str, Any]] = {
    'none': {},
    'slow': {'slow_factor': 10},
    'silent': {'silent': True},
    'failing': {'fail': True},
    'all failing': {'fail': True},
}
CHAT = '/v1/chat/completions'
STOCK_PATH = '/thread-stock'
KINDS = ('chat', 'look-up')
POLICIES = ('ours', 'retries without budget or ejection')
SERVERS = 5
PER_S = 25
WARM_UP_S = 10
FAULT_S = 40
# A faulty server counts as avoided once it gets less than this part of the
# requests of a second; a fair part is a fifth.
AVOIDED_SHARE = 0.05
SERVICE = {'first_byte_ms': 3_000, 'silence_ms': 3_000}
SIZE = {
    'chat': WorldSize(routers=2, engines=SERVERS, model=SERVICE),
    'look-up': WorldSize(
        routers=2,
        engines=0,
        plain_servers=SERVERS,
        plain={**SERVICE, 'price_tokens': 20},
    ),
}


class _Seen(NamedTuple):
    at: float
    took_s: float
    ok: bool


class _Watch:
    """Counts the requests that arrive at each server."""

    def __init__(self, world: World) -> None:
        self.arrivals: list[tuple[float, int]] = []
        self.servers = [*world.engines, *world.plain_servers]
        for number, server in enumerate(self.servers):
            server.fault_injector.track_connection = self._counting(
                number, server.fault_injector.track_connection
            )

    def _counting(self, number: int, arrive: Any) -> Any:
        def count(call: Any) -> None:
            # Not polls, and not the cancellation of given-up attempts.
            if call.path in {CHAT, STOCK_PATH}:
                self.arrivals.append((trio.current_time(), number))
            arrive(call)

        return count


async def run(kind: str, fault: str, policy: str, seed: int) -> dict[str, Any]:
    """
    Run one fault.

    :param kind: ``chat`` or ``look-up``.
    :param fault: a key of :data:`FAULTS`.
    :param policy: one of :data:`POLICIES`.
    :param seed: seed of the arrivals.
    :returns: figures.
    """
    world = World(SIZE[kind], seed)
    watch = _Watch(world)
    source = random.Random(seed)
    seen: list[_Seen] = []
    async with trio.open_nursery() as background:
        await world.start(background)
        if policy != 'ours':
            _drop_protection(world)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            broken = watch.servers[: None if fault.startswith('all') else 1]
            nursery.start_soon(_break, broken, fault)
            at = started_at
            number = 0
            while at < started_at + WARM_UP_S + FAULT_S:
                at += source.expovariate(PER_S)
                number += 1
                await trio.sleep_until(at)
                nursery.start_soon(_ask, world, kind, number, seen)
        fault_at = started_at + WARM_UP_S
        figures = _figures(seen, watch.arrivals, fault_at)
        background.cancel_scope.cancel()
    return figures


async def _break(servers: list[Any], fault: str) -> None:
    await trio.sleep(WARM_UP_S)
    for server in servers if FAULTS[fault] else ():
        server.set_faults(**FAULTS[fault])


def _drop_protection(world: World) -> None:
    for router in world.routers:
        router.backends.record_failure = lambda vm, silent=False: None
        budget = router.requests._retry_budget
        budget._capacity = budget._tokens = 1e9


async def _ask(world: World, kind: str, number: int, seen: list[_Seen]) -> None:
    started_at = trio.current_time()
    request = _request(world, kind, number)
    ok, took_s = False, 0.0
    try:
        with trio.fail_after(60):
            response = await world.http.request(request)
            try:
                async for _ in response.chunks():
                    took_s = took_s or trio.current_time() - started_at
                ok = response.status == 200
            finally:
                await response.close()
    except (HttpClientError, trio.TooSlowError):
        ok = False
    took_s = took_s or trio.current_time() - started_at
    seen.append(_Seen(started_at, took_s, ok))


def _request(world: World, kind: str, number: int) -> ClientRequest:
    address = world.routers[number % len(world.routers)].callers.address
    headers = world.key_headers(number % world.size.organisations)
    if kind == 'look-up':
        target = f'/services/stock{STOCK_PATH}?sku={number}'
        return ClientRequest(address, 'GET', target, headers)
    content = {
        'model': 'llm',
        'messages': [{'role': 'user', 'content': f'piece {number}'}],
        'stream': True,
        'metadata': {'words': '24'},
    }
    body = msgspec.json.encode(content)
    return ClientRequest(address, 'POST', '/v1/chat/completions', headers, body)


def _figures(
    seen: list[_Seen], arrivals: list[tuple[float, int]], fault_at: float
) -> dict[str, Any]:
    during = [each for each in seen if each.at >= fault_at]
    sent = [(at, number) for at, number in arrivals if at >= fault_at]
    return {
        'requests': len(during),
        'failed': sum(not each.ok for each in during),
        'amplification': round(len(sent) / len(during), 3),
        'sent_to_faulty': sum(number == 0 for _, number in sent),
        'faulty_share_last_10_s': _share(sent, fault_at + FAULT_S - 10),
        'avoided_after_s': _avoided_after(sent, fault_at),
        'first_byte': quantiles(each.took_s for each in during if each.ok),
    }


def _share(sent: list[tuple[float, int]], since: float) -> float:
    late = [number for at, number in sent if at >= since]
    return round(sum(number == 0 for number in late) / max(len(late), 1), 3)


def _avoided_after(
    sent: list[tuple[float, int]], fault_at: float
) -> float | None:
    counts: Counter[tuple[int, bool]] = Counter(
        (int(at - fault_at), number == 0) for at, number in sent
    )
    for second in range(int(FAULT_S)):
        shares = [
            counts[later, True]
            / max(counts[later, True] + counts[later, False], 1)
            for later in range(second, min(second + 5, FAULT_S))
        ]
        if sum(shares) / len(shares) < AVOIDED_SHARE:
            return second
    return None


def compare(seed: int, kinds: list[str]) -> Iterator[dict[str, Any]]:
    """
    Run all faults with both policies.

    :param seed: seed of the arrivals.
    :param kinds: kinds of requests.
    :returns: iterator of lines.
    """
    for kind in kinds:
        for fault in FAULTS:
            for policy in POLICIES:
                figures = run_mocked(run, kind, fault, policy, seed)
                yield {
                    'measure': 'retries',
                    'kind': kind,
                    'fault': fault,
                    'policy': policy,
                    'seed': seed,
                    **figures,
                }


def main() -> None:
    """Compare and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kinds', nargs='*', default=list(KINDS))
    parser.add_argument('--seed', type=int, default=9)
    options = parser.parse_args()
    for line in compare(options.seed, options.kinds):
        emit(line)


if __name__ == '__main__':
    main()
