"""
eelgrassfork.platform_types
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Record types and errors of the platform API.
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
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The platform did not execute the call; it had no effect."""


class PlatformRefused(PlatformError):
    """The call is invalid and had no effect; a retry would fail as well."""


class AnswerLost(PlatformError):
    """A write without a response; it may take effect, even later."""


class Conflict(PlatformError):
    """
    A conditional write whose precondition failed; it had no effect.

    :ivar current_version: current version of the object, or ``None`` if the
        key does not exist.
    """

    def __init__(self, key: str, current_version: int | None) -> None:
        super().__init__(
            'conflict', f'object {key!r} is at version {current_version}'
        )
        self.current_version = current_version


class StoredObject(NamedTuple):
    """A version of an object; version 0 in a watch means deleted."""

    key: str
    version: int
    body: bytes


class WatchResult(NamedTuple):
    """Objects changed after the requested revision, up to ``revision``."""

    revision: int
    objects: list[StoredObject]


def bad_answer(message: str) -> PlatformUnavailable:
    """
    Create the error for a response that can't be decoded.

    :param message: description of the problem.
    :returns: the error, to be raised by the caller.
    """
    return PlatformUnavailable('bad_answer', message)


def parse_vms(body: bytes) -> VmList:
    """
    Decode the platform's VM list; unknown fields are ignored.

    :param body: JSON ``{revision, vms: [...]}``.
    :returns: the list.
    :raises PlatformUnavailable: ``bad_answer`` if the body is malformed.
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
