"""
eelgrassfork.ledger
~~~~~~~~~~~~~~~~~~~

Record types of a ledger shard, and pure functions that update and query it.
"""

from typing import Final, NamedTuple, NotRequired, TypedDict

import msgspec

from .errors import EelgrassError
from .settled_numbers import SettledNumbers

__all__ = (
    'BudgetRecord',
    'BudgetView',
    'HolderEntry',
    'LedgerError',
    'LedgerShard',
    'Refusal',
    'close_holder',
    'decode_shard',
    'empty_shard',
    'encode_shard',
    'put_holder_entries',
    'put_holder_entry',
    'remaining',
    'settled_reservations',
    'top_up',
    'unreserved',
    'view_budget',
)


class HolderEntry(TypedDict):
    """
    One holder's account of a budget.

    ``drawn`` and ``spent`` are cumulative token counts. ``through`` and
    ``beyond`` encode which reservations are settled, see
    :class:`~eelgrassfork.settled_numbers.SettledNumbers`. ``listed_at`` is
    a revision of the VM list that contained the holder's VM.
    """

    drawn: int
    spent: int
    through: int
    beyond: tuple[tuple[int, int], ...]
    listed_at: NotRequired[int]


class BudgetRecord(TypedDict):
    """One budget, in tokens; ``granted`` is the sum of ``top_ups``."""

    granted: int
    top_ups: dict[str, int]
    closed_spent: int
    holders: dict[str, HolderEntry]


class LedgerShard(TypedDict):
    """Content of one ledger object: its budgets by name."""

    budgets: dict[str, BudgetRecord]


class Refusal(NamedTuple):
    """Error result of an operation that leaves the shard unchanged."""

    code: str
    message: str


class BudgetView(NamedTuple):
    """
    Summary of a budget for operators, in tokens.

    :param spent: spend reported by holders plus that of closed accounts.
    :param held: drawn by holders and not reported as spent.
    :param unreserved: available to be drawn.
    """

    budget: str
    granted: int
    spent: int
    held: int
    unreserved: int
    held_by_holder: dict[str, int]
    top_ups: dict[str, int]


class LedgerError(EelgrassError):
    """A ledger object can't be decoded, or a change of it is invalid."""


_decoder: Final = msgspec.json.Decoder(LedgerShard)
_encoder: Final = msgspec.json.Encoder()


def empty_shard() -> LedgerShard:
    """
    Create a shard without budgets.

    :returns: the shard.
    """
    return {'budgets': {}}


def decode_shard(body: bytes) -> LedgerShard:
    """
    Decode the content of a ledger object.

    :param body: JSON.
    :returns: the shard.
    :raises LedgerError: ``bad_ledger`` if the content is malformed.
    """
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise LedgerError('bad_ledger', str(error)) from None


def encode_shard(shard: LedgerShard) -> bytes:
    """
    Encode a shard as the content of a ledger object.

    :param shard: the shard.
    :returns: JSON.
    """
    return _encoder.encode(shard)


def unreserved(record: BudgetRecord) -> int:
    """
    Compute the credit that no holder has drawn.

    :param record: the budget.
    :returns: tokens.
    """
    drawn = sum(entry['drawn'] for entry in record['holders'].values())
    return record['granted'] - record['closed_spent'] - drawn


def remaining(record: BudgetRecord) -> int:
    """
    Compute what would be unreserved if all holders returned unspent credit.

    :param record: the budget.
    :returns: tokens; spend not yet reported is still included.
    """
    spent = sum(entry['spent'] for entry in record['holders'].values())
    return record['granted'] - record['closed_spent'] - spent


def settled_reservations(entry: HolderEntry) -> SettledNumbers:
    """
    Decode which reservations of an entry are settled.

    :param entry: the holder's entry.
    :returns: the reservation numbers.
    """
    return SettledNumbers(entry['through'], entry['beyond'])


def top_up(
    shard: LedgerShard, budget: str, operation_id: str, amount: int
) -> LedgerShard | Refusal:
    """
    Grant tokens to a budget, creating it if it does not exist.

    :param shard: the shard of the budget.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param operation_id: idempotency key; repeating it with the same amount
        has no effect.
    :param amount: tokens, above 0.
    :returns: the new shard, or ``bad_amount`` or ``operation_id_reused``.
    """
    if amount <= 0:
        return Refusal(
            'bad_amount', f'top-up amount must be above 0, got {amount}'
        )
    record = shard['budgets'].get(budget) or _new_record()
    earlier_amount = record['top_ups'].get(operation_id)
    if earlier_amount == amount:
        return shard
    if earlier_amount is not None:
        return Refusal(
            'operation_id_reused',
            f'operation {operation_id!r} already granted {earlier_amount} '
            f'tokens to {budget}',
        )
    updated: BudgetRecord = {
        **record,
        'granted': record['granted'] + amount,
        'top_ups': {**record['top_ups'], operation_id: amount},
    }
    return _with_records(shard, {budget: updated})


