"""
eelgrassfork.gateway.ledger_recovery
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Restores what a stored credit ledger lacks after the store came back from an
older copy; pure functions only.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from .ledger import (
    EMPTY,
    Ledger,
    LedgerPosition,
    LedgerWrite,
    includes,
)
from .store_era import FIRST_ERA

__all__ = ('assume_undone_draws', 'complete_ledger', 'knows_undone_writes')

# Writes of earlier eras count as included.
_MAX_ERAS: Final = 4
# If no router remembers the writes that a restore has undone, more than the
# mean rate of use counts as drawn, and a share of the limit, as routers hold
# credit for seconds in advance.
_ASSUMED_RATE_FACTOR: Final = 1.5
_ASSUMED_FRACTION: Final = 0.1
_MIN_OBSERVED_MS: Final = 1000


def complete_ledger(
    stored: Ledger, known: Ledger, writes: Iterable[LedgerWrite], era: int
) -> Ledger:
    """
    Add what is known of a ledger to its stored state.

    :param stored: stored state.
    :param known: last state that this router knew.
    :param writes: recent writes of all routers.
    :param era: present era of the store.
    :returns: ``stored`` itself if it lacks nothing; else the state that it
        should have, which is not settled if it is of an earlier era.
    """
    if stored.position == EMPTY.position:
        return _complete_unnumbered(stored, known, writes, era)
    if stored.position.era < era:
        # A late write of an earlier era may also have replaced a newer ledger.
        base = max(known, stored, key=_position)
        return _add_writes(base, writes, era)._replace(is_settled=False)
    # Newer writes of the present era only show that the stored state is not
    # the newest one.
    former = [write for write in writes if write.position.era < era]
    if all(includes(stored, write.position) for write in former):
        return stored
    return _add_writes(stored, former, era)


def knows_undone_writes(
    stored: Ledger, known: Ledger, writes: Iterable[LedgerWrite]
) -> bool:
    """
    Check whether a router can tell what a restore has undone.

    :param stored: stored state, from before the restore.
    :param known: last state that the router knew.
    :param writes: recent writes that it knows.
    :returns: whether it knows as much as the copy contains, and each write
        after that up to the last one that it has heard of.
    """
    base = max(known, stored, key=_position)
    positions = {write.position for write in writes}
    if stored.position > max({known.position, *positions}):
        return False
    serials = {one.serial for one in positions if one > base.position}
    first = base.position.serial + 1
    return serials == set(range(first, max(serials, default=0) + 1))


def assume_undone_draws(
    ledger: Ledger, prepaid_by_organisation: Mapping[str, int], now_ms: int
) -> Ledger:
    """
    Count as drawn what writes that nobody remembers have probably drawn.

    :param ledger: restored state.
    :param prepaid_by_organisation: prepaid limits, in tokens.
    :param now_ms: fleet time, in Unix milliseconds.
    :returns: the changed state.
    """
    observed_ms = max(_MIN_OBSERVED_MS, ledger.written_ms - ledger.started_ms)
    undone_ms = max(0, now_ms - ledger.written_ms)
    factor = _ASSUMED_RATE_FACTOR * undone_ms / observed_ms
    granted = dict(ledger.granted_by_organisation)
    for name, prepaid in prepaid_by_organisation.items():
        present = granted.get(name, 0)
        assumed = int(present * factor + prepaid * _ASSUMED_FRACTION)
        granted[name] = max(present, min(prepaid, present + assumed))
    return ledger._replace(granted_by_organisation=granted)


def _complete_unnumbered(
    stored: Ledger, known: Ledger, writes: Iterable[LedgerWrite], era: int
) -> Ledger:
    # There is no ledger, or a former build wrote it, which drops the position.
    # Such a write contains those before it, unless a restore has undone them.
    granted = dict(known.granted_by_organisation)
    for name, tokens in stored.granted_by_organisation.items():
        granted[name] = max(tokens, granted.get(name, 0))
    merged = known._replace(
        granted_by_organisation=granted,
        spent_by_organisation=(
            known.spent_by_organisation | stored.spent_by_organisation
        ),
        operations_by_node=(
            known.operations_by_node | stored.operations_by_node
        ),
    )
    former = [write for write in writes if write.position.era < era]
    is_lost = era > FIRST_ERA and stored == EMPTY
    if former or is_lost or EMPTY.position.era < known.position.era < era:
        return _add_writes(merged, former, era)._replace(is_settled=False)
    return merged._replace(position=known.position._replace(era=era))


def _add_writes(
    base: Ledger, writes: Iterable[LedgerWrite], era: int
) -> Ledger:
    granted = Counter(base.granted_by_organisation)
    spent = Counter(base.spent_by_organisation)
    last_serial = base.position.serial
    serials_by_era = dict(base.serials_by_era)
    if base.position == EMPTY.position:
        # A ledger of the era before may have been lost as a whole.
        serials_by_era[era - 1] = (last_serial,)
    elif base.position.era < era:
        serials_by_era[base.position.era] = (last_serial,)
    for write in writes:
        if includes(base, write.position):
            continue
        granted.update(write.granted_by_organisation)
        spent.update(write.spent_by_organisation)
        written_in, serial = write.position
        last_serial = max(last_serial, serial)
        if written_in < era:
            serials_by_era[written_in] = _add_serial(
                serials_by_era.get(written_in, (0,)), serial
            )
    kept_eras = sorted(serials_by_era)[-_MAX_ERAS:]
    return base._replace(
        granted_by_organisation=dict(granted),
        spent_by_organisation=dict(spent),
        position=LedgerPosition(era, last_serial),
        serials_by_era={kept: serials_by_era[kept] for kept in kept_eras},
    )


def _add_serial(serials: tuple[int, ...], serial: int) -> tuple[int, ...]:
    first, *others = serials
    others = sorted({*others, serial})
    while others and others[0] == first + 1:
        first = others.pop(0)
    return first, *others


def _position(ledger: Ledger) -> LedgerPosition:
    return ledger.position
