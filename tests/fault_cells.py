"""
tests.fault_cells
~~~~~~~~~~~~~~~~~

The cells of the matrix, and why some can't occur.
"""

from collections.abc import Iterator
from typing import Final

from tests.fault_callers import KEYED, KINDS
from tests.fault_kinds import FAULTS, SERVER_FAULTS
from tests.fault_play import Blow, Cell

__all__ = ('all_cells', 'impossible_cells')

STEPS: Final = (
    'accepted',
    'claiming',
    'claimed',
    'reserved',
    'chosen',
    'sent',
    'first_byte',
    'mid_stream',
    'last_byte',
    'settled',
    'delivered',
    'reporting',
    'reported',
)
CALLER_FAULTS: Final = frozenset(('caller_gone', 'caller_retries'))
CALLERLESS: Final = frozenset(('bundle', 'lease', 'drain'))
_AFTER_THE_ANSWER: Final = frozenset(
    (
        'delivered',
        'reporting',
        'reported',
        'returning',
        'returned',
        'reclaiming',
        'reclaimed',
    ),
)


# Steps of what is no request, at the router a1 or of an operator.
CONTROL_STEPS: Final = {
    # Credit is set aside and returned for requests, so these are steps of one.
    'chat': ('drawing', 'drawn', 'returning', 'returned'),
    'top_up': ('topping_up', 'topped_up'),
    'bundle': ('accepting', 'accepted', 'in_force_2'),
    'drain': ('drain_begun', 'drain_ended'),
    'lease': (
        'lease_taken',
        'lease_renewing',
        'lease_renewed',
    ),
}


def all_cells() -> list[Cell]:
    """
    List the cells that can occur.

    :returns: the cells.
    """
    return [cell for cell in _every_cell() if not _impossible(cell)]


def impossible_cells() -> list[tuple[str, str]]:
    """
    List the cells that can't occur.

    :returns: names and reasons.
    """
    reasons = [(cell.name, _impossible(cell)) for cell in _every_cell()]
    return [entry for entry in reasons if entry[1]]


def _every_cell() -> Iterator[Cell]:
    for kind in KINDS:
        for step in STEPS:
            yield from _with_faults(kind, step)
    for activity, steps in CONTROL_STEPS.items():
        for step in steps:
            yield from _with_faults(activity, step)
    # A router dies, and a fault meets the one that takes back its credit.
    for step in ('reclaiming', 'reclaimed'):
        for fault in FAULTS:
            dies = Blow('mid_stream', 'killed')
            yield Cell('stream', (dies, Blow(step, fault, '')))


def _with_faults(kind: str, step: str) -> Iterator[Cell]:
    for fault in FAULTS:
        yield Cell(kind, (Blow(step, fault),))


def _impossible(cell: Cell) -> str:
    blow = cell.blows[-1]
    if cell.kind in CALLERLESS and blow.fault in CALLER_FAULTS:
        return 'no caller is part of it'
    if cell.kind == 'lease' and blow.fault in SERVER_FAULTS:
        return 'the engine is asked without a router'
    if blow.step in {'claiming', 'claimed'} and cell.kind != 'order':
        return 'only orders are claimed'
    if blow.step == 'mid_stream' and cell.kind not in {'stream', 'keyed'}:
        return 'the answer is no stream'
    if blow.fault == 'caller_retries' and cell.kind not in KEYED:
        return 'without a key a retry is another request'
    if blow.fault == 'caller_gone' and blow.step in _AFTER_THE_ANSWER:
        return 'the caller has its answer already'
    return ''
