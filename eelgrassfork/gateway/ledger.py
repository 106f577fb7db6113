"""
eelgrassfork.gateway.ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Record of the credit granted to routers; pure functions only.

Credit that a router draws belongs to that router until it is returned.
Credit held by a router that crashed counts as spent, so total use never
exceeds the credit granted.

Writes are numbered in the ledger itself, as revisions of the store go back when
it is restored from an older copy.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

__all__ = (
    'EMPTY',
    'Ledger',
    'LedgerPosition',
    'LedgerWrite',
    'Operation',
    'Transfer',
    'apply_transfer',
    'decode_ledger',
    'encode_ledger',
    'has_applied',
    'includes',
    'remaining',
    'sum_by_organisation',
)


class Operation(NamedTuple):
    """Identifies one write by one incarnation of a router."""

    incarnation: int
    number: int


class LedgerPosition(NamedTuple):
    """
    Place of a write in the history of the ledger.

    :param era: era of the store in which it was planned.
    :param serial: number of the write; goes on over restores.
    """

    era: int
    serial: int


# Of a ledger without writes, and of one that a former build wrote.
_NO_POSITION: Final = LedgerPosition(0, 0)


class LedgerWrite(NamedTuple):
    """
    Effect of one write, in tokens.

    Routers tell each other what they wrote, so that it can be repeated after
    a restore of the store that undoes it.

    :param position: identifies the write.
    :param granted_by_organisation: credit drawn less credit returned.
    :param spent_by_organisation: use recorded.
    """

    position: LedgerPosition
    granted_by_organisation: dict[str, int]
    spent_by_organisation: dict[str, int]


class Ledger(NamedTuple):
    """
    Credit of all organisations, in tokens.

    :param granted_by_organisation: credit drawn by routers and not returned.
    :param spent_by_organisation: credit recorded as used; lags behind the
        actual use.
    :param operations_by_node: last write of each router.  A router whose
        response was lost uses it to check whether its write took effect.
    :param position: last write that it includes.
    :param serials_by_era: writes of former eras that it includes: all up to
        the first serial, and those that follow it.
    :param is_settled: whether credit was drawn since the last restore, after
        all routers could repeat what it had undone.
    :param started_ms: fleet time of the first write, in Unix milliseconds.
    :param written_ms: fleet time of the last write.
    """

    granted_by_organisation: dict[str, int]
    spent_by_organisation: dict[str, int]
    operations_by_node: dict[str, Operation]
    position: LedgerPosition = _NO_POSITION
    serials_by_era: dict[int, tuple[int, ...]] = {}
    is_settled: bool = True
    started_ms: int = 0
    written_ms: int = 0


class Transfer(NamedTuple):
    """
    Changes to the ledger requested by one router, in tokens.

    :param drawn_by_organisation: credit to draw; limited to what remains.
    :param returned_by_organisation: credit to return.
    :param spent_by_organisation: use to record, since the last write.
    """

    drawn_by_organisation: Mapping[str, int]
    returned_by_organisation: Mapping[str, int]
    spent_by_organisation: Mapping[str, int]


EMPTY: Final = Ledger({}, {}, {})


class _Wire(msgspec.Struct):
    granted: dict[str, int] = {}
    spent: dict[str, int] = {}
    operations: dict[str, tuple[int, int]] = {}
    position: tuple[int, int] = _NO_POSITION
    serials: dict[int, tuple[int, ...]] = {}
    settled: bool = True
    started_ms: int = 0
    written_ms: int = 0


def decode_ledger(content: bytes) -> Ledger:
    """
    Decode a stored ledger.

    :param content: JSON document.
    :returns: the ledger.
    :raises msgspec.DecodeError: if the document is malformed.
    """
    wire = msgspec.json.decode(content, type=_Wire)
    operations = {
        node: Operation(*numbers) for node, numbers in wire.operations.items()
    }
    return Ledger(
        wire.granted,
        wire.spent,
        operations,
        LedgerPosition(*wire.position),
        wire.serials,
        wire.settled,
        wire.started_ms,
        wire.written_ms,
    )


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """
    Encode a ledger for the store.

    :param ledger: the ledger.
    :returns: an object that can be serialised to JSON.
    """
    return {
        'granted': ledger.granted_by_organisation,
        'spent': ledger.spent_by_organisation,
        'operations': {
            node: list(operation)
            for node, operation in ledger.operations_by_node.items()
        },
        'position': list(ledger.position),
        'serials': ledger.serials_by_era,
        'settled': ledger.is_settled,
        'started_ms': ledger.started_ms,
        'written_ms': ledger.written_ms,
    }


def remaining(ledger: Ledger, organisation: str, prepaid: int) -> int:
    """
    Compute the credit that routers may still draw.

    :param ledger: current state.
    :param organisation: name of the organisation.
    :param prepaid: prepaid limit of the organisation, in tokens.
    :returns: tokens, 0 or more.
    """
    granted = ledger.granted_by_organisation.get(organisation, 0)
    return max(0, prepaid - granted)


def has_applied(ledger: Ledger, node: str, operation: Operation) -> bool:
    """
    Check whether a write took effect.

    :param ledger: current state.
    :param node: VM name of the writing router.
    :param operation: the router's last write.
    :returns: whether the ledger contains it.
    """
    return ledger.operations_by_node.get(node) == operation


def includes(ledger: Ledger, position: LedgerPosition) -> bool:
    """
    Check whether a ledger includes a write.

    :param ledger: current state.
    :param position: position of the write.
    :returns: whether it does, or the write is from an era that is too long ago
        to tell.
    """
    if position.era >= ledger.position.era:
        return position <= ledger.position
    serials = ledger.serials_by_era.get(position.era)
    if serials is None:
        return True
    return position.serial <= serials[0] or position.serial in serials[1:]


def sum_by_organisation(
    first: Mapping[str, int], second: Mapping[str, int]
) -> dict[str, int]:
    """
    Sum tokens per organisation.

    :param first: tokens by organisation.
    :param second: tokens by organisation.
    :returns: sums by organisation.
    """
    names = set(first) | set(second)
    return {name: first.get(name, 0) + second.get(name, 0) for name in names}


def apply_transfer(
    ledger: Ledger,
    transfer: Transfer,
    prepaid_by_organisation: Mapping[str, int],
    node: str,
    operation: Operation,
) -> tuple[Ledger, dict[str, int]]:
    """
    Apply a transfer to a copy of the ledger.

    :param ledger: current state.
    :param transfer: changes that the router requests.
    :param prepaid_by_organisation: prepaid limits, in tokens.
    :param node: VM name of the router.
    :param operation: identifies this write.
    :returns: the ledger after the transfer, and the credit granted to the
        router by organisation.
    """
    granted = dict(ledger.granted_by_organisation)
    spent = dict(ledger.spent_by_organisation)
    for name, returned in transfer.returned_by_organisation.items():
        granted[name] = max(0, granted.get(name, 0) - returned)
    for name, used in transfer.spent_by_organisation.items():
        spent[name] = spent.get(name, 0) + used
    drawn = {}
    for name, requested in transfer.drawn_by_organisation.items():
        available = prepaid_by_organisation.get(name, 0) - granted.get(name, 0)
        drawn[name] = min(requested, max(0, available))
        granted[name] = granted.get(name, 0) + drawn[name]
    changed = ledger._replace(
        granted_by_organisation=granted,
        spent_by_organisation=spent,
        operations_by_node={**ledger.operations_by_node, node: operation},
        position=ledger.position._replace(serial=ledger.position.serial + 1),
    )
    return changed, drawn
