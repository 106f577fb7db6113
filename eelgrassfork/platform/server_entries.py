"""
eelgrassfork.platform.server_entries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the entries with which backend servers register in the store.
"""

import re
from typing import Annotated, Final, Literal

import msgspec

from ..gateway.records import ServerEntry

__all__ = ('KIND', 'decode_entry')

KIND: Final = 'servers'

_MAX_NAME_LENGTH: Final = 200
_MAX_UNIX_MS: Final = 1_000_000_000_000_000
_MS_PER_S: Final = 1000
_MAX_COLD_MS: Final = 3_600_000
_ADDRESS: Final = re.compile(r'\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}')

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
# Servers are cold for less than a minute.
_ColdMs = Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)]
_Slots = Annotated[int, msgspec.Meta(ge=1)]
# Larger integers are not valid Unix times in milliseconds.
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]


class _Entry(msgspec.Struct, rename='camel'):
    service: _Name
    address: str
    zone: _Name
    version: str
    slots: _Slots
    state: Literal['ready', 'draining']
    sequence: _Count
    # Remaining warm-up time, not the time since the start.
    # Any type, as a wrong time must not hide the server.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b'0')
    # Start time of this incarnation; distinguishes servers that reuse an ID.
    born: _UnixMs = 0


def decode_entry(server_id: str, content: bytes) -> ServerEntry | None:
    """
    Decode one entry; other writers may store entries of any form.

    :param server_id: name of the stored object.
    :param content: stored object as JSON.
    :returns: the entry, or ``None`` if it doesn't describe a usable server.
    """
    try:
        wire = msgspec.json.decode(content, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if _ADDRESS.fullmatch(wire.address) is None:
        return None
    return ServerEntry(
        id=server_id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=wire.slots,
        incarnation=wire.born,
        sequence=wire.sequence,
        leaving=wire.state == 'draining',
        cold_s=_decode_cold_s(wire.cold_remaining_ms),
    )


def _decode_cold_s(raw: msgspec.Raw) -> float | None:
    try:
        return msgspec.json.decode(raw, type=_ColdMs) / _MS_PER_S
    except msgspec.DecodeError:
        return None
