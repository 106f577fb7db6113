"""
eelgrassfork.key_list
~~~~~~~~~~~~~~~~~~~~~

Which operators' keys may sign the next bundle.

Settings of routers list the first keys. A bundle can grant trust to further
keys and revoke any. A grant is signed by a key trusted before, so a router
that starts with old settings can follow the chain; a revocation is kept by
every later bundle, so a revoked key stays refused even where the settings
still list it.
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

# Bounds what an unverified manifest can cost.
_MAX_ENTRIES: Final = 200


class KeyListError(EelgrassError):
    """A list of keys breaks the rules."""


class Grant(NamedTuple):
    """
    Trust in a key, signed by another.

    :param public_key: the new key in base64.
    :param by: identifier of the key that signed.
    :param signature: in base64.
    """

    public_key: str
    by: str
    signature: str


class KeyList(NamedTuple):
    """
    Keys that a bundle names.

    :param grants: the earlier ones first.
    :param revoked: identifiers of keys that are no longer trusted.
    """

    grants: tuple[Grant, ...] = ()
    revoked: tuple[str, ...] = ()


class KeyState(NamedTuple):
    """
    Keys after a bundle.

    :param keys: trusted public keys in base64 by identifier.
    :param revoked: identifiers that stay refused.
    """

    keys: Mapping[str, str]
    revoked: frozenset[str]


def new_grant(public_key: str, by: KeyPair) -> Grant:
    """
    Grant trust to a key.

    :param public_key: the new key in base64.
    :param by: a trusted key.
    :returns: the grant.
    :raises SigningError: ``bad_key`` if it is no key.
    """
    return Grant(public_key, by.key_id, sign_grant(by, public_key))


def merge_key_lists(lists: Iterable[KeyList]) -> KeyList:
    """
    Join lists of keys; what any of them names is kept.

    :param lists: the lists, the older one first.
    :returns: all grants and revocations, each once.
    """
    listed = tuple(lists)
    grants = dict.fromkeys(each for one in listed for each in one.grants)
    revoked = dict.fromkeys(each for one in listed for each in one.revoked)
    return KeyList(tuple(grants), tuple(revoked))


def next_state(
    settings_keys: Mapping[str, str], held: KeyState | None, listed: KeyList
) -> KeyState:
    """
    Tell which keys are trusted after a bundle.

    :param settings_keys: keys in the settings by identifier.
    :param held: keys after the bundle held now; ``None`` at a start.
    :param listed: keys that the next bundle names.
    :returns: the keys; the next bundle has to be signed by one of them.
    :raises KeyListError: ``bad_keys`` if the bundle forgets a revocation.
    """
    if len(listed.grants) + len(listed.revoked) > _MAX_ENTRIES:
        raise KeyListError('bad_keys', f'more than {_MAX_ENTRIES} keys')
    revoked = frozenset(listed.revoked)
    forgotten = held.revoked - revoked if held else frozenset()
    if forgotten:
        names = ', '.join(sorted(forgotten))
        raise KeyListError('bad_keys', f'it forgets that {names} is revoked')
    # A key that the bundle itself revokes may still have granted trust to
    # the key that replaces it.
    trusted = dict(held.keys if held else settings_keys)
    granted = {}
    for grant in listed.grants:
        key_id = _accept(grant, trusted)
        if key_id:
            granted[key_id] = grant.public_key
    keys = {**settings_keys, **granted}
    kept = {key_id: keys[key_id] for key_id in keys.keys() - revoked}
    return KeyState(kept, revoked)


def _accept(grant: Grant, trusted: dict[str, str]) -> str:
    try:
        key_id = key_id_of(grant.public_key)
        if key_id not in trusted:
            verify_grant(trusted, grant.by, grant.public_key, grant.signature)
    except SigningError:
        # Its giver is older than these settings, or was never trusted.
        return ''
    trusted[key_id] = grant.public_key
    return key_id
