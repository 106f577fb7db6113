"""
bench.slope_routing
~~~~~~~~~~~~~~~~~~~

Processor time of one routing and one admission decision.
"""

import itertools
import random
import time
from collections.abc import Iterator
from typing import Any

import trio
import trio.testing

from eelgrassfork.backends import Backends, CacheEvent
from eelgrassfork.limits import Admission, AdmissionRequest, LimitExceeded
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.routing import RoutePolicy, RouteSnapshot, choose
from eelgrassfork.subsets import SubsetPolicy

from .measure import cpu_ms, fit, row
from .target import DOMAINS, MODELS, NODES, REPLICAS, make_vm_list

__all__ = ('measure',)

SERVERS = (6, 60, 300, 1_800)
WAITING = (0, 10, 50, 200)
DECISIONS = 5
PREFIXES = 200
SERVICE = 'pazlen/model-0'


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure decisions against servers, and servers and waiting requests.

    :param seed: seed of addresses and loads.
    :returns: iterator of lines.
    """
    points: dict[str, list[tuple[tuple[float, ...], float]]] = {}
    for servers in SERVERS:
        figures = trio.run(_route, random.Random(seed), servers)
        for name, value in figures.items():
            yield row(f'routing.{name}', value, 'ms', servers=servers)
            points.setdefault(name, []).append(((servers,), value))
    for name, listed in points.items():
        yield {
            'measure': f'routing.{name}',
            'unit': 'ms',
            'fit': fit(listed, ('per_server',)),
        }
    for servers, waiting in itertools.product(SERVERS, WAITING):
        value = trio.run(_admit, random.Random(seed), servers, waiting)
        yield row(
            'admission.enter_and_leave',
            value,
            'ms',
            servers=servers,
            waiting=waiting,
        )


def _backends(source: random.Random, servers: int) -> Backends:
    # The service is one of four models; routers are as many as at the target.
    routers = round(servers * MODELS * NODES / REPLICAS)
    vm_list = make_vm_list(source, routers, servers * MODELS)
    own = vm_list.vms[0]
    policy = SubsetPolicy(own.vm, own.failure_domain)
    backends = Backends(EjectionPolicy(), source, subset=policy)
    backends.update(vm_list.vms)
    for server in backends.servers(SERVICE):
        backends.record_load(
            server.vm, source.randrange(16), source.randrange(3)
        )
        prefixes = [f'{source.getrandbits(128):032x}' for _ in range(PREFIXES)]
        events = [
            CacheEvent(number, 'stored', prefix)
            for number, prefix in enumerate(prefixes)
        ]
        backends.apply_cache_events(server.vm, events)
    return backends


async def _route(source: random.Random, servers: int) -> dict[str, float]:
    await trio.lowlevel.checkpoint()
    backends = _backends(source, servers)
    states = tuple(backends.servers(SERVICE))
    prefixes = itertools.cycle(
        [f'{source.getrandbits(128):032x}' for _ in range(500)]
    )
    policy = RoutePolicy()

    def decide() -> object:
        prefix = next(prefixes)
        snapshot = RouteSnapshot(states, DOMAINS[0], prefix)
        return choose(snapshot, policy, source)

    return {
        'snapshot': cpu_ms(lambda: backends.servers(SERVICE)),
        'choose': cpu_ms(decide),
        'usable': cpu_ms(lambda: backends.count_usable(SERVICE)),
    }


async def _admit(source: random.Random, servers: int, waiting: int) -> float:
    backends = _backends(source, servers)
    admission = Admission()

    def request(organisation: str, places: int) -> AdmissionRequest:
        return AdmissionRequest(
            SERVICE,
            organisation,
            # As chat.py counts places.
            lambda: 16 * backends.count_usable(SERVICE),
            places,
            1,
            1e6,
            trio.current_time() + 1e6,
        )

    async def wait() -> None:
        # One is in progress, the others wait for its organisation's place.
        try:
            async with admission.slot(request('pazlen/waiting', 1)):
                await trio.sleep_forever()
        except LimitExceeded:
            return

    async with trio.open_nursery() as nursery:
        for _ in range(waiting + 1):
            nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        started = time.process_time()
        for _ in range(DECISIONS):
            async with admission.slot(request('pazlen/served', 64)):
                pass
        taken_s = time.process_time() - started
        nursery.cancel_scope.cancel()
    return 1000 * taken_s / DECISIONS
