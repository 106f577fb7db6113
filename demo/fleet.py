"""
demo.fleet
~~~~~~~~~~

Small deployment of both fleets: platform, backend servers, eight routers.
"""

import hashlib
import json
from pathlib import Path
from typing import Any, NamedTuple

import trio

from demo.processes import Processes, free_ports, run_command
from eelgrassfork.http_client import ClientRequest, HttpClient, HttpClientError
from eelgrassfork.json_comments import read_document

__all__ = ('Fleet', 'DemoRouter', 'Server')

EXAMPLES = Path(__file__).parent.parent / 'examples'
OPERATOR_KEY = 'demo-operator'
PEER_KEY = 'demo-peer-key-of-both'
READY_S = 20


class Server(NamedTuple):
    """One backend server of the demo."""

    service: str
    failure_domain: str
    module: str
    options: tuple[str, ...] = ()


class DemoRouter(NamedTuple):
    """One router of the demo with its settings file and addresses."""

    vm: str
    failure_domain: str
    settings: Path
    callers: str
    peers: str
    operators: str


_PACE = ('--pace', '0.05')
_MATCHER = ('--model', 'matcher', *_PACE)
_LLM = ('--model', 'eelgrass-llm', '--checks-fencing', *_PACE)

SERVERS = (
    Server('pazlen/matcher', 'pazlen/plovdiv-a', 'engine', _MATCHER),
    Server('pazlen/matcher', 'pazlen/haskovo', 'engine', _MATCHER),
    Server('pazlen/shopdesk', 'pazlen/plovdiv-b', 'plain_service'),
    Server('pazlen/shopdesk', 'pazlen/stara-zagora', 'plain_service'),
    Server(
        'threadlantern/eelgrass-llm', 'threadlantern/kandy-a', 'engine', _LLM
    ),
    Server(
        'threadlantern/eelgrass-llm', 'threadlantern/matale-a', 'engine', _LLM
    ),
    Server('threadlantern/shopdesk', 'threadlantern/kandy-b', 'engine', _LLM),
    Server(
        'threadlantern/robe-orders', 'threadlantern/kandy-b', 'plain_service'
    ),
    Server(
        'threadlantern/robe-orders', 'threadlantern/matale-b', 'plain_service'
    ),
)


