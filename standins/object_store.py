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
    Versioned objects by key.

    Each key has its own version, which keeps increasing when the object is
    deleted and created again; the revision counts the changes of all keys.
    """

    def __init__(self) -> None:
        self._body_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._key_by_change: list[str] = []
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last change, 0 before the first."""
        return len(self._key_by_change)

    def get(self, key: str) -> StoredObject | None:
        """
        Return an object.

        :param key: key of the object.
        :returns: the object, or ``None`` if there is none.
        """
        body = self._body_by_key.get(key)
        if body is None:
            return None
        return StoredObject(key, self._version_by_key[key], body)

    def put(self, key: str, body: bytes, expected_version: int | None) -> int:
        """
        Write an object.

        :param key: key of the object.
        :param body: new content, up to :data:`MAX_VALUE_BYTES`.
        :param expected_version: version to replace; ``None`` to create.
        :returns: the new version.
        :raises Conflict: if the object is at another version.
        :raises PlatformRefused: ``too_large``.
        """
        if len(body) > MAX_VALUE_BYTES:
            message = f'{len(body)} bytes exceed the limit of {MAX_VALUE_BYTES}'
            raise PlatformRefused('too_large', message)
        self._check(key, expected_version)
        self._body_by_key[key] = body
        self._record_change(key)
        return self._version_by_key[key]

    def delete(self, key: str, expected_version: int) -> None:
        """
        Delete an object.

        :param key: key of the object.
        :param expected_version: version to delete.
        :raises Conflict: if the object is at another version.
        """
        self._check(key, expected_version)
        self._body_by_key.pop(key, None)
        self._record_change(key)

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """
        Return all objects with a key prefix.

        :param prefix: key prefix.
        :returns: the objects, sorted by key.
        """
        keys = sorted(self._body_by_key)
        return [
            StoredObject(key, self._version_by_key[key], self._body_by_key[key])
            for key in keys
            if key.startswith(prefix)
        ]

    def changes(self, prefix: str, after_revision: int) -> WatchResult:
        """
        Return the objects that changed after a revision.

        :param prefix: key prefix.
        :param after_revision: last revision that the caller knows.
        :returns: the current state of each changed object, in order of its
            last change; a deleted object has version 0.
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
        """Wait for the next change or call of :meth:`notify_watchers`."""
        await self._changed.wait()

    def notify_watchers(self) -> None:
        """Wake up all tasks in :meth:`wait`."""
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
