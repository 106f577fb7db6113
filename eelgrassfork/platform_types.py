"""
eelgrassfork.platform_types
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records and errors of the platform's API.
"""

from typing import NamedTuple

import msgspec

from .errors import EelgrassError
from .vm_list import VmList, VmRecord

__all__ = (
    'AnswerLost',
    'Conflict',
    'PlatformError',
    'PlatformRefused',
    'PlatformUnavailable',
    'StoredObject',
    'WatchResult',
    'bad_answer',
    'parse_vms',
)


class PlatformError(EelgrassError):
    """A call of the platform did not succeed."""


class PlatformUnavailable(PlatformError):
    """The platform did not do the call; nothing took effect."""


class PlatformRefused(PlatformError):
    """The call itself is wrong; nothing took effect, repeating won't help."""


class AnswerLost(PlatformError):
    """A write was sent and may have taken effect, now or later."""


class Conflict(PlatformError):
    """
    A conditional write lost the race; nothing took effect.

    :ivar current_version: version of the object, or ``None`` if the key
        does not exist.
    """

    def __init__(self, key: str, current_version: int | None) -> None:
        super().__init__(
            'conflict', f'object {key!r} is at version {current_version}'
        )
        self.current_version = current_version


class StoredObject(NamedTuple):
    """An object at one version; version 0 in a watch means deleted."""

    key: str
    version: int
    body: bytes


class WatchResult(NamedTuple):
    """Objects changed since the asked revision, up to this one."""

    revision: int
    objects: list[StoredObject]


def bad_answer(message: str) -> PlatformUnavailable:
    """
    Make the error of a read whose answer can't be understood.

    :param message: what is wrong with it.
    :returns: the error, to be raised.
    """
    return PlatformUnavailable('bad_answer', message)


def parse_vms(body: bytes) -> VmList:
    """
    Decode the platform's VM list; unknown fields are ignored.

    :param body: JSON ``{revision, vms: [...]}``.
    :returns: the list.
    :raises PlatformUnavailable: ``bad_answer`` if it has another form.
    """
    try:
        listed = msgspec.json.decode(body, type=_VmListBody)
        rows = [
            [row.get(name, '') for name in VmRecord._fields]
            for row in listed.vms
        ]
        return msgspec.convert([listed.revision, rows], VmList)
    except msgspec.DecodeError as error:
        raise bad_answer(str(error)) from None


class _VmListBody(msgspec.Struct):
    revision: int
    vms: list[dict[str, object]]
