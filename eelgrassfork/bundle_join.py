"""
eelgrassfork.bundle_join
~~~~~~~~~~~~~~~~~~~~~~~~

Applies the changes of one operator to the bundle of another.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Any

from .bundle import RECORD_TYPES, Record
from .bundle_aliases import Aliases
from .bundle_changes import (
    ABSENT,
    ALIASES,
    RECORD,
    Change,
    flat_fields,
)
from .bundle_types import Bundle, Organisation
from .options import Problems
from .source_check import Entry, Sources, check_sources

__all__ = ('apply_changes',)


def apply_changes(
    accepted: Bundle, ours: Bundle, changes: Iterable[Change]
) -> Sources:
    """
    Apply changes to an accepted bundle.

    :param accepted: the accepted bundle.
    :param ours: the bundle that contains the changes. Keys may be shared
        between fleets if this or the accepted bundle shares them.
    :param changes: changes to apply; must not conflict with the accepted
        bundle.
    :returns: validated records of the combined bundle.
    :raises OptionsError: if the combined records are inconsistent.
    """
    problems = Problems()
    records_by_kind: dict[str, dict[str, Record]] = {
        kind: dict(getattr(accepted, f'{kind}_by_name'))
        for kind in RECORD_TYPES
    }
    services = dict(accepted.service_aliases)
    for (kind, name), record_changes in _group_by_record(changes).items():
        if kind == ALIASES:
            _set_or_remove(services, name, record_changes[0].after)
        else:
            records = records_by_kind[kind]
            record = _changed_record(
                kind, name, records.get(name), record_changes
            )
            _set_or_remove(records, name, record)
    shared = accepted.shared_keys.keys() | ours.shared_keys.keys()
    sources = Sources(
        {
            each: {
                record.name: Entry(record, (each, record.name), problems)
                for record in by_name.values()
            }
            for each, by_name in records_by_kind.items()
        },
        Aliases(
            services,
            _find_shared_key_owners(records_by_kind['organisations'], shared),
        ),
    )
    problems.found.extend(check_sources(sources).found)
    problems.check()
    return sources


def _group_by_record(
    changes: Iterable[Change],
) -> dict[tuple[str, str], list[Change]]:
    grouped: dict[tuple[str, str], list[Change]] = {}
    for change in changes:
        record_id = (change.field.kind, change.field.name)
        grouped.setdefault(record_id, []).append(change)
    return grouped


def _set_or_remove(by_name: dict[str, Any], name: str, value: Any) -> None:
    if value is None or value is ABSENT:
        by_name.pop(name, None)
    else:
        by_name[name] = value


def _changed_record(
    kind: str, name: str, record: Record | None, changes: Iterable[Change]
) -> Record | None:
    flat = flat_fields(record)
    for change in changes:
        _set_or_remove(flat, change.field.field, change.after)
    if not flat.pop(RECORD, False):
        return None
    scalar_fields = {
        field: value for field, value in flat.items() if '.' not in field
    }
    if kind != 'organisations':
        return RECORD_TYPES[kind](name=name, **scalar_fields)
    return Organisation(
        name=name,
        budgets_by_key_hash=_members(flat, 'budgets_by_key_hash'),
        services=frozenset(_members(flat, 'services')),
        **scalar_fields,
    )


def _members(flat: Mapping[str, Any], field: str) -> dict[str, Any]:
    return {
        path.removeprefix(f'{field}.'): value
        for path, value in flat.items()
        if path.startswith(f'{field}.')
    }


def _find_shared_key_owners(
    organisations: Mapping[str, Record], shared: Collection[str]
) -> dict[str, tuple[str, ...]]:
    owners_by_hash: dict[str, list[str]] = {key_hash: [] for key_hash in shared}
    for name in sorted(organisations):
        keys = getattr(organisations[name], 'budgets_by_key_hash', {})
        for key_hash in owners_by_hash.keys() & keys.keys():
            owners_by_hash[key_hash].append(name)
    return {
        shared_key: tuple(owners)
        for shared_key, owners in owners_by_hash.items()
        if len(owners) > 1
    }
