"""
eelgrassfork.gateway.suspect_ids
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Names what may be the reason if a server ends under a request: the request
itself, or a part of its prompt.
"""

from hashlib import blake2b
from typing import Final

from .records import PromptPart

__all__ = ('is_request', 'suspect_ids')

_REQUEST_PREFIX: Final = 'request:'
_MAX_ID_CHARS: Final = 64
_DIGEST_BYTES: Final = 8


def suspect_ids(parts: tuple[PromptPart, ...], digest: str) -> tuple[str, ...]:
    """
    List what may be the reason if a server ends under a request.

    :param parts: parts of the prompt in order; the last one is not shared with
        other requests.
    :param digest: digest of the request.
    :returns: id of the request, then those of the shared parts, of bounded
        length.
    """
    return (
        f'{_REQUEST_PREFIX}{digest}',
        *(_bounded(part.id) for part in parts[:-1]),
    )


def is_request(suspect_id: str) -> bool:
    """
    Tell requests from parts of prompts.

    :param suspect_id: id of a suspect.
    :returns: whether it is a request.
    """
    return suspect_id.startswith(_REQUEST_PREFIX)


def _bounded(part_id: str) -> str:
    if len(part_id) <= _MAX_ID_CHARS and not is_request(part_id):
        return part_id
    return blake2b(part_id.encode(), digest_size=_DIGEST_BYTES).hexdigest()
