"""
eelgrassfork.cli_merge
~~~~~~~~~~~~~~~~~~~~~~

The command that merges the sources of two fleets.
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
    Merge the sources of two fleets and list the conflicts.

    :param first: source directory of one fleet.
    :param second: source directory of the other fleet.
    :param out: output directory; existing files are not overwritten.
    :param renames: file with old and new names of services, in the format of
        aliases.json.
    """
    result = merge_sources(
        read_sources([first]), read_sources([second]), _read_renames(renames)
    )
    unresolved = result.unresolved()
    for conflict in result.conflicts:
        if conflict.is_resolved:
            print_line(_conflict_text(conflict))
    if unresolved:
        lines = map(_conflict_text, unresolved)
        raise MergeRefused('merge_clash', '\n'.join(lines))
    written = write_merged(merged_texts(result, (first, second)), out)
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


def _conflict_text(conflict: MergeConflict) -> str:
    sides = f'{conflict.first} and {conflict.second}'
    return f'{conflict.kind} {conflict.name}: {sides}: {conflict.resolution}'
