"""
eelgrassfork.gateway.server_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries of backend servers by revision, which routers merge in any order.
"""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('ServerRecord', 'ServerRecords')

_DIGEST_BYTES: Final = 7


class ServerRecord(NamedTuple):
    """
    What the store last said of one server.

    :param revision: of its entry; of the last entry if it was removed.
    :param content: JSON as it is stored, empty if it was removed.
    """

    id: str
    revision: int
    removed: bool
    content: bytes


class ServerRecords:
    """Newest record of each server; a removal wins over its last entry."""

    def __init__(self) -> None:
        self._by_id: dict[str, ServerRecord] = {}
        self._digest = 0
        self._newest = 0

    @property
    def digest(self) -> int:
        """Equal on routers that know the same."""
        return self._digest

    @property
    def newest(self) -> int:
        """Highest revision of all records, 0 without any."""
        return self._newest

    def put(self, record: ServerRecord) -> bool:
        """
        Take over a record unless a newer one is known.

        :param record: what somebody read.
        :returns: whether it is newer.
        """
        known = self._by_id.get(record.id)
        if known is not None and _precedence(record) <= _precedence(known):
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._by_id[record.id] = record
        self._digest ^= _hash(record)
        self._newest = max(self._newest, record.revision)
        return True

    def removals_missing_from(
        self, listed_ids: Iterable[str], revision: int
    ) -> list[ServerRecord]:
        """
        Make removals of the servers that a listing lacks.

        :param listed_ids: ids of the listing.
        :param revision: of the listing; it says nothing of newer entries.
        :returns: records to put.
        """
        present = set(listed_ids)
        return [
            record._replace(removed=True, content=b'')
            for record in self._by_id.values()
            if record.id not in present
            and not record.removed
            and record.revision <= revision
        ]

    def export(self, after: int = -1) -> list[ServerRecord]:
        """
        List records for a peer.

        :param after: newest revision that the peer knows.
        :returns: newer records, also of removed servers.
        """
        return [
            record for record in self._by_id.values() if record.revision > after
        ]


def _precedence(record: ServerRecord) -> tuple[int, bool]:
    return record.revision, record.removed


def _hash(record: ServerRecord) -> int:
    text = f'{record.id}|{record.revision}|{record.removed}'
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
