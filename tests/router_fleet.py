"""
tests.router_fleet
~~~~~~~~~~~~~~~~~~

Complete routers and an operator on an in-memory network and platform.
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
    A fleet of routers and backend servers; hosts are named by their VM.

    :param domains_by_vm: qualified failure domain of each router by VM.
    :param servers: backend servers by VM, each a tuple of the qualified
        service, the qualified failure domain and the model of an engine,
        empty for a plain service.
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
        # Short time-outs, so that calls to isolated hosts fail quickly.
        self.http = HttpClient(
            ClientTimeouts(1, 1, 1),
            transport=self.network.transport('operator'),
        )
        self.store = BundleStore(
            self.platform.for_client('operator'), bundles.TRUSTED
        )

    async def start_servers(self):
        """Start the backend servers and add them to the VM list."""
        for number, vm in enumerate(self.servers, 1):
            service, failure_domain, model = self.servers[vm]
            transport = self.network.transport(vm)
            standin = (
                EngineStandin(EngineSettings(model), transport)
                if model
                else PlainServiceStandin(transport=transport)
            )
            await standin.start(self._nursery, f'10.1.0.{number}', 0)
            fleet = failure_domain.partition('/')[0]
            self._server_records[vm] = VmRecord(
                vm,
                'backend',
                'live',
                fleet,
                service,
                failure_domain,
                'region',
                standin.address,
                '',
                '',
            )
        self.platform.set_vms(
            *self._records.values(), *self._server_records.values()
        )

    async def start(self, *vms):
        """Start the given routers, or all if none are given."""
        for vm in vms or self.domains_by_vm:
            await self._nursery.start(self._run, vm)

    async def restart(self, vm):
        """Kill a router process and start a new one on the same VM."""
        self.kill(vm)
        await self.start(vm)

    def kill(self, vm):
        """Kill a router process."""
        self._scopes.pop(vm).cancel()
        self.network.kill(vm)
        del self.routers[vm]

    def partition(self, failure_domains, others):
        """Drop traffic between the routers of two sets of failure domains."""
        for vm, failure_domain in self.domains_by_vm.items():
            for other, other_domain in self.domains_by_vm.items():
                if failure_domain in failure_domains and other_domain in others:
                    self.network.cut(vm, other)

    def isolate(self, *failure_domains):
        """Cut failure domains off from the platform and all other hosts."""
        hosts = {**self.domains_by_vm}
        hosts.update({vm: at for vm, (_, at, _) in self.servers.items()})
        inside = [host for host, at in hosts.items() if at in failure_domains]
        outside = [host for host in hosts if host not in inside]
        for host in inside:
            for other in (*outside, 'operator'):
                self.network.cut(host, other)
        # The platform identifies operators by their failure domain.
        self.platform.set_faults(cut=(*inside, *failure_domains))

    def heal(self):
        """Restore all connections."""
        self.network.heal()
        self.platform.set_faults(cut=())

    async def call(self, vm, method, path, key, body=b''):
        """Call a router as a caller in its failure domain does."""
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
        """Read the status of all routers as an operator does."""
        vms = await self.read_vms()
        return await read_statuses(self.http, vms, OPERATOR_KEY)

    def versions(self):
        """Return the version in force at each running router, by VM."""
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
        failure_domain = self.domains_by_vm[vm]
        host = f'10.0.0.{number}'
        addresses = [f'{host}:{port}' for port in (8080, 8081, 8082)]
        fleet = failure_domain.partition('/')[0]
        return VmRecord(
            vm,
            'router',
            'live',
            fleet,
            '',
            failure_domain,
            'region',
            *addresses,
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
