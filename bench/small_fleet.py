"""
bench.small_fleet
~~~~~~~~~~~~~~~~~

Processes of a small deployment for measurements: platform stand-in, backend
servers and routers of one fleet.
"""

import hashlib
import json
from pathlib import Path
from typing import Any, NamedTuple

import trio

from demo.processes import Processes, free_ports, run_command
from eelgrassfork.http_client import ClientRequest, HttpClient, HttpClientError

__all__ = ('FleetSize', 'LLM', 'STOCK', 'SmallFleet', 'key_of')

FLEET = 'bench'
LLM = 'llm'
STOCK = 'stock'
OPERATOR_KEY = 'bench-operator'
READY_S = 30
GRANT = 10**12
TICKS_PER_S = 100


class FleetSize(NamedTuple):
    """
    What to start.

    :param places: failure domains.
    :param routers: routers in each.
    :param engines: engine stand-ins in all.
    :param plain: plain service stand-ins in all.
    :param organisations: organisations, each with one budget.
    :param pace: factor on the engines' times.
    :param engine_slots: sequences that an engine runs at once.
    :param in_flight: requests in progress for each backend server.
    :param plain_work_ms: time of one execution of the plain service.
    :param max_in_flight: requests of one organisation at one router.
    :param model: name of the model service.
    :param plain_service: name of the plain service.
    """

    places: int = 1
    routers: int = 1
    engines: int = 1
    plain: int = 1
    organisations: int = 4
    pace: float = 1
    engine_slots: int = 64
    in_flight: int = 64
    plain_work_ms: float = 1
    max_in_flight: int = 1_000
    model: str = LLM
    plain_service: str = STOCK


def key_of(organisation: int) -> str:
    """
    Tell the key of an organisation.

    :param organisation: its number.
    :returns: the key that callers send.
    """
    return f'bench-key-{organisation}'


