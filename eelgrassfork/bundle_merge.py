"""
eelgrassfork.bundle_merge
~~~~~~~~~~~~~~~~~~~~~~~~~

Merges the sources of two fleets; pure functions over parsed sources.
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
_SEPARATE_FLEETS: Final = 'kept apart by their fleets'


class MergeConflict(NamedTuple):
    """
    A name or key that both sides use.

    :param kind: kind of the records, ``keys`` or ``aliases``.
    :param name: name without its fleet, or SHA-256 of the key.
    :param first: name and location of the first side's record.
    :param second: name and location of the second side's record.
    :param resolution: how the conflict was resolved, or why it was not.
    :param is_resolved: false if an operator has to resolve it by hand.
    """

    kind: str
    name: str
    first: str
    second: str
    resolution: str
    is_resolved: bool


class MergeResult(NamedTuple):
    """
    Result of merging two sources.

    :param sources: all records by their qualified names.
    :param names: for each side and kind, new names by the name in the source
        file; ``None`` for a record that the first side has as well.
    :param conflicts: names and keys that both sides use.
    """

    sources: Sources
    names: tuple[NamesByKind, NamesByKind]
    conflicts: tuple[MergeConflict, ...]

    def unresolved(self) -> list[MergeConflict]:
        """
        List the conflicts that an operator has to resolve by hand.

        :returns: unresolved conflicts; nothing is written while there are any.
        """
        return [
            conflict for conflict in self.conflicts if not conflict.is_resolved
        ]


class _Side(NamedTuple):
    # Entries are keyed by new name; old_names maps new names to old ones.
    entries_by_kind: dict[str, dict[str, Entry]]
    old_names: dict[str, str]
    conflicts: list[MergeConflict]

    def located_name(self, kind: str, name: str) -> str:
        entry = self.entries_by_kind[kind][name]
        return _located_name(entry, self.old_names.get(name, name))


def merge_sources(
    first: Sources, second: Sources, renames: Aliases = NO_ALIASES
) -> MergeResult:
    """
    Merge two sources. No record overwrites another one.

    :param first: sources of one fleet, or of fleets merged before.
    :param second: sources of another.
    :param renames: services to rename, as new names by old name; the old
        names stay valid as aliases.
    :returns: the result; must not be used if it has unresolved conflicts.
    """
    services: dict[str, str] = {}
    conflicts: list[MergeConflict] = []
    for aliases in (first.aliases, second.aliases, renames):
        conflicts.extend(_alias_conflicts(services, aliases.services))
        services.update(aliases.services)
    first_side, second_side = (
        _renamed(each, services) for each in (first, second)
    )
    conflicts.extend((*first_side.conflicts, *second_side.conflicts))
    for kind in RECORD_TYPES:
        conflicts.extend(_record_conflicts(kind, first_side, second_side))
        conflicts.extend(_name_conflicts(kind, first_side, second_side))
    conflicts.extend(_key_conflicts(first_side, second_side))
    entries_by_kind = {
        joined: {**second_side.entries_by_kind[joined], **entries}
        for joined, entries in first_side.entries_by_kind.items()
    }
    shared_keys = _shared_keys(entries_by_kind['organisations'].values())
    return MergeResult(
        Sources(entries_by_kind, Aliases(services, shared_keys)),
        (
            _new_names_by_kind(first_side, {}),
            _new_names_by_kind(second_side, first_side.entries_by_kind),
        ),
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
    existing = renamed.get(new)
    if new != old:
        existing = existing or sources.entries_by_kind['services'].get(new)
    if existing is None:
        side.old_names[new] = old
        renamed[new] = entry._replace(record=entry.record._replace(name=new))
        return
    side.conflicts.append(
        MergeConflict(
            'services',
            new,
            _located_name(entry, old),
            _located_name(existing, existing.record.name),
            f'{old} can not be renamed to {new}; {_NOT_WRITTEN}',
            is_resolved=False,
        )
    )


def _located_name(entry: Entry, name: str) -> str:
    return f'{name} at {entry.problems.location_of(entry.path)}'


def _with_new_names(record: Record, services: Mapping[str, str]) -> Record:
    organisation = cast(Organisation, record)
    names = (resolve(services, name) for name in organisation.services)
    return organisation._replace(services=frozenset(names))


def _alias_conflicts(
    known_names: Mapping[str, str], added: Mapping[str, str]
) -> Iterator[MergeConflict]:
    for old, new in added.items():
        known_name = known_names.get(old, new)
        if known_name != new:
            yield MergeConflict(
                'aliases',
                old,
                known_name,
                new,
                _NOT_WRITTEN,
                is_resolved=False,
            )


def _record_conflicts(
    kind: str, first_side: _Side, second_side: _Side
) -> Iterator[MergeConflict]:
    theirs = second_side.entries_by_kind[kind]
    for name, entry in first_side.entries_by_kind[kind].items():
        counterpart = theirs.get(name)
        if counterpart is not None and counterpart.record != entry.record:
            fields = ', '.join(
                _differing_fields(entry.record, counterpart.record)
            )
            yield MergeConflict(
                kind,
                name,
                first_side.located_name(kind, name),
                second_side.located_name(kind, name),
                f'they differ in {fields}; {_NOT_WRITTEN}',
                is_resolved=False,
            )


def _name_conflicts(
    kind: str, first_side: _Side, second_side: _Side
) -> Iterator[MergeConflict]:
    names_by_short_name = _names_by_short_name(kind, second_side)
    for own_name in first_side.entries_by_kind[kind]:
        fleet = own_name.partition('/')[0]
        other_names = {
            name: short
            for short in sorted(_short_names(first_side, own_name))
            for name in names_by_short_name.get(short, ())
            if name.partition('/')[0] != fleet
        }
        for other_name, short_name in other_names.items():
            yield MergeConflict(
                kind,
                short_name,
                first_side.located_name(kind, own_name),
                second_side.located_name(kind, other_name),
                _renames_text(first_side, own_name, second_side, other_name),
                is_resolved=True,
            )


def _names_by_short_name(kind: str, side: _Side) -> dict[str, list[str]]:
    names_by_short_name: dict[str, list[str]] = {}
    for name in side.entries_by_kind[kind]:
        for short in _short_names(side, name):
            names_by_short_name.setdefault(short, []).append(name)
    return names_by_short_name


def _short_names(side: _Side, name: str) -> set[str]:
    both = (name, side.old_names.get(name, name))
    return {each.partition('/')[2] for each in both} - {''}


def _renames_text(
    first_side: _Side, name: str, second_side: _Side, other_name: str
) -> str:
    resolution = [_SEPARATE_FLEETS]
    for side, new in ((first_side, name), (second_side, other_name)):
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


def _key_conflicts(
    first_side: _Side, second_side: _Side
) -> Iterator[MergeConflict]:
    kind = 'organisations'
    theirs = _owners_by_hash(second_side.entries_by_kind[kind].values())
    for key_hash, owners in _owners_by_hash(
        first_side.entries_by_kind[kind].values()
    ).items():
        for name in owners:
            for owner in theirs.get(key_hash, ()):
                if owner != name:
                    yield MergeConflict(
                        'keys',
                        key_hash,
                        first_side.located_name(kind, name),
                        second_side.located_name(kind, owner),
                        *_key_resolution(name, owner),
                    )


def _key_resolution(name: str, owner: str) -> tuple[str, bool]:
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


def _new_names_by_kind(
    side: _Side, known_entries: Mapping[str, Mapping[str, Entry]]
) -> NamesByKind:
    return {
        kind: {
            entry.path[0]: None if name in known_entries.get(kind, {}) else name
            for name, entry in entries.items()
        }
        for kind, entries in side.entries_by_kind.items()
    }
