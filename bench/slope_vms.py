"""
bench.slope_vms
~~~~~~~~~~~~~~~

Cost of the VM list and of membership against the number of VMs.
"""

import random
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import trio

from eelgrassfork.backends import Backends
from eelgrassfork.holder_liveness import HolderLiveness
from eelgrassfork.peer_choice import choose_peers, is_poller
from eelgrassfork.platform_types import parse_vms
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.server_subsets import ServerSubsets
from eelgrassfork.subsets import SubsetPolicy
from eelgrassfork.vm_list import VmList

from .measure import cpu_ms, fit, row
from .target import NODES, REPLICAS, make_vm_list

__all__ = ('measure',)

SIZES = (1_000, 2_500, 5_000, 10_000)
ROUTER_SHARE = NODES / (NODES + REPLICAS)


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure reading, passing on and taking over a VM list.

    :param seed: seed of the addresses.
    :returns: iterator of lines.
    """
    points: dict[tuple[str, str], list[tuple[tuple[float, ...], float]]] = {}
    for size in SIZES:
        routers = round(size * ROUTER_SHARE)
        vm_list = make_vm_list(random.Random(seed), routers, size - routers)
        for key, value in trio.run(_figures, vm_list, routers).items():
            yield row(f'vms.{key[0]}', value, key[1], vms=size, routers=routers)
            points.setdefault(key, []).append(((size,), value))
    for (step, unit), listed in points.items():
        yield {
            'measure': f'vms.{step}',
            'unit': unit,
            'fit': fit(listed, ('per_vm',)),
        }


async def _figures(
    vm_list: VmList, routers: int
) -> dict[tuple[str, str], float]:
    await trio.lowlevel.checkpoint()
    as_json = msgspec.json.encode(
        {
            'revision': vm_list.revision,
            'vms': [record._asdict() for record in vm_list.vms],
        }
    )
    as_msgpack = msgspec.msgpack.encode({'vm_list': vm_list})
    known = [record for record in vm_list.vms if record.role == 'router']
    own = known[0]
    policy = SubsetPolicy(own.vm, own.failure_domain)
    actions: dict[str, Callable[[], object]] = {
        'parse_platform': lambda: parse_vms(as_json),
        'encode_for_peer': lambda: msgspec.msgpack.encode({'vm_list': vm_list}),
        'decode_from_peer': lambda: _decode(as_msgpack),
        'learn_deaths': lambda: HolderLiveness(f'{own.vm}.1').update_vm_list(
            vm_list
        ),
        'update_backends': lambda: _backends().update(vm_list.vms),
        'choose_peers': lambda: choose_peers(own.vm, own.failure_domain, known),
        'is_poller': lambda: is_poller(own.vm, own.failure_domain, known),
        'pick_routers': lambda: [
            record for record in vm_list.vms if record.role == 'router'
        ],
        'order_servers': lambda: _in_use(policy, vm_list),
    }
    figures = {
        (f'{name}', 'ms'): cpu_ms(action) for name, action in actions.items()
    }
    figures['size_from_platform', 'bytes'] = len(as_json)
    figures['size_from_peer', 'bytes'] = len(as_msgpack)
    figures['held_list', 'bytes'] = _held(lambda: parse_vms(as_json))
    figures['held_backends', 'bytes'] = _held(lambda: _updated(vm_list))
    return figures


def _in_use(policy: SubsetPolicy, vm_list: VmList) -> object:
    subsets = ServerSubsets(policy)
    subsets.update(vm_list.vms)
    return subsets.in_use('pazlen/model-0', lambda vm: True)


def _decode(body: bytes) -> VmList:
    return msgspec.convert(msgspec.msgpack.decode(body)['vm_list'], VmList)


def _backends() -> Backends:
    return Backends(EjectionPolicy(), random.Random(1))


def _updated(vm_list: VmList) -> Backends:
    backends = _backends()
    backends.update(vm_list.vms)
    return backends


def _held(make: Callable[[], object]) -> int:
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size
