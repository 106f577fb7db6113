"""
eelgrassfork.membership
~~~~~~~~~~~~~~~~~~~~~~~

Tracks which routers and backend servers exist, and which are alive.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, Protocol

import logbook
import msgspec
import trio

from .errors import EelgrassError
from .holder_liveness import HolderLiveness
from .names import vm_of_holder
from .peer_choice import choose_peers, is_poller
from .peer_messages import Heartbeat, Payload
from .vm_list import VmList, VmRecord
from .vm_lists import VmLists, VmListSource

__all__ = ('Membership', 'MembershipSettings', 'PeerRecord')

_log = logbook.Logger('members')

_SUSPECT_AFTER_HEARTBEATS: Final = 3
_FETCH_VM_LIST: Final = 'fetch_vm_list'


class MembershipSettings(NamedTuple):
    """
    Intervals in seconds, and seed addresses.

    :param heartbeat_s: interval between heartbeats to a peer.
    :param poll_s: interval at which a poller reads the VM list.
    :param fallback_poll_s: interval at which other routers read it, in case
        all pollers of the failure domain are down.
    :param seeds: peer addresses to contact until the VM list is known.
    """

    heartbeat_s: float = 1
    poll_s: float = 1
    fallback_poll_s: float = 30
    seeds: tuple[str, ...] = ()


class PeerRecord(NamedTuple):
    """
    A router from which a heartbeat was received.

    :param suspect: whether its last heartbeat is too old.
    :param heard_s_ago: seconds since the start of the exchange that carried
        its last heartbeat.
    """

    vm: str
    holder: str
    failure_domain: str
    peer_address: str
    state: str
    bundle_version: int
    suspect: bool
    heard_s_ago: float = 0


class _ReceivedHeartbeat(NamedTuple):
    heartbeat: Heartbeat
    started_at: float


class _Peers(Protocol):
    async def send_heartbeat(self, address: str) -> None:
        """Exchange heartbeats with the peer at an address."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Register the handler of a call."""


