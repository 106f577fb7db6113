"""
eelgrassfork.gateway.departed_servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Recognises entries of servers that had left before a restore of the store.

The restored copy may contain such entries until the store expires them.
"""

from typing import Final, NamedTuple

import trio

from .records import ServerEntry

__all__ = ('DepartedServers',)

# Exceeds the age of a copy, so that its entries are still recognised.
_RETENTION_S: Final = 120.0
# Exceeds the silence after which the store expires an entry, a few intervals
# of the servers' own heartbeats.
_CONFIRMATION_S: Final = 10.0


class _Departure(NamedTuple):
    incarnation: int
    sequence: int
    at: float


class DepartedServers:
    """Last state of the servers whose entries were removed."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Departure] = {}
        self._unconfirmed_by_id: dict[str, ServerEntry] = {}
        self._restored_at: float = float('-inf')

    def record_removal(self, entry: ServerEntry) -> None:
        """
        Record that the entry of a server was removed.

        :param entry: last known entry.
        """
        self._by_id[entry.id] = _Departure(
            entry.incarnation, entry.sequence, trio.current_time()
        )

    def discard_unconfirmed(self, server_id: str) -> None:
        """
        Forget an entry that was held back, as it was removed.

        :param server_id: id of the server.
        """
        self._unconfirmed_by_id.pop(server_id, None)

    def record_restore(self) -> None:
        """Record that the store came back from an older copy."""
        self._restored_at = trio.current_time()

    def hold_back(self, entry: ServerEntry) -> bool:
        """
        Hold an entry back if it may only stand in the restored copy.

        :param entry: entry that the store has.
        :returns: whether the server had left before the restore, and the
            entry is not newer than its last one.
        """
        departure = self._by_id.get(entry.id)
        if departure is None:
            return False
        if self._may_be_outdated(entry, departure):
            self._unconfirmed_by_id[entry.id] = entry
            return True
        self._by_id.pop(entry.id)
        self._unconfirmed_by_id.pop(entry.id, None)
        return False

    def take_confirmed(self) -> list[ServerEntry]:
        """
        Take the entries that the store has kept long enough to be valid.

        :returns: entries that were held back.
        """
        if self._is_confirmation_pending:
            return []
        confirmed = list(self._unconfirmed_by_id.values())
        self._unconfirmed_by_id.clear()
        return confirmed

    def discard_expired(self) -> None:
        """Drop what is older than any copy."""
        oldest = trio.current_time() - _RETENTION_S
        for server_id, departure in list(self._by_id.items()):
            if departure.at < oldest:
                self._by_id.pop(server_id)

    @property
    def _is_confirmation_pending(self) -> bool:
        return trio.current_time() < self._restored_at + _CONFIRMATION_S

    def _may_be_outdated(
        self, entry: ServerEntry, departure: _Departure
    ) -> bool:
        if (
            departure.at >= self._restored_at
            or not self._is_confirmation_pending
        ):
            return False
        return (entry.incarnation, entry.sequence) <= (
            departure.incarnation,
            departure.sequence,
        )
