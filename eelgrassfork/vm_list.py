"""
eelgrassfork.vm_list
~~~~~~~~~~~~~~~~~~~~

Types of the platform's list of live and leaving VMs.
"""

from typing import Literal, NamedTuple

__all__ = ('VmList', 'VmRecord')


class VmRecord(NamedTuple):
    """
    Record of one VM in the platform's list.

    :param vm: name of the VM, never reused.
    :param service: qualified name of a backend server's service, or empty.
    :param failure_domain: qualified name of the VM's failure domain.
    :param address: ``ip:port`` to which callers connect (router) or routers
        connect (backend server).
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
    """The VM list at one revision; a higher revision is newer."""

    revision: int
    vms: tuple[VmRecord, ...]
