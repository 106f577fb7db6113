"""
tests.test_gateway_peer_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that lag behind their peers, or overload one of them.
"""

from collections import Counter, defaultdict

import msgspec
import testtools
import trio

from eelgrassfork.errors import EelgrassError
from eelgrassfork.gateway.follower import StoreView
from eelgrassfork.gateway.heartbeats import Heartbeat
from eelgrassfork.gateway.packing import pack
from eelgrassfork.gateway.peer_exchange import PeerExchange
from eelgrassfork.gateway.peers import Peer
from eelgrassfork.gateway.server_records import ServerRecord, ServerRecords
from eelgrassfork.platform import boot_file

from .gateway_world import configuration
from .mock_clock import run
from .test_gateway_follower import DECODERS
from .test_platform_boot_file import TEXT


class FakeGossip:
    def __init__(self, versions, free=()):
        self.known = []
        for index, version in enumerate(versions):
            peer = Peer(f'n{index}', f'10.0.0.{index}', 1)
            peer.heartbeat = Heartbeat(
                peer.node,
                peer.ip,
                1,
                'd0',
                configuration_version=version,
                free_by_organisation={'a': free[index]} if free else {},
            )
            self.known.append(peer)

    @property
    def peers(self):
        return self

    def with_recent_heartbeat(self):
        return self.known

    def keepers(self):
        return [self.known[0]] if self.known else [None]


class FakeClient:
    """Answers for all peers, and records the requests."""

    def __init__(self, answers_by_path):
        self.answers_by_path = answers_by_path
        self.called_addresses = []
        self.targets = []
        self.down = False
        self.error = None

    async def fetch(self, request, timeouts=None):
        await trio.lowlevel.checkpoint()
        self.called_addresses.append(request.address)
        self.timeouts = timeouts
        self.targets.append(request.target)
        if self.down:
            raise EelgrassError('connection_silent', 'no answer')
        if self.error is not None:
            raise self.error

        class Answer:
            status = 200

        return Answer, self.answers_by_path[request.target]


class Call:
    def __init__(self, path, body=b''):
        self.path = path
        self.body = body
        self.query_by_name = {}
        self.answer = None

    async def respond(self, status, body, headers):
        self.answer = body


def make(client, gossip):
    store_view = StoreView(DECODERS, lambda: None)
    settings = boot_file.parse_settings(TEXT)
    return PeerExchange(client, gossip, store_view, settings), store_view


class CatchUpTests(testtools.TestCase):
    def newest(self):
        return {
            '/peer/v1/configuration': pack(
                msgspec.json.encode(configuration(9))
            ),
            '/peer/v1/servers': msgspec.msgpack.encode([]),
        }

    def test_pulls_of_ninety_routers_are_spread_over_peers(self):
        async def main():
            called_addresses = Counter()
            for _ in range(90):
                client = FakeClient(self.newest())
                exchange, store_view = make(
                    client, FakeGossip([9] * 10 + [8] * 5)
                )
                await exchange._catch_up_configuration()
                called_addresses.update(client.called_addresses)
                self.assertEqual(9, store_view.configuration.version)
            return called_addresses

        called_addresses = run(main)
        self.assertEqual(90, sum(called_addresses.values()))
        self.assertLess(max(called_addresses.values()), 30)

    def test_store_is_read_if_peers_do_not_answer(self):
        async def main():
            client = FakeClient({})
            client.down = True
            exchange, store_view = make(client, FakeGossip([9]))

            async def reread():
                await trio.lowlevel.checkpoint()
                store_view.apply_configuration(
                    msgspec.json.encode(configuration(9)), 'store'
                )

            exchange.reread = reread
            return await exchange._catch_up_configuration()

        self.assertTrue(run(main))

    def test_timeouts_grow_with_the_delay_of_the_event_loop(self):
        # On a busy router an iteration of the event loop exceeds the connect
        # time-out, so that calls failed although the peers had answered.
        async def main():
            client = FakeClient(self.newest())
            exchange, _ = make(client, FakeGossip([9]))
            exchange.loop_delay_s = lambda: 0.2
            await exchange._catch_up_configuration()
            return client.timeouts

        timeouts = run(main)
        self.assertGreater(timeouts.connect_s, 1)
        self.assertGreater(timeouts.first_byte_s, 1.2)

    def test_invalid_configuration_bytes_are_ignored(self):
        async def main():
            client = FakeClient({'/peer/v1/configuration': b'{"version":9}'})
            exchange, store_view = make(client, FakeGossip([9]))
            done = await exchange._catch_up_configuration()
            return done, store_view.configuration.version

        self.assertEqual((False, 0), run(main))

    def pulled_targets(self, own_revisions, peer_revisions):
        """Return the targets that a router pulls, given known revisions."""

        async def main():
            client = FakeClient(defaultdict(lambda: msgspec.msgpack.encode([])))
            gossip = FakeGossip([0])
            other = ServerRecords()
            for revision in peer_revisions:
                other.put(ServerRecord(f's{revision}', revision, False, b''))
            gossip.known[0].heartbeat = gossip.known[0].heartbeat._replace(
                servers_revision=other.newest, servers_digest=other.digest
            )
            exchange, store_view = make(client, gossip)
            store_view.apply_server_records(
                [
                    ServerRecord(
                        f's{known_revision}', known_revision, False, b''
                    )
                    for known_revision in own_revisions
                ],
                '',
            )
            await exchange._catch_up()
            return client.targets

        return run(main)

    def test_only_newer_records_of_servers_are_pulled(self):
        self.assertEqual(
            ['/peer/v1/servers?after=4'], self.pulled_targets([3, 4], [3, 4, 5])
        )

    def test_nothing_is_pulled_from_a_peer_that_is_behind(self):
        self.assertEqual([], self.pulled_targets([3, 4, 5], [3, 4]))

    def test_record_missed_before_is_found_by_the_digest(self):
        self.assertEqual(['/peer/v1/servers'], self.pulled_targets([5], [3, 5]))

    def test_failed_pull_is_reported(self):
        async def main():
            client = FakeClient({})
            client.down = True
            exchange, _ = make(client, FakeGossip([9]))
            failures = []
            exchange.on_failure = lambda: failures.append(1)
            await exchange._catch_up()
            return failures

        self.assertEqual([1], run(main))

    def test_newer_state_is_pulled_once_scheduled(self):
        async def main():
            client = FakeClient(self.newest())
            exchange, store_view = make(client, FakeGossip([9]))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.run)
                exchange.schedule_pull()
                await trio.sleep(0.2)
                nursery.cancel_scope.cancel()
            return store_view.configuration.version

        self.assertEqual(9, run(main))


class ServingTests(testtools.TestCase):
    def test_serves_records_of_servers(self):
        exchange, store_view = make(FakeClient({}), FakeGossip([]))
        record = ServerRecord('s1', 4, True, b'')
        call = Call('/peer/v1/servers')

        async def main():
            store_view.apply_server_records([record], 'store')
            await exchange.serve(call)

        run(main)
        self.assertEqual(
            [record],
            msgspec.msgpack.decode(call.answer, type=list[ServerRecord]),
        )
