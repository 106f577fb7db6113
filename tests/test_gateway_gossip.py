"""
tests.test_gateway_gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that lose each other, or trust dead ones and bad clocks.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.gossip import Gossip, open_udp
from eelgrassfork.gateway.heartbeats import Heartbeat, PeerSummary
from eelgrassfork.gateway.roster import NodeIdentity

PORT = 17207


def heartbeat(node, domain='d0', **changes):
    ip = f'127.0.7.{node}'
    return Heartbeat(f'n{node}', ip, 1, domain)._replace(**changes)


class Router:
    def __init__(self, node, domain='d0', **changes):
        self.own = heartbeat(node, domain, **changes)
        self.heard = []
        place = NodeIdentity(
            self.own.node, self.own.ip, self.own.failure_domain
        )
        self.gossip = Gossip(place, PORT, lambda: self.own, self.heard.append)
        self.roster = self.gossip.roster
        self.roster.draining = self.own.draining


def run(scenario, *routers):
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for router in routers:
                    router.gossip.add_seeds(('127.0.7.1',))
                    await router.gossip.start(nursery)
                found = await scenario()
                for router in routers:
                    router.gossip.close()
                nursery.cancel_scope.cancel()
        return found

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

    def test_routers_agree_on_one_keeper_a_failure_domain(self):
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

    def test_each_of_many_that_hear_nobody_draws_its_share(self):
        router = Router(1)

        async def scenario():
            for number in range(2, 92):
                other = heartbeat(number, f'd{number % 5}')
                router.gossip._take(msgspec.msgpack.encode(other))
            whole = router.roster.count_keepers()
            await trio.sleep(3)
            return whole, router.roster.count_keepers()

        self.assertEqual((5, 91), run(scenario, router))

    def test_draining_router_keeps_no_credit_for_others(self):
        routers = [Router(1), Router(2, draining=True)]

        async def scenario():
            await trio.sleep(0.6)
            return [router.roster.keepers() for router in routers]

        keepers = run(scenario, *routers)
        self.assertEqual([None], keepers[0])
        self.assertEqual('n1', keepers[1][0].node)

    def test_silence_of_all_other_domains_is_noticed(self):
        routers = [Router(1), Router(2), Router(3, 'd1')]

        async def scenario():
            await trio.sleep(0.7)
            before = routers[0].roster.is_partitioned
            routers[2].gossip.close()
            await trio.sleep(1.3)
            return before, routers[0].roster.is_partitioned

        self.assertEqual((False, True), run(scenario, *routers))

    def test_one_wrong_clock_does_not_move_the_fleet(self):
        router = Router(1)

        async def scenario():
            now_ms = router.gossip.fleet_time().unix_ms
            for node, skew_ms in ((2, 0), (3, 10), (4, 90_000), (5, -5)):
                router.gossip._take(
                    msgspec.msgpack.encode(
                        heartbeat(node, unix_ms=now_ms + skew_ms)
                    ),
                )
            fleet = router.gossip.fleet_time()
            return fleet.clocks, abs(fleet.unix_ms - now_ms)

        clocks, off_ms = run(scenario, router)
        self.assertEqual(5, clocks)
        self.assertLess(off_ms, 1000)

    def test_former_incarnation_does_not_speak_for_the_new_one(self):
        router = Router(1)

        async def scenario():
            for incarnation, version in ((5, 7), (4, 9)):
                router.gossip._take(
                    msgspec.msgpack.encode(
                        heartbeat(
                            2,
                            incarnation=incarnation,
                            configuration_version=version,
                        ),
                    ),
                )
            return router.heard

        heard = run(scenario, router)
        self.assertEqual([7], [one.configuration_version for one in heard])

    def test_bytes_of_any_form_are_survived(self):
        router = Router(1)

        async def scenario():
            for body in (b'', b'\xff', b'\x93\x01\x02\x03', b'x' * 2000):
                router.gossip._take(body)
            return router.roster.live()

        self.assertEqual([], run(scenario, router))

    def test_mention_of_this_router_adds_no_peer(self):
        router = Router(1)

        async def scenario():
            others = (PeerSummary('n1', '127.0.7.1', 1, 0),)
            router.gossip._take(
                msgspec.msgpack.encode(heartbeat(2, others=others))
            )
            return [peer.node for peer in router.roster.live()]

        self.assertEqual(['n2'], run(scenario, router))


class BusyTests(testtools.TestCase):
    def test_heartbeats_that_wait_are_taken_in_one_turn_of_the_loop(self):
        # A busy router took one a turn, and fell behind by seconds.
        router = Router(1)

        async def scenario():
            sender = open_udp('127.0.7.99', PORT)
            for number in range(2, 42):
                body = msgspec.msgpack.encode(heartbeat(number))
                sender.send(body, ('127.0.7.1', PORT))
            for _ in range(8):
                await trio.lowlevel.checkpoint()
            sender.close()
            return len(router.heard)

        self.assertEqual(40, run(scenario, router))
