"""
eelgrassfork.gateway.ledger_history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Recent writes of all routers to the credit ledger; performs no I/O.
"""

from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Final

import trio

from .ledger import LedgerPosition, LedgerWrite

__all__ = ('LedgerHistory',)

# Exceeds the age of a copy that the store is restored from.
_RETENTION_S: Final = 60.0
# Bounds the memory; writes of the retention period at 60 a second.
_MAX_WRITES: Final = 4096
# Covers the repetition of a report.
_REPORT_WINDOW_S: Final = 0.5
# A report of writes has to fit into one datagram.
MAX_REPORTED_ORGANISATIONS: Final = 80


class LedgerHistory:
    """Writes of this router, and those that others reported."""

    def __init__(self) -> None:
        self._writes_by_position: dict[LedgerPosition, LedgerWrite] = {}
        self._seen_at_by_position: dict[LedgerPosition, float] = {}
        self._own: set[LedgerPosition] = set()

    @property
    def newest(self) -> LedgerPosition | None:
        """Position of the last known write; ``None`` without any."""
        return max(self._writes_by_position, default=None)

    def record(self, write: LedgerWrite) -> None:
        """
        Record a write of this router.

        :param write: its effect.
        """
        self._own.add(write.position)
        self._add(write)

    def merge(self, writes: Iterable[LedgerWrite]) -> None:
        """
        Record writes that another router reports.

        :param writes: their effects; a large write may come in parts.
        """
        for write in writes:
            if write.position not in self._own:
                self._add(write)

    def writes(self) -> list[LedgerWrite]:
        """
        List all known writes.

        :returns: writes in the order of their positions.
        """
        return [
            self._writes_by_position[position]
            for position in sorted(self._writes_by_position)
        ]

    @property
    def has_own(self) -> bool:
        """Whether this router has written recently."""
        return bool(self._own)

    def recent_own(self) -> tuple[LedgerWrite, ...]:
        """
        List the own writes of the last half second.

        :returns: effects to report to other routers, large ones in parts.
        """
        oldest = trio.current_time() - _REPORT_WINDOW_S
        return tuple(
            part
            for position in sorted(self._own)
            if self._seen_at_by_position[position] >= oldest
            for part in _split(self._writes_by_position[position])
        )

    def discard_expired(self) -> None:
        """Drop writes that any copy includes."""
        oldest = trio.current_time() - _RETENTION_S
        excess = len(self._writes_by_position) - _MAX_WRITES
        surplus = set(islice(sorted(self._writes_by_position), max(0, excess)))
        for position, seen_at in list(self._seen_at_by_position.items()):
            if seen_at < oldest or position in surplus:
                self._writes_by_position.pop(position)
                self._seen_at_by_position.pop(position)
                self._own.discard(position)

    def _add(self, write: LedgerWrite) -> None:
        known = self._writes_by_position.get(write.position)
        if known is not None:
            write = LedgerWrite(
                write.position,
                known.granted_by_organisation | write.granted_by_organisation,
                known.spent_by_organisation | write.spent_by_organisation,
            )
        self._writes_by_position[write.position] = write
        self._seen_at_by_position[write.position] = trio.current_time()


def _split(write: LedgerWrite) -> list[LedgerWrite]:
    names = sorted(
        set(write.granted_by_organisation) | set(write.spent_by_organisation)
    )
    return [
        LedgerWrite(
            write.position,
            _pick(write.granted_by_organisation, chosen),
            _pick(write.spent_by_organisation, chosen),
        )
        for start in range(0, len(names), MAX_REPORTED_ORGANISATIONS)
        if (chosen := names[start : start + MAX_REPORTED_ORGANISATIONS])
    ]


def _pick(
    tokens_by_organisation: Mapping[str, int], names: Iterable[str]
) -> dict[str, int]:
    return {
        name: tokens_by_organisation[name]
        for name in names
        if name in tokens_by_organisation
    }
