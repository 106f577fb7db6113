"""
eelgrassfork.manifest
~~~~~~~~~~~~~~~~~~~~~

Signed manifests, which list the version and the parts of a bundle.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, NotRequired, TypedDict

import msgspec

from .errors import EelgrassError
from .key_list import KeyList, KeyListError, KeyState, next_state
from .signing import KeyPair, SigningError, verify

__all__ = (
    'CURRENT_KEY',
    'BundleError',
    'Manifest',
    'SignedManifest',
    'attach_parts',
    'open_manifest',
    'seal_manifest',
    'detach_parts',
)

CURRENT_KEY: Final = 'bundle/current'

# A change of one organisation in a bundle of the target size takes about 15 KB.
_MAX_ATTACHED_BYTES: Final = 65_536


class BundleError(EelgrassError):
    """A manifest, part or bundle is invalid or incomplete."""


class Manifest(NamedTuple):
    """
    Content of a bundle that an operator signs.

    :param version: version, higher than that of the replaced bundle.
    :param parts: SHA-256 of the parts in hexadecimal; a part of kind
        ``index`` lists further parts.
    :param base: version on which its sources are based.
    :param author: name of the operator, as stated by the operator.
    :param keys: granted and revoked signing keys, for the next bundles.
    """

    version: int
    parts: tuple[str, ...]
    base: int = 0
    author: str = ''
    keys: KeyList = KeyList()


class SignedManifest(NamedTuple):
    """
    A manifest whose signature was verified.

    :param manifest: the decoded manifest.
    :param envelope: encoded manifest with its signature.
    :param key_id: identifier of the signing key.
    :param key_state: trusted and revoked keys after this manifest.
    """

    manifest: Manifest
    envelope: bytes
    key_id: str
    key_state: KeyState


class _ManifestBody(TypedDict):
    version: int
    parts: tuple[str, ...]
    base: NotRequired[int]
    author: NotRequired[str]
    keys: NotRequired[KeyList]


class _Envelope(TypedDict):
    manifest: bytes
    key_id: str
    signature: bytes


class _EnvelopeWithParts(_Envelope):
    parts: NotRequired[dict[str, bytes]]


def seal_manifest(manifest: Manifest, key: KeyPair) -> bytes:
    """
    Encode and sign a manifest.

    :param manifest: the manifest.
    :param key: the operator's signing key.
    :returns: the envelope, as stored at the platform.
    :raises BundleError: ``bad_manifest`` if the manifest revokes this key.
    """
    if key.key_id in manifest.keys.revoked:
        message = f'the bundle revokes its own signing key {key.key_id!r}'
        raise BundleError('bad_manifest', message)
    body = msgspec.msgpack.encode(manifest._asdict())
    return msgspec.msgpack.encode(
        {
            'manifest': body,
            'key_id': key.key_id,
            'signature': key.sign(body),
        },
    )


def open_manifest(
    envelope: bytes,
    trusted_keys: Mapping[str, str],
    previous_state: KeyState | None = None,
) -> SignedManifest:
    """
    Verify and decode a signed manifest.

    :param envelope: signed manifest from an untrusted source.
    :param trusted_keys: public keys of the settings in base64 by identifier.
    :param previous_state: key state of the bundle that it would replace, or
        ``None``.
    :returns: the manifest.
    :raises BundleError: ``bad_manifest`` if it is malformed, unsigned, not
        signed by a trusted key, or omits the revocation of a key.
    """
    try:
        signed = msgspec.msgpack.decode(envelope, type=_Envelope)
        body = signed['manifest']
        decoded = msgspec.msgpack.decode(body, type=_ManifestBody)
        # The key list may be applied before the signature is verified: grants
        # carry their own signatures, and a revocation only removes trust.
        key_list = decoded.get('keys', KeyList())
        state = next_state(trusted_keys, previous_state, key_list)
        verify(state.keys, signed['key_id'], body, signed['signature'])
    except (msgspec.DecodeError, KeyListError, SigningError) as error:
        raise BundleError('bad_manifest', str(error)) from None
    version = decoded['version']
    if version < 1:
        raise BundleError('bad_manifest', 'the version is below 1')
    manifest = Manifest(
        version,
        decoded['parts'],
        decoded.get('base', version - 1),
        decoded.get('author', ''),
        key_list,
    )
    if not 0 <= manifest.base < version:
        raise BundleError('bad_manifest', 'the base is not below the version')
    return SignedManifest(manifest, envelope, signed['key_id'], state)


def attach_parts(envelope: bytes, bodies_by_hash: Mapping[str, bytes]) -> bytes:
    """
    Attach new parts to a signed manifest, to be stored as one object.

    A router that reads the object then has the complete bundle, even if the
    platform fails right afterwards. Parts are verified by their hashes, so the
    signature need not cover them.

    :param envelope: the signed manifest.
    :param bodies_by_hash: its parts that routers lack.
    :returns: object to store; the envelope alone if there are no parts or
        they exceed the size limit.
    """
    size = sum(len(body) for body in bodies_by_hash.values())
    if not bodies_by_hash or size > _MAX_ATTACHED_BYTES:
        return envelope
    signed = msgspec.msgpack.decode(envelope, type=_Envelope)
    return msgspec.msgpack.encode({**signed, 'parts': dict(bodies_by_hash)})


def detach_parts(stored: bytes) -> tuple[bytes, Mapping[str, bytes]]:
    """
    Split a stored object into the signed manifest and its attached parts.

    Reverses :func:`attach_parts`.

    :param stored: object as stored at the platform.
    :returns: the signed manifest and the attached parts by hash, neither of
        them verified.
    """
    try:
        attached = msgspec.msgpack.decode(stored, type=_EnvelopeWithParts)
    except msgspec.DecodeError:
        # Malformed objects are rejected later, by open_manifest.
        return stored, {}
    bodies = attached.pop('parts', {})
    return msgspec.msgpack.encode(attached), bodies
