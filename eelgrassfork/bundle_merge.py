"""
eelgrassfork.bundle_merge
~~~~~~~~~~~~~~~~~~~~~~~~~

Joins the sources of two fleets; pure functions over what was read.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple, cast

from .bundle import RECORD_TYPES, Record
from .bundle_aliases import NO_ALIASES, Aliases, resolve
from .bundle_types import Organisation
from .source_check import Entry, Sources

__all__ = ('MergeConflict', 'MergeResult', 'NamesByKind', 'merge_sources')

NamesByKind = dict[str, dict[str, str | None]]

_NOT_WRITTEN: Final = 'nothing is written'
_KEPT_APART: Final = 'kept apart by their fleets'


class MergeConflict(NamedTuple):
    """
    One name or key that both sides use.

    :param kind: kind of the records, ``keys`` or ``aliases``.
    :param name: name without its fleet, or SHA-256 of the key.
    :param first: the first side's record and where it stands.
    :param second: the second side's.
    :param resolution: what became of them.
    :param is_resolved: false if a person has to decide first.
    """

    kind: str
    name: str
    first: str
    second: str
    resolution: str
    is_resolved: bool


class MergeResult(NamedTuple):
    """
    Two sources joined.

    :param sources: all records under their qualified names.
    :param names: of each side, the new name by the written one for each
        kind; ``None`` for a record that is the same on the first side.
    :param conflicts: what both sides use.
    """

    sources: Sources
    names: tuple[NamesByKind, NamesByKind]
    conflicts: tuple[MergeConflict, ...]

    def unresolved(self) -> list[MergeConflict]:
        """
        List what a person has to decide before anything is written.

        :returns: clashes.
        """
        return [
            conflict for conflict in self.conflicts if not conflict.is_resolved
        ]


class _Side(NamedTuple):
    # Entries by new name, and names they had before by the new one.
    entries_by_kind: dict[str, dict[str, Entry]]
    old_names: dict[str, str]
    conflicts: list[MergeConflict]

    def place(self, kind: str, name: str) -> str:
        entry = self.entries_by_kind[kind][name]
        return _place(entry, self.old_names.get(name, name))


def merge_sources(
    first: Sources, second: Sources, renames: Aliases = NO_ALIASES
) -> MergeResult:
    """
    Join two sources. No record replaces another one.

    :param first: sources of one fleet, or of a merger.
    :param second: sources of another.
    :param renames: old and new names of services; a service that has an old
        name gets the new one, and the old one stays as an alias.
    :returns: the merger; it must not be used if a clash is not settled.
    """
    services: dict[str, str] = {}
    conflicts: list[MergeConflict] = []
    for aliases in (first.aliases, second.aliases, renames):
        conflicts.extend(_alias_clashes(services, aliases.services))
        services.update(aliases.services)
    one, other = (_renamed(each, services) for each in (first, second))
    conflicts.extend((*one.conflicts, *other.conflicts))
    for kind in RECORD_TYPES:
        conflicts.extend(_record_clashes(kind, one, other))
        conflicts.extend(_name_clashes(kind, one, other))
    conflicts.extend(_key_clashes(one, other))
    entries_by_kind = {
        joined: {**other.entries_by_kind[joined], **entries}
        for joined, entries in one.entries_by_kind.items()
    }
    shared_keys = _shared_keys(entries_by_kind['organisations'].values())
    return MergeResult(
        Sources(entries_by_kind, Aliases(services, shared_keys)),
        (_names(one, {}), _names(other, one.entries_by_kind)),
        tuple(conflicts),
    )


def _renamed(sources: Sources, services: Mapping[str, str]) -> _Side:
    side = _Side(dict(sources.entries_by_kind), {}, [])
    side.entries_by_kind['services'] = {}
    for entry in sources.entries_by_kind['services'].values():
        _rename_service(side, entry, sources, services)
    side.entries_by_kind['organisations'] = {
        name: each._replace(record=_with_new_names(each.record, services))
        for name, each in sources.entries_by_kind['organisations'].items()
    }
    return side


def _rename_service(
    side: _Side, entry: Entry, sources: Sources, services: Mapping[str, str]
) -> None:
    renamed = side.entries_by_kind['services']
    old = entry.record.name
    new = resolve(services, old)
    taken = renamed.get(new)
    if new != old:
        taken = taken or sources.entries_by_kind['services'].get(new)
    if taken is None:
        side.old_names[new] = old
        renamed[new] = entry._replace(record=entry.record._replace(name=new))
        return
    side.conflicts.append(
        MergeConflict(
            'services',
            new,
            _place(entry, old),
            _place(taken, taken.record.name),
            f'{old} can not get the name {new}; {_NOT_WRITTEN}',
            is_resolved=False,
        )
    )


def _place(entry: Entry, name: str) -> str:
    return f'{name} at {entry.problems.place_of(entry.path)}'


def _with_new_names(record: Record, services: Mapping[str, str]) -> Record:
    organisation = cast(Organisation, record)
    names = (resolve(services, name) for name in organisation.services)
    return organisation._replace(services=frozenset(names))


def _alias_clashes(
    known: Mapping[str, str], added: Mapping[str, str]
) -> Iterator[MergeConflict]:
    for old, new in added.items():
        other = known.get(old, new)
        if other != new:
            yield MergeConflict(
                'aliases', old, other, new, _NOT_WRITTEN, is_resolved=False
            )


def _record_clashes(
    kind: str, one: _Side, other: _Side
) -> Iterator[MergeConflict]:
    theirs = other.entries_by_kind[kind]
    for name, entry in one.entries_by_kind[kind].items():
        same = theirs.get(name)
        if same is not None and same.record != entry.record:
            fields = ', '.join(_differing_fields(entry.record, same.record))
            yield MergeConflict(
                kind,
                name,
                one.place(kind, name),
                other.place(kind, name),
                f'they differ in {fields}; {_NOT_WRITTEN}',
                is_resolved=False,
            )


def _name_clashes(
    kind: str, one: _Side, other: _Side
) -> Iterator[MergeConflict]:
    names_by_short = _names_by_short(kind, other)
    for ours in one.entries_by_kind[kind]:
        fleet = ours.partition('/')[0]
        namesakes = {
            name: short
            for short in sorted(_short_names(one, ours))
            for name in names_by_short.get(short, ())
            if name.partition('/')[0] != fleet
        }
        for namesake, short_name in namesakes.items():
            yield MergeConflict(
                kind,
                short_name,
                one.place(kind, ours),
                other.place(kind, namesake),
                _what_became(one, ours, other, namesake),
                is_resolved=True,
            )


def _names_by_short(kind: str, side: _Side) -> dict[str, list[str]]:
    names_by_short: dict[str, list[str]] = {}
    for name in side.entries_by_kind[kind]:
        for short in _short_names(side, name):
            names_by_short.setdefault(short, []).append(name)
    return names_by_short


def _short_names(side: _Side, name: str) -> set[str]:
    both = (name, side.old_names.get(name, name))
    return {each.partition('/')[2] for each in both} - {''}


def _what_became(one: _Side, name: str, other: _Side, namesake: str) -> str:
    resolution = [_KEPT_APART]
    for side, new in ((one, name), (other, namesake)):
        old = side.old_names.get(new, new)
        if old != new:
            resolution.append(f'{old} is now {new}, the old name is an alias')
    return '; '.join(resolution)


def _differing_fields(first: Record, second: Record) -> list[str]:
    return [
        field
        for field in first._fields
        if getattr(first, field) != getattr(second, field)
    ]


def _key_clashes(one: _Side, other: _Side) -> Iterator[MergeConflict]:
    kind = 'organisations'
    theirs = _owners_by_hash(other.entries_by_kind[kind].values())
    for key_hash, owners in _owners_by_hash(
        one.entries_by_kind[kind].values()
    ).items():
        for name in owners:
            for owner in theirs.get(key_hash, ()):
                if owner != name:
                    yield MergeConflict(
                        'keys',
                        key_hash,
                        one.place(kind, name),
                        other.place(kind, owner),
                        *_key_settlement(name, owner),
                    )


def _key_settlement(name: str, owner: str) -> tuple[str, bool]:
    fleet, other_fleet = (each.partition('/')[0] for each in (name, owner))
    if fleet == other_fleet:
        return f'both are of the fleet {fleet}; {_NOT_WRITTEN}', False
    resolution = (
        f'goes on working for both: it means {name} at routers of {fleet} '
        f'and {owner} at routers of {other_fleet}'
    )
    return resolution, True


def _owners_by_hash(entries: Iterable[Entry]) -> dict[str, list[str]]:
    owners: dict[str, list[str]] = {}
    for entry in entries:
        organisation = cast(Organisation, entry.record)
        for key_hash in organisation.budgets_by_key_hash:
            owners.setdefault(key_hash, []).append(organisation.name)
    return owners


def _shared_keys(entries: Iterable[Entry]) -> dict[str, tuple[str, ...]]:
    return {
        key_hash: tuple(sorted(owners))
        for key_hash, owners in _owners_by_hash(entries).items()
        if len(owners) > 1
    }


def _names(
    side: _Side, known: Mapping[str, Mapping[str, Entry]]
) -> NamesByKind:
    return {
        kind: {
            entry.path[0]: None if name in known.get(kind, {}) else name
            for name, entry in entries.items()
        }
        for kind, entries in side.entries_by_kind.items()
    }