class SmallFleet:
    """
    The processes.

    :param directory: where settings, keys and logs go.
    :param size: what to start.
    :ivar router_addresses: callers' addresses of the routers.
    :ivar server_addresses: addresses of the engines, then of the plain
        servers.
    """

    def __init__(self, directory: Path, size: FleetSize) -> None:
        self.directory = directory
        self.size = size
        self.processes = Processes(directory)
        self.http = HttpClient()
        self.platform = ''
        self.server_addresses: list[str] = []
        self.router_addresses: list[str] = []
        self._settings: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Start all processes and wait until the routers are ready."""
        self._start_servers()
        self._write_settings()
        await self.list_vms()
        self._submit_bundle()
        await self._top_up()
        for settings in self._settings:
            self.processes.start_router(
                settings['vm'], self._path(settings), _at(settings['callers'])
            )
        with trio.fail_after(READY_S):
            for settings in self._settings:
                while not await self._is_ready(settings):
                    await trio.sleep(0.05)

    async def close(self) -> None:
        """End all processes."""
        self.processes.close()
        await self.http.close()

    @property
    def engine_addresses(self) -> list[str]:
        """Where the engines listen."""
        return self.server_addresses[: self.size.engines]

    async def set_faults(self, server: int, **faults: Any) -> None:
        """
        Change the faults of a backend server.

        :param server: index in ``server_addresses``.
        :param faults: as the stand-in takes them.
        """
        address = self.server_addresses[server]
        await self._post(address, '/admin/faults', faults)

    async def set_platform_faults(self, **faults: Any) -> None:
        """
        Change the faults of the platform.

        :param faults: as the stand-in takes them.
        """
        await self._post(self.platform, '/admin/faults', faults)

    async def platform_counters(self) -> dict[str, Any]:
        """
        Read the platform's counters.

        :returns: the counters.
        """
        request = ClientRequest(self.platform, 'GET', '/admin/counters')
        _, body = await self.http.fetch(request)
        return json.loads(body)

    def pid_of(self, router: int) -> int:
        """
        Tell the process of a router.

        :param router: its number.
        :returns: process id.
        """
        return self.processes.by_name[self._settings[router]['vm']].popen.pid

    async def list_vms(self, **states_by_vm: str) -> None:
        """
        Tell the platform which VMs there are.

        :param states_by_vm: states of VMs that are not live.
        """
        vms = [self._router_record(each) for each in self._settings]
        vms += [
            self._server_record(number)
            for number in range(len(self.server_addresses))
        ]
        for record in vms:
            record['state'] = states_by_vm.get(record['vm'], 'live')
        await self._post(self.platform, '/admin/vms', {'vms': vms})

    def _start_servers(self) -> None:
        size = self.size
        engine_options = (
            *('--model', size.model),
            *('--pace', str(size.pace)),
            *('--slots', str(size.engine_slots)),
        )
        names = []
        self.processes.start_standin('platform', 'platform')
        for number in range(size.engines):
            names.append(f'engine-{number}')
            self.processes.start_standin(names[-1], 'engine', *engine_options)
        for number in range(size.plain):
            names.append(f'plain-{number}')
            self.processes.start_standin(
                names[-1],
                'plain_service',
                *('--work-ms', str(size.plain_work_ms)),
            )
        self.platform = self.processes.wait_listening('platform')
        self.server_addresses = [
            self.processes.wait_listening(x) for x in names
        ]

    def _write_settings(self) -> None:
        key_file = self.directory / 'operator.key'
        run_command('keys', 'make', key_file)
        key_id, public_key = run_command('keys', 'list', key_file).split()[:2]
        size = self.size
        ports = iter(free_ports(3 * size.places * size.routers))
        for number in range(size.places * size.routers):
            place = number % size.places
            settings = {
                'vm': f'entry-{number}',
                'fleet': FLEET,
                'failure_domain': f'{FLEET}/place-{place}',
                'region': 'r',
                'platform': self.platform,
                'peer_key': 'bench-peer-key-of-all',
                'operator_key_hash': _sha256(OPERATOR_KEY),
                'trusted_keys': {key_id: public_key},
                'log_level': 'warning',
            }
            for listener in ('callers', 'peers', 'operators'):
                settings[listener] = {'host': '127.0.0.1', 'port': next(ports)}
            self._settings.append(settings)
            self.router_addresses.append(_at(settings['callers']))
        peers = [_at(settings['peers']) for settings in self._settings]
        for settings in self._settings:
            settings['seed_peers'] = [
                peer for peer in peers if peer != _at(settings['peers'])
            ]
            self._path(settings).write_text(json.dumps(settings))

    def _submit_bundle(self) -> None:
        sources = self.directory / 'sources'
        sources.mkdir()
        for kind, content in self._sources().items():
            (sources / f'{kind}.json').write_text(json.dumps(content))
        bundle = self.directory / 'bundle.json'
        key_file = self.directory / 'operator.key'
        run_command(
            *('bundle', 'sign', '--key', key_file, '--base', 0),
            *('--out', bundle, sources),
        )
        settings = self._path(self._settings[0])
        run_command('bundle', 'submit', '--settings', settings, bundle)

    def _sources(self) -> dict[str, Any]:
        size = self.size
        model = {
            'kind': 'model',
            'model': size.model,
            'in_flight_per_server': size.in_flight,
        }
        plain = {
            'kind': 'plain',
            'price_tokens': 20,
            'idempotent_paths': ['/thread-stock'],
            'in_flight_per_server': size.in_flight,
        }
        return {
            'fleets': {FLEET: {'ledger_shards': 4}},
            'places': {
                f'place-{number}': {'region': 'r'}
                for number in range(size.places)
            },
            'services': {size.model: model, size.plain_service: plain},
            'organisations': {
                f'shop-{number}': {
                    'budgets_by_key_hash': {_sha256(key_of(number)): 'main'},
                    'services': [size.model, size.plain_service],
                    'max_in_flight': size.max_in_flight,
                }
                for number in range(size.organisations)
            },
        }

    async def _top_up(self) -> None:
        settings = self._path(self._settings[0])
        for number in range(self.size.organisations):
            budget = f'{FLEET}/shop-{number}/main'
            await trio.to_thread.run_sync(
                run_command,
                *('budget', 'top-up', '--settings', settings, budget, GRANT),
            )

    async def _is_ready(self, settings: dict[str, Any]) -> bool:
        request = ClientRequest(_at(settings['operators']), 'GET', '/readyz')
        try:
            response, _ = await self.http.fetch(request)
        except HttpClientError:
            return False
        return response.status == 200

    async def _post(self, address: str, target: str, content: Any) -> None:
        body = json.dumps(content).encode()
        request = ClientRequest(address, 'POST', target, (), body)
        response, answer = await self.http.fetch(request)
        if response.status != 200:
            raise RuntimeError(f'{target}: {response.status} {answer!r}')

    def _path(self, settings: dict[str, Any]) -> Path:
        return self.directory / f'{settings["vm"]}.json'

    def _router_record(self, settings: dict[str, Any]) -> dict[str, str]:
        return {
            'vm': settings['vm'],
            'role': 'router',
            'fleet': FLEET,
            'service': '',
            'failure_domain': settings['failure_domain'],
            'region': 'r',
            'address': _at(settings['callers']),
            'peer_address': _at(settings['peers']),
            'operator_address': _at(settings['operators']),
        }

    def _server_record(self, number: int) -> dict[str, str]:
        is_engine = number < self.size.engines
        service = self.size.model if is_engine else self.size.plain_service
        return {
            'vm': f'server-{number}',
            'role': 'backend',
            'fleet': FLEET,
            'service': f'{FLEET}/{service}',
            'failure_domain': f'{FLEET}/place-{number % self.size.places}',
            'region': 'r',
            'address': self.server_addresses[number],
        }


def _at(endpoint: dict[str, Any]) -> str:
    return f'{endpoint["host"]}:{endpoint["port"]}'


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
