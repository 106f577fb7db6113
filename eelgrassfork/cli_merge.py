"""
eelgrassfork.cli_merge
~~~~~~~~~~~~~~~~~~~~~~

The command that joins the sources of two fleets.
"""

import os

from .bundle_aliases import NO_ALIASES, Aliases, read_aliases
from .bundle_merge import Clash, merge_sources
from .bundle_merge_files import MergeRefused, merged_texts, write_merged
from .bundle_source import read_sources
from .cli_common import say
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
    unsettled = merger.unsettled()
    for clash in merger.clashes:
        if clash.settled:
            say(_describe(clash))
    if unsettled:
        lines = map(_describe, unsettled)
        raise MergeRefused('merge_clash', '\n'.join(lines))
    written = write_merged(merged_texts(merger, (first, second)), out)
    for path in written:
        say(f'{path}: written')
    if not written:
        say(f'{os.path.join(out, "")}: nothing changed')


def _read_renames(file: str) -> Aliases:
    if not file:
        return NO_ALIASES
    document = read_document(file)
    problems = problems_of(document)
    renames = read_aliases(document.content, None, problems)
    problems.check()
    return renames


def _describe(clash: Clash) -> str:
    sides = f'{clash.first} and {clash.second}'
    return f'{clash.kind} {clash.name}: {sides}: {clash.done}'
