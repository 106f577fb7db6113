"""
eelgrassfork.membership
~~~~~~~~~~~~~~~~~~~~~~~

Which routers and backend servers exist, and who of them is alive.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, Protocol

import logbook
import msgspec
import trio

from .deaths import HolderLiveness
from .errors import EelgrassError
from .names import vm_of_holder
from .peer_choice import choose_peers, is_poller
from .peer_messages import Heartbeat, Payload
from .vm_list import VmList, VmRecord
from .vm_lists import VmLists, VmListSource

__all__ = ('Membership', 'MembershipSettings', 'PeerRecord')

_log = logbook.Logger('members')

_SUSPECT_HEARTBEATS: Final = 3
_FETCH_VM_LIST: Final = 'fetch_vm_list'


class MembershipSettings(NamedTuple):
    """
    Periods of the membership, in seconds.

    :param heartbeat_s: between two heartbeats to a peer.
    :param poll_s: between two reads of the VM list by a poller.
    :param fallback_poll_s: between two reads by other routers, in case all
        pollers of the failure domain are gone.
    :param seeds: peer addresses to ask before the VM list is known.
    """

    heartbeat_s: float = 1
    poll_s: float = 1
    fallback_poll_s: float = 30
    seeds: tuple[str, ...] = ()


class PeerRecord(NamedTuple):
    """
    A router that has answered or called.

    :param heard_s_ago: seconds since the exchange began that brought its
        last heartbeat.
    """

    vm: str
    holder: str
    failure_domain: str
    peer_address: str
    state: str
    bundle_version: int
    suspect: bool
    heard_s_ago: float = 0


class _Heard(NamedTuple):
    heartbeat: Heartbeat
    at: float


class _Peers(Protocol):
    async def beat(self, address: str) -> None:
        """Exchange heartbeats."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Let peers make a call."""


