"""
eelgrassfork.gateway.ledger_copy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A router's copy of the credit ledger, completed after restores of the store.
"""

from collections.abc import Callable, Mapping
from typing import Final

import logbook
import trio

from .ledger import EMPTY, Ledger, decode_ledger
from .ledger_history import LedgerHistory
from .ledger_recovery import (
    assume_undone_draws,
    complete_ledger,
    knows_undone_writes,
)
from .store import StoredObject
from .store_era import FIRST_ERA, StoreEra, era_of

__all__ = ('LedgerCopy',)

_log = logbook.Logger('credit')

# After a restore, the routers in touch learn of it within half a second and
# repeat their writes; nobody draws credit before.
_SETTLE_S: Final = 1.0
# A router that does not know what a restore has undone leaves the recovery to
# others for this time.
_ABSTAIN_S: Final = 2.0


class LedgerCopy:
    """
    Last known state of the ledger.

    :param era: restores of the store.
    :param history: recent writes of all routers.
    :param prepaid: returns the prepaid limits in tokens by organisation.
    :param now_ms: returns the fleet time, in Unix milliseconds.
    :ivar ledger: the state, with all known writes.
    :ivar revision: of the stored ledger; ``None`` if there is none.
    :ivar read_at: when it was read, on trio's clock.
    :ivar is_incomplete: whether the stored ledger lacks known writes.
    """

    def __init__(
        self,
        era: StoreEra,
        history: LedgerHistory,
        prepaid: Callable[[], Mapping[str, int]],
        now_ms: Callable[[], int],
    ) -> None:
        self._era = era
        self._history = history
        self._prepaid = prepaid
        self._now_ms = now_ms
        self.ledger = EMPTY
        self.revision: int | None = None
        self.read_at: float = float('-inf')
        self.is_incomplete = False
        self._abstains_until: float | None = None
        self._unsettled_era = 0
        self._settles_at: float = float('-inf')

    @property
    def age_s(self) -> float:
        """Time since the ledger was read, in seconds."""
        return trio.current_time() - self.read_at

    @property
    def must_read(self) -> bool:
        """Whether the ledger has to be read before it can be written."""
        return (
            self.revision is None
            or self.is_abstaining
            or era_of(self.revision) != self._era.current
        )

    @property
    def is_abstaining(self) -> bool:
        """Whether the recovery of the ledger is left to other routers."""
        return self._abstains_until is not None

    @property
    def may_draw(self) -> bool:
        """Whether all routers had time to repeat what a restore has undone."""
        return self.ledger.is_settled or (
            trio.current_time() >= self._settles_at
        )

    def adopt(self, stored: StoredObject | None) -> None:
        """
        Adopt a stored ledger.

        :param stored: the object; ``None`` if there is none.
        :raises msgspec.DecodeError: if it is malformed.
        """
        now_s = trio.current_time()
        era = self._era.current
        content = EMPTY
        if stored is not None:
            era = era_of(stored.revision)
            content = decode_ledger(stored.content)
        self.revision = None if stored is None else stored.revision
        writes = self._history.writes()
        # Nothing was undone, or the ledger has no positions.
        is_complete = content.position.era in {EMPTY.position.era, era}
        is_unknown = not is_complete and not knows_undone_writes(
            content, self.ledger, writes
        )
        is_first = stored is None and era > FIRST_ERA and not writes
        is_first = is_first and self.ledger.position == EMPTY.position
        if (is_unknown or is_first) and self._must_abstain():
            return
        self._abstains_until = None
        completed = complete_ledger(content, self.ledger, writes, era)
        if is_unknown:
            completed = assume_undone_draws(
                completed, self._prepaid(), self._now_ms()
            )
        # A ledger of a former build is numbered with the next write.
        is_numbered = content.position != EMPTY.position
        self.is_incomplete = completed is not content and (
            is_numbered or not completed.is_settled
        )
        if self.is_incomplete or is_unknown:
            _log.warning(
                'completing the credit ledger after a restore of the store',
                extra={
                    'era': era,
                    'stored_position': content.position,
                    'position': completed.position,
                    'granted_in_copy': _sum_granted(content),
                    'granted': _sum_granted(completed),
                    'is_estimated': is_unknown,
                },
            )
        self.ledger = completed
        self.read_at = now_s
        if not completed.is_settled and self._unsettled_era != era:
            self._unsettled_era = era
            self._settles_at = now_s + _SETTLE_S

    def _must_abstain(self) -> bool:
        now_s = trio.current_time()
        if self._abstains_until is None:
            self._abstains_until = now_s + _ABSTAIN_S
        return now_s < self._abstains_until

    def dump(self) -> dict[str, object]:
        """
        Return the state of the ledger for operators.

        :returns: tokens by organisation, and what a restore left uncertain.
        """
        return {
            'revision': self.revision,
            'age_s': round(self.age_s, 1),
            'position': self.ledger.position._asdict(),
            'serials_by_era': self.ledger.serials_by_era,
            'is_settled': self.ledger.is_settled,
            'is_incomplete': self.is_incomplete,
            'is_abstaining': self.is_abstaining,
            'granted_by_organisation': self.ledger.granted_by_organisation,
            'spent_by_organisation': self.ledger.spent_by_organisation,
        }


def _sum_granted(ledger: Ledger) -> int:
    return sum(ledger.granted_by_organisation.values())
