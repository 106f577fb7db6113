"""
eelgrassfork.signing
~~~~~~~~~~~~~~~~~~~~

Ed25519 operator keys and signatures of bundle manifests and key grants.
"""

import base64
import binascii
import hashlib
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import msgspec
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from .errors import EelgrassError

__all__ = (
    'KeyPair',
    'SigningError',
    'check_trusted_key',
    'key_id_of',
    'load_key',
    'make_key',
    'sign_grant',
    'verify',
    'verify_grant',
)

# Domain separation: a signature of a manifest is not valid for anything else.
_MANIFEST_CONTEXT: Final = b'eelgrassfork bundle manifest 1\n'
_GRANT_CONTEXT: Final = b'eelgrassfork key grant 1\n'
_KEY_BYTES: Final = 32
_KEY_ID_DIGITS: Final = 16
_OWNER_READ_WRITE: Final = 0o600
_CREATE_EXCLUSIVE: Final = os.O_WRONLY | os.O_CREAT | os.O_EXCL


class SigningError(EelgrassError):
    """A key or a signature can't be used."""


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True):
    key_id: str
    private_key: str


class KeyPair:
    """
    An operator's key pair. The private key is not exposed.

    :ivar key_id: identifier of the public key.
    :ivar public_key: public key in base64, as listed in settings.
    """

    def __init__(self, private: SigningKey) -> None:
        public = bytes(private.verify_key)
        self.key_id = _key_id(public)
        self.public_key = base64.b64encode(public).decode()
        self._private = private

    def __repr__(self) -> str:
        return f'KeyPair({self.key_id})'

    def sign(self, message: bytes) -> bytes:
        """
        Sign a manifest.

        :param message: encoded manifest.
        :returns: the signature, 64 bytes.
        """
        return self.sign_with_context(_MANIFEST_CONTEXT, message)

    def sign_with_context(self, context: bytes, message: bytes) -> bytes:
        """
        Sign a message such that the signature is valid in one context only.

        :param context: prefix that identifies the purpose of the message.
        :param message: the message.
        :returns: the signature, 64 bytes.
        """
        return self._private.sign(context + message).signature


def make_key(path: str) -> KeyPair:
    """
    Generate a key pair and store it in a new file with mode 0600.

    :param path: path of the file; it must not exist.
    :returns: the key pair.
    :raises SigningError: ``key_file`` if the file can't be created.
    """
    private = SigningKey.generate()
    pair = KeyPair(private)
    secret = base64.b64encode(bytes(private)).decode()
    encoded = msgspec.json.encode(_KeyFile(pair.key_id, secret))
    try:
        with open(
            os.open(path, _CREATE_EXCLUSIVE, _OWNER_READ_WRITE), 'wb'
        ) as stream:
            stream.write(encoded)
    except (OSError, ValueError) as error:
        raise SigningError('key_file', f'{path}: {error}') from None
    return pair


def load_key(path: str) -> KeyPair:
    """
    Load a key pair stored by :func:`make_key`.

    :param path: path of the file.
    :returns: the key pair.
    :raises SigningError: ``key_file`` if the file can't be read or is not a
        valid key file.
    """
    try:
        stored = msgspec.json.decode(Path(path).read_bytes(), type=_KeyFile)
        secret = base64.b64decode(stored.private_key, validate=True)
        pair = KeyPair(SigningKey(secret))
    except OSError as error:
        raise SigningError('key_file', f'{path}: {error.strerror}') from None
    except Exception:
        # The text of the original error could reveal part of the key.
        raise SigningError(
            'key_file', f'{path}: not a valid key file'
        ) from None
    if pair.key_id != stored.key_id:
        raise SigningError(
            'key_file', f'{path}: key_id does not match the private key'
        )
    return pair


def key_id_of(public_key: str) -> str:
    """
    Compute the identifier of a public key.

    :param public_key: the key in base64.
    :returns: first 16 hexadecimal digits of its SHA-256.
    :raises SigningError: ``bad_key`` if the key is malformed.
    """
    return _key_id(_decode_public(public_key))


def check_trusted_key(key_id: str, public_key: str) -> None:
    """
    Check that an entry of a trusted-key table is consistent.

    :param key_id: identifier of the entry.
    :param public_key: the key in base64.
    :raises SigningError: ``bad_key`` if the key is malformed or has another
        identifier.
    """
    expected = key_id_of(public_key)
    if key_id != expected:
        raise SigningError(
            'bad_key', f'the identifier of this key is {expected}'
        )


def verify(
    trusted_keys: Mapping[str, str],
    key_id: str,
    message: bytes,
    signature: bytes,
) -> None:
    """
    Verify the signature of a manifest.

    :param trusted_keys: public keys in base64 by key identifier.
    :param key_id: identifier of the claimed signing key.
    :param message: encoded manifest.
    :param signature: signature as returned by :meth:`KeyPair.sign`.
    :raises SigningError: ``untrusted_key`` or ``bad_signature``.
    """
    _verify(trusted_keys, key_id, _MANIFEST_CONTEXT + message, signature)


def sign_grant(key: KeyPair, public_key: str) -> str:
    """
    Sign a grant of trust.

    :param key: the granting key pair.
    :param public_key: the public key to be trusted, in base64.
    :returns: the signature in base64.
    :raises SigningError: ``bad_key`` if the public key is malformed.
    """
    signature = key.sign_with_context(
        _GRANT_CONTEXT, _decode_public(public_key)
    )
    return base64.b64encode(signature).decode()


def verify_grant(
    trusted_keys: Mapping[str, str],
    key_id: str,
    public_key: str,
    signature: str,
) -> None:
    """
    Verify a grant of trust.

    :param trusted_keys: public keys in base64 by key identifier.
    :param key_id: identifier of the claimed granting key.
    :param public_key: the public key to be trusted, in base64.
    :param signature: signature as returned by :func:`sign_grant`.
    :raises SigningError: ``untrusted_key``, ``bad_key`` or
        ``bad_signature``.
    """
    message = _GRANT_CONTEXT + _decode_public(public_key)
    try:
        decoded = base64.b64decode(signature, validate=True)
    except (binascii.Error, ValueError):
        raise SigningError(
            'bad_signature', 'signature is not valid base64'
        ) from None
    _verify(trusted_keys, key_id, message, decoded)


def _verify(
    trusted_keys: Mapping[str, str],
    key_id: str,
    message: bytes,
    signature: bytes,
) -> None:
    public_key = trusted_keys.get(key_id)
    if public_key is None:
        raise SigningError('untrusted_key', f'key {key_id!r} is not trusted')
    try:
        VerifyKey(_decode_public(public_key)).verify(message, signature)
    except (BadSignatureError, ValueError):
        error_message = f'signature verification failed for key {key_id!r}'
        raise SigningError('bad_signature', error_message) from None


def _decode_public(public_key: str) -> bytes:
    try:
        public = base64.b64decode(public_key, validate=True)
    except (binascii.Error, ValueError):
        raise SigningError(
            'bad_key', 'public key is not valid base64'
        ) from None
    if len(public) != _KEY_BYTES:
        raise SigningError(
            'bad_key', f'public key is not {_KEY_BYTES} bytes long'
        )
    return public


def _key_id(public: bytes) -> str:
    return hashlib.sha256(public).hexdigest()[:_KEY_ID_DIGITS]
