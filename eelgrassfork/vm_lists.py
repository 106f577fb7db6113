"""
eelgrassfork.vm_lists
~~~~~~~~~~~~~~~~~~~~~

Reads the platform's VM list and keeps the latest revision.
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
    """Source of the VM list."""

    async def vms(self) -> VmList:
        """Read the current VM list."""


class VmLists:
    """
    Holder of the latest VM list.

    :param platform: source of the list.
    :ivar newest: the list with the highest revision received.
    :ivar platform_reached_at: trio time of the last successful read from the
        platform, or ``None``.
    """

    def __init__(self, platform: VmListSource) -> None:
        self._platform = platform
        self._callbacks: list[Callable[[VmList], None]] = []
        self.newest = _EMPTY
        self.platform_reached_at: float | None = None

    def subscribe(self, callback: Callable[[VmList], None]) -> None:
        """
        Register a callback for newer VM lists.

        :param callback: called with each newer list.
        """
        self._callbacks.append(callback)

    def update(self, vm_list: VmList) -> None:
        """
        Replace the VM list if the given one is newer, and notify subscribers.

        :param vm_list: list from the platform or a peer.
        """
        if vm_list.revision <= self.newest.revision:
            return
        self.newest = vm_list
        for callback in self._callbacks:
            callback(vm_list)

    async def poll(self) -> None:
        """Read the list from the platform; log a failure and keep the list."""
        try:
            vm_list = await self._platform.vms()
        except EelgrassError as error:
            _log.debug(
                'members: cannot read the VM list from the platform: {}', error
            )
            return
        self.platform_reached_at = trio.current_time()
        self.update(vm_list)

    def with_role(self, role: str) -> list[VmRecord]:
        """
        Return the VMs of one role.

        :param role: ``router`` or ``backend``.
        :returns: records of the VMs.
        """
        return [record for record in self.newest.vms if record.role == role]
