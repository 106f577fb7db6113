"""
eelgrassfork.deaths
~~~~~~~~~~~~~~~~~~~

Proof that a holder can neither spend nor send any more.
"""

import trio

from .names import vm_of_holder
from .vm_list import VmList

__all__ = ('HolderLiveness',)


class HolderLiveness:
    """
    Evidence about holders; silence is none.

    :param own_holder: this router's holder.
    """

    def __init__(self, own_holder: str) -> None:
        self._own_holder = own_holder
        self._listed_vms: set[str] = set()
        self._delisted_vms: set[str] = set()
        self._revision = 0
        self._first_asked_at_by_holder: dict[str, float] = {}

    def update_vm_list(self, vm_list: VmList) -> None:
        """
        Take a newer VM list.

        :param vm_list: a list of a higher revision than any before.
        """
        listed = {record.vm for record in vm_list.vms}
        self._delisted_vms |= self._listed_vms - listed
        self._listed_vms = listed
        self._revision = vm_list.revision

    def is_delisted(self, vm: str) -> bool:
        """
        Tell whether a VM was listed and is no longer.

        :param vm: name of the VM.
        :returns: true once it has left the list; names are never reused.
        """
        return vm in self._delisted_vms

    def is_dead(
        self, holder: str, listed_at: int, answered: tuple[str, float] | None
    ) -> bool:
        """
        Tell whether a holder is proven to be gone.

        Two holders of one VM can't run at once, because both bind the same
        listeners. Another holder that answers from the VM after this one
        was known is therefore proof.

        :param holder: the holder asked about.
        :param listed_at: a revision that listed its VM, as the holder itself
            recorded it, or 0.
        :param answered: the holder that answered last from the VM, and when
            that exchange began.
        :returns: true only with proof.
        """
        now = trio.current_time()
        asked_at = self._first_asked_at_by_holder.setdefault(holder, now)
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