class Fleet:
    """
    Processes of both fleets.

    :param directory: directory for settings, keys and logs.
    :param settings_overrides: settings that replace those of the examples, in
        all routers.
    """

    def __init__(
        self, directory: Path, settings_overrides: dict[str, Any] | None = None
    ) -> None:
        self.directory = directory
        self.processes = Processes(directory)
        self.http = HttpClient()
        self.platform = ''
        self.addresses_by_server: dict[str, str] = {}
        self.routers_by_domain: dict[str, DemoRouter] = {}
        self._settings_overrides = settings_overrides or {}

    async def start(self) -> None:
        """Start all processes and wait until the routers are ready."""
        self.processes.start_standin('platform', 'platform')
        for number, server in enumerate(SERVERS):
            self.processes.start_standin(
                f'server-{number}', server.module, *server.options
            )
        self.platform = self.processes.wait_listening('platform')
        for number in range(len(SERVERS)):
            name = f'server-{number}'
            self.addresses_by_server[name] = self.processes.wait_listening(name)
        self._write_settings()
        await self.list_vms()
        self.submit_bundle(1)
        for router in self.routers_by_domain.values():
            self.processes.start_router(
                router.vm, router.settings, router.callers
            )
        await self.wait_ready()

    async def close(self) -> None:
        """End all processes."""
        self.processes.close()
        await self.http.close()

    @property
    def operator_settings(self) -> Path:
        """Settings file used for operators' commands."""
        return next(iter(self.routers_by_domain.values())).settings

    async def list_vms(self, **states_by_vm: str) -> None:
        """
        Replace the VM list of the platform.

        :param states_by_vm: states of the VMs that are not live.
        """
        vms = [*self._router_records(), *self._server_records()]
        for record in vms:
            record['state'] = states_by_vm.get(record['vm'], 'live')
        body = json.dumps({'vms': vms}).encode()
        await self.fetch(self.platform, 'POST', '/admin/vms', body)

    def submit_bundle(self, version: int) -> None:
        """
        Sign and submit a bundle of the example sources of both fleets.

        :param version: version of the bundle.
        """
        bundle = self.directory / f'bundle-{version}.json'
        run_command(
            'bundle',
            'sign',
            '--key',
            self.directory / 'operator.key',
            '--base',
            version - 1,
            '--out',
            bundle,
            EXAMPLES / 'pazlen' / 'bundle',
            EXAMPLES / 'threadlantern' / 'bundle',
        )
        run_command(
            'bundle', 'submit', '--settings', self.operator_settings, bundle
        )

    async def top_up(self, tokens_by_budget: dict[str, int]) -> None:
        """
        Top up budgets with the operators' command.

        :param tokens_by_budget: tokens by ``fleet/organisation/budget``.
        """
        async with trio.open_nursery() as nursery:
            for budget, tokens in tokens_by_budget.items():
                nursery.start_soon(self._top_up, budget, tokens)

    async def _top_up(self, budget: str, tokens: int) -> None:
        await trio.to_thread.run_sync(
            run_command,
            'budget',
            'top-up',
            '--settings',
            self.operator_settings,
            budget,
            tokens,
        )

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> tuple[int, dict[str, str], bytes]:
        """
        Send a request.

        :returns: status, headers by name, and body.
        """
        request = ClientRequest(address, method, target, headers, body)
        response, answer = await self.http.fetch(request)
        return response.status, response.headers_by_name, answer

    async def wait_ready(self) -> None:
        """Wait until all routers are ready, for at most ``READY_S``."""
        with trio.fail_after(READY_S):
            for router in self.routers_by_domain.values():
                while not await self._is_ready(router):
                    await trio.sleep(0.05)

    async def _is_ready(self, router: DemoRouter) -> bool:
        try:
            status, _, _ = await self.fetch(router.operators, 'GET', '/readyz')
        except HttpClientError:
            return False
        return status == 200

    def _write_settings(self) -> None:
        key_file = self.directory / 'operator.key'
        run_command('keys', 'make', key_file)
        key_id, public_key = run_command('keys', 'list', key_file).split()[:2]
        examples = sorted(EXAMPLES.glob('*/router-*.json'))
        ports = iter(free_ports(3 * len(examples)))
        for example in examples:
            settings = {
                **read_document(str(example)).content,
                **self._settings_overrides,
            }
            for listener in ('callers', 'peers', 'operators'):
                settings[listener] = {'host': '127.0.0.1', 'port': next(ports)}
            settings['platform'] = self.platform
            settings['statsd'] = None
            settings['peer_key'] = PEER_KEY
            settings['operator_key_hash'] = hashlib.sha256(
                OPERATOR_KEY.encode()
            ).hexdigest()
            settings['trusted_keys'] = {key_id: public_key}
            path = self.directory / example.name
            self._add_router(path, settings)
        self._write_seed_peers()

    def _add_router(self, path: Path, settings: dict[str, Any]) -> None:
        addresses = {
            name: '{host}:{port}'.format(**settings[name])
            for name in ('callers', 'peers', 'operators')
        }
        domain = settings['failure_domain']
        self.routers_by_domain[domain] = DemoRouter(
            settings['vm'], domain, path, **addresses
        )
        path.write_text(json.dumps(settings))

    def _write_seed_peers(self) -> None:
        peers = [each.peers for each in self.routers_by_domain.values()]
        for router in self.routers_by_domain.values():
            settings = json.loads(router.settings.read_text())
            settings['seed_peers'] = [
                peer for peer in peers if peer != router.peers
            ]
            router.settings.write_text(json.dumps(settings))

    def _router_records(self) -> list[dict[str, str]]:
        return [
            {
                'vm': router.vm,
                'role': 'router',
                'fleet': router.failure_domain.partition('/')[0],
                'service': '',
                'failure_domain': router.failure_domain,
                'region': 'demo',
                'address': router.callers,
                'peer_address': router.peers,
                'operator_address': router.operators,
            }
            for router in self.routers_by_domain.values()
        ]

    def _server_records(self) -> list[dict[str, str]]:
        return [
            {
                'vm': f'server-{number}',
                'role': 'backend',
                'fleet': server.service.partition('/')[0],
                'service': server.service,
                'failure_domain': server.failure_domain,
                'region': 'demo',
                'address': self.addresses_by_server[f'server-{number}'],
            }
            for number, server in enumerate(SERVERS)
        ]
