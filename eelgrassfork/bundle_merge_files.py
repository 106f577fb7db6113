"""
eelgrassfork.bundle_merge_files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes the source files of merged fleets, with the comments of both.
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
    is_standard_json,
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
_ALIASES_HEADER: Final = (
    '// Old names of services, which callers may go on using, and keys that\n'
    '// organisations of several fleets have.\n'
)


class MergeRefused(EelgrassError):
    """The merged sources can't be written."""


class _SourceFile(NamedTuple):
    """
    A source file and the new names of its records.

    :param document: the parsed file.
    :param names: new names by the name in the file; ``None`` for a record
        that is omitted.
    """

    document: Document
    names: Mapping[str, str | None]

    def content(self) -> dict[str, Any]:
        by_source_name = self.document.content
        return {
            new: by_source_name[written]
            for written, new in self.names.items()
            if new is not None
        }


class _Segments(NamedTuple):
    """Texts before, between and after the braces of the top-level object."""

    head: str
    body: str
    tail: str


def merged_texts(
    result: MergeResult, directories: tuple[str, str]
) -> dict[str, str]:
    """
    Generate the source files of merged fleets.

    :param result: merge result without unresolved conflicts.
    :param directories: the two directories that were merged.
    :returns: texts by file name.
    :raises MergeRefused: ``merge_failed`` if the texts would not parse to
        the merged records, which is a bug in this program.
    :raises OptionsError: if the merged sources are invalid.
    """
    texts = {
        f'{kind}.json': _merged_text(
            *(
                _SourceFile(
                    read_document(os.path.join(directory, f'{kind}.json')),
                    names[kind],
                )
                for directory, names in zip(
                    directories, result.names, strict=True
                )
            )
        )
        for kind in RECORD_TYPES
    }
    if result.sources.aliases != NO_ALIASES:
        texts[ALIASES_FILE] = _aliases_text(result.sources.aliases)
    keys = read_key_lists(directories)
    if keys != KeyList():
        texts[KEYS_FILE] = keys_text(keys)
    with tempfile.TemporaryDirectory() as directory:
        for file, text in texts.items():
            Path(directory, file).write_text(text, encoding='utf-8')
        _check_same(read_sources([directory]), result.sources)
    return texts


def write_merged(texts: Mapping[str, str], out: str) -> list[str]:
    """
    Write source files without overwriting existing ones.

    :param texts: texts by file name.
    :param out: output directory, created if it does not exist.
    :returns: paths of the created files, empty if all existed.
    :raises MergeRefused: ``out_differs`` if an existing file differs.
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
            message = f'{out} has other files, not overwritten: {listed}'
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


def _check_same(written: Sources, expected: Sources) -> None:
    is_same = written.aliases == expected.aliases and all(
        {name: entry.record for name, entry in entries.items()}
        == {
            name: entry.record
            for name, entry in expected.entries_by_kind[kind].items()
        }
        for kind, entries in written.entries_by_kind.items()
    )
    if not is_same:
        message = 'the generated files do not parse to the merged records'
        raise MergeRefused('merge_failed', message)


def _aliases_text(aliases: Aliases) -> str:
    content = {
        field: dict(sorted(names.items()))
        for field, names in aliases._asdict().items()
    }
    return f'{_ALIASES_HEADER}{json.dumps(content, indent=_INDENT)}\n'


def _merged_text(first: _SourceFile, second: _SourceFile) -> str:
    expected = {**first.content(), **second.content()}
    plain = f'{json.dumps(expected, indent=_INDENT)}\n'
    # json5 is slow, and generated files have no comments to preserve.
    if is_standard_json(first.document) and is_standard_json(second.document):
        return plain
    for text in _candidate_texts(first, second):
        try:
            if parse_document(text).content == expected:
                return text
        except OptionsError:
            continue
    return plain


def _candidate_texts(first: _SourceFile, second: _SourceFile) -> Iterator[str]:
    segments = _split_at_braces(first)
    if segments is None:
        return
    head, body, tail = segments
    if not second.content():
        yield f'{head}{{{body}}}{tail}'
    added = _split_at_braces(second)
    if added is None:
        return
    # A comma is needed unless the first object is empty or has a trailing
    # one; after a line comment it has to go on a line of its own.
    for comma in ('', ',', '\n  ,'):
        yield (
            f'{head}{{{body.rstrip()}{comma}\n\n'
            f'{textwrap.indent(added.head, "  ")}{added.body.rstrip()}\n'
            f'}}\n{tail.lstrip()}{added.tail.lstrip()}'
        )


def _split_at_braces(source: _SourceFile) -> _Segments | None:
    document = source.document
    braces = object_span(document)
    if braces is None:
        return None
    replacements = []
    for written, new in source.names.items():
        span = name_span(document, written)
        if span is None or new is None or not braces[0] < span[0] < braces[1]:
            return None
        replacements.append((span, new))
    text = document.text
    start, end = braces
    body = text[start + 1 : end]
    for (name_start, name_end), name in sorted(replacements, reverse=True):
        before = body[: name_start - start - 1]
        after = body[name_end - start - 1 :]
        body = f'{before}"{name}":{after}'
    return _Segments(text[:start], body, text[end + 1 :])
