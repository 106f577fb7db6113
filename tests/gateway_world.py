"""
tests.gateway_world
~~~~~~~~~~~~~~~~~~~

A router on loopback, with stand-ins for the store and the backend servers.
"""

import trio

from eelgrassfork.gateway.node import GatewayNode
from eelgrassfork.http_client import ClientRequest, ClientTimeouts, HttpClient
from eelgrassfork.platform import boot_file
from eelgrassfork.platform.adapter import make_adapter
from standins.metadata_store import MetadataStore
from standins.replica import Replica

SETTINGS = """
node=n1
role=router
zone=d0
ip=127.0.0.1
listen.front=127.0.0.1:{ports[0]}
listen.ready=127.0.0.1:{ports[1]}
listen.control=127.0.0.1:{ports[2]}
internalPorts={ports[3]},{ports[4]}
seeds=
provider.address={store}
provider.writesPerS=400
provider.readsPerS=2000
bounds.graceS=3
bounds.budgetSlack=58
"""
ROUTES = (
    ('look', 'idempotent', 'plain', 2),
    ('order', 'non_idempotent', 'plain', 1),
    ('match', 'streaming', 'model', 2),
    ('reply', 'streaming', 'model', 1),
)


def free_ports(count):
    """Find free TCP ports; they are assumed to be free for UDP as well."""
    sockets = []
    try:
        for _ in range(count):
            listener = trio.socket.socket()
            listener._sock.bind(('127.0.0.1', 0))
            sockets.append(listener)
        return [sock._sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def configuration(version=1, **changes):
    wire = {
        'version': version,
        'routes': [
            {
                'name': name,
                'hostname': 'Shop.example',
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 2000,
                'targetLatencyMs': 300,
                'priority': 2,
                'service': service,
                'maxAttempts': attempts,
                'streamResume': attempts > 1,
                'gapAimMs': 200,
            }
            for name, kind, service, attempts in ROUTES
        ],
        'services': [
            {'name': 'plain', 'maxConnections': 50},
            {
                'name': 'model',
                'engine': {'slots': 8, 'kvCapacity': 9000, 'stride': 4},
            },
        ],
        'limits': {},
        'tenants': [
            {'name': 'acme', 'apiKeys': ['key'], 'prepaid': 1000},
            {'name': 'big', 'apiKeys': ['bigkey'], 'prepaid': 10**9},
        ],
    }
    return {**wire, **changes}


class World:
    """
    One router with its store and backend servers.

    :ivar replicas: stand-ins for backend servers, in order of their start.
    """

    def __init__(self):
        self.store = MetadataStore()
        self.client = HttpClient()
        self.replicas = []
        self.node = None

    async def start(self, nursery, **scripts):
        """Start replicas with the scripts of each service, and the router."""
        await self.store.start(nursery, '127.0.0.1', 0)
        self.store.put('config', 'main', configuration())
        for service, service_scripts in scripts.items():
            for script in service_scripts:
                await self.add_replica(nursery, service, script)
        await self.start_node(nursery)

    async def add_replica(self, nursery, service, script):
        replica = Replica(f'i-{len(self.replicas)}', script)
        await replica.start(nursery, '127.0.0.1', 0)
        self.replicas.append(replica)
        self.register(replica, service)
        return replica

    def register(self, replica, service, **changes):
        entry = {
            'service': service,
            'address': replica.address,
            'zone': 'd0',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 5,
        }
        self.store.put('servers', replica.server_id, {**entry, **changes})

    async def start_node(self, nursery):
        ports = free_ports(5)
        ports[3:] = sorted(ports[3:])
        text = SETTINGS.format(ports=ports, store=self.store.address)
        self.settings = boot_file.parse_settings(text)
        adapter = make_adapter(self.settings)._replace(metrics_port=ports[4])
        self.node = GatewayNode(self.settings, adapter)
        await self.node.start(nursery)
        with trio.fail_after(3):
            while not self.is_settled():
                await trio.sleep(0.01)

    def is_settled(self):
        store_view = self.node._store_view
        known_servers = len(store_view.servers.entries)
        return store_view.configuration.version and known_servers == len(
            self.replicas
        )

    async def call(self, path, request_id='r1', key='key', **options):
        method = options.pop('method', 'GET')
        body = options.pop('body', b'')
        headers = [('x-request-id', request_id), ('x-request-deadline', '1500')]
        if key:
            headers.append(('api-key', key))
        headers += [
            (name.replace('_', '-'), text) for name, text in options.items()
        ]
        request = ClientRequest(
            self.settings.caller_address,
            method,
            path,
            tuple(headers),
            body,
            fresh=True,
            host='shop.example',
        )
        return await self.client.fetch(request, ClientTimeouts())


def run_world(scenario, **scripts):
    """
    Run a scenario in real time, with a new world.

    :param scenario: called with the world and a nursery.
    :param scripts: by service, a list of scripts, one per replica.
    :returns: result of the scenario.
    """

    async def main():
        world = World()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await world.start(nursery, **scripts)
                outcome = await scenario(world, nursery)
                await world.node.close()
                nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main)