def put_holder_entry(
    shard: LedgerShard, budget: str, holder: str, entry: HolderEntry
) -> LedgerShard | Refusal:
    """
    Replace a holder's entry; see :func:`put_holder_entries`.

    :param shard: the shard of the budget.
    :param budget: name of the budget.
    :param holder: owner of the entry.
    :param entry: the complete new entry.
    :returns: the new shard, or the error.
    """
    return put_holder_entries(shard, holder, {budget: entry})


def put_holder_entries(
    shard: LedgerShard, holder: str, entries_by_budget: dict[str, HolderEntry]
) -> LedgerShard | Refusal:
    """
    Atomically replace a holder's entries of several budgets.

    :param shard: the shard of the budgets.
    :param holder: owner of the entries.
    :param entries_by_budget: the complete new entries.
    :returns: the new shard, or ``unknown_budget``, ``bad_entry`` or
        ``credit_held_elsewhere``.
    """
    records: dict[str, BudgetRecord] = {}
    for budget, entry in entries_by_budget.items():
        record = shard['budgets'].get(budget)
        if record is None:
            return Refusal('unknown_budget', f'no record of budget {budget}')
        changed = _with_entry(record, holder, entry)
        refusal = _check_entry(budget, record, changed, holder)
        if refusal is not None:
            return refusal
        records[budget] = changed
    return _with_records(shard, records)


def close_holder(
    shard: LedgerShard, budget: str, holder: str, unreported: int = 0
) -> LedgerShard | Refusal:
    """
    Add a holder's spend to ``closed_spent`` and remove its entry.

    :param shard: the shard of the budget.
    :param budget: name of the budget.
    :param holder: a holder that has stopped spending.
    :param unreported: tokens spent in addition to those of its entry. The
        total is capped at what the holder has drawn, because a response is
        cut off at its reservation.
    :returns: the new shard, or ``unknown_entry``.
    """
    record = shard['budgets'].get(budget)
    entry = record['holders'].get(holder) if record else None
    if record is None or entry is None:
        return Refusal(
            'unknown_entry', f'holder {holder} has no entry in budget {budget}'
        )
    spent = min(entry['spent'] + unreported, entry['drawn'])
    closed: BudgetRecord = {
        **record,
        'closed_spent': record['closed_spent'] + spent,
        'holders': {
            other: other_entry
            for other, other_entry in record['holders'].items()
            if other != holder
        },
    }
    return _with_records(shard, {budget: closed})


def view_budget(shard: LedgerShard, budget: str) -> BudgetView | Refusal:
    """
    Summarise a budget for operators.

    :param shard: the shard of the budget.
    :param budget: name of the budget.
    :returns: the view, or ``unknown_budget``.
    """
    record = shard['budgets'].get(budget)
    if record is None:
        return Refusal('unknown_budget', f'no record of budget {budget}')
    held_by_holder = {
        holder: entry['drawn'] - entry['spent']
        for holder, entry in record['holders'].items()
    }
    return BudgetView(
        budget=budget,
        granted=record['granted'],
        spent=record['granted'] - remaining(record),
        held=sum(held_by_holder.values()),
        unreserved=unreserved(record),
        held_by_holder=held_by_holder,
        top_ups=record['top_ups'],
    )


def _new_record() -> BudgetRecord:
    return {'granted': 0, 'top_ups': {}, 'closed_spent': 0, 'holders': {}}


def _with_records(
    shard: LedgerShard, records: dict[str, BudgetRecord]
) -> LedgerShard:
    return {'budgets': {**shard['budgets'], **records}}


def _with_entry(
    record: BudgetRecord, holder: str, entry: HolderEntry
) -> BudgetRecord:
    return {**record, 'holders': {**record['holders'], holder: entry}}


def _check_entry(
    budget: str, before: BudgetRecord, after: BudgetRecord, holder: str
) -> Refusal | None:
    entry = after['holders'][holder]
    if not 0 <= entry['spent'] <= entry['drawn']:
        return Refusal(
            'bad_entry',
            f'invalid entry of holder {holder}: {entry["spent"]} tokens spent '
            f'of {entry["drawn"]} drawn',
        )
    available = unreserved(after)
    if available < 0 and available < unreserved(before):
        return Refusal(
            'credit_held_elsewhere',
            f'budget {budget} is {-available} tokens short',
        )
    return None
