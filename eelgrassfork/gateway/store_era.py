"""
eelgrassfork.gateway.store_era
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks restores of the store from an older copy.

A restore begins a new era: acknowledged changes are undone, and revisions are
used again.
"""

from collections.abc import Callable

import logbook
import trio

__all__ = ('StoreEra',)

_log = logbook.Logger('store')


class StoreEra:
    """
    Newest era of the store that this router knows.

    :ivar current: number of the era; 0 until an answer names one.
    """

    def __init__(self) -> None:
        self.current = 0
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
        Record an era that an answer of the store or a peer names.

        :param era: number of the era; older ones are ignored.
        :param source: ``store`` or the name of the peer, for the log.
        """
        if era <= self.current and self._is_known:
            return
        previous, was_known = self.current, self._is_known
        self.current = era
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
