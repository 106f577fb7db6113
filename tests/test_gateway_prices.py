"""
tests.test_gateway_prices
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against events that cost less than they hold, so that an organisation
gets more than it has prepaid.
"""

import testtools
import trio

from eelgrassfork.gateway.event_relay import EventRelay
from eelgrassfork.gateway.prices import tokens_per_event
from eelgrassfork.gateway.records import Engine, Service

from .gateway_world import configuration, run_world

PROMPT = 100
ENGINE = {'slots': 8, 'kvCapacity': 9000, 'stride': 4}
PLAIN = {'name': 'plain', 'maxConnections': 50}


def moved(route_name, *services):
    """Configuration in which one route leads to the last of the services."""
    wire = configuration(2, services=[PLAIN, *services])
    for route in wire['routes']:
        if route['name'] == route_name:
            route['service'] = services[-1]['name']
    return wire


def spent_tokens(path, wire, output=40, **scripts):
    """Tokens of one request under which the configuration changes."""

    async def scenario(world, nursery):
        async def change():
            while not any(replica.runs for replica in world.replicas):
                await trio.sleep(0.005)
            world.store.put('config', 'main', wire)

        nursery.start_soon(change)
        response, _ = await world.call(
            path, method='POST', x_token_counts=f'{PROMPT},{output}'
        )
        held = world.node._credit.held
        with trio.move_on_after(1):
            while not held.unflushed('acme'):
                await trio.sleep(0.01)
        version = world.node._store_view.configuration.version
        return response.status, version, held.unflushed('acme')

    return run_world(scenario, **scripts)


class PriceTests(testtools.TestCase):
    def test_unknown_price_is_not_lower_than_any_request(self):
        # An unknown service or an invalid size counted one token an event.
        for service in (
            None,
            Service('model', '/healthz', 0, Engine(8, 9000, 0)),
            Service('model', '/healthz', 0, Engine(8, 9000, -4)),
        ):
            self.assertGreaterEqual(tokens_per_event(service), 10**9)

    def test_price_is_that_of_the_engine(self):
        engine = Engine(8, 9000, 6)
        self.assertEqual(6, tokens_per_event(Service('m', '/', 0, engine)))
        self.assertEqual(1, tokens_per_event(Service('plain', '/', 0)))

    def test_each_event_costs_the_price_of_its_own_server(self):
        # The last server's price was used for the events of all servers.
        relay = EventRelay('')
        relay.switch_server(6)
        relay.feed(b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n')
        relay.switch_server(1)
        relay.feed(b'id: 2\ndata: x\n\nid: 3\ndata: x\n\n')
        self.assertEqual(13, relay.output_tokens)


class ChangedConfigurationTests(testtools.TestCase):
    def test_service_that_is_removed_under_a_request_keeps_its_price(self):
        # Events of a service that was no longer listed cost one token each.
        wire = moved('reply', {'name': 'model-2', 'engine': ENGINE})
        self.assertEqual(
            (200, 2, PROMPT + 3 * 4),
            spent_tokens('/reply/x', wire, model=[['late+stream:3']]),
        )

    def test_engine_that_changes_under_a_request_keeps_its_price(self):
        # The events of a request cost what the new engine's events hold.
        engine = {**ENGINE, 'stride': 1}
        wire = moved('reply', {'name': 'model', 'engine': engine})
        self.assertEqual(
            (200, 2, PROMPT + 3 * 4),
            spent_tokens('/reply/x', wire, model=[['late+stream:3']]),
        )

    def test_resumed_stream_costs_the_prices_of_both_services(self):
        # The events before the interruption cost what those after it do.
        wire = moved(
            'match',
            {'name': 'model', 'engine': ENGINE},
            {'name': 'model-2', 'engine': {**ENGINE, 'stride': 1}},
        )
        scripts = {'model': [['late+torn:3']], 'model-2': [['stream:5']]}
        self.assertEqual(
            (200, 2, PROMPT + 3 * 4 + 2),
            spent_tokens('/match/x', wire, **scripts),
        )

    def test_service_without_a_known_price_costs_the_whole_output(self):
        # A route to a service that the configuration lacks was cheap.
        wire = moved('match', {'name': 'model', 'engine': ENGINE})
        for route in wire['routes']:
            if route['name'] == 'match':
                route['service'] = 'model-2'
        scripts = {'model': [['late+torn:3']], 'model-2': [['stream:5']]}
        self.assertEqual(
            (200, 2, PROMPT + 40), spent_tokens('/match/x', wire, **scripts)
        )
