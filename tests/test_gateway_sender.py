"""
tests.test_gateway_sender
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a slow stream that is given up for a server that it may not be
sent to.
"""

import testtools
import trio

from .gateway_world import configuration, run_world


def changed_route(**changes):
    wire = configuration(2)
    for route in wire['routes']:
        if route['name'] == 'match':
            route.update(changes)
    return wire


def slow_stream(wire, **scripts):
    """Answer to a slow stream under which the configuration changes."""

    async def scenario(world, nursery):
        async def change():
            while not any(replica.runs for replica in world.replicas):
                await trio.sleep(0.005)
            world.store.put('config', 'main', wire)

        nursery.start_soon(change)
        response, body = await world.call('/match/x', method='POST')
        runs = sum(len(replica.runs) for replica in world.replicas)
        version = world.node._store_view.configuration.version
        return response.status, version, body.count(b'id:'), runs

    return run_world(scenario, **scripts)


class SlowStreamTests(testtools.TestCase):
    def kept(self, wire):
        scripts = [['slow:4'], ['slow:4']]
        self.assertEqual((200, 2, 4, 1), slow_stream(wire, model=scripts))

    def test_stream_whose_key_is_withdrawn_is_not_given_up(self):
        # It was given up for another server, and then cut without a key.
        self.kept(configuration(2, tenants=[]))

    def test_stream_whose_route_is_removed_is_not_given_up(self):
        # It was given up for another server, and then cut without a route.
        wire = configuration(2)
        wire['routes'] = wire['routes'][:2]
        self.kept(wire)

    def test_stream_that_may_no_longer_be_resumed_is_not_given_up(self):
        # It was resumed although the route no longer allowed it.
        self.kept(changed_route(streamResume=False))

    def test_stream_whose_attempts_are_lowered_is_not_given_up(self):
        # It was sent more often than the route still allowed.
        self.kept(changed_route(maxAttempts=1))

    def test_stream_whose_route_moves_to_no_server_is_not_given_up(self):
        # It was given up for a server of the former service, and then cut.
        self.kept(changed_route(service='model-2'))

    def test_stream_is_given_up_while_its_permission_holds(self):
        # A check that always fails would keep every stream at a slow server.
        outcome = slow_stream(
            configuration(2), model=[['slow:9', 'stream:4']] * 2
        )
        self.assertEqual((200, 2, 4, 2), outcome)
