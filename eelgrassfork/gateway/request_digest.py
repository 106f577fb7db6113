"""
eelgrassfork.gateway.request_digest
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Identifies requests that are sent again, whatever their id.
"""

from hashlib import blake2b
from typing import Final

from .records import ForwardHead

__all__ = ('digest_request',)

_DIGEST_BYTES: Final = 10


def digest_request(head: ForwardHead, organisation: str, body: bytes) -> str:
    """
    Compute a digest that is the same for each repeat of a request.

    It covers the organisation, so that callers of another one can't send a
    request with the same digest.

    :param head: head of the request; its id, time-out and other headers do not
        count, as they differ between repeats.
    :param organisation: name of the organisation that the caller belongs to.
    :param body: complete body.
    :returns: hexadecimal digits.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (head.method, head.host, head.target, organisation):
        encoded = text.encode('utf-8', 'surrogateescape')
        digest.update(b'%d:%b,' % (len(encoded), encoded))
    digest.update(body)
    return digest.hexdigest()
