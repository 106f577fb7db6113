"""
eelgrassfork.source_edit
~~~~~~~~~~~~~~~~~~~~~~~~

Adds records to bundle sources, preserving comments and layout.
"""

import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from .bundle_source import read_sources
from .errors import EelgrassError
from .json_comments import Document, parse_document, read_document
from .names import qualify
from .options import OptionsError, Problem

__all__ = ('NameTaken', 'NewOrganisation', 'add_organisation')

_INDENT: Final = 2


class NameTaken(EelgrassError):
    """The sources already contain a record of this name."""


class NewOrganisation(NamedTuple):
    """
    An organisation to add to the sources.

    :param name: name within the fleet, or ``fleet/name``.
    :param fields: options in the format of the sources.
    """

    name: str
    fields: dict[str, Any]


def add_organisation(directory: str, new: NewOrganisation) -> None:
    """
    Add an organisation to the sources; they are unchanged on an error.

    :param directory: source directory.
    :param new: the organisation.
    :raises OptionsError: if the sources are invalid before or after the
        addition, or can't be written.
    :raises NameTaken: ``name_taken`` if the name is in use.
    :raises BadName: if the name has no fleet or is malformed.
    """
    sources = read_sources([directory])
    fleets = list(sources.entries_by_kind['fleets'])
    name = str(qualify(new.name, fleets[0] if len(fleets) == 1 else None))
    entry = sources.entries_by_kind['organisations'].get(name)
    if entry is not None:
        place = entry.problems.location_of(entry.path)
        raise NameTaken('name_taken', f'{name} is already defined at {place}')
    file = os.path.join(directory, 'organisations.json')
    document = read_document(file)
    _replace_file(file, _insert_entry(document, new.name, new.fields))
    try:
        read_sources([directory])
    except OptionsError as error:
        _replace_file(file, document.text)
        messages = (problem.message for problem in error.problems)
        raise OptionsError(
            *(Problem(message, new.name) for message in messages)
        ) from None


def _insert_entry(document: Document, name: str, fields: dict[str, Any]) -> str:
    expected = {**document.content, name: fields}
    entry = json.dumps({name: fields}, indent=_INDENT)
    lines = entry.splitlines()[1:-1]
    for text in _candidate_texts(document.text, '\n'.join(lines)):
        try:
            if parse_document(text).content == expected:
                return text
        except OptionsError:
            continue
    message = 'closing brace of the top-level object not found'
    raise OptionsError(Problem(message, file=document.file))


def _candidate_texts(text: str, entry: str) -> Iterator[str]:
    # A comma is needed unless the object is empty or has a trailing one, and
    # a brace may be part of a comment; the caller keeps the first candidate
    # that parses to the expected content.
    end = len(text)
    while (end := text.rfind('}', 0, end)) >= 0:
        head = text[:end].rstrip()
        # After a line comment, the comma has to go on a line of its own.
        for comma in ('', ',', '\n  ,'):
            yield f'{head}{comma}\n{entry}\n{text[end:]}'


def _replace_file(file: str, text: str) -> None:
    temporary = Path(f'{file}.new')
    try:
        temporary.write_text(text, encoding='utf-8')
        temporary.replace(file)
    except OSError as error:
        raise OptionsError(Problem(str(error.strerror), file=file)) from None
