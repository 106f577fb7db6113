"""
eelgrassfork.key_files
~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the operator key lists stored with bundle sources.
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
_HEADER: Final = (
    '// Keys that may sign bundles, beside those in the settings of routers.\n'
    '// Written by "eelgrassfork keys"; comments are not kept.\n'
)
_INDENT: Final = 2


def read_key_lists(directories: Iterable[str]) -> KeyList:
    """
    Read and merge the key lists of source directories.

    :param directories: source directories, optionally with ``keys.json``.
    :returns: the merged list.
    :raises OptionsError: with file, line and field of every problem.
    """
    return merge_key_lists(_read(directory) for directory in directories)


def keys_text(key_list: KeyList) -> str:
    """
    Format a key list as a source file.

    :param key_list: the list.
    :returns: JSON with a header comment.
    """
    content = {
        'grants': [grant._asdict() for grant in key_list.grants],
        'revoked': list(key_list.revoked),
    }
    return f'{_HEADER}{json.dumps(content, indent=_INDENT)}\n'


def add_grant(directory: str, grant: Grant) -> None:
    """
    Add a grant to the sources.

    :param directory: source directory.
    :param grant: the grant.
    :raises OptionsError: if the file is invalid or can't be written.
    """
    key_list = _read(directory)
    grants = dict.fromkeys((*key_list.grants, grant))
    _write(directory, key_list._replace(grants=tuple(grants)))


def add_revocation(directory: str, key_id: str) -> None:
    """
    Add a revocation to the sources.

    :param directory: source directory.
    :param key_id: identifier of the key.
    :raises OptionsError: if the file is invalid or can't be written.
    """
    key_list = _read(directory)
    revoked = dict.fromkeys((*key_list.revoked, key_id))
    _write(directory, key_list._replace(revoked=tuple(revoked)))


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
    key_list = read_record(KeyList, content, (), problems, given)
    problems.check()
    assert key_list is not None
    return key_list


def _write(directory: str, key_list: KeyList) -> None:
    path = Path(directory, KEYS_FILE)
    temporary = Path(f'{path}.new')
    try:
        temporary.write_text(keys_text(key_list), encoding='utf-8')
        temporary.replace(path)
    except OSError as error:
        problem = Problem(str(error.strerror), file=str(path))
        raise OptionsError(problem) from None
