"""
eelgrassfork.lender_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the routers from which credit is borrowed.
"""

from .membership import PeerRecord
from .names import rendezvous_order

__all__ = ('home_vm', 'order_lenders')


def order_lenders(
    peers: list[PeerRecord], own_domain: str, budget: str
) -> list[PeerRecord]:
    """
    Order the peers from which credit of a budget is requested.

    :param peers: all known peers.
    :param own_domain: this router's failure domain.
    :param budget: name of the budget.
    :returns: peers that are ready and not suspect, those in the router's own
        failure domain first.
    """
    usable = {
        peer.vm: peer
        for peer in peers
        if peer.state == 'ready' and not peer.suspect
    }
    order = [usable[vm] for vm in rendezvous_order(budget, list(usable))]
    return sorted(order, key=lambda peer: peer.failure_domain != own_domain)


def home_vm(ledger_key: str, domain_vms: list[str]) -> str:
    """
    Return the home router, which draws credit for its failure domain.

    :param ledger_key: key of the ledger shard.
    :param domain_vms: VMs of the domain's live routers, at least one.
    :returns: VM of the home router.
    """
    return rendezvous_order(ledger_key, domain_vms)[0]
