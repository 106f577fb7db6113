"""
eelgrassfork.bundle
~~~~~~~~~~~~~~~~~~~

Encodes, verifies and decodes the parts of a bundle, and assembles them.
"""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, TypedDict, cast

import msgspec

from .bundle_aliases import (
    NO_ALIASES,
    Aliases,
    check_aliases,
    read_aliases,
    resolve,
)
from .bundle_types import (
    Bundle,
    Fleet,
    Organisation,
    Place,
    Service,
)
from .manifest import (
    CURRENT_KEY,
    BundleError,
    Manifest,
    SignedManifest,
    open_manifest,
    seal_manifest,
)
from .options import OptionsError, Problems, read_record
from .organisation_leaves import Group, Leaf, new_group, new_leaf
from .organisation_table import CallerTable, OrganisationTable

__all__ = (
    'CURRENT_KEY',
    'RECORD_TYPES',
    'BundleError',
    'Manifest',
    'Part',
    'Record',
    'SignedManifest',
    'assemble',
    'missing_parts',
    'needed_parts',
    'new_part',
    'open_manifest',
    'part_key',
    'read_part',
    'seal_manifest',
)

Record = Fleet | Organisation | Place | Service

RecordType = type[Record]

RECORD_TYPES: Final[Mapping[str, RecordType]] = {
    'fleets': Fleet,
    'organisations': Organisation,
    'places': Place,
    'services': Service,
}

_PART_ERRORS: Final = (
    msgspec.DecodeError,
    OptionsError,
    RecursionError,
    ValueError,
)


class Part(NamedTuple):
    """
    A decoded part whose hash was verified.

    :param body: encoded part, over which the hash is computed.
    :param hashes: hashes of further parts, for kind ``index``.
    :param records: fleets, places or services of a part of these kinds.
    :param leaf: organisations, kept encoded, for kind ``organisations``.
    :param aliases: aliases, for kind ``aliases``.
    """

    body: bytes
    hashes: tuple[str, ...] = ()
    records: tuple[Record, ...] = ()
    leaf: Leaf | None = None
    aliases: Aliases = NO_ALIASES


class _PartBody(TypedDict):
    kind: str
    content: Any


def part_key(part_hash: str) -> str:
    """
    Return the platform's object key of a part.

    :param part_hash: SHA-256 of the part in hexadecimal.
    :returns: the object key.
    """
    return f'bundle/parts/{part_hash}'


def new_part(kind: str, content: Any) -> tuple[str, bytes]:
    """
    Encode a part.

    :param kind: ``index``, ``aliases`` or a key of :data:`RECORD_TYPES`.
    :param content: list of hashes for ``index``, fields of
        :class:`~eelgrassfork.bundle_aliases.Aliases` for ``aliases``,
        otherwise the fields of each record by its name.
    :returns: the part's SHA-256 in hexadecimal, and its encoded body.
    """
    encoder = msgspec.msgpack.Encoder(order='sorted')
    body = encoder.encode({'kind': kind, 'content': content})
    return _sha256_hex(body), body


def read_part(part_hash: str, body: bytes) -> Part:
    """
    Verify and decode a part.

    :param part_hash: expected SHA-256 in hexadecimal.
    :param body: encoded part from an untrusted source.
    :returns: the part.
    :raises BundleError: ``bad_part`` if the hash differs or the content is
        invalid.
    """
    if _sha256_hex(body) != part_hash:
        raise BundleError('bad_part', f'hash mismatch of part {part_hash}')
    try:
        return _read_content(part_hash, body)
    except _PART_ERRORS as error:
        message = f'part {part_hash}: {error}'
        raise BundleError('bad_part', message) from None


def needed_parts(
    manifest: Manifest, parts_by_hash: Mapping[str, Part]
) -> Iterator[str]:
    """
    List the parts of a manifest, following the indexes already available.

    :param manifest: the manifest.
    :param parts_by_hash: available parts.
    :returns: iterator over part hashes.
    """
    for part_hash in manifest.parts:
        yield part_hash
        part = parts_by_hash.get(part_hash)
        if part is not None:
            yield from part.hashes


def missing_parts(
    manifest: Manifest, parts_by_hash: Mapping[str, Part]
) -> list[str]:
    """
    List the parts that remain to be fetched.

    An index that is itself missing may add further parts once fetched.

    :param manifest: the manifest.
    :param parts_by_hash: available parts.
    :returns: hashes of the missing parts.
    """
    needed = needed_parts(manifest, parts_by_hash)
    return [part for part in needed if part not in parts_by_hash]


