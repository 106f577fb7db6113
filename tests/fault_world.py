"""
tests.fault_world
~~~~~~~~~~~~~~~~~

Platform, backend servers and complete routers on one in-memory network.
"""

import hashlib
import random
from typing import Any, NamedTuple

import trio

from eelgrassfork import bundle
from eelgrassfork.budget_admin import TopUp, apply_top_up
from eelgrassfork.held_bundle import HeldBundle
from eelgrassfork.http_client import ClientRequest, HttpClient, HttpClientError
from eelgrassfork.load_reports import PollSettings
from eelgrassfork.names import shard_of
from eelgrassfork.platform_client import PlatformClient
from eelgrassfork.router import Router, RouterEnvironment
from eelgrassfork.settings import Endpoint, RouterSettings
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.plain_service import PlainServiceStandin
from standins.platform import PlatformStandin
from tests.bundles import TRUSTED, held_bundle, key_hash
from tests.fault_network import FaultNetwork
from tests.fault_schedule import HOST, install_run_queue

__all__ = ('DOMAINS', 'FLEET', 'Host', 'PRICE', 'World', 'budget_of')

FLEET = 'pazlen'
DOMAINS = {'a': 'pazlen/plovdiv-a', 'b': 'pazlen/plovdiv-b'}
PRICE = 5
CAP = 64
FIRST_BYTE_MS = 2000
SILENCE_MS = 1000
SHARDS = 2
MODEL, DESK = 'pazlen/matcher', 'pazlen/shopdesk'
# Each organisation has one budget and one key, which equals its name.
ORGANISATIONS = ('subject', 'others')
READY_S = 30


class Host(NamedTuple):
    """
    One incarnation of a VM.

    :param incarnation: identifies its tasks when they are suspended.
    :param domain: letter of its failure domain, empty for the platform.
    :param part: the router or stand-in that runs on it.
    """

    vm: str
    incarnation: str
    ip: str
    domain: str
    part: Any


def budget_of(organisation: str) -> str:
    """
    Return the name of an organisation's budget.

    :param organisation: unqualified name.
    :returns: qualified name.
    """
    return f'{FLEET}/{organisation}/main'


def ledger_key(organisation: str) -> str:
    """
    Return the key of the object that holds an organisation's budget.

    :param organisation: unqualified name.
    :returns: object key.
    """
    return f'ledger/{FLEET}/{shard_of(budget_of(organisation), SHARDS)}'


def adapter_of(version: int) -> str:
    """
    Return the name of the adapter that a bundle configures.

    :param version: version of the bundle.
    :returns: name of the adapter.
    """
    return f'adapter-{version}'


def make_bundle(version: int) -> HeldBundle:
    """
    Make a signed bundle with an adapter named after the version.

    :param version: version of the bundle.
    :returns: the bundle, based on the previous version.
    """
    bounds = {'first_byte_ms': FIRST_BYTE_MS, 'silence_ms': SILENCE_MS}
    model = {
        'kind': 'model',
        'model': 'matcher',
        'max_tokens': CAP,
        'adapters': [adapter_of(version)],
        'checks_fencing': True,
        **bounds,
    }
    desk = {'kind': 'plain', 'price_tokens': PRICE, **bounds}
    organisations = {
        f'{FLEET}/{name}': {
            'budgets_by_key_hash': {key_hash(name): 'main'},
            'services': [MODEL, DESK],
        }
        for name in ORGANISATIONS
    }
    kinds = {
        'fleets': {FLEET: {'ledger_shards': SHARDS}},
        'services': {MODEL: model, DESK: desk},
        'organisations': organisations,
    }
    return held_bundle(version, kinds)


