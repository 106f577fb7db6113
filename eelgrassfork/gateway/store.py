"""
eelgrassfork.gateway.store
~~~~~~~~~~~~~~~~~~~~~~~~~~

What the gateway needs of a store that outlives its routers.
"""

from typing import NamedTuple, Protocol

from ..errors import EelgrassError

__all__ = (
    'Change',
    'HistoryGone',
    'Listing',
    'Store',
    'StoreAnswerLost',
    'StoreConflict',
    'StoreError',
    'StoreUnavailable',
    'StoredObject',
)


class StoredObject(NamedTuple):
    """
    An object at one revision.

    :param content: JSON as it is stored.
    """

    name: str
    revision: int
    content: bytes


class Listing(NamedTuple):
    """All objects of a kind as of one revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(NamedTuple):
    """An object after a change, or as it was when it was deleted."""

    stored: StoredObject
    deleted: bool


class StoreError(EelgrassError):
    """A call of the store did not succeed."""


class StoreUnavailable(StoreError):
    """The store did not do the call; nothing took effect."""


class StoreAnswerLost(StoreError):
    """A call was sent, and a write may take effect now or later."""


class HistoryGone(StoreError):
    """Changes since the asked revision are no longer known."""


class StoreConflict(StoreError):
    """
    A conditional write lost the race; nothing took effect.

    :ivar current: the object as it is; ``None`` if there is none.
    """

    def __init__(self, name: str, current: StoredObject | None) -> None:
        super().__init__('conflict', f'object {name!r} has changed')
        self.current = current


class Store(Protocol):
    """Objects by kind and name, with conditional writes and watches."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read one object.

        :returns: the object, or ``None`` if there is none.
        :raises StoreError: if there is no answer.
        """

    async def list_all(self, kind: str) -> Listing:
        """
        Read all objects of a kind.

        :raises StoreError: if there is no whole answer.
        """

    async def watch(
        self, kind: str, after_revision: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """
        Wait for changes.

        :param after_revision: revision of the last listing or watch.
        :param wait_s: longest wait.
        :returns: changes, and the revision to go on from.
        :raises HistoryGone: if the kind has to be listed again.
        :raises StoreError: if there is no answer.
        """

    async def create(
        self, kind: str, name: str, content: object
    ) -> StoredObject:
        """
        Write an object that must not exist.

        :raises StoreConflict: if it exists.
        :raises StoreError: if it is not known to be written.
        """

    async def replace(
        self, kind: str, name: str, content: object, revision: int | None
    ) -> StoredObject:
        """
        Write an object over one revision of it, or over any.

        :raises StoreConflict: if it has another revision or is missing.
        :raises StoreError: if it is not known to be written.
        """
