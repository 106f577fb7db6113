"""
eelgrassfork.bundle_source
~~~~~~~~~~~~~~~~~~~~~~~~~~

Sources of a bundle: read, checked with every error named, and compiled.
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

# A change of one organisation sends a leaf, an index and the manifest to
# each router, about 9 KB together at 3,300 organisations of 45 budgets.
_ORGANISATIONS_PER_LEAF: Final = 4
_LEAVES_PER_INDEX: Final = 32
# The platform's limit on values is 1 MB.
_MAX_PART_BYTES: Final = 900_000


class CompiledParts(NamedTuple):
    """
    Parts of a bundle.

    :param hashes: what the manifest names.
    :param bodies_by_hash: all parts, also those that an index names.
    """

    hashes: tuple[str, ...]
    bodies_by_hash: dict[str, bytes]


class _Reader:
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
                unread = Problems(file)
                unread.found.extend(error.problems)
                self.all_problems.append(unread)
                continue
            problems = problems_of(document)
            self.all_problems.append(problems)
            self._read_kind(kind, document.content, fleet, problems)
            if kind == 'fleets':
                fleet = _only_name(document.content)
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
        for written, fields in raw.items():
            try:
                name = _record_name(kind, written, fleet)
            except BadName as error:
                problems.add((written,), error.message)
                continue
            given = {'name': name}
            if kind == 'places':
                given['fleet'] = name.partition('/')[0]
            record = read_record(
                RECORD_TYPES[kind], fields, (written,), problems, given
            )
            if record is not None:
                self._keep(kind, Entry(record, (written,), problems))

    def _read_aliases(self, document: Document, fleet: str | None) -> None:
        problems = problems_of(document)
        self.all_problems.append(problems)
        read = read_aliases(document.content, fleet, problems)
        for old, new in read.services.items():
            other = self.aliases.services.get(old, new)
            if other != new:
                problems.add(('services', old), f'also leads to {other!r}')
        self.aliases = Aliases(
            {**self.aliases.services, **read.services},
            {**self.aliases.shared_keys, **read.shared_keys},
        )

    def _keep(self, kind: str, entry: Entry) -> None:
        entries = self.entries_by_kind[kind]
        name = entry.record.name
        other = entries.get(name)
        if other is None:
            entries[name] = entry
            return
        place = other.problems.location_of(other.path)
        entry.add_problem((), f'{name} also stands at {place}')


def read_sources(directories: Iterable[str]) -> Sources:
    """
    Read and check sources; names of a directory with one fleet take it.

    :param directories: each holds ``fleets.json``, ``organisations.json``,
        ``services.json``, ``places.json`` and maybe ``aliases.json``.
    :returns: the records.
    :raises OptionsError: naming file, line and field of all that is wrong.
    """
    reader = _Reader()
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
    Encode the records in parts, such that a change touches few of them.

    :param sources: checked records.
    :returns: the parts by hash.
    :raises BundleError: ``part_too_large``.
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


def _record_name(kind: str, written: str, fleet: str | None) -> str:
    if kind != 'fleets':
        return str(qualify(written, fleet))
    qualified = qualify(written, written)
    if '/' in written:
        raise BadName('bad_name', f'{written!r} is not the name of a fleet')
    return qualified.fleet


def _only_name(raw: object) -> str | None:
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
        message = f'a part of {kind} exceeds {_MAX_PART_BYTES} bytes'
        raise BundleError('part_too_large', message)
    bodies[part_hash] = body
    return part_hash
