"""
eelgrassfork.bundle_store
~~~~~~~~~~~~~~~~~~~~~~~~~

Bundles at the platform as operators read them: the accepted and older ones.
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
    """What commands on bundles and budgets ask of the platform."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object by conditional update."""


class Accepted(NamedTuple):
    """The accepted bundle and the version of its object."""

    held: HeldBundle | None
    object_version: int | None

    @property
    def version(self) -> int:
        """Version of the bundle, or 0."""
        return self.held.bundle.version if self.held else 0


class BundleStore(NamedTuple):
    """
    Reads bundles and verifies them.

    :param platform: where they stand.
    :param trusted_keys: public keys in base64 by key identifier.
    """

    platform: ObjectStore
    trusted_keys: Mapping[str, str]

    async def accepted(self, reuse_from: HeldBundle | None = None) -> Accepted:
        """
        Read the accepted bundle.

        :param reuse_from: a bundle that has most of its parts, which are not read
            again.
        :returns: the bundle; none if no bundle was accepted yet.
        :raises EelgrassError: if it can't be read or is refused.
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
        Read a bundle that was accepted and replaced since.

        :param version: its version.
        :param reuse_from: a bundle that has most of its parts.
        :returns: the bundle, or ``None`` if it is not kept or its signature
            is no longer trusted.
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
        :param reuse_from: a bundle whose parts are at hand.
        :param bodies_by_hash: further parts at hand, not verified.
        :returns: the bundle.
        :raises EelgrassError: if it can't be read or is refused.
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
    Tell where the platform keeps the manifest of a replaced bundle.

    :param version: the bundle's version.
    :returns: key of the object.
    """
    return f'bundle/history/{version}'


async def put_if_absent(platform: ObjectStore, key: str, body: bytes) -> None:
    """
    Write an object that never changes, unless it is there.

    :param platform: where to write it.
    :param key: its key.
    :param body: its content, the same whoever writes it.
    :raises PlatformError: if it can't be written.
    """
    try:
        await platform.put(key, body, None)
    except Conflict:
        return
    except AnswerLost:
        if await platform.get(key) is None:
            raise
