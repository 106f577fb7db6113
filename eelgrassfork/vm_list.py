"""
eelgrassfork.vm_list
~~~~~~~~~~~~~~~~~~~~

Records of the platform's list of live and leaving VMs.
"""

from typing import Literal, NamedTuple

__all__ = ('VmList', 'VmRecord')


class VmRecord(NamedTuple):
    """
    One VM as the platform lists it.

    :param vm: name, unique for all time.
    :param service: qualified service of a backend server, or empty.
    :param failure_domain: qualified name of its place.
    :param address: ``ip:port`` for callers or routers.
    """

    vm: str
    role: Literal['router', 'backend']
    state: Literal['live', 'leaving']
    fleet: str
    service: str
    failure_domain: str
    region: str
    address: str
    peer_address: str = ''
    operator_address: str = ''


class VmList(NamedTuple):
    """The list at one revision; a higher revision is newer."""

    revision: int
    vms: tuple[VmRecord, ...]
