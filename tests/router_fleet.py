"""
tests.router_fleet
~~~~~~~~~~~~~~~~~~

Whole routers over an in-memory network and platform, and their operators.
"""

import hashlib

import trio

from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.http_client import ClientTimeouts, HttpClient
from eelgrassfork.router import Router, RouterEnvironment
from eelgrassfork.router_status import read_statuses
from eelgrassfork.settings import Endpoint, RouterSettings
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform

from . import bundles
from .memory_network import MemoryNetwork

__all__ = ('OPERATOR_KEY', 'RouterFleet')

OPERATOR_KEY = 'operator'
PEER_KEY = 'a-peer-key-of-the-tests'


class RouterFleet:
    """
    Routers by VM; the name of a host is that of its VM.

    :param places_by_vm: qualified name of each router's place.
    """

    def __init__(self, nursery, places_by_vm):
        self.network = MemoryNetwork()
        self.platform = FakePlatform()
        self.places_by_vm = dict(places_by_vm)
        self.routers = {}
        self._nursery = nursery
        self._scopes = {}
        self._records = {
            vm: self._record(vm, number)
            for number, vm in enumerate(self.places_by_vm, 1)
        }
        self.platform.set_vms(*self._records.values())
        # Short bounds, so that a host that is cut off costs little time.
        self.http = HttpClient(
            ClientTimeouts(1, 1, 1),
            transport=self.network.transport('operator'),
        )
        self.store = BundleStore(
            self.platform.for_client('operator'), bundles.TRUSTED
        )

    async def start(self, *vms):
        """Start routers, all of them if none is named."""
        for vm in vms or self.places_by_vm:
            await self._nursery.start(self._run, vm)

    async def restart(self, vm):
        """Kill a router's process and start another on its VM."""
        self.kill(vm)
        await self.start(vm)

    def kill(self, vm):
        """Kill a router's process."""
        self._scopes.pop(vm).cancel()
        self.network.kill(vm)
        del self.routers[vm]

    def cut(self, *places):
        """Cut places off from the platform and from all others."""
        inside = [vm for vm, at in self.places_by_vm.items() if at in places]
        outside = [vm for vm in self.places_by_vm if vm not in inside]
        for vm in inside:
            for other in (*outside, 'operator'):
                self.network.cut(vm, other)
        self.platform.set_faults(cut=tuple(inside))

    def heal(self):
        """End all cuts."""
        self.network.heal()
        self.platform.set_faults(cut=())

    async def read_vms(self):
        """Read the VM list as an operator does."""
        vm_list = await self.store.platform.vms()
        return vm_list.vms

    async def statuses(self):
        """Ask all routers for their status as an operator does."""
        vms = await self.read_vms()
        return await read_statuses(self.http, vms, OPERATOR_KEY)

    def versions(self):
        """Tell the version in force at each running router."""
        return {vm: each.rollout.version for vm, each in self.routers.items()}

    async def _run(self, vm, task_status):
        router = Router(
            self._settings(vm),
            RouterEnvironment(
                transport=self.network.transport(vm),
                platform=self.platform.for_client(vm),
            ),
        )
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await router.start(nursery)
                self._scopes[vm] = scope
                self.routers[vm] = router
                task_status.started()
                await trio.sleep_forever()

    def _record(self, vm, number):
        place = self.places_by_vm[vm]
        host = f'10.0.0.{number}'
        addresses = [f'{host}:{port}' for port in (8080, 8081, 8082)]
        fleet = place.partition('/')[0]
        return VmRecord(
            vm, 'router', 'live', fleet, '', place, 'region', *addresses
        )

    def _settings(self, vm):
        record = self._records[vm]
        callers, peers, operators = (
            Endpoint(host, int(port))
            for host, _, port in (
                address.partition(':')
                for address in (
                    record.address,
                    record.peer_address,
                    record.operator_address,
                )
            )
        )
        return RouterSettings(
            vm=vm,
            fleet=record.fleet,
            failure_domain=record.failure_domain,
            region=record.region,
            callers=callers,
            peers=peers,
            operators=operators,
            platform='10.9.9.9:1',
            peer_key=PEER_KEY,
            operator_key_hash=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            trusted_keys=bundles.TRUSTED,
            seed_peers=tuple(
                each.peer_address
                for each in self._records.values()
                if each.vm != vm
            ),
        )
