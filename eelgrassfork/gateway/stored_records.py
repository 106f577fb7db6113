"""
eelgrassfork.gateway.stored_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Creates the records of servers and evacuations from objects of the store.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import logbook

from .evacuations import (
    LISTED_ID,
    evacuation_id,
    is_evacuation_id,
    is_valid_domain,
)
from .server_records import ServerRecord, ServerRecords
from .store import Change, Listing

__all__ = ('EVACUATIONS', 'SERVERS', 'RecordFactory', 'RecordKind')

_log = logbook.Logger('follow')

# Bounds what is logged, as other writers choose the names.
_MAX_REJECTED_NAMES: Final = 100
_MAX_LOGGED_NAME_LENGTH: Final = 200


class RecordKind(NamedTuple):
    """
    How the objects of one kind become records.

    :param make: creates the record of one object, ``None`` if its name can't
        be used.
    :param is_evacuations: whether the ids are those reserved for evacuations.
    :param listed: records that each listing creates in addition.
    """

    make: Callable[[Change], ServerRecord | None]
    is_evacuations: bool
    listed: tuple[ServerRecord, ...] = ()


class RecordFactory:
    """Creates records, and logs each name that can't be used once."""

    def __init__(self) -> None:
        self._rejected_names: set[str] = set()

    def from_listing(
        self, kind: RecordKind, listing: Listing, known: ServerRecords
    ) -> list[ServerRecord]:
        """
        Create the records of all objects of a kind.

        :param kind: kind of the objects.
        :param listing: all objects of that kind.
        :param known: known records.
        :returns: records, including the removal of known objects that the
            listing does not contain.
        """
        changes = [Change(stored, False) for stored in listing.objects]
        records = [*self.from_changes(kind, changes), *kind.listed]
        ids = [record.id for record in records]
        removals = known.removals_for_listing(ids, listing.revision)
        return records + [
            removal
            for removal in removals
            if is_evacuation_id(removal.id) == kind.is_evacuations
        ]

    def from_changes(
        self, kind: RecordKind, changes: list[Change]
    ) -> list[ServerRecord]:
        """
        Create the records of changed objects of a kind.

        :param kind: kind of the objects.
        :param changes: from a watch.
        :returns: one record per change, except for names that can't be used.
        """
        records = []
        for change in changes:
            record = kind.make(change)
            if record is None:
                self._log_rejected(change.stored.name)
            else:
                records.append(record)
        return records

    def _log_rejected(self, name: str) -> None:
        shown = name[:_MAX_LOGGED_NAME_LENGTH]
        known = self._rejected_names
        if shown in known or len(known) >= _MAX_REJECTED_NAMES:
            return
        known.add(shown)
        _log.error(
            'ignored an object whose name can not be used',
            extra={'name': shown},
        )


def _server_record(change: Change) -> ServerRecord | None:
    stored, deleted = change
    if is_evacuation_id(stored.name):
        return None
    content = b'' if deleted else stored.content
    return ServerRecord(stored.name, stored.revision, deleted, content)


def _evacuation_record(change: Change) -> ServerRecord | None:
    stored, deleted = change
    if not is_valid_domain(stored.name):
        return None
    # The content of the object means nothing, and is not sent to peers.
    return ServerRecord(
        evacuation_id(stored.name), stored.revision, deleted, b''
    )


SERVERS: Final = RecordKind(_server_record, is_evacuations=False)
# The additional record has a fixed revision, so that all routers have the same.
EVACUATIONS: Final = RecordKind(
    _evacuation_record,
    is_evacuations=True,
    listed=(ServerRecord(LISTED_ID, 0, False, b''),),
)
