"""
eelgrassfork.gateway.ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The record of credit handed out to routers; pure functions only.

Credit that a router draws is its own until it returns it.  What a router
that died had drawn counts as spent, so the sum of what is used never exceeds
what was handed out.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

__all__ = (
    'EMPTY',
    'Ledger',
    'Operation',
    'Transfer',
    'sum_by_organisation',
    'apply_transfer',
    'decode_ledger',
    'encode_ledger',
    'has_applied',
    'remaining',
)


class Operation(NamedTuple):
    """One write of one incarnation of a router."""

    incarnation: int
    number: int


class Ledger(NamedTuple):
    """
    Credit of all organisations, in tokens.

    :param granted_by_organisation: drawn by routers and not returned.
    :param spent_by_organisation: known to be used, which lags behind.
    :param operations_by_node: last write of each router, so that one whose
        answer was lost can be told from one that never took effect.
    """

    granted_by_organisation: dict[str, int]
    spent_by_organisation: dict[str, int]
    operations_by_node: dict[str, Operation]


class Transfer(NamedTuple):
    """
    What a router wants to change, in tokens.

    :param drawn_by_organisation: wanted credit; what is left is the most.
    :param returned_by_organisation: credit given back.
    :param spent_by_organisation: use since its last write.
    """

    drawn_by_organisation: Mapping[str, int]
    returned_by_organisation: Mapping[str, int]
    spent_by_organisation: Mapping[str, int]


EMPTY: Final = Ledger({}, {}, {})


class _Wire(msgspec.Struct):
    granted: dict[str, int] = {}
    spent: dict[str, int] = {}
    operations: dict[str, tuple[int, int]] = {}


def decode_ledger(content: bytes) -> Ledger:
    """
    Read a stored ledger.

    :param content: JSON.
    :returns: the ledger.
    :raises msgspec.DecodeError: if it has another form.
    """
    wire = msgspec.json.decode(content, type=_Wire)
    operations = {
        node: Operation(*numbers) for node, numbers in wire.operations.items()
    }
    return Ledger(wire.granted, wire.spent, operations)


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """
    Write a ledger for the store.

    :param ledger: the ledger.
    :returns: what JSON can hold.
    """
    return {
        'granted': ledger.granted_by_organisation,
        'spent': ledger.spent_by_organisation,
        'operations': {
            node: list(operation)
            for node, operation in ledger.operations_by_node.items()
        },
    }


def remaining(ledger: Ledger, organisation: str, prepaid: int) -> int:
    """
    Compute the credit that routers may still draw.

    :param ledger: what was handed out.
    :param organisation: whose credit.
    :param prepaid: most tokens that the organisation may use.
    :returns: tokens, 0 or more.
    """
    granted = ledger.granted_by_organisation.get(organisation, 0)
    return max(0, prepaid - granted)


def has_applied(ledger: Ledger, node: str, operation: Operation) -> bool:
    """
    Tell whether a write took effect.

    :param ledger: as it is now.
    :param node: the router that wrote.
    :param operation: its last write.
    :returns: whether the ledger shows it.
    """
    return ledger.operations_by_node.get(node) == operation


def sum_by_organisation(
    first: Mapping[str, int], second: Mapping[str, int]
) -> dict[str, int]:
    """
    Add tokens by organisation.

    :param first: tokens by organisation.
    :param second: tokens by organisation.
    :returns: their sums.
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
    Plan one write of a router.

    :param ledger: as it is now.
    :param transfer: what the router wants.
    :param prepaid_by_organisation: limits in tokens.
    :param node: the router.
    :param operation: names this write.
    :returns: the ledger after it, and the credit that the router gets by
        organisation.
    """
    granted = dict(ledger.granted_by_organisation)
    spent = dict(ledger.spent_by_organisation)
    for name, returned in transfer.returned_by_organisation.items():
        granted[name] = max(0, granted.get(name, 0) - returned)
    for name, used in transfer.spent_by_organisation.items():
        spent[name] = spent.get(name, 0) + used
    drawn = {}
    for name, wanted in transfer.drawn_by_organisation.items():
        left = prepaid_by_organisation.get(name, 0) - granted.get(name, 0)
        drawn[name] = min(wanted, max(0, left))
        granted[name] = granted.get(name, 0) + drawn[name]
    operations = {**ledger.operations_by_node, node: operation}
    return Ledger(granted, spent, operations), drawn
