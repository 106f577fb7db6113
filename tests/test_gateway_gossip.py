"""
tests.test_gateway_gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that do not find each other, and against wrong trust in
dead routers and clocks.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.gossip import Gossip, open_udp
from eelgrassfork.gateway.heartbeats import (
    Heartbeat,
    LimitNotice,
    PeerSummary,
)
from eelgrassfork.gateway.roster import NodeIdentity

PORT = 17207


def make_heartbeat(node, domain='d0', **changes):
    ip = f'127.0.7.{node}'
    return Heartbeat(f'n{node}', ip, 1, domain)._replace(**changes)


class Router:
    def __init__(self, node, domain='d0', **changes):
        self.own = make_heartbeat(node, domain, **changes)
        self.received = []
        identity = NodeIdentity(
            self.own.node, self.own.ip, self.own.failure_domain
        )
        self.gossip = Gossip(
            identity, PORT, lambda: self.own, self.received.append
        )
        self.roster = self.gossip.roster
        self.roster.draining = self.own.draining


def run(scenario, *routers):
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for router in routers:
                    router.gossip.add_seeds(('127.0.7.1',))
                    await router.gossip.start(nursery)
                result = await scenario()
                for router in routers:
                    router.gossip.close()
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


class GossipTests(testtools.TestCase):
    def test_routers_find_each_other_through_one_seed(self):
        routers = [Router(1), Router(2), Router(3, 'd1')]

        async def scenario():
            await trio.sleep(0.9)
            return [
                sorted(peer.node for peer in router.roster.live())
                for router in routers
            ]

        self.assertEqual(
            [['n2', 'n3'], ['n1', 'n3'], ['n1', 'n2']], run(scenario, *routers)
        )

    def test_routers_agree_on_one_keeper_per_failure_domain(self):
        routers = [Router(1), Router(2), Router(3, 'd1')]

        async def scenario():
            await trio.sleep(0.9)
            return [
                [
                    peer.node if peer else router.own.node
                    for peer in router.roster.keepers()
                ]
                for router in routers
            ]

        keepers = run(scenario, *routers)
        self.assertEqual(keepers[0], keepers[1])
        self.assertEqual(['n3', keepers[0][0]], keepers[2])

    def test_isolated_router_draws_only_its_share_of_credit(self):
        router = Router(1)

        async def scenario():
            for number in range(2, 92):
                other = make_heartbeat(number, f'd{number % 5}')
                router.gossip._handle_datagram(msgspec.msgpack.encode(other))
            connected = router.roster.count_keepers()
            await trio.sleep(3)
            return connected, router.roster.count_keepers()

        self.assertEqual((5, 91), run(scenario, router))

    def test_draining_router_is_no_keeper(self):
        routers = [Router(1), Router(2, draining=True)]

        async def scenario():
            await trio.sleep(0.6)
            return [router.roster.keepers() for router in routers]

        keepers = run(scenario, *routers)
        self.assertEqual([None], keepers[0])
        self.assertEqual('n1', keepers[1][0].node)

    def test_loss_of_all_other_domains_is_detected(self):
        routers = [Router(1), Router(2), Router(3, 'd1')]

        async def scenario():
            await trio.sleep(0.7)
            before = routers[0].roster.is_partitioned
            routers[2].gossip.close()
            await trio.sleep(1.3)
            return before, routers[0].roster.is_partitioned

        self.assertEqual((False, True), run(scenario, *routers))

    def test_one_wrong_clock_does_not_change_fleet_time(self):
        router = Router(1)

        async def scenario():
            now_ms = router.gossip.fleet_time().unix_ms
            for node, skew_ms in ((2, 0), (3, 10), (4, 90_000), (5, -5)):
                router.gossip._handle_datagram(
                    msgspec.msgpack.encode(
                        make_heartbeat(node, unix_ms=now_ms + skew_ms)
                    ),
                )
            fleet_time = router.gossip.fleet_time()
            return fleet_time.clocks, abs(fleet_time.unix_ms - now_ms)

        clocks, error_ms = run(scenario, router)
        self.assertEqual(5, clocks)
        self.assertLess(error_ms, 1000)

    def test_heartbeats_of_a_former_incarnation_are_ignored(self):
        router = Router(1)

        async def scenario():
            for incarnation, version in ((5, 7), (4, 9)):
                router.gossip._handle_datagram(
                    msgspec.msgpack.encode(
                        make_heartbeat(
                            2,
                            incarnation=incarnation,
                            configuration_version=version,
                        ),
                    ),
                )
            return router.received

        received = run(scenario, router)
        self.assertEqual([7], [one.configuration_version for one in received])

    def test_limits_of_servers_reach_other_routers(self):
        first, second = Router(1), Router(2)
        notices = (LimitNotice('s1', 5, 3, 1.5, 20),)
        first.gossip.reports.get_limits = lambda: notices
        reports = []
        second.gossip.reports.on_limits = lambda *report: reports.append(report)

        async def scenario():
            await trio.sleep(0.4)

        run(scenario, first, second)
        self.assertIn((notices, 'n1'), reports)

    def test_malformed_datagrams_are_dropped(self):
        router = Router(1)

        async def scenario():
            for body in (b'', b'\xff', b'\x93\x01\x02\x03', b'x' * 2000):
                router.gossip._handle_datagram(body)
            return router.roster.live()

        self.assertEqual([], run(scenario, router))

    def test_summary_of_the_router_itself_adds_no_peer(self):
        router = Router(1)

        async def scenario():
            others = (PeerSummary('n1', '127.0.7.1', 1, 0),)
            router.gossip._handle_datagram(
                msgspec.msgpack.encode(make_heartbeat(2, others=others))
            )
            return [peer.node for peer in router.roster.live()]

        self.assertEqual(['n2'], run(scenario, router))


class BusyTests(testtools.TestCase):
    def test_pending_heartbeats_are_read_in_one_loop_iteration(self):
        # A busy router read one per loop iteration and fell behind by seconds.
        router = Router(1)

        async def scenario():
            sender = open_udp('127.0.7.99', PORT)
            for number in range(2, 42):
                body = msgspec.msgpack.encode(make_heartbeat(number))
                sender.send(body, ('127.0.7.1', PORT))
            for _ in range(8):
                await trio.lowlevel.checkpoint()
            sender.close()
            return len(router.received)

        self.assertEqual(40, run(scenario, router))
