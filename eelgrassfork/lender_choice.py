"""
eelgrassfork.lender_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which routers are asked to lend credit.
"""

from .membership import PeerRecord
from .names import rendezvous_order

__all__ = ('home_vm', 'order_lenders')


def order_lenders(
    peers: list[PeerRecord], own_domain: str, budget: str
) -> list[PeerRecord]:
    """
    Order the peers to be asked for a budget.

    :param peers: all known peers.
    :param own_domain: this router's failure domain.
    :param budget: name of the budget.
    :returns: peers that are ready and not suspect, those of the own failure
        domain first.
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
    Tell which router of a failure domain draws for the others.

    :param ledger_key: key of the ledger shard.
    :param domain_vms: the domain's live routers, at least one.
    :returns: the home router's VM.
    """
    return rendezvous_order(ledger_key, domain_vms)[0]
