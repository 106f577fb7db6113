"""
eelgrassfork.bundle_store
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the accepted bundle and its predecessors from the platform for operators.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from .bundle import CURRENT_KEY, BundleError, open_manifest, part_key
from .bundle_fetch import parts_from_mapping
from .held_bundle import HeldBundle, fetch_and_assemble
from .manifest import detach_parts
from .platform_types import AnswerLost, Conflict, StoredObject

__all__ = (
    'Accepted',
    'BundleStore',
    'ObjectStore',
    'history_key',
    'put_if_absent',
)


class ObjectStore(Protocol):
    """Platform interface used by the commands on bundles and budgets."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object; ``None`` if it does not exist."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object by conditional update."""


class Accepted(NamedTuple):
    """
    The accepted bundle.

    :param held: the bundle, or ``None`` if none was accepted yet.
    :param object_version: version of the platform's object, for conditional
        updates; ``None`` if it does not exist.
    """

    held: HeldBundle | None
    object_version: int | None

    @property
    def version(self) -> int:
        """Version of the bundle, or 0 if there is none."""
        return self.held.bundle.version if self.held else 0


class BundleStore(NamedTuple):
    """
    Reads bundles from the platform and verifies them.

    :param platform: object store that holds the bundles.
    :param trusted_keys: public keys in base64 by key identifier.
    """

    platform: ObjectStore
    trusted_keys: Mapping[str, str]

    async def accepted(self, reuse_from: HeldBundle | None = None) -> Accepted:
        """
        Read the accepted bundle.

        :param reuse_from: a bundle whose parts are reused instead of read.
        :returns: the bundle; :attr:`Accepted.held` is ``None`` if no bundle
            was accepted yet.
        :raises EelgrassError: if it can't be read or is invalid.
        """
        stored = await self.platform.get(CURRENT_KEY)
        if stored is None:
            return Accepted(None, None)
        envelope, bodies = detach_parts(stored.body)
        held = await self.open(envelope, reuse_from, bodies)
        return Accepted(held, stored.version)

    async def replaced(
        self, version: int, reuse_from: HeldBundle
    ) -> HeldBundle | None:
        """
        Read a formerly accepted bundle that has been replaced.

        :param version: version of the bundle.
        :param reuse_from: a bundle whose parts are reused instead of read.
        :returns: the bundle, or ``None`` if it is not in the history or is
            invalid, for example as its signature is no longer trusted.
        :raises EelgrassError: if the platform does not answer.
        """
        stored = await self.platform.get(history_key(version))
        if stored is None:
            return None
        try:
            return await self.open(stored.body, reuse_from)
        except BundleError:
            return None

    async def open(
        self,
        envelope: bytes,
        reuse_from: HeldBundle | None,
        bodies_by_hash: Mapping[str, bytes] | None = None,
    ) -> HeldBundle:
        """
        Verify a manifest and read its parts.

        :param envelope: signed manifest.
        :param reuse_from: a bundle whose parts are reused instead of read.
        :param bodies_by_hash: unverified parts that are already available.
        :returns: the bundle.
        :raises EelgrassError: if it can't be read or is invalid.
        """
        signed = open_manifest(envelope, self.trusted_keys)
        fetch = parts_from_mapping(bodies_by_hash or {}, self._fetch)
        return await fetch_and_assemble(signed, reuse_from, fetch)

    async def _fetch(self, hashes: list[str]) -> dict[str, bytes]:
        found = [await self.platform.get(part_key(each)) for each in hashes]
        return {
            part_hash: part.body
            for part_hash, part in zip(hashes, found, strict=True)
            if part is not None
        }


def history_key(version: int) -> str:
    """
    Return the platform's object key for the manifest of a replaced bundle.

    :param version: version of the bundle.
    :returns: the object key.
    """
    return f'bundle/history/{version}'


async def put_if_absent(platform: ObjectStore, key: str, body: bytes) -> None:
    """
    Write an immutable object unless it exists.

    :param platform: object store to write to.
    :param key: key of the object.
    :param body: content of the object; every writer of the key has the same.
    :raises PlatformError: if it can't be written.
    """
    try:
        await platform.put(key, body, None)
    except Conflict:
        return
    except AnswerLost:
        if await platform.get(key) is None:
            raise
