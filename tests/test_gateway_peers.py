"""
tests.test_gateway_peers
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against dead or leaving routers that count as live.
"""

import testtools
import trio

from eelgrassfork.gateway.heartbeats import Heartbeat, PeerSummary
from eelgrassfork.gateway.peers import PeerTable

from .mock_clock import run


def beat(node, incarnation=1, **changes):
    heartbeat = Heartbeat(f'n{node}', f'10.0.0.{node}', incarnation, 'd0')
    return heartbeat._replace(**changes)


class PeerTableTests(testtools.TestCase):
    def test_news_age_and_are_forgotten(self):
        async def main():
            table = PeerTable()
            table.take(beat(1))
            table.mention(PeerSummary('n2', '10.0.0.2', 1, 1500, 'd0'))
            found = [[peer.node for peer in table.live(2)]]
            await trio.sleep(1)
            found.append([peer.node for peer in table.live(2)])
            await trio.sleep(61)
            table.forget()
            return [*found, list(table.by_node)]

        self.assertEqual([['n1', 'n2'], ['n1'], []], run(main))

    def test_age_below_zero_makes_nobody_live_for_longer(self):
        async def main():
            table = PeerTable()
            table.mention(PeerSummary('n1', '10.0.0.1', 1, -60_000, 'd0'))
            await trio.sleep(3)
            return table.live(2)

        self.assertEqual([], run(main))

    def test_dead_router_does_not_live_on_in_what_others_repeat(self):
        # The time that a datagram spends on its way is not in the age that it
        # tells, so that busy routers kept a dead one alive among themselves.
        async def main():
            table = PeerTable()
            table.take(beat(1, beat=7))
            for _ in range(30):
                await trio.sleep(0.1)
                table.mention(PeerSummary('n1', '10.0.0.1', 1, 50, 'd0', 7))
            silent = table.live(2)
            table.mention(PeerSummary('n1', '10.0.0.1', 1, 50, 'd0', 8))
            return silent, [peer.node for peer in table.live(2)]

        self.assertEqual(([], ['n1']), run(main))

    def test_heartbeat_that_comes_late_does_not_replace_a_newer_one(self):
        async def main():
            table = PeerTable()
            table.take(beat(1, beat=5, configuration_version=9))
            late = table.take(beat(1, beat=4, configuration_version=8))
            return late, table.by_node['n1'].heartbeat.configuration_version

        self.assertEqual((False, 9), run(main))

    def test_router_that_drains_is_neither_live_nor_mentioned(self):
        async def main():
            table = PeerTable()
            table.take(beat(1, draining=True, delay_ms=900))
            table.take(beat(2, delay_ms=30))
            sample = [known.node for known in table.sample(2, 'd0', 5)]
            return sample, table.delays_s(), len(table.with_recent_heartbeat())

        self.assertEqual((['n2'], [0.03], 2), run(main))

    def test_old_incarnation_says_nothing(self):
        async def main():
            table = PeerTable()
            table.take(beat(1, incarnation=5))
            taken = table.take(beat(1, incarnation=4, delay_ms=70))
            return taken, table.delays_s()

        self.assertEqual((False, [0]), run(main))

    def test_mentions_are_of_the_domain_that_is_told(self):
        async def main():
            table = PeerTable()
            for node in range(1, 9):
                domain = f'd{node % 2}'
                table.take(beat(node, failure_domain=domain))
            names = {known.node for known in table.sample(2, 'd1', 9)}
            return names, len(table.sample(2, '', 3))

        self.assertEqual(({'n1', 'n3', 'n5', 'n7'}, 3), run(main))
