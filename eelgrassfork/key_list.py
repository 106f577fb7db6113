"""
eelgrassfork.key_list
~~~~~~~~~~~~~~~~~~~~~

Determines which operator keys may sign the next bundle.

Router settings list the initial keys. A bundle can grant trust to further
keys and revoke any key. A grant is signed by a key that was already trusted,
so a router that starts with outdated settings can follow the chain of grants.
Every later bundle has to repeat a revocation, so a revoked key stays rejected
even if the settings still list it.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from .errors import EelgrassError
from .signing import KeyPair, SigningError, key_id_of, sign_grant, verify_grant

__all__ = (
    'Grant',
    'KeyList',
    'KeyListError',
    'KeyState',
    'merge_key_lists',
    'new_grant',
    'next_state',
)

# Limits the cost of processing an unverified manifest.
_MAX_ENTRIES: Final = 200


class KeyListError(EelgrassError):
    """A key list is invalid."""


class Grant(NamedTuple):
    """
    A grant of trust in a key, signed by another key.

    :param public_key: the granted public key in base64.
    :param by: identifier of the granting key.
    :param signature: signature by the granting key in base64.
    """

    public_key: str
    by: str
    signature: str


class KeyList(NamedTuple):
    """
    Grants and revocations contained in a bundle.

    :param grants: grants, oldest first.
    :param revoked: identifiers of revoked keys.
    """

    grants: tuple[Grant, ...] = ()
    revoked: tuple[str, ...] = ()


class KeyState(NamedTuple):
    """
    Trusted and revoked keys after applying a bundle.

    :param keys: trusted public keys in base64 by identifier.
    :param revoked: identifiers of revoked keys.
    """

    keys: Mapping[str, str]
    revoked: frozenset[str]


def new_grant(public_key: str, by: KeyPair) -> Grant:
    """
    Create a signed grant of trust.

    :param public_key: the public key to be trusted, in base64.
    :param by: the granting key pair, which has to be trusted.
    :returns: the grant.
    :raises SigningError: ``bad_key`` if the public key is malformed.
    """
    return Grant(public_key, by.key_id, sign_grant(by, public_key))


def merge_key_lists(lists: Iterable[KeyList]) -> KeyList:
    """
    Merge key lists.

    :param lists: the lists, oldest first.
    :returns: union of all grants and revocations, without duplicates.
    """
    listed = tuple(lists)
    grants = dict.fromkeys(each for one in listed for each in one.grants)
    revoked = dict.fromkeys(each for one in listed for each in one.revoked)
    return KeyList(tuple(grants), tuple(revoked))


def next_state(
    settings_keys: Mapping[str, str], held: KeyState | None, listed: KeyList
) -> KeyState:
    """
    Compute the trusted keys after applying the key list of the next bundle.

    :param settings_keys: public keys in base64 from the settings, by
        identifier.
    :param held: state after the current bundle; ``None`` at start-up.
    :param listed: key list of the next bundle.
    :returns: the new state; the next bundle has to be signed by one of its
        trusted keys.
    :raises KeyListError: ``bad_keys`` if the list omits a previous
        revocation or has more than 200 entries.
    """
    if len(listed.grants) + len(listed.revoked) > _MAX_ENTRIES:
        raise KeyListError(
            'bad_keys', f'the key list has more than {_MAX_ENTRIES} entries'
        )
    revoked = frozenset(listed.revoked)
    missing = held.revoked - revoked if held else frozenset()
    if missing:
        names = ', '.join(sorted(missing))
        raise KeyListError(
            'bad_keys', f'the key list omits revoked keys: {names}'
        )
    # Grants by keys that this list revokes are valid: a key may grant trust
    # to its replacement and be revoked in the same list.
    trusted = dict(held.keys if held else settings_keys)
    granted = {}
    for grant in listed.grants:
        key_id = _verified_key_id(grant, trusted)
        if key_id:
            granted[key_id] = grant.public_key
    keys = {**settings_keys, **granted}
    trusted_keys = {key_id: keys[key_id] for key_id in keys.keys() - revoked}
    return KeyState(trusted_keys, revoked)


def _verified_key_id(grant: Grant, trusted: dict[str, str]) -> str:
    try:
        key_id = key_id_of(grant.public_key)
        if key_id not in trusted:
            verify_grant(trusted, grant.by, grant.public_key, grant.signature)
    except SigningError:
        # The granting key predates these settings or was never trusted.
        return ''
    trusted[key_id] = grant.public_key
    return key_id
