"""
eelgrassfork.gateway.store
~~~~~~~~~~~~~~~~~~~~~~~~~~

Interface of the persistent store that the gateway requires.
"""

from typing import NamedTuple, Protocol

from .store_era import StoreEra
from .store_errors import (
    HistoryGone,
    StoreAnswerLost,
    StoreError,
    StoreRestored,
    StoreUnavailable,
)

__all__ = (
    'Change',
    'HistoryGone',
    'Listing',
    'Store',
    'StoreAnswerLost',
    'StoreConflict',
    'StoreError',
    'StoreRestored',
    'StoreUnavailable',
    'StoredObject',
)


class StoredObject(NamedTuple):
    """
    An object at one revision.

    :param revision: ordered over restores of the store, see ``store_era``.
    :param content: stored JSON of the object.
    """

    name: str
    revision: int
    content: bytes


class Listing(NamedTuple):
    """All objects of a kind at one revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(NamedTuple):
    """An object after a change, or its last state before its deletion."""

    stored: StoredObject
    deleted: bool


class StoreConflict(StoreError):
    """
    The condition of a write did not hold; the write has no effect.

    :ivar current: the current object; ``None`` if there is none.
    """

    def __init__(self, name: str, current: StoredObject | None) -> None:
        super().__init__(
            'conflict', f'object {name!r} was changed concurrently'
        )
        self.current = current


class Store(Protocol):
    """
    Objects by kind and name, with conditional writes and watches.

    :ivar era: restores of the store from an older copy.
    """

    era: StoreEra

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read one object.

        :returns: the object, or ``None`` if there is none.
        :raises StoreError: if the call fails.
        """

    async def list_all(self, kind: str) -> Listing:
        """
        Read all objects of a kind.

        :raises StoreError: if the call fails or the answer is incomplete.
        """

    async def watch(
        self, kind: str, after_revision: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """
        Wait for changes of a kind.

        :param after_revision: revision of the last listing or watch.
        :param wait_s: maximum wait in seconds.
        :returns: changes, and the revision to continue from.
        :raises HistoryGone: if the kind has to be listed again.
        :raises StoreError: if the call fails.
        """

    async def create(
        self, kind: str, name: str, content: object
    ) -> StoredObject:
        """
        Create an object.

        :raises StoreConflict: if it already exists.
        :raises StoreError: if the write is not confirmed.
        """

    async def replace(
        self, kind: str, name: str, content: object, revision: int | None
    ) -> StoredObject:
        """
        Replace an existing object.

        :param revision: expected revision; ``None`` replaces any revision.
        :raises StoreConflict: if it has another revision or does not exist.
        :raises StoreError: if the write is not confirmed.
        """
