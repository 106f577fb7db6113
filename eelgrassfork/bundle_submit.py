"""
eelgrassfork.bundle_submit
~~~~~~~~~~~~~~~~~~~~~~~~~~

Signed bundle files, and their acceptance at the platform.
"""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, Protocol, TypedDict

import msgspec

from .bundle import (
    CURRENT_KEY,
    BundleError,
    Manifest,
    SignedManifest,
    assemble,
    missing_parts,
    open_manifest,
    part_key,
    read_part,
    seal_manifest,
)
from .bundle_source import CompiledParts
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle, gather
from .platform_types import AnswerLost, Conflict, StoredObject
from .signing import KeyPair

__all__ = (
    'ObjectStore',
    'SubmitConflict',
    'SubmitRefused',
    'differing_names',
    'read_accepted',
    'read_signed_file',
    'submit',
    'write_signed_file',
)


class SubmitConflict(EelgrassError):
    """Another bundle was accepted first; nothing of it is lost."""


class SubmitRefused(EelgrassError):
    """The bundle must not come into force."""


class ObjectStore(Protocol):
    """What a submission asks of the platform."""

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


class _SignedFile(TypedDict):
    manifest: bytes
    parts: dict[str, bytes]


def write_signed_file(
    path: str, version: int, parts: CompiledParts, key: KeyPair
) -> None:
    """
    Sign a bundle and write it to a file.

    :param path: path of the file.
    :param version: version of the bundle.
    :param parts: its parts.
    :param key: the operator's key.
    :raises BundleError: ``file`` if the file can't be written.
    """
    envelope = seal_manifest(Manifest(version, parts.hashes), key)
    signed = _SignedFile(manifest=envelope, parts=parts.bodies_by_hash)
    try:
        Path(path).write_bytes(msgspec.msgpack.encode(signed))
    except OSError as error:
        raise BundleError('file', f'{path}: {error.strerror}') from None


def read_signed_file(path: str, trusted_keys: Mapping[str, str]) -> HeldBundle:
    """
    Read and verify a file that :func:`write_signed_file` wrote.

    :param path: path of the file.
    :param trusted_keys: public keys in base64 by key identifier.
    :returns: the whole bundle.
    :raises BundleError: if it can't be read or is refused.
    """
    try:
        encoded = Path(path).read_bytes()
        stored = msgspec.msgpack.decode(encoded, type=_SignedFile)
    except OSError as error:
        raise BundleError('file', f'{path}: {error.strerror}') from None
    except msgspec.DecodeError:
        raise BundleError('file', f'{path}: is no signed bundle') from None
    signed = open_manifest(stored['manifest'], trusted_keys)
    parts_by_hash = {
        part_hash: read_part(part_hash, body)
        for part_hash, body in stored['parts'].items()
    }
    missing = missing_parts(signed.manifest, parts_by_hash)
    if missing:
        raise BundleError('file', f'{path}: lacks part {missing[0]}')
    bundle = assemble(signed.manifest, parts_by_hash)
    return HeldBundle(signed, parts_by_hash, bundle)


async def read_accepted(
    platform: ObjectStore, trusted_keys: Mapping[str, str]
) -> Accepted:
    """
    Read the accepted bundle.

    :param platform: where it stands.
    :param trusted_keys: public keys in base64 by key identifier.
    :returns: the bundle; none if no bundle was accepted yet.
    :raises EelgrassError: if it can't be read or is refused.
    """
    stored = await platform.get(CURRENT_KEY)
    if stored is None:
        return Accepted(None, None)
    signed = open_manifest(stored.body, trusted_keys)

    async def fetch(hashes: list[str]) -> dict[str, bytes]:
        found = [await platform.get(part_key(each)) for each in hashes]
        return {
            part_hash: part.body
            for part_hash, part in zip(hashes, found, strict=True)
            if part is not None
        }

    return Accepted(await gather(signed, None, fetch), stored.version)


async def submit(
    platform: ObjectStore, new: HeldBundle, accepted: Accepted
) -> bool:
    """
    Let the platform accept a bundle, from version n to n+1.

    :param platform: where bundles stand.
    :param new: the verified bundle.
    :param accepted: the accepted bundle, read just before.
    :returns: false if it had been accepted before.
    :raises SubmitConflict: ``conflict``, naming what differs.
    :raises SubmitRefused: ``shards_changed``.
    :raises PlatformError: if the platform does not answer; after
        :class:`AnswerLost` the bundle may be accepted.
    """
    if accepted.held and accepted.held.signed.envelope == new.signed.envelope:
        return False
    if new.bundle.version != accepted.version + 1:
        raise _conflict(new, accepted)
    _check_shards(new.bundle, accepted)
    for part_hash, part in new.parts_by_hash.items():
        await _put_part(platform, part_key(part_hash), part.body)
    await _put_current(platform, new.signed, accepted)
    return True


def differing_names(one: Bundle, other: Bundle) -> list[str]:
    """
    List what differs between two bundles.

    :param one: a bundle.
    :param other: another one.
    :returns: kinds and names, in order.
    """
    return sorted(_differences(one, other))


def _differences(one: Bundle, other: Bundle) -> Iterator[str]:
    for field in Bundle._fields:
        kind, is_named, _ = field.partition('_by_name')
        if not is_named:
            continue
        ours: dict[str, Any] = getattr(one, field)
        theirs: dict[str, Any] = getattr(other, field)
        for name in ours.keys() | theirs.keys():
            if ours.get(name) != theirs.get(name):
                yield f'{kind} {name}'


def _conflict(new: HeldBundle, accepted: Accepted) -> SubmitConflict:
    message = (
        f'version {accepted.version} is accepted, '
        f'so version {new.bundle.version} can not follow'
    )
    if accepted.held is not None:
        signer = accepted.held.signed.key_id
        names = differing_names(new.bundle, accepted.held.bundle)
        differs = ', '.join(names) or 'nothing'
        message = (
            f'{message}; it is signed by {signer} and differs in {differs}'
        )
    return SubmitConflict('conflict', message)


def _check_shards(new: Bundle, accepted: Accepted) -> None:
    # A budget whose shard moved would start again with a whole new ledger
    # entry, beside the one that was spent.
    if accepted.held is None:
        return
    for name, fleet in accepted.held.bundle.fleets_by_name.items():
        changed = new.fleets_by_name.get(name, fleet)
        if changed.ledger_shards != fleet.ledger_shards:
            message = (
                f'fleet {name} has budgets in {fleet.ledger_shards} shards, '
                'which can not be changed'
            )
            raise SubmitRefused('shards_changed', message)


async def _put_part(platform: ObjectStore, key: str, body: bytes) -> None:
    if await platform.get(key) is not None:
        return
    try:
        await platform.put(key, body, None)
    except Conflict:
        return
    except AnswerLost:
        if await platform.get(key) is None:
            raise


async def _put_current(
    platform: ObjectStore, signed: SignedManifest, accepted: Accepted
) -> None:
    try:
        await platform.put(
            CURRENT_KEY, signed.envelope, accepted.object_version
        )
    except Conflict:
        message = 'another bundle was accepted at the same time'
        raise SubmitConflict('conflict', message) from None
    except AnswerLost:
        stored = await platform.get(CURRENT_KEY)
        if stored is None or stored.body != signed.envelope:
            raise
