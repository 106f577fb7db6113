"""
eelgrassfork.peer_choice
~~~~~~~~~~~~~~~~~~~~~~~~

Selects the peers for heartbeats and the routers that poll the platform.
"""

from typing import Final

from .names import rendezvous_order
from .vm_list import VmRecord

__all__ = ('choose_peers', 'is_poller')

_FULL_MESH_ROUTERS: Final = 9
_DOMAIN_PEERS: Final = 3
_POLLERS_PER_DOMAIN: Final = 2


def choose_peers(
    own_vm: str, own_domain: str, routers: list[VmRecord]
) -> list[VmRecord]:
    """
    Choose the peers to which a router sends heartbeats.

    Up to nine routers form a full mesh. In a larger fleet, each router
    chooses three peers in its own failure domain (its successor on a hash
    ring and two more) and one in each other domain, so that its cost does not
    grow with the fleet.

    :param own_vm: this router's VM.
    :param own_domain: this router's failure domain.
    :param routers: all listed routers, including this one.
    :returns: records of the peers.
    """
    others = [record for record in routers if record.vm != own_vm]
    if len(routers) <= _FULL_MESH_ROUTERS:
        return others
    by_domain: dict[str, dict[str, VmRecord]] = {}
    for record in others:
        by_domain.setdefault(record.failure_domain, {})[record.vm] = record
    chosen: list[VmRecord] = []
    for domain, by_vm in by_domain.items():
        order = rendezvous_order(own_vm, list(by_vm))
        count = 1
        if domain == own_domain:
            count = _DOMAIN_PEERS
            order = _successor_first(own_vm, order)
        chosen.extend(by_vm[vm] for vm in order[:count])
    return chosen


def _successor_first(own_vm: str, others: list[str]) -> list[str]:
    # A ring through all routers keeps the graph connected; with random choices
    # alone, 2 of 80 routers were chosen by no peer.
    ring = rendezvous_order('ring', [own_vm, *others])
    successor = ring[(ring.index(own_vm) + 1) % len(ring)]
    rest = [vm for vm in others if vm != successor]
    return [successor, *rest]


def is_poller(own_vm: str, domain: str, routers: list[VmRecord]) -> bool:
    """
    Return whether a router polls the platform for its failure domain.

    :param own_vm: this router's VM.
    :param domain: this router's failure domain.
    :param routers: all listed routers.
    :returns: true for two routers of each domain, and for an unlisted
        router.
    """
    vms = [record.vm for record in routers if record.failure_domain == domain]
    if own_vm not in vms:
        return True
    return own_vm in rendezvous_order(domain, vms)[:_POLLERS_PER_DOMAIN]