class Membership:
    """
    Fleet state from the platform's VM list and the peers' heartbeats.

    :param own: this router's heartbeat at start-up.
    :param platform: source of the VM list.
    :param settings: intervals and seeds.
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
        self._liveness = HolderLiveness(own.holder)
        self._heartbeats_by_vm: dict[str, _ReceivedHeartbeat] = {}
        self.vm_lists = VmLists(platform)
        self.listed_at = 0
        self._chosen_addresses: set[str] = set()
        self._is_poller = True
        self.vm_lists.subscribe(self._liveness.update_vm_list)
        self.vm_lists.subscribe(self._apply_vm_list)

    async def start(self, nursery: trio.Nursery, peering: _Peers) -> None:
        """
        Send heartbeats and read the VM list in the background.

        :param nursery: runs the background tasks.
        :param peering: sends heartbeats and calls to peers.
        """
        self._peering = peering
        peering.register(_FETCH_VM_LIST, self._serve_vm_list)
        await self.vm_lists.poll()
        nursery.start_soon(self._send_heartbeats, nursery)
        nursery.start_soon(self._poll_vm_list)

    async def close(self) -> None:
        """Do nothing; the nursery owns the background tasks."""
        await trio.lowlevel.checkpoint()

    def record_heartbeat(self, heartbeat: Heartbeat, started_at: float) -> None:
        """
        Record a peer's heartbeat, unless a newer one is known.

        :param heartbeat: heartbeat of the peer.
        :param started_at: start time of the exchange that carried it.
        """
        previous = self._heartbeats_by_vm.get(heartbeat.vm)
        if heartbeat.vm == self._own.vm:
            return
        if previous is None or previous.started_at <= started_at:
            self._heartbeats_by_vm[heartbeat.vm] = _ReceivedHeartbeat(
                heartbeat, started_at
            )

    def peers(self) -> list[PeerRecord]:
        """
        List the routers from which a heartbeat was received.

        :returns: records of VMs that are not delisted, with suspect ones
            flagged.
        """
        suspect_after_s = self._settings.heartbeat_s * _SUSPECT_AFTER_HEARTBEATS
        now = trio.current_time()
        return [
            PeerRecord(
                vm=vm,
                holder=received.heartbeat.holder,
                failure_domain=received.heartbeat.failure_domain,
                peer_address=received.heartbeat.peer_address,
                state=received.heartbeat.state,
                bundle_version=received.heartbeat.bundle_version,
                suspect=received.started_at < now - suspect_after_s,
                heard_s_ago=round(now - received.started_at, 1),
            )
            for vm, received in self._heartbeats_by_vm.items()
            if not self._liveness.is_delisted(vm)
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
        Check whether a holder is proven to be dead.

        :param holder: the holder to check.
        :param listed_at: a VM list revision that contains its VM, as recorded
            by the holder itself, or 0.
        :returns: ``True`` only with proof; see :class:`HolderLiveness`.
        """
        received = self._heartbeats_by_vm.get(vm_of_holder(holder))
        answered = (
            (received.heartbeat.holder, received.started_at)
            if received
            else None
        )
        return self._liveness.is_dead(holder, listed_at, answered)

    def is_poller(self) -> bool:
        """
        Check whether this router polls the platform for its failure domain.

        :returns: see :func:`is_poller`.
        """
        return self._is_poller

    def address_of(self, vm: str) -> str | None:
        """
        Find the peer address of a VM.

        :param vm: name of the VM.
        :returns: ``ip:port``, or ``None`` if the VM is unknown.
        """
        received = self._heartbeats_by_vm.get(vm)
        if received is not None:
            return received.heartbeat.peer_address
        addresses = {
            router.vm: router.peer_address for router in self.routers()
        }
        return addresses.get(vm)

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: VM list revisions, whether this router polls, and the peers.
        """
        return {
            'vm_list_revision': self.vm_lists.newest.revision,
            'listed_at': self.listed_at,
            'is_poller': self.is_poller(),
            'peers': [peer._asdict() for peer in self.peers()],
        }

    def _apply_vm_list(self, vm_list: VmList) -> None:
        if any(record.vm == self._own.vm for record in vm_list.vms):
            self.listed_at = vm_list.revision
        # Computed once per VM list, as choosing peers among 2,800 routers takes
        # milliseconds.
        own = self._own
        routers = self.routers()
        chosen = choose_peers(own.vm, own.failure_domain, routers)
        self._chosen_addresses = {record.peer_address for record in chosen}
        self._is_poller = is_poller(own.vm, own.failure_domain, routers)

    def _peer_addresses(self) -> set[str]:
        addresses = self._chosen_addresses or set(self._settings.seeds)
        return addresses - {self._own.peer_address, ''}

    async def _send_heartbeats(self, nursery: trio.Nursery) -> None:
        while True:
            for address in self._peer_addresses():
                nursery.start_soon(self._send_heartbeat, address)
            await trio.sleep(self._settings.heartbeat_s)

    async def _send_heartbeat(self, address: str) -> None:
        if self._peering is None:
            return
        try:
            await self._peering.send_heartbeat(address)
        except EelgrassError as error:
            _log.debug(
                'members: heartbeat exchange with {} failed: {}', address, error
            )

    async def _poll_vm_list(self) -> None:
        polled_at = trio.current_time()
        while True:
            await trio.sleep(self._settings.poll_s)
            age = trio.current_time() - polled_at
            if self.is_poller() or age >= self._settings.fallback_poll_s:
                polled_at = trio.current_time()
                await self.vm_lists.poll()
            await self._fetch_newer_vm_list()

    async def _fetch_newer_vm_list(self) -> None:
        newest = max(
            (
                received.heartbeat
                for received in self._heartbeats_by_vm.values()
            ),
            key=lambda heartbeat: heartbeat.vm_list_revision,
            default=self._own,
        )
        own_revision = self.vm_lists.newest.revision
        if newest.vm_list_revision <= own_revision or self._peering is None:
            return
        try:
            payload = await self._peering.call(newest.vm, _FETCH_VM_LIST, {})
        except EelgrassError as error:
            _log.debug(
                'members: could not fetch the VM list from a peer: {}', error
            )
            return
        self.vm_lists.update(msgspec.convert(payload['vm_list'], VmList))

    async def _serve_vm_list(self, sender: str, payload: Payload) -> Payload:
        await trio.lowlevel.checkpoint()
        return {'vm_list': self.vm_lists.newest}
