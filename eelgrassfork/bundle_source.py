"""
eelgrassfork.bundle_source
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads, validates and compiles the JSON sources of a bundle.
"""

import hashlib
import os
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple, cast

from .bundle import RECORD_TYPES, BundleError, Record, new_part
from .bundle_aliases import (
    NO_ALIASES,
    Aliases,
    read_aliases,
    resolve,
)
from .bundle_types import Organisation
from .json_comments import Document, problems_of, read_document
from .names import BadName, qualify
from .options import OptionsError, Problems, read_record
from .source_check import ALIASES_FILE, Entry, Sources, check_sources

__all__ = (
    'CompiledParts',
    'Entry',
    'Sources',
    'compile_parts',
    'read_sources',
)

# Changing one organisation transfers one leaf, one index and the manifest to
# each router: about 9 KB in total with 3,300 organisations of 45 budgets.
_ORGANISATIONS_PER_LEAF: Final = 4
_LEAVES_PER_INDEX: Final = 32
# The platform limits values to 1 MB.
_MAX_PART_BYTES: Final = 900_000


class CompiledParts(NamedTuple):
    """
    Encoded parts of a bundle.

    :param hashes: hashes of the parts that the manifest lists.
    :param bodies_by_hash: encoded parts by hash, including those that are
        only listed in an index part.
    """

    hashes: tuple[str, ...]
    bodies_by_hash: dict[str, bytes]


class _SourceReader:
    def __init__(self) -> None:
        self.entries_by_kind: dict[str, dict[str, Entry]] = {
            kind: {} for kind in RECORD_TYPES
        }
        self.aliases = NO_ALIASES
        self.all_problems: list[Problems] = []

    def read_directory(self, directory: str) -> None:
        fleet = None
        for kind in RECORD_TYPES:
            file = os.path.join(directory, f'{kind}.json')
            try:
                document = read_document(file)
            except OptionsError as error:
                file_problems = Problems(file)
                file_problems.found.extend(error.problems)
                self.all_problems.append(file_problems)
                continue
            problems = problems_of(document)
            self.all_problems.append(problems)
            self._read_kind(kind, document.content, fleet, problems)
            if kind == 'fleets':
                fleet = _single_name(document.content)
                if not document.content:
                    problems.add((), 'declares no fleet')
        file = os.path.join(directory, ALIASES_FILE)
        if os.path.exists(file):
            self._read_aliases(read_document(file), fleet)

    def check(self) -> None:
        found = [
            problem
            for problems in self.all_problems
            for problem in problems.found
        ]
        if found:
            raise OptionsError(*found)

    def _read_kind(
        self, kind: str, raw: object, fleet: str | None, problems: Problems
    ) -> None:
        if not isinstance(raw, dict):
            problems.add((), 'expected an object')
            return
        for raw_name, fields in raw.items():
            try:
                name = _record_name(kind, raw_name, fleet)
            except BadName as error:
                problems.add((raw_name,), error.message)
                continue
            given = {'name': name}
            if kind == 'places':
                given['fleet'] = name.partition('/')[0]
            record = read_record(
                RECORD_TYPES[kind], fields, (raw_name,), problems, given
            )
            if record is not None:
                self._add_entry(kind, Entry(record, (raw_name,), problems))

    def _read_aliases(self, document: Document, fleet: str | None) -> None:
        problems = problems_of(document)
        self.all_problems.append(problems)
        read = read_aliases(document.content, fleet, problems)
        for old, new in read.services.items():
            other = self.aliases.services.get(old, new)
            if other != new:
                problems.add(
                    ('services', old), f'already an alias of {other!r}'
                )
        self.aliases = Aliases(
            {**self.aliases.services, **read.services},
            {**self.aliases.shared_keys, **read.shared_keys},
        )

    def _add_entry(self, kind: str, entry: Entry) -> None:
        entries = self.entries_by_kind[kind]
        name = entry.record.name
        other = entries.get(name)
        if other is None:
            entries[name] = entry
            return
        place = other.problems.location_of(other.path)
        entry.add_problem((), f'{name} is already defined at {place}')


