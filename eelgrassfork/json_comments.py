"""
eelgrassfork.json_comments
~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses JSON with comments and locates its fields in the text.
"""

import json
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from .options import FieldPath, OptionsError, Problem, Problems

__all__ = (
    'Document',
    'is_standard_json',
    'line_of',
    'name_span',
    'object_span',
    'parse_document',
    'problems_of',
    'read_document',
)

# json5 takes about 15 microseconds per character.
_MAX_CHARACTERS: Final = 16_000_000
# Each ambiguous match of a field name requires another parse of its object.
_MAX_CANDIDATES: Final = 16
_MARKER_NAME: Final = '#marker'
_ERROR_TEXTS: Final = (
    (RecursionError, 'is nested too deeply'),
    (UnicodeDecodeError, 'is not UTF-8'),
    (UnicodeEncodeError, 'contains a lone surrogate'),
)


class Document(NamedTuple):
    """The text of a file and its decoded content."""

    file: str
    text: str
    content: Any


class _DuplicateKey(Exception):
    # Not a ValueError: json5 would reduce it to its message.
    def __init__(self, key: str) -> None:
        super().__init__(f'{key!r} occurs twice in one object')
        self.key = key


def read_document(path: str) -> Document:
    """
    Read a file of JSON with comments.

    :param path: path of the file.
    :returns: the text and its content.
    :raises OptionsError: if the file can't be read or is not valid.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        raise OptionsError(Problem(_describe_error(error), file=path)) from None
    return parse_document(text, path)


def parse_document(text: str, file: str = '') -> Document:
    """
    Decode JSON with comments; a duplicate name is an error.

    :param text: the text.
    :param file: path of the file, for error messages.
    :returns: the text and its content.
    :raises OptionsError: if the text is not valid.
    """
    try:
        return Document(file, text, _decode(text, file))
    except _DuplicateKey as error:
        line = _line_of_duplicate(text, error.key)
        raise OptionsError(Problem(str(error), error.key, file, line)) from None
    except (RecursionError, ValueError) as failure:
        raise OptionsError(
            Problem(_describe_error(failure), file=file)
        ) from None


def problems_of(document: Document) -> Problems:
    """
    Create a problem collector that resolves the lines of a document.

    :param document: the document to check.
    :returns: an empty collector.
    """
    return Problems(document.file, lambda path: line_of(document.text, path))


def line_of(text: str, path: FieldPath) -> int | None:
    """
    Find the line of a field in valid JSON with comments.

    :param text: the complete text.
    :param path: path of field names to the field, outermost first.
    :returns: line number from 1; that of the innermost object found if the
        field is missing; ``None`` if no name is found or the path is empty.
    """
    start, end = 0, len(text)
    line = None
    for name in path:
        found = _find_name(text, start, end, name)
        if found is None:
            break
        line = _line_at(text, found.start())
        start = found.end()
        _, failure, stop = _json5_parse(text, start)
        end = end if failure else stop
    return line


def is_standard_json(document: Document) -> bool:
    """
    Check whether a document is standard JSON, without comments.

    :param document: the document.
    :returns: whether the standard library can decode it.
    """
    try:
        json.loads(document.text)
    except ValueError:
        return False
    return True


def object_span(document: Document) -> tuple[int, int] | None:
    """
    Find the outermost braces of a document.

    :param document: valid JSON with comments.
    :returns: positions of the braces, or ``None`` if not found.
    """
    text = document.text
    start = text.find('{')
    # A comment before the object may also contain braces.
    for _ in range(_MAX_CANDIDATES):
        content, failure, stop = _json5_parse(text, max(start, 0))
        if not failure and content == document.content:
            return start, text.rindex('}', 0, stop)
        start = text.find('{', start + 1)
    return None


def name_span(document: Document, name: str) -> tuple[int, int] | None:
    """
    Find a field name of a document's outermost object.

    :param document: valid JSON with comments.
    :param name: the field name.
    :returns: start and end of the name with its quotes and colon, or
        ``None`` if not found.
    """
    text = document.text
    found = _find_name(text, 0, len(text), name)
    return None if found is None else found.span()


def _describe_error(error: Exception) -> str:
    for kind, error_text in _ERROR_TEXTS:
        if isinstance(error, kind):
            return error_text
    return getattr(error, 'strerror', None) or str(error)


def _decode(text: str, file: str) -> Any:
    if len(text) > _MAX_CHARACTERS:
        raise ValueError(f'is longer than {_MAX_CHARACTERS} characters')
    # The standard library decodes standard JSON, as written by tools, several
    # hundred times faster than json5.
    try:
        content = json.loads(
            text,
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError:
        content = _decode_json5(text, file)
    # An escaped lone surrogate could not be encoded as UTF-8 later.
    json.dumps(content, ensure_ascii=False).encode()
    return content


def _decode_json5(text: str, file: str) -> Any:
    if not text.strip():
        raise ValueError('is empty')
    content, failure, position = _json5_parse(text, 0, trailing=True)
    if failure:
        message = failure.rpartition('<string>:')[2].lstrip('0123456789 ')
        line = _line_at(text, position)
        raise OptionsError(Problem(f'not valid: {message}', '', file, line))
    return content


def _json5_parse(
    text: str, start: int, trailing: bool = False
) -> tuple[Any, str | None, int]:
    # Imported on demand: json5 takes 1.7 MB of resident memory and is needed
    # only by the command line and once at start-up of the daemon, whose
    # memory limit is 32 MB.
    import json5  # noqa: WPS433

    return json5.parse(
        text,
        start=start,
        consume_trailing=trailing,
        object_pairs_hook=_reject_duplicates,
        parse_constant=_reject_constant,
    )


def _reject_duplicates(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    by_name: dict[str, Any] = {}
    for name, content in pairs:
        if name in by_name:
            raise _DuplicateKey(name)
        by_name[name] = content
    return by_name


def _reject_constant(text: str) -> None:
    raise ValueError(f'{text} is not a number')


def _find_name(
    text: str, start: int, end: int, name: str
) -> re.Match[str] | None:
    candidates = list(_candidates(text, start, end, name))
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    for candidate in candidates[:_MAX_CANDIDATES]:
        before = text[start : candidate.start()]
        after = text[candidate.end() : end]
        marked, _, _ = _json5_parse(f'{before}"{_MARKER_NAME}":{after}', 0)
        if isinstance(marked, dict) and _MARKER_NAME in marked:
            return candidate
    return None


def _candidates(
    text: str, start: int, end: int, name: str
) -> Iterator[re.Match[str]]:
    escaped = re.escape(name)
    pattern = rf'(?:"{escaped}"|\'{escaped}\'|(?<![\w$]){escaped})\s*:'
    return re.compile(pattern).finditer(text, start, end)


def _line_of_duplicate(text: str, name: str) -> int | None:
    candidates = list(_candidates(text, 0, len(text), name))
    if len(candidates) == 2:
        return _line_at(text, candidates[1].start())
    return None


def _line_at(text: str, position: int) -> int:
    return text.count('\n', 0, position) + 1
