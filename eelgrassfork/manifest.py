"""
eelgrassfork.manifest
~~~~~~~~~~~~~~~~~~~~~

Signed manifests: version and parts of a bundle, as a person signs them.
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

# A change of one organisation of the target takes about 15 KB.
_MAX_ATTACHED_BYTES: Final = 65_536


class BundleError(EelgrassError):
    """A manifest or a part is not what it has to be."""


class Manifest(NamedTuple):
    """
    What a person signs.

    :param version: higher than that of the bundle it replaces.
    :param parts: SHA-256 of the parts in hexadecimal; a part of kind
        ``index`` names further parts.
    :param base: version that its sources were made from.
    :param author: name of the person, as given by that person.
    :param keys: which keys may sign the next bundle.
    """

    version: int
    parts: tuple[str, ...]
    base: int = 0
    author: str = ''
    keys: KeyList = KeyList()


class SignedManifest(NamedTuple):
    """
    A manifest whose signature was verified.

    :param envelope: its encoded form.
    :param key_id: the key that signed it.
    :param key_state: keys that are trusted after it.
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

    :param manifest: what to sign.
    :param key: the operator's key.
    :returns: the envelope, as stored at the platform.
    :raises BundleError: ``bad_manifest`` if it revokes this key.
    """
    if key.key_id in manifest.keys.revoked:
        message = f'the bundle revokes the key {key.key_id!r} that signs it'
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

    :param envelope: as received from anyone.
    :param trusted_keys: keys of the settings in base64 by identifier.
    :param previous_state: keys after the bundle that it would replace, if there is one.
    :returns: the manifest.
    :raises BundleError: ``bad_manifest`` if it is malformed, not signed, not
        signed by a trusted key, or forgets that a key is revoked.
    """
    try:
        signed = msgspec.msgpack.decode(envelope, type=_Envelope)
        body = signed['manifest']
        decoded = msgspec.msgpack.decode(body, type=_ManifestBody)
        # Grants are signed by themselves, and a revocation only takes trust
        # away, so both may be read before the signature is checked.
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
    Put new parts beside a manifest, for the platform to hand out as one.

    Whoever hears of the bundle then has it whole, even if the platform fails
    at that moment. Parts are checked by their hashes, so they need not be
    signed.

    :param envelope: the signed manifest.
    :param bodies_by_hash: its parts that routers lack.
    :returns: what to store; the envelope alone if the parts are too many.
    """
    size = sum(len(body) for body in bodies_by_hash.values())
    if not bodies_by_hash or size > _MAX_ATTACHED_BYTES:
        return envelope
    signed = msgspec.msgpack.decode(envelope, type=_Envelope)
    return msgspec.msgpack.encode({**signed, 'parts': dict(bodies_by_hash)})


def detach_parts(stored: bytes) -> tuple[bytes, Mapping[str, bytes]]:
    """
    Undo :func:`attach_parts`.

    :param stored: as stored at the platform.
    :returns: the signed manifest, and parts that came with it; they are not
        verified.
    """
    try:
        attached = msgspec.msgpack.decode(stored, type=_EnvelopeWithParts)
    except msgspec.DecodeError:
        # Refused with its reason by open_manifest.
        return stored, {}
    bodies = attached.pop('parts', {})
    return msgspec.msgpack.encode(attached), bodies