def read_sources(directories: Iterable[str]) -> Sources:
    """
    Read and validate source directories.

    Unqualified names are qualified with the fleet of their directory if it
    declares exactly one.

    :param directories: source directories, each with ``fleets.json``,
        ``organisations.json``, ``services.json``, ``places.json`` and
        optionally ``aliases.json``.
    :returns: the validated records.
    :raises OptionsError: with file, line and field of every problem.
    """
    reader = _SourceReader()
    for directory in directories:
        reader.read_directory(directory)
    reader.check()
    sources = Sources(reader.entries_by_kind, reader.aliases)
    _qualify_services(sources)
    reader.all_problems.append(check_sources(sources))
    reader.check()
    return sources


def compile_parts(sources: Sources) -> CompiledParts:
    """
    Encode records as parts, split so that an edit changes few of them.

    :param sources: validated records.
    :returns: the encoded parts.
    :raises BundleError: ``part_too_large`` if a part exceeds 900,000 bytes.
    """
    bodies: dict[str, bytes] = {}
    hashes = []
    for kind in ('fleets', 'places', 'services'):
        records = _records(sources, kind)
        hashes.append(_add_part(bodies, kind, _fields_by_name(records)))
    leaves = [
        _add_part(bodies, 'organisations', _fields_by_name(leaf))
        for leaf in _organisation_leaves(_records(sources, 'organisations'))
    ]
    for start in range(0, len(leaves), _LEAVES_PER_INDEX):
        index = leaves[start : start + _LEAVES_PER_INDEX]
        hashes.append(_add_part(bodies, 'index', index))
    if sources.aliases != NO_ALIASES:
        fields = sources.aliases._asdict().items()
        content = {field: dict(names) for field, names in fields}
        hashes.append(_add_part(bodies, 'aliases', content))
    return CompiledParts(tuple(hashes), bodies)


def _record_name(kind: str, raw_name: str, fleet: str | None) -> str:
    if kind != 'fleets':
        return str(qualify(raw_name, fleet))
    qualified = qualify(raw_name, raw_name)
    if '/' in raw_name:
        raise BadName('bad_name', f'{raw_name!r} is not a valid fleet name')
    return qualified.fleet


def _single_name(raw: object) -> str | None:
    return next(iter(raw)) if isinstance(raw, dict) and len(raw) == 1 else None


def _qualify_services(sources: Sources) -> None:
    entries = sources.entries_by_kind['organisations']
    for name, entry in entries.items():
        organisation = cast(Organisation, entry.record)
        fleet = name.partition('/')[0]
        services = set()
        for service in organisation.services:
            try:
                qualified = str(qualify(service, fleet))
                services.add(resolve(sources.aliases.services, qualified))
            except BadName as error:
                entry.add_problem(('services',), error.message)
        changed = organisation._replace(services=frozenset(services))
        entries[name] = entry._replace(record=changed)


def _records(sources: Sources, kind: str) -> list[Record]:
    entries = sources.entries_by_kind[kind]
    return [entries[name].record for name in sorted(entries)]


def _organisation_leaves(records: list[Record]) -> list[list[Record]]:
    count = 1
    while count * _ORGANISATIONS_PER_LEAF < len(records):
        count *= 2
    leaves: list[list[Record]] = [[] for _ in range(count)]
    for record in records:
        digest = hashlib.sha256(record.name.encode()).digest()
        leaves[int.from_bytes(digest[:8], 'big') % count].append(record)
    return [leaf for leaf in leaves if leaf]


def _fields_by_name(records: Iterable[Record]) -> dict[str, Any]:
    return {record.name: _fields(record) for record in records}


def _fields(record: Record) -> Mapping[str, Any]:
    fields: dict[str, Any] = record._asdict()
    fields.pop('name')
    if isinstance(record, Organisation):
        fields['services'] = sorted(record.services)
    return fields


def _add_part(bodies: dict[str, bytes], kind: str, content: Any) -> str:
    part_hash, body = new_part(kind, content)
    if len(body) > _MAX_PART_BYTES:
        message = f'part of kind {kind} exceeds {_MAX_PART_BYTES} bytes'
        raise BundleError('part_too_large', message)
    bodies[part_hash] = body
    return part_hash
