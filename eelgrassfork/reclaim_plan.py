"""
eelgrassfork.reclaim_plan
~~~~~~~~~~~~~~~~~~~~~~~~~

Pure functions of reclaiming: who starts, what was spent, what is closed.
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
from .spend_records import SpendRecord, tokens_once

__all__ = (
    'Evidence',
    'VmsByDomain',
    'close_dead_holders',
    'reclaim_rank',
    'unreported_spend',
)

_MOST_RANK: Final = 1

VmsByDomain = Mapping[str, list[str]]


class Evidence(NamedTuple):
    """
    What a dead holder spent.

    :param records: final records that name it as payer.
    :param settled_by_payer: tokens of reservations that it lent, as the
        borrowers settled them; they replace records.
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
    Tell how soon this router starts to reclaim.

    :param own_vm: this router's VM.
    :param key: key of the ledger shard.
    :param domain: failure domain of the dead holder.
    :param live_vms_by_domain: the live routers.
    :returns: 0 for the router that starts, 1 for the one that takes over,
        or ``None``.
    """
    candidates = live_vms_by_domain.get(domain) or [
        vm for vms in live_vms_by_domain.values() for vm in vms
    ]
    first = rendezvous_order(key, candidates)[: _MOST_RANK + 1]
    return first.index(own_vm) if own_vm in first else None


def unreported_spend(
    evidence: Evidence, budget: str, entry: HolderEntry
) -> int:
    """
    Sum what a dead holder spent and didn't report.

    :param evidence: what is known of the holder.
    :param budget: name of the budget.
    :param entry: its entry of the budget.
    :returns: tokens.
    """
    settled = settled_reservations(entry)

    def is_open(payer: PayerTag) -> bool:
        return payer.budget == budget and not is_settled(settled, payer.number)

    by_borrowers = sum(
        tokens
        for payer, tokens in evidence.settled_by_payer.items()
        if is_open(payer)
    )
    return by_borrowers + tokens_once(
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
    :param evidence_by_holder: the dead holders.
    :returns: the new shard; the same object if there was none.
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
