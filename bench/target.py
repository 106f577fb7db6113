"""
bench.target
~~~~~~~~~~~~

Sizes of the target in two years, and VMs and names of that size.
"""

import random

from eelgrassfork.vm_list import VmList, VmRecord

__all__ = (
    'DOMAINS',
    'DOMAIN_REGIONS',
    'MODELS',
    'NODES',
    'REPLICAS',
    'REQUESTS_PER_S',
    'TOKENS_PER_S',
    'make_vm_list',
)

NODES = 2_800
REPLICAS = 7_200
MODELS = 4
REQUESTS_PER_S = 61_000
TOKENS_PER_S = 14_000_000
DOMAIN_REGIONS = {
    'pazlen/plovdiv-a': 'bg-south',
    'pazlen/haskovo': 'bg-south',
    'pazlen/kandy-a': 'lk-central',
    'pazlen/matale-a': 'lk-central',
    'pazlen/third-a': 'third',
    'pazlen/third-b': 'third',
}
DOMAINS = tuple(DOMAIN_REGIONS)
_PRIVATE = 0x0A000000


def make_vm_list(
    source: random.Random, routers: int, backends: int, revision: int = 1
) -> VmList:
    """
    Make a VM list with the routers and backends spread over all domains.

    :param source: random source of the addresses.
    :param routers: number of routers.
    :param backends: number of backend servers.
    :param revision: revision of the list.
    :returns: the list.
    """
    vms = [_record(source, 'router', number) for number in range(routers)] + [
        _record(source, 'backend', number) for number in range(backends)
    ]
    return VmList(revision, tuple(vms))


def _record(source: random.Random, role: str, number: int) -> VmRecord:
    domain = DOMAINS[number % len(DOMAINS)]
    region = DOMAIN_REGIONS[domain]
    address = _address(source)
    service = f'pazlen/model-{number // len(DOMAINS) % MODELS}'
    is_router = role == 'router'
    return VmRecord(
        f'{region}-{"entry" if is_router else "engine"}-{number:05}',
        role,
        'live',
        'pazlen',
        '' if is_router else service,
        domain,
        region,
        f'{address}:8080',
        f'{address}:8081' if is_router else '',
        f'{address}:8082' if is_router else '',
    )


def _address(source: random.Random) -> str:
    number = _PRIVATE + source.getrandbits(24)
    return '.'.join(str(byte) for byte in number.to_bytes(4, 'big'))
