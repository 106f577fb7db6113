"""
eelgrassfork.cli_keys
~~~~~~~~~~~~~~~~~~~~~

Operator key commands: make, list, grant, rotate and revoke.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Final

from .cli_common import Session, print_line, run_session
from .held_bundle import HeldBundle
from .key_files import add_grant, add_revocation
from .key_list import new_grant
from .settings import load_settings
from .signing import SigningError, key_id_of, load_key, make_key

__all__ = (
    'keys_grant',
    'keys_list',
    'keys_make',
    'keys_revoke',
    'keys_rotate',
)

_KEY_ID: Final = re.compile('[0-9a-f]{16}')


def keys_make(file: str) -> None:
    """
    Generate an operator key pair; the private key is stored only in the file.

    :param file: key file to create.
    """
    pair = make_key(file)
    print_line(
        'add this to trusted_keys in the settings of all routers, or let'
    )
    print_line('the holder of a trusted key run: keys grant')
    print_line(f'"{pair.key_id}": "{pair.public_key}",')


def keys_list(*files: str, settings: str = '') -> None:
    """
    List the identifiers and public keys of key files.

    :param files: key files.
    :param settings: settings file of any router of the fleet; if given, the
        keys in the settings and the accepted bundle are listed as well.
    """
    if not files and not settings:
        raise SigningError('key_file', 'no key file given')
    for file in files:
        pair = load_key(file)
        print_line(f'{pair.key_id}  {pair.public_key}  {file}')
    if settings:
        trusted = load_settings(settings).trusted_keys
        accepted = run_session(settings, _accepted)
        for line in _key_lines(trusted, accepted):
            print_line(line)


def keys_grant(public_key: str, *, key: str, sources: str) -> None:
    """
    Add a grant of trust in a key to the sources of the next bundle.

    :param public_key: the key in base64, as printed by keys make and keys
        list.
    :param key: key file of a trusted operator.
    :param sources: source directory.
    """
    grant = new_grant(public_key, load_key(key))
    add_grant(sources, grant)
    key_id = key_id_of(public_key)
    print_line(
        f'{key_id} is granted trust by {grant.by}, from the next bundle on'
    )


def keys_rotate(file: str, *, key: str, sources: str) -> None:
    """
    Generate a key that replaces another one.

    Sign the next bundle with the new key. Once that bundle is in force at
    all routers, revoke the old key in the following bundle.

    :param file: key file to create.
    :param key: key file of the old key.
    :param sources: source directory.
    """
    old = load_key(key)
    new = make_key(file)
    add_grant(sources, new_grant(new.public_key, old))
    print_line(f'{new.key_id} is granted trust by {old.key_id}')
    print_line(f'next: bundle sign with --key {file}, and bundle submit')
    print_line(f'then: keys revoke {old.key_id}, and sign and submit again')


def keys_revoke(key_id: str, *, sources: str) -> None:
    """
    Add a permanent revocation of a key to the sources of the next bundle.

    :param key_id: identifier of the key.
    :param sources: source directory.
    """
    if not _KEY_ID.fullmatch(key_id):
        raise SigningError('bad_key', f'{key_id!r} is not a key identifier')
    add_revocation(sources, key_id)
    print_line(f'{key_id} is revoked, from the next bundle on')
    print_line('remove it from trusted_keys in the settings of all routers too')


async def _accepted(session: Session) -> HeldBundle | None:
    accepted = await session.bundles.accepted()
    return accepted.held


def _key_lines(
    settings_keys: Mapping[str, str], accepted: HeldBundle | None
) -> Iterator[str]:
    keys: Mapping[str, str] = settings_keys
    revoked: frozenset[str] = frozenset()
    grantors: dict[str, str] = {}
    if accepted:
        keys, revoked = accepted.signed.key_state
        grantors = {
            key_id_of(grant.public_key): grant.by
            for grant in accepted.signed.manifest.keys.grants
        }
    for key_id in sorted(keys):
        origin = 'in the settings'
        if key_id not in settings_keys:
            origin = f'granted by {grantors[key_id]}'
        yield f'{key_id}  {keys[key_id]}  trusted, {origin}'
    for revoked_id in sorted(revoked):
        suffix = (
            ', still in the settings' if revoked_id in settings_keys else ''
        )
        yield f'{revoked_id}  revoked{suffix}'
