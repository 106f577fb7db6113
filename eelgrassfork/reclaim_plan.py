"""
eelgrassfork.reclaim_plan
~~~~~~~~~~~~~~~~~~~~~~~~~

Pure functions of reclaiming: router ranking, unreported spend, closing.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

from .ledger import (
    HolderEntry,
    LedgerShard,
    Refusal,
    close_holder,
    settled_reservations,
)
from .names import PayerTag, rendezvous_order
from .settled_numbers import is_settled
from .spend_records import SpendRecord, sum_once_per_request

__all__ = (
    'Evidence',
    'VmsByDomain',
    'close_dead_holders',
    'reclaim_rank',
    'unreported_spend',
)

_MAX_RANK: Final = 1

VmsByDomain = Mapping[str, list[str]]


class Evidence(NamedTuple):
    """
    Known spend of a dead holder.

    :param records: final spend records that name the holder as payer.
    :param settled_by_payer: tokens that borrowers settled for reservations
        lent by the holder; they take precedence over records.
    """

    records: list[SpendRecord]
    settled_by_payer: dict[PayerTag, int]


def reclaim_rank(
    own_vm: str,
    key: str,
    domain: str,
    live_vms_by_domain: VmsByDomain,
) -> int | None:
    """
    Compute this router's rank among the candidates that reclaim a shard.

    :param own_vm: this router's VM.
    :param key: key of the ledger shard.
    :param domain: failure domain of the dead holder.
    :param live_vms_by_domain: VMs of the live routers; those of the holder's
        failure domain are preferred.
    :returns: 0 for the router that reclaims first, 1 for the one that takes
        over, or ``None`` if this router is neither.
    """
    candidates = live_vms_by_domain.get(domain) or [
        vm for vms in live_vms_by_domain.values() for vm in vms
    ]
    ranked = rendezvous_order(key, candidates)[: _MAX_RANK + 1]
    return ranked.index(own_vm) if own_vm in ranked else None


def unreported_spend(
    evidence: Evidence, budget: str, entry: HolderEntry
) -> int:
    """
    Sum the tokens that a dead holder spent and did not report.

    :param evidence: known spend of the holder.
    :param budget: name of the budget.
    :param entry: the holder's entry of the budget.
    :returns: tokens.
    """
    settled = settled_reservations(entry)

    def is_open(payer: PayerTag) -> bool:
        return payer.budget == budget and not is_settled(settled, payer.number)

    settled_by_borrowers = sum(
        tokens
        for payer, tokens in evidence.settled_by_payer.items()
        if is_open(payer)
    )
    return settled_by_borrowers + sum_once_per_request(
        record
        for record in evidence.records
        if is_open(record.payer)
        and record.payer not in evidence.settled_by_payer
    )


def close_dead_holders(
    shard: LedgerShard, evidence_by_holder: Mapping[str, Evidence]
) -> LedgerShard:
    """
    Close all accounts of dead holders.

    :param shard: the shard.
    :param evidence_by_holder: the dead holders and their known spend.
    :returns: the new shard; the same object if nothing was closed.
    """
    closed = shard
    for budget, record in shard['budgets'].items():
        for holder in evidence_by_holder.keys() & record['holders'].keys():
            unreported = unreported_spend(
                evidence_by_holder[holder], budget, record['holders'][holder]
            )
            changed = close_holder(closed, budget, holder, unreported)
            if not isinstance(changed, Refusal):
                closed = changed
    return closed
