"""
eelgrassfork.bundle_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compares concurrent changes of a bundle by record and field.
"""

from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from .bundle import RECORD_TYPES, Record
from .bundle_types import Bundle
from .organisation_table import OrganisationTable

__all__ = (
    'ABSENT',
    'ALIASES',
    'Change',
    'Comparison',
    'FieldName',
    'RECORD',
    'changes_between',
    'compare',
    'flat_fields',
    'value_of',
)


class _Absent:
    def __repr__(self) -> str:
        return 'absent'


ABSENT: Final = _Absent()
# Pseudo-field for the existence of a record.
RECORD: Final = 'record'
ALIASES: Final = 'aliases'


class FieldName(NamedTuple):
    """
    Path of a field.

    :param kind: kind of the record, or ``aliases``.
    :param name: qualified name of the record, or the old name of a service.
    :param field: name of the field, followed by ``.`` and the key or member
        if it is a table or a set; ``record`` for the complete record.
    """

    kind: str
    name: str
    field: str

    def __str__(self) -> str:
        return f'{self.kind} {self.name} {self.field}'


class Change(NamedTuple):
    """Old and new value of a field; :data:`ABSENT` where it does not exist."""

    field: FieldName
    before: Any
    after: Any


class Comparison(NamedTuple):
    """
    Changes of two operators relative to a common base bundle.

    :param ours: changes of the first operator by field.
    :param theirs: changes of the second operator by field.
    :param conflicts: fields in which the two can not be combined, sorted.
    """

    ours: dict[FieldName, Change]
    theirs: dict[FieldName, Change]
    conflicts: list[FieldName]


def compare(base: Bundle, ours: Bundle, theirs: Bundle) -> Comparison:
    """
    Compare two bundles derived from a common base.

    :param base: the common base.
    :param ours: bundle of the first operator.
    :param theirs: bundle of the second operator.
    :returns: the changes of each and their conflicts.
    """
    our_changes = {each.field: each for each in changes_between(base, ours)}
    their_changes = {each.field: each for each in changes_between(base, theirs)}
    conflicts = {
        field
        for field in our_changes.keys() & their_changes.keys()
        if our_changes[field].after != their_changes[field].after
    }
    conflicts.update(_addition_conflicts(our_changes, their_changes))
    conflicts.update(_removal_conflicts(our_changes, their_changes))
    conflicts.update(_removal_conflicts(their_changes, our_changes))
    return Comparison(our_changes, their_changes, sorted(conflicts))


def changes_between(before: Bundle, after: Bundle) -> Iterator[Change]:
    """
    List the fields that differ between two bundles.

    :param before: the older bundle.
    :param after: the newer bundle.
    :returns: iterator over the changes; a record that exists in only one of
        the bundles yields the field ``record`` and each of its fields.
    """
    for kind in RECORD_TYPES:
        old, new = _records(before, kind), _records(after, kind)
        for name in sorted(_changed_names(old, new)):
            yield from _record_changes(kind, name, old.get(name), new.get(name))
    old_aliases, new_aliases = before.service_aliases, after.service_aliases
    for alias in sorted(old_aliases.keys() | new_aliases.keys()):
        pair = old_aliases.get(alias, ABSENT), new_aliases.get(alias, ABSENT)
        if pair[0] != pair[1]:
            yield Change(FieldName(ALIASES, alias, RECORD), *pair)


def value_of(bundle: Bundle, field: FieldName) -> Any:
    """
    Read the value of a field.

    :param bundle: the bundle.
    :param field: path of the field.
    :returns: its value, or :data:`ABSENT`.
    """
    if field.kind == ALIASES:
        return bundle.service_aliases.get(field.name, ABSENT)
    record = _records(bundle, field.kind).get(field.name)
    return flat_fields(record).get(field.field, ABSENT)


def flat_fields(record: Record | None) -> dict[str, Any]:
    """
    Flatten a record into fields that can be compared individually.

    :param record: the record, or ``None``.
    :returns: values by field, empty for ``None``; the value of a set member
        is ``True``.
    """
    if record is None:
        return {}
    flat: dict[str, Any] = {RECORD: True}
    for field, value in record._asdict().items():
        if isinstance(value, dict):
            flat.update({f'{field}.{key}': each for key, each in value.items()})
        elif isinstance(value, frozenset):
            flat.update({f'{field}.{each}': True for each in value})
        elif field != 'name':
            flat[field] = value
    return flat


def _records(bundle: Bundle, kind: str) -> Mapping[str, Record]:
    by_name: Mapping[str, Record] = getattr(bundle, f'{kind}_by_name')
    return by_name


def _changed_names(
    old: Mapping[str, Record], new: Mapping[str, Record]
) -> set[str]:
    if isinstance(old, OrganisationTable) and isinstance(
        new, OrganisationTable
    ):
        # Decoding all organisations at the target fleet size takes seconds.
        names = old.names_in_different_parts(new)
    else:
        names = old.keys() | new.keys()
    return {name for name in names if old.get(name) != new.get(name)}


def _record_changes(
    kind: str, name: str, old: Record | None, new: Record | None
) -> Iterator[Change]:
    before, after = flat_fields(old), flat_fields(new)
    for field in sorted(before.keys() | after.keys()):
        pair = before.get(field, ABSENT), after.get(field, ABSENT)
        if pair[0] != pair[1]:
            yield Change(FieldName(kind, name, field), *pair)


def _addition_conflicts(
    ours: Mapping[FieldName, Change], theirs: Mapping[FieldName, Change]
) -> set[FieldName]:
    """Find differing fields of records that both added under one name."""
    added = {
        (field.kind, field.name)
        for field in ours.keys() & theirs.keys()
        if field.field == RECORD and ours[field].before is ABSENT
    }
    return {
        field
        for field in ours.keys() ^ theirs.keys()
        if (field.kind, field.name) in added
    }


def _removal_conflicts(
    removing: Mapping[FieldName, Change], changing: Mapping[FieldName, Change]
) -> Iterator[FieldName]:
    """Find changed fields of records that the other operator removed."""
    removed = {
        (field.kind, field.name)
        for field, change in removing.items()
        if field.field == RECORD and change.after is ABSENT
    }
    for field, change in changing.items():
        is_removed = (field.kind, field.name) in removed
        if is_removed and change.after is not ABSENT:
            yield field
