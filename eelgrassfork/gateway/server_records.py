"""
eelgrassfork.gateway.server_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of servers and evacuations by revision; merging them is commutative.
"""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

from .evacuations import is_evacuation_id

__all__ = ('ServerRecord', 'ServerRecords')

_DIGEST_BYTES: Final = 7


class ServerRecord(NamedTuple):
    """
    Last known entry of one server in the store, or its removal.

    The record of an evacuation has a reserved id and no content.

    :param revision: revision of the entry; for a removal, revision of the
        last entry.
    :param content: stored JSON of the entry; empty for a removal.
    """

    id: str
    revision: int
    removed: bool
    content: bytes


class ServerRecords:
    """
    Newest record of each server.

    A removal supersedes an entry of the same revision.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, ServerRecord] = {}
        self._digest = 0
        self._newest = 0

    @property
    def digest(self) -> int:
        """Hash over all records; equal on routers with equal records."""
        return self._digest

    @property
    def newest(self) -> int:
        """
        Highest revision of the records of servers; 0 if there are none.

        Evacuations don't count: each kind is read by a watch of its own, so
        that a record of one kind may arrive before older ones of the other.
        """
        return self._newest

    def put(self, record: ServerRecord) -> bool:
        """
        Store a record if it supersedes the known one.

        :param record: record read from the store by this router or a peer.
        :returns: whether it was stored.
        """
        known = self._by_id.get(record.id)
        if known is not None and _precedence(record) <= _precedence(known):
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._by_id[record.id] = record
        self._digest ^= _hash(record)
        if not is_evacuation_id(record.id):
            self._newest = max(self._newest, record.revision)
        return True

    def removals_for_listing(
        self, listed_ids: Iterable[str], revision: int
    ) -> list[ServerRecord]:
        """
        Create removals for known records that a listing does not contain.

        :param listed_ids: ids of the records in the listing.
        :param revision: revision of the listing; newer records are skipped, as
            the listing predates them.
        :returns: removal records, which are not stored yet; those of the kinds
            that the listing is not about have to be left out.
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
        Return the records that a peer lacks.

        :param after: newest revision known to the peer.
        :returns: records of servers with a higher revision, including
            removals, and all records of evacuations, which are few.
        """
        return [
            record
            for record in self._by_id.values()
            if record.revision > after or is_evacuation_id(record.id)
        ]


def _precedence(record: ServerRecord) -> tuple[int, bool]:
    return record.revision, record.removed


def _hash(record: ServerRecord) -> int:
    text = f'{record.id}|{record.revision}|{record.removed}'
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
