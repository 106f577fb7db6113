"""
tests.router_fleet
~~~~~~~~~~~~~~~~~~

Whole routers over an in-memory network and platform, and their operators.
"""

import hashlib

import trio

from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
)
from eelgrassfork.router import Router, RouterEnvironment
from eelgrassfork.router_status import read_statuses
from eelgrassfork.settings import Endpoint, RouterSettings
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.fake_platform import FakePlatform
from standins.plain_service import PlainServiceStandin

from . import bundles
from .memory_network import MemoryNetwork

__all__ = ('OPERATOR_KEY', 'RouterFleet')

OPERATOR_KEY = 'operator'
PEER_KEY = 'a-peer-key-of-the-tests'


class RouterFleet:
    """
    Routers by VM; the name of a host is that of its VM.

    :param domains_by_vm: qualified name of each router's place.
    :param servers: backend servers by VM, each a pair of qualified names of
        its service and place, and a model for an engine.
    """

    def __init__(self, nursery, domains_by_vm, servers=()):
        self.network = MemoryNetwork()
        self.platform = FakePlatform()
        self.domains_by_vm = dict(domains_by_vm)
        self.servers = dict(servers)
        self.routers = {}
        self._nursery = nursery
        self._scopes = {}
        self._records = {
            vm: self._record(vm, number)
            for number, vm in enumerate(self.domains_by_vm, 1)
        }
        self._server_records = {}
        self.platform.set_vms(*self._records.values())
        # Short bounds, so that a host that is cut off costs little time.
        self.http = HttpClient(
            ClientTimeouts(1, 1, 1),
            transport=self.network.transport('operator'),
        )
        self.store = BundleStore(
            self.platform.for_client('operator'), bundles.TRUSTED
        )

    async def start_servers(self):
        """Start the backend servers and list them."""
        for number, vm in enumerate(self.servers, 1):
            service, place, model = self.servers[vm]
            transport = self.network.transport(vm)
            standin = (
                EngineStandin(EngineSettings(model), transport)
                if model
                else PlainServiceStandin(transport=transport)
            )
            await standin.start(self._nursery, f'10.1.0.{number}', 0)
            fleet = place.partition('/')[0]
            self._server_records[vm] = VmRecord(
                vm,
                'backend',
                'live',
                fleet,
                service,
                place,
                'region',
                standin.address,
                '',
                '',
            )
        self.platform.set_vms(
            *self._records.values(), *self._server_records.values()
        )

    async def start(self, *vms):
        """Start routers, all of them if none is named."""
        for vm in vms or self.domains_by_vm:
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

    def cut_between(self, places, others):
        """Cut the routers of places off from those of others."""
        for vm, place in self.domains_by_vm.items():
            for other, there in self.domains_by_vm.items():
                if place in places and there in others:
                    self.network.cut(vm, other)

    def cut(self, *places):
        """Cut places off from the platform and from all others."""
        hosts = {**self.domains_by_vm}
        hosts.update({vm: at for vm, (_, at, _) in self.servers.items()})
        inside = [host for host, at in hosts.items() if at in places]
        outside = [host for host in hosts if host not in inside]
        for host in inside:
            for other in (*outside, 'operator'):
                self.network.cut(host, other)
        # Operators inside are known to the platform by the place.
        self.platform.set_faults(cut=(*inside, *places))

    def heal(self):
        """End all cuts."""
        self.network.heal()
        self.platform.set_faults(cut=())

    async def call(self, vm, method, path, key, body=b''):
        """Call a router as a caller in its place does."""
        address = self._records[vm].address
        http = HttpClient(transport=self.network.transport(vm))
        headers = (('authorization', f'Bearer {key}'),)
        try:
            return await http.fetch(
                ClientRequest(address, method, path, headers, body)
            )
        finally:
            await http.close()

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
        place = self.domains_by_vm[vm]
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
