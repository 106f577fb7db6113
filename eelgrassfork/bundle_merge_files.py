"""
eelgrassfork.bundle_merge_files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Source files of a merger, with the comments of both sides.
"""

import json
import os
import tempfile
import textwrap
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from .bundle import RECORD_TYPES
from .bundle_aliases import NO_ALIASES, Aliases
from .bundle_merge import MergeResult
from .bundle_source import read_sources
from .errors import EelgrassError
from .json_comments import (
    Document,
    is_plain,
    name_span,
    object_span,
    parse_document,
    read_document,
)
from .key_files import KEYS_FILE, keys_text, read_key_lists
from .key_list import KeyList
from .options import OptionsError, Problem
from .source_check import ALIASES_FILE, Sources

__all__ = ('MergeRefused', 'merged_texts', 'write_merged')

_INDENT: Final = 2
_ALIASES_HEAD: Final = (
    '// Old names of services, which callers may go on using, and keys that\n'
    '// organisations of several fleets have.\n'
)


class MergeRefused(EelgrassError):
    """The merged sources can't be written."""


class _Half(NamedTuple):
    """
    A source file and the names its records get.

    :param names: new name by the written one; ``None`` for a record that is
        left out.
    """

    document: Document
    names: Mapping[str, str | None]

    def content(self) -> dict[str, Any]:
        by_written = self.document.content
        return {
            new: by_written[written]
            for written, new in self.names.items()
            if new is not None
        }


class _Pieces(NamedTuple):
    """Texts before, between and after the braces."""

    head: str
    body: str
    tail: str


def merged_texts(
    merger: MergeResult, directories: tuple[str, str]
) -> dict[str, str]:
    """
    Make the source files of a merger.

    :param merger: a merger whose clashes are settled.
    :param directories: the two directories it was read from.
    :returns: texts by file name.
    :raises MergeRefused: ``merge_failed`` if the files would not read as the
        merger; a fault of this program.
    :raises OptionsError: naming what is wrong with the merged sources.
    """
    texts = {
        f'{kind}.json': _joined_text(
            *(
                _Half(
                    read_document(os.path.join(directory, f'{kind}.json')),
                    names[kind],
                )
                for directory, names in zip(
                    directories, merger.names, strict=True
                )
            )
        )
        for kind in RECORD_TYPES
    }
    if merger.sources.aliases != NO_ALIASES:
        texts[ALIASES_FILE] = _aliases_text(merger.sources.aliases)
    keys = read_key_lists(directories)
    if keys != KeyList():
        texts[KEYS_FILE] = keys_text(keys)
    with tempfile.TemporaryDirectory() as directory:
        for file, text in texts.items():
            Path(directory, file).write_text(text, encoding='utf-8')
        _check_same(read_sources([directory]), merger.sources)
    return texts


def write_merged(texts: Mapping[str, str], out: str) -> list[str]:
    """
    Write source files; none that is there is overwritten.

    :param texts: texts by file name.
    :param out: directory, made if it does not exist.
    :returns: paths of the new files, none if all were there.
    :raises MergeRefused: ``out_differs`` if a file has another text.
    :raises OptionsError: if the files can't be written.
    """
    try:
        os.makedirs(out, exist_ok=True)
        present = _present_texts(out)
        differing = sorted(
            name for name, text in present.items() if texts.get(name) != text
        )
        if differing:
            listed = ', '.join(differing)
            message = f'{out} has other files, which are kept: {listed}'
            raise MergeRefused('out_differs', message)
        new = [os.path.join(out, name) for name in texts if name not in present]
        for path in new:
            text = texts[os.path.basename(path)]
            Path(path).write_text(text, encoding='utf-8')
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise OptionsError(Problem(reason, file=out)) from None
    return new


def _present_texts(out: str) -> dict[str, str]:
    files = (
        *(f'{kind}.json' for kind in RECORD_TYPES),
        ALIASES_FILE,
        KEYS_FILE,
    )
    return {
        name: Path(out, name).read_text(encoding='utf-8')
        for name in files
        if os.path.exists(os.path.join(out, name))
    }


def _check_same(written: Sources, meant: Sources) -> None:
    is_same = written.aliases == meant.aliases and all(
        {name: entry.record for name, entry in entries.items()}
        == {
            name: entry.record
            for name, entry in meant.entries_by_kind[kind].items()
        }
        for kind, entries in written.entries_by_kind.items()
    )
    if not is_same:
        message = 'the merged files do not read as what was merged'
        raise MergeRefused('merge_failed', message)


def _aliases_text(aliases: Aliases) -> str:
    content = {
        field: dict(sorted(names.items()))
        for field, names in aliases._asdict().items()
    }
    return f'{_ALIASES_HEAD}{json.dumps(content, indent=_INDENT)}\n'


def _joined_text(first: _Half, second: _Half) -> str:
    expected = {**first.content(), **second.content()}
    plain = f'{json.dumps(expected, indent=_INDENT)}\n'
    # json5 is slow; a file that a program wrote has no comments to keep.
    if is_plain(first.document) and is_plain(second.document):
        return plain
    for text in _candidates(first, second):
        try:
            if parse_document(text).content == expected:
                return text
        except OptionsError:
            continue
    return plain


def _candidates(first: _Half, second: _Half) -> Iterator[str]:
    pieces = _pieces(first)
    if pieces is None:
        return
    head, body, tail = pieces
    if not second.content():
        yield f'{head}{{{body}}}{tail}'
    more = _pieces(second)
    if more is None:
        return
    # A comma is needed unless the first object is empty or ends with one;
    # after a comment to the end of the line it starts a new line.
    for comma in ('', ',', '\n  ,'):
        yield (
            f'{head}{{{body.rstrip()}{comma}\n\n'
            f'{textwrap.indent(more.head, "  ")}{more.body.rstrip()}\n'
            f'}}\n{tail.lstrip()}{more.tail.lstrip()}'
        )


def _pieces(half: _Half) -> _Pieces | None:
    document = half.document
    braces = object_span(document)
    if braces is None:
        return None
    changes = []
    for written, new in half.names.items():
        span = name_span(document, written)
        if span is None or new is None or not braces[0] < span[0] < braces[1]:
            return None
        changes.append((span, new))
    text = document.text
    start, end = braces
    body = text[start + 1 : end]
    for (name_start, name_end), name in sorted(changes, reverse=True):
        before = body[: name_start - start - 1]
        after = body[name_end - start - 1 :]
        body = f'{before}"{name}":{after}'
    return _Pieces(text[:start], body, text[end + 1 :])
