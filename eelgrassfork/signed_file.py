"""
eelgrassfork.signed_file
~~~~~~~~~~~~~~~~~~~~~~~~

Files that contain a signed bundle.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import TypedDict

import msgspec

from .bundle import (
    BundleError,
    Manifest,
    SignedManifest,
    assemble,
    missing_parts,
    open_manifest,
    read_part,
    seal_manifest,
)
from .bundle_source import CompiledParts
from .held_bundle import HeldBundle
from .signing import KeyPair

__all__ = ('read_signed_file', 'seal_bundle', 'write_signed_file')


class _SignedFile(TypedDict):
    manifest: bytes
    parts: dict[str, bytes]


def seal_bundle(
    manifest: Manifest, parts: CompiledParts, key: KeyPair
) -> HeldBundle:
    """
    Sign a bundle, then verify and assemble it as a router does.

    :param manifest: manifest to sign; its list of parts is filled in.
    :param parts: the encoded parts.
    :param key: the operator's key pair.
    :returns: the assembled bundle.
    :raises BundleError: if a router would reject it.
    """
    envelope = seal_manifest(manifest._replace(parts=parts.hashes), key)
    own_key = {key.key_id: key.public_key}
    return _verified_bundle(
        open_manifest(envelope, own_key), parts.bodies_by_hash
    )


def write_signed_file(
    path: str, manifest: Manifest, parts: CompiledParts, key: KeyPair
) -> None:
    """
    Sign a bundle and write it to a file.

    :param path: path of the file.
    :param manifest: manifest to sign; its list of parts is filled in.
    :param parts: the encoded parts.
    :param key: the operator's key pair.
    :raises BundleError: ``file`` if the file can't be written.
    """
    envelope = seal_manifest(manifest._replace(parts=parts.hashes), key)
    signed = _SignedFile(manifest=envelope, parts=parts.bodies_by_hash)
    try:
        Path(path).write_bytes(msgspec.msgpack.encode(signed))
    except OSError as error:
        raise BundleError('file', f'{path}: {error.strerror}') from None


def read_signed_file(path: str, trusted_keys: Mapping[str, str]) -> HeldBundle:
    """
    Read and verify a file written by :func:`write_signed_file`.

    :param path: path of the file.
    :param trusted_keys: public keys in base64 by key identifier.
    :returns: the assembled bundle.
    :raises BundleError: if the file can't be read or fails verification.
    """
    try:
        encoded = Path(path).read_bytes()
        stored = msgspec.msgpack.decode(encoded, type=_SignedFile)
    except OSError as error:
        raise BundleError('file', f'{path}: {error.strerror}') from None
    except msgspec.DecodeError:
        raise BundleError('file', f'{path}: not a signed bundle') from None
    signed = open_manifest(stored['manifest'], trusted_keys)
    try:
        return _verified_bundle(signed, stored['parts'])
    except BundleError as error:
        raise BundleError(error.code, f'{path}: {error.message}') from None


def _verified_bundle(
    signed: SignedManifest, bodies: Mapping[str, bytes]
) -> HeldBundle:
    parts_by_hash = {
        part_hash: read_part(part_hash, body)
        for part_hash, body in bodies.items()
    }
    missing = missing_parts(signed.manifest, parts_by_hash)
    if missing:
        raise BundleError('file', f'part {missing[0]} is missing')
    bundle = assemble(signed.manifest, parts_by_hash)
    return HeldBundle(signed, parts_by_hash, bundle)
