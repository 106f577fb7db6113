"""
eelgrassfork.cli_merge
~~~~~~~~~~~~~~~~~~~~~~

The command that joins the sources of two fleets.
"""

import os

from .bundle_aliases import NO_ALIASES, Aliases, read_aliases
from .bundle_merge import MergeConflict, merge_sources
from .bundle_merge_files import MergeRefused, merged_texts, write_merged
from .bundle_source import read_sources
from .cli_common import print_line
from .json_comments import problems_of, read_document

__all__ = ('bundle_merge',)


def bundle_merge(
    first: str, second: str, *, out: str, renames: str = ''
) -> None:
    """
    Join the sources of two fleets; list the clashes and what became of them.

    :param first: source directory of one fleet.
    :param second: source directory of the other.
    :param out: directory for the merged sources; files there are kept.
    :param renames: file of old and new names of services, in the form of
        aliases.json.
    """
    merger = merge_sources(
        read_sources([first]), read_sources([second]), _read_renames(renames)
    )
    unresolved = merger.unresolved()
    for conflict in merger.conflicts:
        if conflict.is_resolved:
            print_line(_describe(conflict))
    if unresolved:
        lines = map(_describe, unresolved)
        raise MergeRefused('merge_clash', '\n'.join(lines))
    written = write_merged(merged_texts(merger, (first, second)), out)
    for path in written:
        print_line(f'{path}: written')
    if not written:
        print_line(f'{os.path.join(out, "")}: nothing changed')


def _read_renames(file: str) -> Aliases:
    if not file:
        return NO_ALIASES
    document = read_document(file)
    problems = problems_of(document)
    renames = read_aliases(document.content, None, problems)
    problems.check()
    return renames


def _describe(conflict: MergeConflict) -> str:
    sides = f'{conflict.first} and {conflict.second}'
    return f'{conflict.kind} {conflict.name}: {sides}: {conflict.resolution}'
