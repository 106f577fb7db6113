"""
tests.fault_cells
~~~~~~~~~~~~~~~~~

Builds the cells of the fault matrix and lists the impossible combinations.
"""

from collections.abc import Iterator
from typing import Final

from tests.fault_callers import KEYED, KINDS
from tests.fault_kinds import FAULTS, SERVER_FAULTS
from tests.fault_play import Cell, Injection

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
# Steps of background and operator work, at router a1 or by the operator.
CONTROL_STEPS: Final = {
    # Credit is drawn and returned for requests, so a request triggers these.
    'chat': ('drawing', 'drawn', 'returning', 'returned'),
    'top_up': ('topping_up', 'topped_up'),
    'bundle': ('accepting', 'accepted', 'in_force_2'),
    'drain': ('drain_begun', 'drain_ended'),
    'lease': (
        'lease_taking',
        'lease_taken',
        'lease_renewing',
        'lease_renewed',
    ),
}
ISSUED_STEPS: Final = {
    'issued_here': (
        'accepted',
        'reserved',
        'sent',
        'last_byte',
        'settled',
        'delivered',
    ),
    # The issuer reserves, settles and reports.
    'issued_there': ('accepted', 'sent', 'last_byte'),
}
# Faults of the issuing router, where it is not the one that gets the order.
ISSUER_FAULTS: Final = ('issuer_killed', 'issuer_frozen', 'issuer_cut')
# Each pair makes up to two cells. The first fault is injected at router a1; the
# second one at the same step, or at the router a2 that the caller retries at.
PAIRS: Final = (
    ('killed', 'killed'),
    ('killed', 'frozen_long'),
    ('killed', 'cut_both'),
    ('killed', 'platform_down'),
    ('killed', 'lost_answer'),
    ('killed', 'server_killed'),
    ('killed_listed', 'killed_listed'),
    ('restarted', 'restarted'),
    ('restarted', 'platform_down'),
    ('frozen_long', 'killed'),
    ('frozen_long', 'frozen_long'),
    ('frozen_long', 'cut_platform'),
    ('frozen_long', 'platform_slow'),
    ('frozen_long', 'server_killed'),
    ('cut_both', 'killed'),
    ('cut_both', 'restarted'),
    ('cut_platform', 'cut_peers'),
    ('cut_peers', 'platform_down'),
    ('cut_peers', 'server_killed'),
    ('platform_down', 'server_killed'),
    ('platform_late', 'lost_answer'),
    ('lost_answer', 'lost_answer'),
    ('lost_race', 'lost_answer'),
    ('lost_race', 'lost_race'),
    ('server_killed', 'server_killed'),
    ('server_silent', 'server_silent'),
    ('server_silent', 'killed'),
    ('server_crossed', 'server_late'),
    ('server_mute', 'platform_down'),
    ('server_leaving', 'cut_platform'),
    ('caller_gone', 'killed'),
    ('caller_gone', 'platform_down'),
    ('caller_retries', 'killed'),
    ('caller_retries', 'frozen_long'),
    ('caller_retries', 'lost_answer'),
    ('caller_retries', 'server_killed'),
)
PAIR_STEPS: Final = {
    'order': ('claimed', 'sent'),
    'keyed': ('mid_stream',),
}
CALLER_FAULTS: Final = frozenset(('caller_gone', 'caller_retries'))
_ANSWERED: Final = frozenset(
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


def all_cells() -> list[Cell]:
    """
    List the possible cells.

    :returns: the cells.
    """
    return [cell for cell in _every_cell() if not _reason_impossible(cell)]


def impossible_cells() -> list[tuple[str, str]]:
    """
    List the impossible cells.

    :returns: name and reason of each cell.
    """
    reasons = [(cell.name, _reason_impossible(cell)) for cell in _every_cell()]
    return [entry for entry in reasons if entry[1]]


def _every_cell() -> Iterator[Cell]:
    yield from _cells({kind: STEPS for kind in KINDS})
    yield from _cells(CONTROL_STEPS)
    yield from _cells(ISSUED_STEPS)
    for step in ISSUED_STEPS['issued_there']:
        for fault in ISSUER_FAULTS:
            yield Cell('issued_there', (Injection(step, fault),))
    yield from _sequences()
    yield from _pairs()


def _cells(steps_by_kind: dict[str, tuple[str, ...]]) -> Iterator[Cell]:
    for kind, steps in steps_by_kind.items():
        # Any router may hold the lease, so the injection is not bound to one.
        vm = '' if kind == 'lease' else 'a1'
        yield Cell(kind, (Injection(steps[0], 'none', vm),))
        for step in steps:
            for fault in FAULTS:
                yield Cell(kind, (Injection(step, fault, vm),))


def _sequences() -> Iterator[Cell]:
    router_dies = Injection('mid_stream', 'killed')
    for fault in FAULTS:
        # Fault at the router that reclaims the credit of a killed one.
        for step in ('reclaiming', 'reclaimed'):
            yield Cell('stream', (router_dies, Injection(step, fault, '')))
        # The lease holder stops, its lease expires, and a fault hits the next
        # holder.
        for stop in ('killed', 'frozen_long'):
            holder_stops = Injection('lease_renewed', stop, '')
            yield Cell(
                'lease', (holder_stops, Injection('lease_taken', fault, ''))
            )


def _pairs() -> Iterator[Cell]:
    for kind, steps in PAIR_STEPS.items():
        for step in steps:
            for first, second in PAIRS:
                injection = Injection(step, first)
                if first != second or first.startswith('lost'):
                    yield Cell(kind, (injection, Injection(step, second)))
                yield Cell(
                    kind, (injection, Injection('accepted', second, 'a2'))
                )


def _reason_impossible(cell: Cell) -> str:
    for injection in cell.injections:
        reason = _reason_impossible_at(cell.kind, injection)
        if reason:
            return reason
    return ''


def _reason_impossible_at(kind: str, injection: Injection) -> str:
    return next(
        (
            reason
            for reason, applies in _REASONS.items()
            if applies(kind, injection.step, injection.fault)
        ),
        '',
    )


_REASONS: Final = {
    'no caller is part of it': lambda kind, step, fault: (
        kind in {'bundle', 'lease', 'drain'} and fault in CALLER_FAULTS
    ),
    'engines get orders from the holder alone': lambda kind, step, fault: (
        kind == 'lease' and fault in SERVER_FAULTS.keys() - {'server_killed'}
    ),
    'only orders are claimed': lambda kind, step, fault: (
        step in {'claiming', 'claimed'} and kind != 'order'
    ),
    'the answer is no stream': lambda kind, step, fault: (
        step == 'mid_stream' and kind not in {'stream', 'keyed'}
    ),
    'look-ups are free': lambda kind, step, fault: (
        kind == 'look_up'
        and step in {'reserved', 'settled', 'reporting', 'reported'}
    ),
    'without a key a retry is another request': lambda kind, step, fault: (
        fault == 'caller_retries' and kind not in KEYED
    ),
    'the caller has its answer already': lambda kind, step, fault: (
        fault == 'caller_gone' and step in _ANSWERED
    ),
}
