"""
standins.object_store
~~~~~~~~~~~~~~~~~~~~~

In-memory objects with versions, conditional updates and watches.
"""

from typing import Final

import trio

from eelgrassfork.platform_types import (
    Conflict,
    PlatformRefused,
    StoredObject,
    WatchResult,
)

__all__ = ('MAX_VALUE_BYTES', 'ObjectStore')

MAX_VALUE_BYTES: Final = 1_000_000


class ObjectStore:
    """
    Objects by key.

    A version belongs to a key and grows also over deleting and creating
    anew; the revision counts all changes.
    """

    def __init__(self) -> None:
        self._body_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._key_by_change: list[str] = []
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Number of the last change, 0 before the first."""
        return len(self._key_by_change)

    def get(self, key: str) -> StoredObject | None:
        """
        Read an object.

        :param key: its key.
        :returns: the object, or ``None``.
        """
        body = self._body_by_key.get(key)
        if body is None:
            return None
        return StoredObject(key, self._version_by_key[key], body)

    def put(self, key: str, body: bytes, expected_version: int | None) -> int:
        """
        Write an object.

        :param key: its key.
        :param body: its new content, up to :data:`MAX_VALUE_BYTES`.
        :param expected_version: version to replace, ``None`` to create.
        :returns: the new version.
        :raises Conflict: if the object is at another version.
        :raises PlatformRefused: ``too_large``.
        """
        if len(body) > MAX_VALUE_BYTES:
            message = f'{len(body)} bytes exceed {MAX_VALUE_BYTES}'
            raise PlatformRefused('too_large', message)
        self._check(key, expected_version)
        self._body_by_key[key] = body
        self._record_change(key)
        return self._version_by_key[key]

    def delete(self, key: str, expected_version: int) -> None:
        """
        Delete an object.

        :param key: its key.
        :param expected_version: version to delete.
        :raises Conflict: if the object is at another version.
        """
        self._check(key, expected_version)
        self._body_by_key.pop(key, None)
        self._record_change(key)

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """
        Read all objects with a prefix.

        :param prefix: beginning of the keys.
        :returns: the objects in order of their keys.
        """
        keys = sorted(self._body_by_key)
        return [
            StoredObject(key, self._version_by_key[key], self._body_by_key[key])
            for key in keys
            if key.startswith(prefix)
        ]

    def changes(self, prefix: str, after_revision: int) -> WatchResult:
        """
        Read what changed since a revision.

        :param prefix: beginning of the keys.
        :param after_revision: revision already known.
        :returns: the last state of each changed object, oldest change
            first; a deleted one has version 0.
        """
        changed = dict.fromkeys(reversed(self._key_by_change[after_revision:]))
        deleted = StoredObject('', 0, b'')
        return WatchResult(
            self.revision,
            [
                self.get(key) or deleted._replace(key=key)
                for key in reversed(changed)
                if key.startswith(prefix)
            ],
        )

    async def wait(self) -> None:
        """Wait for the next change or :meth:`notify_watchers`."""
        await self._changed.wait()

    def notify_watchers(self) -> None:
        """End all waits."""
        self._changed.set()
        self._changed = trio.Event()

    def _check(self, key: str, expected_version: int | None) -> None:
        stored = self.get(key)
        current = stored.version if stored else None
        if current != expected_version:
            raise Conflict(key, current)

    def _record_change(self, key: str) -> None:
        self._key_by_change.append(key)
        self._version_by_key[key] = self._version_by_key.get(key, 0) + 1
        self.notify_watchers()
