"""
eelgrassfork.gateway.packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compresses configurations on their way between routers.

Every router pulls each version, over links that are slow against a large
configuration.  Its routes are much alike, so that it shrinks to a tenth.
"""

import zlib
from typing import Final

from ..errors import EelgrassError

__all__ = ('BadPacking', 'pack', 'unpack')

# Larger levels take longer than their gain saves on a slow link.
_LEVEL: Final = 3
# Sixteen times the largest object of the platform's store.
_MAX_UNPACKED_BYTES: Final = 16_777_216


class BadPacking(EelgrassError):
    """What a peer sent is not a compressed configuration."""


def pack(content: bytes) -> bytes:
    """
    Compress a configuration.

    :param content: as it is stored.
    :returns: the same in the zlib format.
    """
    return zlib.compress(content, _LEVEL)


def unpack(packed: bytes) -> bytes:
    """
    Undo :func:`pack`.

    :param packed: what a peer sent.
    :returns: the configuration as it is stored.
    :raises BadPacking: if it is damaged, cut short or too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise BadPacking('bad_packing', str(error)) from None
    if not stream.eof:
        raise BadPacking('bad_packing', 'cut short or too large')
    return content
