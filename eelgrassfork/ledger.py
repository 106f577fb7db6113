"""
eelgrassfork.ledger
~~~~~~~~~~~~~~~~~~~

Records of a ledger shard and pure functions over one.
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
    One holder's account of a budget; all numbers are cumulative tokens.

    ``through`` and ``beyond`` tell which reservations are settled, see
    :class:`~eelgrassfork.settled_numbers.SettledNumbers`. ``listed_at`` is
    a revision of the VM list that listed the holder's VM.
    """

    drawn: int
    spent: int
    through: int
    beyond: tuple[tuple[int, int], ...]
    listed_at: NotRequired[int]


class BudgetRecord(TypedDict):
    """One budget; ``granted`` is the sum of ``top_ups`` in tokens."""

    granted: int
    top_ups: dict[str, int]
    closed_spent: int
    holders: dict[str, HolderEntry]


class LedgerShard(TypedDict):
    """The budgets of one object, by name."""

    budgets: dict[str, BudgetRecord]


class Refusal(NamedTuple):
    """Why a shard stays as it is."""

    code: str
    message: str


class BudgetView(NamedTuple):
    """
    A budget as operators see it, in tokens.

    :param spent: reported by holders, and of closed accounts.
    :param held: set aside by holders and not reported as spent.
    """

    budget: str
    granted: int
    spent: int
    held: int
    unreserved: int
    held_by_holder: dict[str, int]
    top_ups: dict[str, int]


class LedgerError(EelgrassError):
    """The content of a ledger object can't be understood."""


_decoder: Final = msgspec.json.Decoder(LedgerShard)
_encoder: Final = msgspec.json.Encoder()


def empty_shard() -> LedgerShard:
    """
    Make a shard without budgets.

    :returns: the shard.
    """
    return {'budgets': {}}


def decode_shard(body: bytes) -> LedgerShard:
    """
    Decode the content of a ledger object.

    :param body: JSON.
    :returns: the shard.
    :raises LedgerError: ``bad_ledger`` if the content has another form.
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
    Compute what no holder has set aside.

    :param record: the budget.
    :returns: tokens.
    """
    drawn = sum(entry['drawn'] for entry in record['holders'].values())
    return record['granted'] - record['closed_spent'] - drawn


def remaining(record: BudgetRecord) -> int:
    """
    Compute what would be unreserved if all holders returned their credit.

    :param record: the budget.
    :returns: tokens; less what is spent and not yet reported.
    """
    spent = sum(entry['spent'] for entry in record['holders'].values())
    return record['granted'] - record['closed_spent'] - spent


def settled_reservations(entry: HolderEntry) -> SettledNumbers:
    """
    Read which reservations an entry has settled.

    :param entry: the holder's entry.
    :returns: the numbers.
    """
    return SettledNumbers(entry['through'], entry['beyond'])


def top_up(
    shard: LedgerShard, budget: str, operation_id: str, amount: int
) -> LedgerShard | Refusal:
    """
    Grant tokens to a budget, which is created if need be.

    :param shard: the shard of the budget.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param operation_id: applied once; repeating it changes nothing.
    :param amount: tokens, above 0.
    :returns: the new shard, or ``bad_amount`` or ``operation_id_reused``.
    """
    if amount <= 0:
        return Refusal('bad_amount', f'a top-up of {amount} is not above 0')
    record = shard['budgets'].get(budget) or _new_record()
    known = record['top_ups'].get(operation_id)
    if known == amount:
        return shard
    if known is not None:
        return Refusal(
            'operation_id_reused',
            f'{operation_id!r} has granted {known} tokens to {budget}',
        )
    granted: BudgetRecord = {
        **record,
        'granted': record['granted'] + amount,
        'top_ups': {**record['top_ups'], operation_id: amount},
    }
    return _with_records(shard, {budget: granted})


def put_holder_entry(
    shard: LedgerShard, budget: str, holder: str, entry: HolderEntry
) -> LedgerShard | Refusal:
    """
    Replace a holder's entry; see :func:`put_holder_entries`.

    :param shard: the shard of the budget.
    :param budget: name of the budget.
    :param holder: whose entry it is.
    :param entry: the whole entry.
    :returns: the new shard or why it stays as it is.
    """
    return put_holder_entries(shard, holder, {budget: entry})


def put_holder_entries(
    shard: LedgerShard, holder: str, entries_by_budget: dict[str, HolderEntry]
) -> LedgerShard | Refusal:
    """
    Replace a holder's entries of several budgets, all or none.

    :param shard: the shard of the budgets.
    :param holder: whose entries they are.
    :param entries_by_budget: the whole entries.
    :returns: the new shard, or ``unknown_budget``, ``bad_entry`` or
        ``credit_held_elsewhere``.
    """
    records: dict[str, BudgetRecord] = {}
    for budget, entry in entries_by_budget.items():
        record = shard['budgets'].get(budget)
        if record is None:
            return Refusal('unknown_budget', f'{budget} has no record')
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
    Move a holder's spend to the closed accounts and remove its entry.

    :param shard: the shard of the budget.
    :param budget: name of the budget.
    :param holder: a holder that will spend no more.
    :param unreported: tokens it spent beyond its entry. They are bounded by
        what it had drawn, because an answer is cut at its reservation.
    :returns: the new shard, or ``unknown_entry``.
    """
    record = shard['budgets'].get(budget)
    entry = record['holders'].get(holder) if record else None
    if record is None or entry is None:
        return Refusal('unknown_entry', f'{holder} has no entry of {budget}')
    spent = min(entry['spent'] + unreported, entry['drawn'])
    closed: BudgetRecord = {
        **record,
        'closed_spent': record['closed_spent'] + spent,
        'holders': {
            other: kept
            for other, kept in record['holders'].items()
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
        return Refusal('unknown_budget', f'{budget} has no record')
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
            f'{holder} reports {entry["spent"]} spent of {entry["drawn"]}',
        )
    rest = unreserved(after)
    if rest < 0 and rest < unreserved(before):
        return Refusal(
            'credit_held_elsewhere', f'{budget} has no {-rest} tokens more'
        )
    return None
