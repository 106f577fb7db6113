"""
eelgrassfork.holder_liveness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a holder is proven dead: it can no longer spend or send.
"""

import trio

from .names import vm_of_holder
from .vm_list import VmList

__all__ = ('HolderLiveness',)


class HolderLiveness:
    """
    Evidence of the death of holders; silence is not evidence.

    :param own_holder: holder of this router's process.
    """

    def __init__(self, own_holder: str) -> None:
        self._own_holder = own_holder
        self._listed_vms: set[str] = set()
        self._delisted_vms: set[str] = set()
        self._revision = 0
        self._first_asked_at_by_holder: dict[str, float] = {}

    def update_vm_list(self, vm_list: VmList) -> None:
        """
        Record a newer VM list.

        :param vm_list: list with a higher revision than all previous ones.
        """
        listed = {record.vm for record in vm_list.vms}
        self._delisted_vms |= self._listed_vms - listed
        self._listed_vms = listed
        self._revision = vm_list.revision

    def is_delisted(self, vm: str) -> bool:
        """
        Return whether a VM has been removed from the VM list.

        :param vm: name of the VM.
        :returns: true once it has been removed; names are never reused.
        """
        return vm in self._delisted_vms

    def is_dead(
        self, holder: str, listed_at: int, answered: tuple[str, float] | None
    ) -> bool:
        """
        Return whether a holder is proven dead.

        Two holders of one VM cannot run at the same time, because both bind
        the same listeners. A response from another holder on the VM, in an
        exchange that began after this holder became known, is therefore
        proof.

        :param holder: the holder in question.
        :param listed_at: revision of a list that includes its VM, as recorded
            by the holder itself, or 0.
        :param answered: the last holder that responded on the VM, and the
            trio time at which that exchange began.
        :returns: true only with proof.
        """
        now_s = trio.current_time()
        asked_at = self._first_asked_at_by_holder.setdefault(holder, now_s)
        vm = vm_of_holder(holder)
        if vm in self._delisted_vms:
            return True
        if 0 < listed_at < self._revision and vm not in self._listed_vms:
            return True
        if vm == vm_of_holder(self._own_holder):
            return holder != self._own_holder
        if answered is None:
            return False
        responding_holder, answered_at = answered
        return responding_holder != holder and answered_at > asked_at
