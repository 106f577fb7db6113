"""
eelgrassfork.gateway.packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compresses configurations for transfer between routers.

Every router pulls every version, and a large configuration takes long over a
slow link.  Its routes are similar, so that it compresses to about a tenth.
"""

import zlib
from typing import Final

from ..errors import EelgrassError

__all__ = ('BadPacking', 'pack', 'unpack')

# Higher levels cost more time than their smaller output saves on a slow link.
_LEVEL: Final = 3
# Sixteen times the maximum object size of the platform's store.
_MAX_UNPACKED_BYTES: Final = 16_777_216


class BadPacking(EelgrassError):
    """Bytes from a peer are not a valid compressed configuration."""


def pack(content: bytes) -> bytes:
    """
    Compress a configuration.

    :param content: stored JSON of the configuration.
    :returns: the JSON in zlib format.
    """
    return zlib.compress(content, _LEVEL)


def unpack(packed: bytes) -> bytes:
    """
    Decompress the output of :func:`pack`.

    :param packed: bytes received from a peer.
    :returns: stored JSON of the configuration.
    :raises BadPacking: if the bytes are corrupt, truncated or too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise BadPacking('bad_packing', str(error)) from None
    if not stream.eof:
        raise BadPacking(
            'bad_packing',
            'zlib stream is truncated, or larger than the size limit',
        )
    return content
