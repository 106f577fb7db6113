"""
eelgrassfork.source_check
~~~~~~~~~~~~~~~~~~~~~~~~~

Cross-reference checks between the records of bundle sources.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from .bundle import Record
from .bundle_aliases import NO_ALIASES, Aliases, check_aliases
from .bundle_rules import check_organisation, check_ranges, check_service
from .bundle_types import Organisation, Service
from .options import FieldPath, OptionsError, Problem, Problems

__all__ = ('ALIASES_FILE', 'Entry', 'Sources', 'check_sources')

ALIASES_FILE: Final = 'aliases.json'


class Entry(NamedTuple):
    """A record and its location in the sources."""

    record: Record
    path: FieldPath
    problems: Problems

    def add_problem(self, path: FieldPath, message: str) -> None:
        """
        Report a problem with the record.

        :param path: path of the field within the record.
        :param message: description of the problem.
        """
        self.problems.add((*self.path, *path), message)


class Sources(NamedTuple):
    """Records by kind and qualified name, and their aliases."""

    entries_by_kind: dict[str, dict[str, Entry]]
    aliases: Aliases = NO_ALIASES


def check_sources(sources: Sources) -> Problems:
    """
    Check references between records.

    Problems with a record are added to the problems of its entry.

    :param sources: records with qualified names.
    :returns: problems with the aliases.
    :raises OptionsError: if the sources declare no fleet.
    """
    entries_by_kind = sources.entries_by_kind
    aliases = sources.aliases
    if not entries_by_kind['fleets']:
        raise OptionsError(Problem('the sources declare no fleet'))
    services = entries_by_kind['services'].keys()
    owners_by_hash: dict[str, str] = {}
    for entry in _all_entries(sources):
        _check_fleet(entry, entries_by_kind['fleets'].keys())
        check_ranges(entry.record, entry.add_problem)
        if isinstance(entry.record, Service):
            check_service(entry.record, entry.add_problem)
        if isinstance(entry.record, Organisation):
            check_organisation(
                entry.record,
                services,
                owners_by_hash,
                aliases.shared_keys,
                entry.add_problem,
            )
    problems = Problems(ALIASES_FILE)
    check_aliases(aliases, services, problems)
    _check_shared_keys(sources, problems)
    return problems


def _all_entries(sources: Sources) -> Iterator[Entry]:
    for entries in sources.entries_by_kind.values():
        yield from entries.values()


def _check_shared_keys(sources: Sources, problems: Problems) -> None:
    entries = sources.entries_by_kind['organisations']
    for key_hash, names in sources.aliases.shared_keys.items():
        for name in names:
            entry = entries.get(name)
            record = entry.record if entry else None
            keys = getattr(record, 'budgets_by_key_hash', ())
            if key_hash not in keys:
                message = f'{name} does not have this key'
                problems.add(('shared_keys', key_hash), message)


def _check_fleet(entry: Entry, fleets: Iterable[str]) -> None:
    fleet = entry.record.name.partition('/')[0]
    if fleet not in fleets:
        entry.add_problem((), f'fleet {fleet!r} does not exist')
