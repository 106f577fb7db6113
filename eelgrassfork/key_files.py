"""
eelgrassfork.key_files
~~~~~~~~~~~~~~~~~~~~~~

Grants and revocations of operators' keys beside the sources of a bundle.
"""

import json
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from .json_comments import problems_of, read_document
from .key_list import Grant, KeyList, merge_key_lists
from .options import OptionsError, Problem, read_record

__all__ = (
    'KEYS_FILE',
    'add_grant',
    'add_revocation',
    'keys_text',
    'read_key_lists',
)

KEYS_FILE: Final = 'keys.json'
_HEAD: Final = (
    '// Keys that may sign bundles, beside those in the settings of routers.\n'
    '// Written by "eelgrassfork keys"; comments are not kept.\n'
)
_INDENT: Final = 2


def read_key_lists(directories: Iterable[str]) -> KeyList:
    """
    Read what sources say about keys.

    :param directories: source directories; each may hold ``keys.json``.
    :returns: the keys of all.
    :raises OptionsError: naming file, line and field of all that is wrong.
    """
    return merge_key_lists(_read(directory) for directory in directories)


def keys_text(listed: KeyList) -> str:
    """
    Write a list of keys as a source file.

    :param listed: the keys.
    :returns: JSON with comments.
    """
    content = {
        'grants': [grant._asdict() for grant in listed.grants],
        'revoked': list(listed.revoked),
    }
    return f'{_HEAD}{json.dumps(content, indent=_INDENT)}\n'


def add_grant(directory: str, grant: Grant) -> None:
    """
    Add a grant to the sources.

    :param directory: source directory.
    :param grant: the grant.
    :raises OptionsError: if the file is wrong or can't be written.
    """
    listed = _read(directory)
    grants = dict.fromkeys((*listed.grants, grant))
    _write(directory, listed._replace(grants=tuple(grants)))


def add_revocation(directory: str, key_id: str) -> None:
    """
    Add a revocation to the sources.

    :param directory: source directory.
    :param key_id: identifier of the key.
    :raises OptionsError: if the file is wrong or can't be written.
    """
    listed = _read(directory)
    revoked = dict.fromkeys((*listed.revoked, key_id))
    _write(directory, listed._replace(revoked=tuple(revoked)))


def _read(directory: str) -> KeyList:
    path = os.path.join(directory, KEYS_FILE)
    if not os.path.exists(path):
        return KeyList()
    document = read_document(path)
    problems = problems_of(document)
    content = document.content
    raw = content.pop('grants', []) if isinstance(content, dict) else []
    grants = [
        read_record(Grant, each, ('grants',), problems)
        for each in (raw if isinstance(raw, list) else [raw])
    ]
    given = {'grants': tuple(each for each in grants if each)}
    listed = read_record(KeyList, content, (), problems, given)
    problems.check()
    assert listed is not None
    return listed


def _write(directory: str, listed: KeyList) -> None:
    path = Path(directory, KEYS_FILE)
    temporary = Path(f'{path}.new')
    try:
        temporary.write_text(keys_text(listed), encoding='utf-8')
        temporary.replace(path)
    except OSError as error:
        problem = Problem(str(error.strerror), file=str(path))
        raise OptionsError(problem) from None
