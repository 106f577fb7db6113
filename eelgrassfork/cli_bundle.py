"""
eelgrassfork.cli_bundle
~~~~~~~~~~~~~~~~~~~~~~~

Bundle commands: check, sign, submit and show.
"""

import getpass
from collections.abc import Mapping
from typing import Any

from .bundle_source import compile_parts, read_sources
from .bundle_submit import Submitted, submit, submit_merged
from .bundle_types import Fleet, Place, Service
from .cli_common import Session, print_json, print_line, run_session
from .held_bundle import HeldBundle
from .key_files import read_key_lists
from .manifest import Manifest
from .settings import load_settings
from .signed_file import read_signed_file, write_signed_file
from .signing import load_key

__all__ = (
    'bundle_check',
    'bundle_show',
    'bundle_sign',
    'bundle_submit',
)


def bundle_check(*directories: str) -> None:
    """
    Validate bundle sources and report every problem.

    :param directories: source directories, one for each fleet.
    """
    sources = read_sources(directories)
    read_key_lists(directories)
    parts = compile_parts(sources)
    for kind, entries in sources.entries_by_kind.items():
        print_line(f'{len(entries)} {kind}')
    size = sum(len(body) for body in parts.bodies_by_hash.values())
    print_line(f'{len(parts.bodies_by_hash)} parts, {size} bytes')


def bundle_sign(
    *directories: str,
    key: str,
    base: int,
    out: str,
    above: int = 0,
    author: str = '',
) -> None:
    """
    Compile and sign a bundle.

    :param directories: source directories, one for each fleet.
    :param key: the operator's key file.
    :param base: accepted version that the sources are based on; the bundle
        gets the next version.
    :param out: output file for the signed bundle.
    :param above: another version that the bundle has to exceed, such as the
        one in force in the other fleet when fleets are merged.
    :param author: name of the signer, shown to other operators; defaults to
        the login name.
    """
    parts = compile_parts(read_sources(directories))
    pair = load_key(key)
    version = max(base, above) + 1
    manifest = Manifest(
        version,
        (),
        base,
        author or getpass.getuser(),
        read_key_lists(directories),
    )
    write_signed_file(out, manifest, parts, pair)
    print_line(f'{out}: version {version}, signed by {pair.key_id}')


def bundle_submit(
    file: str, *, settings: str, merge: bool = False, key: str = ''
) -> None:
    """
    Submit a signed bundle; it must be based on the accepted version.

    :param file: file of the signed bundle.
    :param settings: settings file of any router of the fleet.
    :param merge: if another bundle was accepted in the meantime, apply the
        changes to that one; fails if both changed the same field.
    :param key: the operator's key file, to sign a merged bundle.
    """
    held = read_signed_file(file, load_settings(settings).trusted_keys)
    pair = load_key(key) if merge else None

    async def action(session: Session) -> Submitted:
        if pair is not None:
            return await submit_merged(session.bundles, held, pair)
        accepted = await session.bundles.accepted(held)
        is_new = await submit(session.bundles, held, accepted)
        return Submitted(held.bundle.version, is_new)

    submitted = run_session(settings, action)
    was = 'is' if submitted.is_new else 'was already'
    print_line(f'version {submitted.version} {was} accepted')
    if submitted.joined:
        print_line('take these changes of others into your sources:')
        for name in submitted.joined:
            print_line(f'  {name}')


def bundle_show(file: str = '', *, settings: str) -> None:
    """
    Show a signed bundle, or the accepted one.

    :param file: file of the signed bundle; defaults to the accepted bundle.
    :param settings: settings file of any router of the fleet.
    """
    held: HeldBundle | None
    if file:
        held = read_signed_file(file, load_settings(settings).trusted_keys)
    else:
        held = run_session(settings, _accepted)
    print_json(_summary(held) if held else {'version': 0})


async def _accepted(session: Session) -> HeldBundle | None:
    accepted = await session.bundles.accepted()
    return accepted.held


def _summary(held: HeldBundle) -> dict[str, Any]:
    bundle = held.bundle
    return {
        'version': bundle.version,
        'signed_by': held.signed.key_id,
        'author': held.signed.manifest.author,
        'base': held.signed.manifest.base,
        'trusted_key_ids': sorted(held.signed.key_state.keys),
        'revoked_key_ids': sorted(held.signed.key_state.revoked),
        'parts': len(held.parts_by_hash),
        'fleets': _fields_by_name(bundle.fleets_by_name),
        'places': _fields_by_name(bundle.places_by_name),
        'services': _fields_by_name(bundle.services_by_name),
        'organisations': {
            name: {
                'budgets': sorted(organisation.budgets_by_key_hash.values()),
                'services': sorted(organisation.services),
                'priority': organisation.priority,
                'max_in_flight': organisation.max_in_flight,
            }
            for name, organisation in bundle.organisations_by_name.items()
        },
    }


def _fields_by_name(
    records: Mapping[str, Fleet | Place | Service],
) -> dict[str, dict[str, Any]]:
    return {name: record._asdict() for name, record in records.items()}
