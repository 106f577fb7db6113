"""
eelgrassfork.gateway.store_era
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks restores of the store from an older copy.

A restore begins a new era: acknowledged changes are undone, and the store uses
the numbers of its revisions again.  A revision therefore contains the era in
its upper bits, so that any revision of a later era is newer.  In the first era
it equals the store's number, as former builds of routers expect.
"""

from collections.abc import Callable
from typing import Final

import logbook
import trio

from .store_errors import StoreRestored

__all__ = ('FIRST_ERA', 'StoreEra', 'era_of', 'join_revision')

_log = logbook.Logger('store')

FIRST_ERA: Final = 1
_NUMBER_BITS: Final = 40
_NUMBER_MASK: Final = (1 << _NUMBER_BITS) - 1
# A malformed message of a peer must not make this router ignore the store.
_MAX_PEER_STEP: Final = 1000


def join_revision(era: int, number: int) -> int:
    """
    Combine an era with a number that the store gave to a revision.

    :param era: number of the era.
    :param number: below 2**40.
    :returns: the revision.
    """
    return max(0, era - FIRST_ERA) << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """
    Extract the era from a revision.

    :param revision: a revision.
    :returns: number of the era.
    """
    return (revision >> _NUMBER_BITS) + FIRST_ERA


class StoreEra:
    """
    Newest era of the store that this router knows.

    :ivar current: number of the era; the first one until an answer or a peer
        names another.
    """

    def __init__(self) -> None:
        self.current = FIRST_ERA
        self._is_known = False
        self._changed_at: float | None = None
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, on_restore: Callable[[], None]) -> None:
        """
        Register a callback for restores.

        :param on_restore: called once a newer era is known.
        """
        self._listeners.append(on_restore)

    def observe(self, era: int, source: str) -> None:
        """
        Record an era that an answer of the store names.

        :param era: number of the era; older ones are ignored.
        :param source: ``store`` or the name of the peer, for the log.
        """
        if era <= self.current and self._is_known:
            return
        previous, was_known = self.current, self._is_known
        self.current = max(era, previous)
        self._is_known = True
        if not was_known:
            _log.info('era of the store', extra={'era': era, 'source': source})
            return
        self._changed_at = trio.current_time()
        _log.warning(
            'store was restored from an older copy',
            extra={'era': era, 'previous': previous, 'source': source},
        )
        for on_restore in self._listeners:
            on_restore()

    def observe_peer(self, revision: int, node: str) -> None:
        """
        Record the era of a revision that another router knows.

        :param revision: newest revision of that router.
        :param node: VM of that router, for the log.
        """
        era = era_of(revision)
        if self.current < era <= self.current + _MAX_PEER_STEP:
            self.observe(era, node)

    def number_of(self, revision: int) -> int:
        """
        Return the store's own number of a revision.

        :param revision: condition of a write, or start of a watch.
        :returns: the number.
        :raises StoreRestored: if it is of an earlier era, in which the number
            may have stood for other content.
        """
        if era_of(revision) != self.current:
            raise StoreRestored(
                'former_era', 'the revision is from before a restore'
            )
        return revision & _NUMBER_MASK

    def check_answer(self, era: int, revision: int | None) -> None:
        """
        Check that an answer still holds, and record its era.

        :param era: number of the era that the answer names.
        :param revision: revision that the call depended on; ``None`` for
            none.
        :raises StoreRestored: if the answer is from before a restore that is
            already known, or the call depended on an earlier era.
        """
        is_former = era < self.current and self._is_known
        self.observe(era, 'store')
        if is_former or (revision is not None and era_of(revision) != era):
            raise StoreRestored(
                'former_era', 'the store was restored during the call'
            )

    def dump(self) -> dict[str, object]:
        """
        Describe the era for operators.

        :returns: number of the era, and the time since this router learned of
            the last restore.
        """
        since_s = None
        if self._changed_at is not None:
            since_s = round(trio.current_time() - self._changed_at, 1)
        return {'number': self.current, 'restored_s_ago': since_s}