class Membership:
    """
    View of the VMs, from the platform's list and the peers' heartbeats.

    :param own: this router's heartbeat at its start.
    :param platform: where the VM list is read.
    :param settings: periods and seeds.
    """

    def __init__(
        self,
        own: Heartbeat,
        platform: VmListSource,
        settings: MembershipSettings,
    ) -> None:
        self._own = own
        self._settings = settings
        self._peering: _Peers | None = None
        self._deaths = HolderLiveness(own.holder)
        self._heard_by_vm: dict[str, _Heard] = {}
        self.vm_lists = VmLists(platform)
        self.listed_at = 0
        self._chosen_addresses: set[str] = set()
        self._is_poller = True
        self.vm_lists.subscribe(self._deaths.update_vm_list)
        self.vm_lists.subscribe(self._take_list)

    async def start(self, nursery: trio.Nursery, peering: _Peers) -> None:
        """
        Send heartbeats and read the VM list in the background.

        :param nursery: where this runs.
        :param peering: the exchange with peers.
        """
        self._peering = peering
        peering.register(_FETCH_VM_LIST, self._serve_vm_list)
        await self.vm_lists.poll()
        nursery.start_soon(self._beat_forever, nursery)
        nursery.start_soon(self._poll_forever)

    async def close(self) -> None:
        """Nothing to release; the nursery owns the tasks."""
        await trio.lowlevel.checkpoint()

    def heard(self, heartbeat: Heartbeat, started_at: float) -> None:
        """
        Note a peer's heartbeat.

        :param heartbeat: what the peer said.
        :param started_at: when the exchange that brought it began.
        """
        known = self._heard_by_vm.get(heartbeat.vm)
        if heartbeat.vm == self._own.vm:
            return
        if known is None or known.at <= started_at:
            self._heard_by_vm[heartbeat.vm] = _Heard(heartbeat, started_at)

    def peers(self) -> list[PeerRecord]:
        """
        List routers that were heard, suspect ones flagged.

        :returns: records of VMs that are not delisted.
        """
        limit = self._settings.heartbeat_s * _SUSPECT_HEARTBEATS
        now = trio.current_time()
        return [
            PeerRecord(
                vm=vm,
                holder=heard.heartbeat.holder,
                failure_domain=heard.heartbeat.failure_domain,
                peer_address=heard.heartbeat.peer_address,
                state=heard.heartbeat.state,
                bundle_version=heard.heartbeat.bundle_version,
                suspect=heard.at < now - limit,
                heard_s_ago=round(now - heard.at, 1),
            )
            for vm, heard in self._heard_by_vm.items()
            if not self._deaths.is_delisted(vm)
        ]

    def routers(self) -> list[VmRecord]:
        """
        List the routers of the newest VM list.

        :returns: records with role ``router``.
        """
        return self.vm_lists.with_role('router')

    def backend_vms(self) -> list[VmRecord]:
        """
        List the backend servers of the newest VM list.

        :returns: records with role ``backend``.
        """
        return self.vm_lists.with_role('backend')

    def is_dead(self, holder: str, listed_at: int = 0) -> bool:
        """
        Tell whether a holder is proven to be gone.

        :param holder: the holder asked about.
        :param listed_at: a revision that listed its VM, as the holder itself
            recorded it, or 0.
        :returns: true only with proof; see :class:`HolderLiveness`.
        """
        heard = self._heard_by_vm.get(vm_of_holder(holder))
        answered = (heard.heartbeat.holder, heard.at) if heard else None
        return self._deaths.is_dead(holder, listed_at, answered)

    def is_poller(self) -> bool:
        """
        Tell whether this router reads the platform for its domain.

        :returns: see :func:`is_poller`.
        """
        return self._is_poller

    def address_of(self, vm: str) -> str | None:
        """
        Find the peer address of a VM.

        :param vm: name of the VM.
        :returns: ``ip:port``, or ``None`` if the VM is not known.
        """
        heard = self._heard_by_vm.get(vm)
        if heard is not None:
            return heard.heartbeat.peer_address
        addresses = {each.vm: each.peer_address for each in self.routers()}
        return addresses.get(vm)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: revision of the VM list, and the peers.
        """
        return {
            'vm_list_revision': self.vm_lists.newest.revision,
            'listed_at': self.listed_at,
            'is_poller': self.is_poller(),
            'peers': [peer._asdict() for peer in self.peers()],
        }

    def _take_list(self, vm_list: VmList) -> None:
        if any(record.vm == self._own.vm for record in vm_list.vms):
            self.listed_at = vm_list.revision
        # Once for each list: at 2,800 routers a choice takes milliseconds.
        own = self._own
        routers = self.routers()
        chosen = choose_peers(own.vm, own.failure_domain, routers)
        self._chosen_addresses = {record.peer_address for record in chosen}
        self._is_poller = is_poller(own.vm, own.failure_domain, routers)

    def _peer_addresses(self) -> set[str]:
        addresses = self._chosen_addresses or set(self._settings.seeds)
        return addresses - {self._own.peer_address, ''}

    async def _beat_forever(self, nursery: trio.Nursery) -> None:
        while True:
            for address in self._peer_addresses():
                nursery.start_soon(self._beat, address)
            await trio.sleep(self._settings.heartbeat_s)

    async def _beat(self, address: str) -> None:
        if self._peering is None:
            return
        try:
            await self._peering.beat(address)
        except EelgrassError as error:
            _log.debug('members: {} gave no heartbeat: {}', address, error)

    async def _poll_forever(self) -> None:
        polled_at = trio.current_time()
        while True:
            await trio.sleep(self._settings.poll_s)
            age = trio.current_time() - polled_at
            if self.is_poller() or age >= self._settings.fallback_poll_s:
                polled_at = trio.current_time()
                await self.vm_lists.poll()
            await self._fetch_newer()

    async def _fetch_newer(self) -> None:
        newest = max(
            (heard.heartbeat for heard in self._heard_by_vm.values()),
            key=lambda heartbeat: heartbeat.vm_list_revision,
            default=self._own,
        )
        known = self.vm_lists.newest.revision
        if newest.vm_list_revision <= known or self._peering is None:
            return
        try:
            payload = await self._peering.call(newest.vm, _FETCH_VM_LIST, {})
        except EelgrassError as error:
            _log.debug('members: no VM list from a peer: {}', error)
            return
        self.vm_lists.update(msgspec.convert(payload['vm_list'], VmList))

    async def _serve_vm_list(self, sender: str, payload: Payload) -> Payload:
        await trio.lowlevel.checkpoint()
        return {'vm_list': self.vm_lists.newest}