def assemble(
    manifest: Manifest,
    parts_by_hash: Mapping[str, Part],
    previous: Bundle | None = None,
) -> Bundle:
    """
    Assemble a bundle from verified parts.

    :param manifest: a verified manifest.
    :param parts_by_hash: all parts of the manifest; others are ignored.
    :param previous: an older bundle of this process, whose key index is
        reused for unchanged parts.
    :returns: the bundle.
    :raises BundleError: ``bad_bundle`` if records conflict or refer to
        missing ones.
    """
    aliases = _aliases(manifest, parts_by_hash)
    organisations = _organisations(manifest, parts_by_hash, previous)
    bundle = Bundle(
        version=manifest.version,
        fleets_by_name={},
        organisations_by_name=organisations,
        services_by_name={},
        places_by_name={},
        callers_by_key_hash=CallerTable(organisations),
        service_aliases=aliases.services,
        shared_keys=aliases.shared_keys,
    )
    by_type: dict[RecordType, dict[str, Any]] = {
        Fleet: bundle.fleets_by_name,
        Place: bundle.places_by_name,
        Service: bundle.services_by_name,
    }
    for part_hash in needed_parts(manifest, parts_by_hash):
        for record in parts_by_hash[part_hash].records:
            by_name = by_type[type(record)]
            if record.name in by_name:
                raise BundleError(
                    'bad_bundle', f'duplicate record {record.name}'
                )
            by_name[record.name] = record
    _check_fleets(bundle)
    _check_shared_keys(organisations, aliases)
    problems = Problems()
    check_aliases(aliases, bundle.services_by_name.keys(), problems)
    if problems.found:
        raise BundleError('bad_bundle', f'invalid alias: {problems.found[0]}')
    return bundle


def _aliases(manifest: Manifest, parts_by_hash: Mapping[str, Part]) -> Aliases:
    services: dict[str, str] = {}
    shared_keys: dict[str, tuple[str, ...]] = {}
    for part_hash in needed_parts(manifest, parts_by_hash):
        aliases = parts_by_hash[part_hash].aliases
        services.update(aliases.services)
        shared_keys.update(aliases.shared_keys)
    # Chains of aliases are resolved here, so that one look-up gives the
    # current name, also in bundles that were signed with chains.
    newest = {old: resolve(services, old) for old in services}
    return Aliases(newest, shared_keys)


def _organisations(
    manifest: Manifest,
    parts_by_hash: Mapping[str, Part],
    previous: Bundle | None,
) -> OrganisationTable:
    old = previous.organisations_by_name if previous else None
    previous_table = old if isinstance(old, OrganisationTable) else None
    if len(set(manifest.parts)) < len(manifest.parts):
        raise BundleError(
            'bad_bundle', 'the manifest lists a part more than once'
        )
    groups_by_root = previous_table.groups if previous_table else {}
    groups = {
        root: groups_by_root.get(root) or _new_group(root, parts_by_hash)
        for root in manifest.parts
    }
    table = OrganisationTable(groups, previous_table)
    name = table.duplicate_name()
    if name is not None:
        raise BundleError('bad_bundle', f'duplicate organisation {name}')
    return table


def _check_shared_keys(table: OrganisationTable, aliases: Aliases) -> None:
    shared = aliases.shared_keys
    for key_hash in table.shared_key_hashes | shared.keys():
        owners = sorted(table.owners(key_hash))
        if owners != sorted(shared.get(key_hash, ())):
            owner_names = ' and '.join(owners)
            raise BundleError(
                'bad_bundle',
                f'owners of a key differ from shared_keys: {owner_names}',
            )


def _new_group(root: str, parts_by_hash: Mapping[str, Part]) -> Group:
    hashes = (root, *parts_by_hash[root].hashes)
    leaves = (parts_by_hash[part_hash].leaf for part_hash in hashes)
    return new_group(tuple(leaf for leaf in leaves if leaf))


def _check_fleets(bundle: Bundle) -> None:
    for name in bundle.organisations_by_name:
        if name.partition('/')[0] not in bundle.fleets_by_name:
            message = f'the fleet of organisation {name} is not in the bundle'
            raise BundleError('bad_bundle', message)


def _read_content(part_hash: str, body: bytes) -> Part:
    decoded = msgspec.msgpack.decode(body, type=_PartBody)
    kind, content = decoded['kind'], decoded['content']
    if kind == 'index':
        return Part(body, msgspec.convert(content, tuple[str, ...]))
    if kind == 'aliases':
        return Part(body, aliases=_read_part_aliases(content))
    record_type = RECORD_TYPES.get(kind)
    if record_type is None:
        raise BundleError('bad_part', f'unknown part kind {kind!r}')
    fields_by_name = msgspec.convert(content, dict[str, dict[str, Any]])
    problems = Problems()
    records = [
        read_record(record_type, fields, (name,), problems, {'name': name})
        for name, fields in fields_by_name.items()
    ]
    problems.check()
    if record_type is Organisation:
        leaf = new_leaf(part_hash, body, cast(list[Organisation], records))
        return Part(body, leaf=leaf)
    return Part(body, (), tuple(record for record in records if record))


def _read_part_aliases(content: Any) -> Aliases:
    problems = Problems()
    aliases = read_aliases(content, None, problems)
    problems.check()
    return aliases


def _sha256_hex(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