class World:
    """
    Platform, hosts and network of a cell.

    :param nursery: nursery of the hosts.
    :param seed: determines the routers' jitter.
    :ivar hosts_by_vm: the newest incarnation on each VM.
    :ivar servers: all backend servers ever started, for their records.
    :ivar gone_vms: VMs whose process ended and was not restarted.
    :ivar left_by_vm: work still open when each router's drain ended.
    :ivar frozen_s_by_vm: total time for which hosts were frozen, in seconds.
    :ivar crashes: routers that ended with an error.
    :ivar on_start: called with VM and router or server before each start.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.network = FaultNetwork()
        self.run_queue = install_run_queue()
        self.hosts_by_vm: dict[str, Host] = {}
        self.servers: list[Host] = []
        self.gone_vms: set[str] = set()
        self.left_by_vm: dict[str, dict[str, int]] = {}
        self.crashes: list[str] = []
        self.on_start = lambda vm, part: None
        self.platform = PlatformStandin(
            transport=self.network.transport('platform')
        )
        self._records_by_vm: dict[str, VmRecord] = {}
        self.frozen_s_by_vm: dict[str, float] = {}
        self._frozen_at_by_vm: dict[str, float] = {}
        self._ip_by_vm: dict[str, str] = {}
        self._source = random.Random(seed)
        self._operator_http = HttpClient(
            transport=self.network.transport('operator')
        )
        self._started = 0

    async def start(self) -> None:
        """Start all hosts and wait until the routers are ready."""
        await self._start_standin('platform', '', self.platform)
        self._put_first_bundle()
        for domain in DOMAINS:
            await self.start_engine(f'engine-{domain}1', domain)
            await self.start_desk(f'desk-{domain}1', domain)
        vms = [f'{domain}{number}' for domain in DOMAINS for number in (1, 2)]
        for vm in vms:
            self._record_router(vm)
        self.publish_vms()
        for vm in vms:
            await self.start_router(vm)
        await self.wait_ready(vms)

    def client(self, host: str) -> PlatformClient:
        """
        Create a client of the platform.

        :param host: host of the client.
        :returns: the client.
        """
        http = HttpClient(transport=self.network.transport(host))
        return PlatformClient(http, self.platform.address, 1, host)

    def routers(self) -> list[str]:
        """
        List the running routers.

        :returns: their VMs.
        """
        return [
            vm
            for vm, host in self.hosts_by_vm.items()
            if isinstance(host.part, Router) and vm not in self.gone_vms
        ]

    def vms_of(self, domain: str) -> list[str]:
        """
        List the VMs of a failure domain.

        :param domain: its letter.
        :returns: routers and backend servers, also those that were killed.
        """
        return [
            vm for vm, host in self.hosts_by_vm.items() if host.domain == domain
        ]

    def callers_address(self, vm: str) -> str:
        """
        Return the address of a router's caller listener.

        :param vm: its VM.
        :returns: address and port.
        """
        return f'{self.hosts_by_vm[vm].ip}:80'

    async def top_up(self, organisation: str, amount: int) -> None:
        """
        Grant tokens to the budget of an organisation.

        :param organisation: unqualified name.
        :param amount: tokens.
        """
        change = TopUp(budget_of(organisation), f'op-{amount}', amount)
        client = self.client('operator')
        await apply_top_up(client, ledger_key(organisation), change)

    async def start_engine(self, vm: str, domain: str) -> None:
        """
        Start an engine; the next published VM list contains it.

        :param vm: its VM.
        :param domain: letter of its failure domain.
        """
        transport = self.network.transport(vm)
        settings = EngineSettings('matcher', checks_fencing=True)
        engine = EngineStandin(settings, transport)
        await self._start_server(vm, domain, MODEL, engine)

    async def start_desk(self, vm: str, domain: str) -> None:
        """
        Start a plain server; the next published VM list contains it.

        :param vm: its VM.
        :param domain: letter of its failure domain.
        """
        desk = PlainServiceStandin(0.02, self.network.transport(vm))
        await self._start_server(vm, domain, DESK, desk)

    async def start_router(self, vm: str) -> None:
        """
        Start a router process on a VM.

        :param vm: its VM; the first letter is its failure domain.
        """
        self._record_router(vm)
        self.gone_vms.discard(vm)
        environment = RouterEnvironment(
            transport=self.network.transport(vm),
            source=random.Random(self._source.random()),
        )
        router = Router(self._settings(vm), environment)
        # At the default interval, polls are two thirds of the idle traffic.
        router.requests._load_reports._settings = PollSettings(interval_s=3)
        self.on_start(vm, router)
        host = self._new_host(vm, vm[0], router)
        await self.nursery.start(self._run_router, host)

    def publish_vms(self, **states_by_vm: str) -> None:
        """
        Publish the list of all VMs whose process has not ended.

        :param states_by_vm: new states of VMs that are not live.
        """
        listed = [
            record._replace(
                state=states_by_vm.get(vm.replace('-', '_'), record.state)
            )
            for vm, record in self._records_by_vm.items()
            if vm not in self.gone_vms
        ]
        for record in listed:
            self._records_by_vm[record.vm] = record
        self.platform.set_vms(*listed)

    async def wait_ready(self, vms: list[str]) -> None:
        """
        Wait until routers are ready, at most :data:`READY_S`.

        :param vms: their VMs.
        """
        with trio.fail_after(READY_S):
            for vm in vms:
                while not await self._is_ready(vm):
                    await trio.sleep(0.1)

    def kill(self, vm: str) -> None:
        """
        Kill a host, as SIGKILL does; the platform still lists it.

        :param vm: its VM.
        """
        self.run_queue.hosts.add(self.hosts_by_vm[vm].incarnation)
        self.network.kill(vm)
        self.gone_vms.add(vm)

    def freeze(self, vm: str) -> None:
        """
        Suspend a host, as SIGSTOP does.

        :param vm: its VM.
        """
        self.run_queue.hosts.add(self.hosts_by_vm[vm].incarnation)
        self.network.freeze(vm)
        self._frozen_at_by_vm[vm] = trio.current_time()

    def thaw(self, vm: str) -> None:
        """
        Resume a suspended host.

        :param vm: its VM.
        """
        frozen_s = trio.current_time() - self._frozen_at_by_vm.pop(vm)
        self.frozen_s_by_vm[vm] = self.frozen_s_by_vm.get(vm, 0) + frozen_s
        if vm not in self.gone_vms:
            self.run_queue.hosts.discard(self.hosts_by_vm[vm].incarnation)
        self.network.thaw(vm)

    def hosts_outside(self, domain: str) -> list[str]:
        """
        List the VMs of the other failure domains.

        :param domain: letter of the failure domain to exclude.
        :returns: routers and backend servers.
        """
        return [
            vm
            for vm, host in self.hosts_by_vm.items()
            if host.domain not in {'', domain}
        ]

    def cut(self, domain: str, others: list[str]) -> None:
        """
        Partition a failure domain from other hosts.

        :param domain: its letter.
        :param others: names of the other hosts.
        """
        for vm in self.vms_of(domain):
            for other in others:
                self.network.cut(vm, other)

    def join(self, domain: str, others: list[str]) -> None:
        """
        End a partition.

        :param domain: letter of the failure domain.
        :param others: names of the other hosts.
        """
        for vm in self.vms_of(domain):
            for other in others:
                self.network.join(vm, other)

    def end(self) -> None:
        """Resume all hosts and cancel all tasks of the cell."""
        self.network.heal()
        self.run_queue.hosts.clear()
        for vm in self.hosts_by_vm:
            self.network.thaw(vm)
        self.nursery.cancel_scope.cancel()

    def _put_first_bundle(self) -> None:
        held = make_bundle(1)
        objects = self.platform.core.objects
        for part_hash, part in held.parts_by_hash.items():
            objects.put(bundle.part_key(part_hash), part.body, None)
        objects.put(bundle.CURRENT_KEY, held.signed.envelope, None)

    def _new_host(self, vm: str, domain: str, part: Any) -> Host:
        self._started += 1
        incarnation = f'{vm}#{self._started}'
        host = Host(vm, incarnation, self._ip(vm), domain, part)
        self.hosts_by_vm[vm] = host
        return host

    def _ip(self, vm: str) -> str:
        number = len(self._ip_by_vm) + 1
        return self._ip_by_vm.setdefault(vm, f'10.0.0.{number}')

    async def _start_server(self, vm, domain, service, standin) -> None:
        self.on_start(vm, standin)
        host = await self._start_standin(vm, domain, standin)
        self.servers.append(host)
        self._records_by_vm[vm] = VmRecord(
            vm, 'backend', 'live', FLEET, service, DOMAINS[domain],
            'bg-south', standin.address,
        )  # fmt: skip

    async def _start_standin(self, vm, domain, standin) -> Host:
        host = self._new_host(vm, domain, standin)

        async def run(task_status):
            HOST.set(host.incarnation)
            async with trio.open_nursery() as nursery:
                await standin.start(nursery, host.ip, 80)
                task_status.started()

        await self.nursery.start(lambda task_status: run(task_status))
        return host

    def _record_router(self, vm: str) -> None:
        if vm in self._records_by_vm:
            return
        ip = self._ip(vm)
        self._records_by_vm[vm] = VmRecord(
            vm, 'router', 'live', FLEET, '', DOMAINS[vm[0]], 'bg-south',
            f'{ip}:80', f'{ip}:81', f'{ip}:82',
        )  # fmt: skip

    def _settings(self, vm: str) -> RouterSettings:
        ip = self._ip(vm)
        peers = [
            record.peer_address
            for record in self._records_by_vm.values()
            if record.role == 'router' and record.vm != vm
        ]
        return RouterSettings(
            vm=vm,
            fleet=FLEET,
            failure_domain=DOMAINS[vm[0]],
            region='bg-south',
            callers=Endpoint(ip, 80),
            peers=Endpoint(ip, 81),
            operators=Endpoint(ip, 82),
            platform=self.platform.address,
            peer_key='peer-key-of-the-matrix',
            operator_key_hash=hashlib.sha256(b'operator').hexdigest(),
            trusted_keys=TRUSTED,
            seed_peers=tuple(peers),
            heartbeat_ms=2_000,
            vm_list_ms=2_000,
            drain_limit_ms=30_000,
        )

    async def _run_router(self, host: Host, task_status) -> None:
        HOST.set(host.incarnation)
        try:
            async with trio.open_nursery() as nursery:
                await host.part.start(nursery)
                task_status.started()
                self.left_by_vm[host.vm] = await host.part.run_drain()
                nursery.cancel_scope.cancel()
        except Exception as error:
            self.crashes.append(f'{host.vm}: {error!r}')
        self.network.kill(host.vm)
        self.gone_vms.add(host.vm)

    async def _is_ready(self, vm: str) -> bool:
        request = ClientRequest(
            f'{self.hosts_by_vm[vm].ip}:82', 'GET', '/readyz'
        )
        try:
            response, _ = await self._operator_http.fetch(request)
        except HttpClientError:
            return False
        return response.status == 200
