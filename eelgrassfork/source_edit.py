"""
eelgrassfork.source_edit
~~~~~~~~~~~~~~~~~~~~~~~~

Additions to the sources of a bundle that keep comments and layout.
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
    """The sources have a record of this name."""


class NewOrganisation(NamedTuple):
    """
    What to add.

    :param name: name within the fleet, or ``fleet/name``.
    :param fields: options as in the sources.
    """

    name: str
    fields: dict[str, Any]


def add_organisation(directory: str, new: NewOrganisation) -> None:
    """
    Add an organisation to the sources, which stay as they were on an error.

    :param directory: directory of the sources.
    :param new: the organisation.
    :raises OptionsError: if the sources are wrong, before or with it.
    :raises NameTaken: ``name_taken``.
    :raises BadName: if it has no fleet or breaks the naming rule.
    """
    sources = read_sources([directory])
    fleets = list(sources.entries_by_kind['fleets'])
    name = str(qualify(new.name, fleets[0] if len(fleets) == 1 else None))
    entry = sources.entries_by_kind['organisations'].get(name)
    if entry is not None:
        place = entry.problems.location_of(entry.path)
        raise NameTaken('name_taken', f'{name} stands at {place}')
    file = os.path.join(directory, 'organisations.json')
    document = read_document(file)
    _replace(file, _with_entry(document, new.name, new.fields))
    try:
        read_sources([directory])
    except OptionsError as error:
        _replace(file, document.text)
        messages = (problem.message for problem in error.problems)
        raise OptionsError(
            *(Problem(message, new.name) for message in messages)
        ) from None


def _with_entry(document: Document, name: str, fields: dict[str, Any]) -> str:
    expected = {**document.content, name: fields}
    entry = json.dumps({name: fields}, indent=_INDENT)
    lines = entry.splitlines()[1:-1]
    for text in _candidates(document.text, '\n'.join(lines)):
        try:
            if parse_document(text).content == expected:
                return text
        except OptionsError:
            continue
    message = 'the closing brace is not found'
    raise OptionsError(Problem(message, file=document.file))


def _candidates(text: str, entry: str) -> Iterator[str]:
    # Whether a comma is needed depends on a trailing one, and a brace may
    # stand in a comment; the caller keeps the first text that reads well.
    end = len(text)
    while (end := text.rfind('}', 0, end)) >= 0:
        head = text[:end].rstrip()
        # After a comment to the end of the line, the comma starts a new one.
        for comma in ('', ',', '\n  ,'):
            yield f'{head}{comma}\n{entry}\n{text[end:]}'


def _replace(file: str, text: str) -> None:
    temporary = Path(f'{file}.new')
    try:
        temporary.write_text(text, encoding='utf-8')
        temporary.replace(file)
    except OSError as error:
        raise OptionsError(Problem(str(error.strerror), file=file)) from None
