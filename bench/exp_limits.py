"""
bench.exp_limits
~~~~~~~~~~~~~~~~

Admission against none at 0.5 to 4 times the capacity of a plain service.
"""

import argparse
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

import trio

from eelgrassfork.limits import Admission, AdmissionRequest, LimitExceeded

from .measure import emit
from .sim import quantiles, run_mocked

__all__ = ('LOADS', 'POLICIES', 'main', 'run')

LOADS = (0.5, 1, 2, 4)
SERVERS = 4
WORKERS = 8
QUEUE_S = 1
RUN_S = 30
SERVICE = 'threadlantern/robe-orders'


class _Class(NamedTuple):
    """
    One kind of request.

    :param share: part of all requests.
    :param priority: as the routers set it; 0 is shed last.
    :param work_s: time of a worker.
    :param patience_s: the caller has no use for a later answer.
    """

    share: float
    priority: int
    work_s: float
    patience_s: float


CLASSES = {
    'look-up': _Class(0.4, 0, 0.05, 2),
    'order': _Class(0.4, 1, 0.15, 5),
    'batch': _Class(0.2, 2, 0.3, 10),
}
CAPACITY_PER_S = (
    SERVERS
    * WORKERS
    / sum(each.share * each.work_s for each in CLASSES.values())
)


class Policy(NamedTuple):
    """
    How requests are admitted.

    :param routers: routers that share the servers, each with its own limit.
    :param in_flight_per_server: limit of each router; 0 for no admission.
    """

    routers: int = 1
    in_flight_per_server: int = 0


# A limit counts the requests of one router, so that eight routers let in
# eight times as many.
POLICIES = {
    'no admission': Policy(8),
    'ours, 1 router': Policy(1, WORKERS),
    'ours, 8 routers': Policy(8, WORKERS),
    'ours, 8 routers, an eighth each': Policy(8, WORKERS // 8),
    'ours, 8 routers, a quarter each': Policy(8, WORKERS // 4),
}


class _World:
    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.workers = [trio.CapacityLimiter(WORKERS) for _ in range(SERVERS)]
        self.admissions = [Admission() for _ in range(policy.routers)]
        self.useful: Counter[str] = Counter()
        self.useless: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self.times_s: dict[str, list[float]] = {name: [] for name in CLASSES}
        self.refusal_times_s: list[float] = []

    async def ask(self, name: str, router: int, source: random.Random) -> None:
        kind = CLASSES[name]
        started_at = trio.current_time()
        deadline = started_at + kind.patience_s
        self.asked[name] += 1
        work_s = source.expovariate(1 / kind.work_s)
        server = source.choice(self.workers)
        if not self.policy.in_flight_per_server:
            await self._work(server, work_s)
        else:
            slots = self.policy.in_flight_per_server * SERVERS
            request = AdmissionRequest(
                service=SERVICE,
                organisation=f'threadlantern/{name}',
                slots=lambda: slots,
                organisation_slots=10_000,
                priority=kind.priority,
                queue_s=QUEUE_S,
                deadline=deadline,
            )
            try:
                async with self.admissions[router].slot(request):
                    await self._work(server, work_s)
            except LimitExceeded:
                self.refused[name] += 1
                self.refusal_times_s.append(trio.current_time() - started_at)
                return
        now = trio.current_time()
        counted = self.useful if now <= deadline else self.useless
        counted[name] += 1
        self.times_s[name].append(now - started_at)

    async def _work(self, server: trio.CapacityLimiter, work_s: float) -> None:
        # Servers have no notion of the caller's patience.
        async with server:
            await trio.sleep(work_s)


async def run(load: float, policy: Policy, seed: int) -> dict[str, Any]:
    """
    Run one load.

    :param load: arrivals as a multiple of the capacity.
    :param policy: how requests are admitted.
    :param seed: seed of the arrivals.
    :returns: figures.
    """
    source = random.Random(seed)
    world = _World(policy)
    cpu_s = time.process_time()
    weights = [kind.share for kind in CLASSES.values()]
    with trio.move_on_after(RUN_S + 30):
        async with trio.open_nursery() as nursery:
            at = trio.current_time()
            end = at + RUN_S
            while at < end:
                at += source.expovariate(load * CAPACITY_PER_S)
                await trio.sleep_until(at)
                name = source.choices(list(CLASSES), weights)[0]
                router = source.randrange(policy.routers)
                own = random.Random(source.getrandbits(32))
                nursery.start_soon(world.ask, name, router, own)
    cpu_s = time.process_time() - cpu_s
    asked = sum(world.asked.values())
    # All that the run costs, the servers and callers included.
    return {**_figures(world), 'cpu_ms_each': round(1000 * cpu_s / asked, 2)}


def _figures(world: _World) -> dict[str, Any]:
    useful = sum(world.useful.values())
    return {
        'useful_per_s': round(useful / RUN_S, 1),
        'of_capacity': round(useful / RUN_S / CAPACITY_PER_S, 3),
        'useful_share': {
            name: round(world.useful[name] / world.asked[name], 4)
            for name in CLASSES
        },
        'too_late': dict(world.useless),
        'refused_share': {
            name: round(world.refused[name] / world.asked[name], 4)
            for name in CLASSES
        },
        'time': {
            name: quantiles(times) for name, times in world.times_s.items()
        },
        'refusal_time': quantiles(world.refusal_times_s),
    }


def compare(seed: int) -> Iterator[dict[str, Any]]:
    """
    Run all policies at all loads.

    :param seed: seed of the arrivals.
    :returns: iterator of lines.
    """
    for load in LOADS:
        for name, policy in POLICIES.items():
            figures = run_mocked(run, load, policy, seed)
            yield {
                'measure': 'limits',
                'load': load,
                'policy': name,
                'seed': seed,
                **figures,
            }


def main() -> None:
    """Compare and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=5)
    for line in compare(parser.parse_args().seed):
        emit(line)


if __name__ == '__main__':
    main()
