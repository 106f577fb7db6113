"""
bench.exp_limits
~~~~~~~~~~~~~~~~

Compares admission control with unlimited admission of a plain service, at
offered loads of 0.5 to 4 times its capacity.
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
SERVER_COUNT = 4
WORKERS_PER_SERVER = 8
QUEUE_S = 1
RUN_S = 30
SERVICE = 'threadlantern/robe-orders'


class _RequestClass(NamedTuple):
    """
    Class of requests with the same cost and priority.

    :param share: fraction of all requests.
    :param priority: admission priority; 0 is rejected last.
    :param work_s: mean processing time of a worker.
    :param timeout_s: caller time-out; a later answer counts as late.
    """

    share: float
    priority: int
    work_s: float
    timeout_s: float


CLASSES = {
    'look-up': _RequestClass(0.4, 0, 0.05, 2),
    'order': _RequestClass(0.4, 1, 0.15, 5),
    'batch': _RequestClass(0.2, 2, 0.3, 10),
}
CAPACITY_PER_S = (
    SERVER_COUNT
    * WORKERS_PER_SERVER
    / sum(each.share * each.work_s for each in CLASSES.values())
)


class Policy(NamedTuple):
    """
    Admission policy of the routers.

    :param routers: number of routers that share the servers, each with its own
        limit.
    :param in_flight_per_server: limit of each router on concurrent requests per
        server; 0 disables admission control.
    """

    routers: int = 1
    in_flight_per_server: int = 0


# Each router counts only its own requests, so eight routers with the same
# limit admit eight times as many.
POLICIES = {
    'no admission': Policy(8),
    'ours, 1 router': Policy(1, WORKERS_PER_SERVER),
    'ours, 8 routers': Policy(8, WORKERS_PER_SERVER),
    'ours, 8 routers, an eighth each': Policy(8, WORKERS_PER_SERVER // 8),
    'ours, 8 routers, a quarter each': Policy(8, WORKERS_PER_SERVER // 4),
}


class _Simulation:
    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.workers = [
            trio.CapacityLimiter(WORKERS_PER_SERVER)
            for _ in range(SERVER_COUNT)
        ]
        self.admissions = [Admission() for _ in range(policy.routers)]
        self.in_time: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.latencies_s: dict[str, list[float]] = {
            name: [] for name in CLASSES
        }
        self.rejection_latencies_s: list[float] = []

    async def send_request(
        self, name: str, router: int, source: random.Random
    ) -> None:
        kind = CLASSES[name]
        started_at = trio.current_time()
        deadline = started_at + kind.timeout_s
        self.sent[name] += 1
        work_s = source.expovariate(1 / kind.work_s)
        server = source.choice(self.workers)
        if not self.policy.in_flight_per_server:
            await self._process(server, work_s)
        else:
            slots = self.policy.in_flight_per_server * SERVER_COUNT
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
                    await self._process(server, work_s)
            except LimitExceeded:
                self.rejected[name] += 1
                self.rejection_latencies_s.append(
                    trio.current_time() - started_at
                )
                return
        now = trio.current_time()
        counted = self.in_time if now <= deadline else self.late
        counted[name] += 1
        self.latencies_s[name].append(now - started_at)

    async def _process(
        self, server: trio.CapacityLimiter, work_s: float
    ) -> None:
        # Servers do not know the caller's time-out, so they also process
        # requests whose answer will be late.
        async with server:
            await trio.sleep(work_s)


async def run(load: float, policy: Policy, seed: int) -> dict[str, Any]:
    """
    Run one policy at one offered load.

    :param load: arrival rate as a multiple of the capacity.
    :param policy: admission policy.
    :param seed: seed of the arrivals.
    :returns: figures by name.
    """
    source = random.Random(seed)
    simulation = _Simulation(policy)
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
                request_source = random.Random(source.getrandbits(32))
                nursery.start_soon(
                    simulation.send_request, name, router, request_source
                )
    cpu_s = time.process_time() - cpu_s
    sent = sum(simulation.sent.values())
    # Processor time of the whole run, including simulated servers and callers.
    return {
        **_figures(simulation),
        'cpu_ms_each': round(1000 * cpu_s / sent, 2),
    }


def _figures(simulation: _Simulation) -> dict[str, Any]:
    in_time = sum(simulation.in_time.values())
    return {
        'useful_per_s': round(in_time / RUN_S, 1),
        'of_capacity': round(in_time / RUN_S / CAPACITY_PER_S, 3),
        'useful_share': {
            name: round(simulation.in_time[name] / simulation.sent[name], 4)
            for name in CLASSES
        },
        'too_late': dict(simulation.late),
        'refused_share': {
            name: round(simulation.rejected[name] / simulation.sent[name], 4)
            for name in CLASSES
        },
        'time': {
            name: quantiles(times)
            for name, times in simulation.latencies_s.items()
        },
        'refusal_time': quantiles(simulation.rejection_latencies_s),
    }


def compare(seed: int) -> Iterator[dict[str, Any]]:
    """
    Run all policies at all offered loads.

    :param seed: seed of the arrivals.
    :returns: iterator of measurement lines.
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
    """Run the comparison and print its lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=5)
    for line in compare(parser.parse_args().seed):
        emit(line)


if __name__ == '__main__':
    main()
