"""
bench.exp_retries
~~~~~~~~~~~~~~~~~

Compares routers with a retry budget and ejection of backend servers to routers
with neither, while one of five backend servers (or all) is slow, silent or
failing.
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
LOOKUP_PATH = '/thread-stock'
KINDS = ('chat', 'look-up')
POLICIES = ('ours', 'retries without budget or ejection')
SERVER_COUNT = 5
REQUESTS_PER_S = 25
WARM_UP_S = 10
FAULT_DURATION_S = 40
# A faulty server counts as avoided once it receives less than this fraction
# of the requests; an equal share is one fifth.
AVOIDED_SHARE = 0.05
SERVICE_TIMEOUTS = {'first_byte_ms': 3_000, 'silence_ms': 3_000}
WORLD_SIZES = {
    'chat': WorldSize(routers=2, engines=SERVER_COUNT, model=SERVICE_TIMEOUTS),
    'look-up': WorldSize(
        routers=2,
        engines=0,
        plain_servers=SERVER_COUNT,
        plain={**SERVICE_TIMEOUTS, 'price_tokens': 20},
    ),
}


class _Result(NamedTuple):
    """
    Result of a request.

    :param sent_at: time of sending on the clock of trio.
    :param first_byte_s: time to the first byte, or to the failure.
    :param ok: whether the whole response arrived with status 200.
    """

    sent_at: float
    first_byte_s: float
    ok: bool


class _ArrivalLog:
    """Records the time and server of each forwarded request."""

    def __init__(self, world: World) -> None:
        self.arrivals: list[tuple[float, int]] = []
        self.servers = [*world.engines, *world.plain_servers]
        for number, server in enumerate(self.servers):
            server.fault_injector.track_connection = self._wrap_arrive(
                number, server.fault_injector.track_connection
            )

    def _wrap_arrive(self, number: int, arrive: Any) -> Any:
        def record_arrival(call: Any) -> None:
            # Polls and cancellations of abandoned attempts are not counted.
            if call.path in {CHAT, LOOKUP_PATH}:
                self.arrivals.append((trio.current_time(), number))
            arrive(call)

        return record_arrival


async def run(kind: str, fault: str, policy: str, seed: int) -> dict[str, Any]:
    """
    Run one policy with one fault.

    :param kind: request kind, ``chat`` or ``look-up``.
    :param fault: a key of :data:`FAULTS`.
    :param policy: one of :data:`POLICIES`.
    :param seed: seed of the arrivals.
    :returns: figures by name.
    """
    world = World(WORLD_SIZES[kind], seed)
    arrival_log = _ArrivalLog(world)
    source = random.Random(seed)
    results: list[_Result] = []
    async with trio.open_nursery() as background:
        await world.start(background)
        if policy != 'ours':
            _disable_retry_limits(world)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            faulty = arrival_log.servers[
                : None if fault.startswith('all') else 1
            ]
            nursery.start_soon(_inject_fault, faulty, fault)
            sent_at = started_at
            number = 0
            while sent_at < started_at + WARM_UP_S + FAULT_DURATION_S:
                sent_at += source.expovariate(REQUESTS_PER_S)
                number += 1
                await trio.sleep_until(sent_at)
                nursery.start_soon(_send_request, world, kind, number, results)
        fault_at = started_at + WARM_UP_S
        figures = _figures(results, arrival_log.arrivals, fault_at)
        background.cancel_scope.cancel()
    return figures


async def _inject_fault(servers: list[Any], fault: str) -> None:
    await trio.sleep(WARM_UP_S)
    for server in servers if FAULTS[fault] else ():
        server.set_faults(**FAULTS[fault])


def _disable_retry_limits(world: World) -> None:
    for router in world.routers:
        router.backends.record_failure = lambda vm, silent=False: None
        budget = router.requests._retry_budget
        budget._capacity = budget._tokens = 1e9


async def _send_request(
    world: World, kind: str, number: int, results: list[_Result]
) -> None:
    started_at = trio.current_time()
    request = _build_request(world, kind, number)
    ok, first_byte_s = False, 0.0
    try:
        with trio.fail_after(60):
            response = await world.http.request(request)
            try:
                async for _ in response.chunks():
                    first_byte_s = (
                        first_byte_s or trio.current_time() - started_at
                    )
                ok = response.status == 200
            finally:
                await response.close()
    except (HttpClientError, trio.TooSlowError):
        ok = False
    first_byte_s = first_byte_s or trio.current_time() - started_at
    results.append(_Result(started_at, first_byte_s, ok))


def _build_request(world: World, kind: str, number: int) -> ClientRequest:
    address = world.routers[number % len(world.routers)].callers.address
    headers = world.key_headers(number % world.size.organisations)
    if kind == 'look-up':
        target = f'/services/stock{LOOKUP_PATH}?sku={number}'
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
    results: list[_Result], arrivals: list[tuple[float, int]], fault_at: float
) -> dict[str, Any]:
    after_fault = [each for each in results if each.sent_at >= fault_at]
    forwarded = [
        (sent_at, number) for sent_at, number in arrivals if sent_at >= fault_at
    ]
    return {
        'requests': len(after_fault),
        'failed': sum(not each.ok for each in after_fault),
        'amplification': round(len(forwarded) / len(after_fault), 3),
        'sent_to_faulty': sum(number == 0 for _, number in forwarded),
        'faulty_share_last_10_s': _faulty_share(
            forwarded, fault_at + FAULT_DURATION_S - 10
        ),
        'avoided_after_s': _avoided_after(forwarded, fault_at),
        'first_byte': quantiles(
            each.first_byte_s for each in after_fault if each.ok
        ),
    }


def _faulty_share(forwarded: list[tuple[float, int]], since: float) -> float:
    recent = [number for sent_at, number in forwarded if sent_at >= since]
    return round(sum(number == 0 for number in recent) / max(len(recent), 1), 3)


def _avoided_after(
    forwarded: list[tuple[float, int]], fault_at: float
) -> float | None:
    counts: Counter[tuple[int, bool]] = Counter(
        (int(sent_at - fault_at), number == 0) for sent_at, number in forwarded
    )
    for second in range(int(FAULT_DURATION_S)):
        shares = [
            counts[following, True]
            / max(counts[following, True] + counts[following, False], 1)
            for following in range(second, min(second + 5, FAULT_DURATION_S))
        ]
        if sum(shares) / len(shares) < AVOIDED_SHARE:
            return second
    return None


def compare(seed: int, kinds: list[str]) -> Iterator[dict[str, Any]]:
    """
    Run both policies with all faults.

    :param seed: seed of the arrivals.
    :param kinds: request kinds.
    :returns: iterator of measurement lines.
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
    """Run the comparison and print its lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kinds', nargs='*', default=list(KINDS))
    parser.add_argument('--seed', type=int, default=9)
    options = parser.parse_args()
    for line in compare(options.seed, options.kinds):
        emit(line)


if __name__ == '__main__':
    main()
