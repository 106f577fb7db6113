"""
eelgrassfork.vm_lists
~~~~~~~~~~~~~~~~~~~~~

Reads the platform's VM list and keeps the newest one.
"""

from collections.abc import Callable
from typing import Final, Protocol

import logbook
import trio

from .errors import EelgrassError
from .vm_list import VmList, VmRecord

__all__ = ('VmLists', 'VmListSource')

_log = logbook.Logger('members')

_EMPTY: Final = VmList(0, ())


class VmListSource(Protocol):
    """Where the VM list is read."""

    async def vms(self) -> VmList:
        """Read the VM list."""


class VmLists:
    """
    The newest VM list.

    :param platform: where it is read.
    """

    def __init__(self, platform: VmListSource) -> None:
        self._platform = platform
        self._callbacks: list[Callable[[VmList], None]] = []
        self.newest = _EMPTY
        self.platform_reached_at: float | None = None

    def subscribe(self, callback: Callable[[VmList], None]) -> None:
        """
        Ask to be told each newer VM list.

        :param callback: command that takes the list.
        """
        self._callbacks.append(callback)

    def update(self, vm_list: VmList) -> None:
        """
        Take a VM list if it is newer than the one known.

        :param vm_list: a list from the platform or a peer.
        """
        if vm_list.revision <= self.newest.revision:
            return
        self.newest = vm_list
        for callback in self._callbacks:
            callback(vm_list)

    async def poll(self) -> None:
        """Read the list from the platform; a failure is only logged."""
        try:
            vm_list = await self._platform.vms()
        except EelgrassError as error:
            _log.debug('members: the VM list was not read: {}', error)
            return
        self.platform_reached_at = trio.current_time()
        self.update(vm_list)

    def with_role(self, role: str) -> list[VmRecord]:
        """
        List the VMs of one role.

        :param role: ``router`` or ``backend``.
        :returns: their records.
        """
        return [record for record in self.newest.vms if record.role == role]
