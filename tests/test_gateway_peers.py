"""
tests.test_gateway_peers
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against dead or draining routers that count as live.
"""

import testtools
import trio

from eelgrassfork.gateway.heartbeats import Heartbeat, PeerSummary
from eelgrassfork.gateway.peers import PeerTable

from .mock_clock import run


def make_heartbeat(node, incarnation=1, **changes):
    heartbeat = Heartbeat(f'n{node}', f'10.0.0.{node}', incarnation, 'd0')
    return heartbeat._replace(**changes)


class PeerTableTests(testtools.TestCase):
    def test_peers_time_out_and_expire(self):
        async def main():
            table = PeerTable()
            table.apply_heartbeat(make_heartbeat(1))
            table.merge_summary(PeerSummary('n2', '10.0.0.2', 1, 1500, 'd0'))
            found = [[peer.node for peer in table.live(2)]]
            await trio.sleep(1)
            found.append([peer.node for peer in table.live(2)])
            await trio.sleep(61)
            table.remove_expired()
            return [*found, list(table.by_node)]

        self.assertEqual([['n1', 'n2'], ['n1'], []], run(main))

    def test_negative_age_does_not_extend_liveness(self):
        async def main():
            table = PeerTable()
            table.merge_summary(PeerSummary('n1', '10.0.0.1', 1, -60_000, 'd0'))
            await trio.sleep(3)
            return table.live(2)

        self.assertEqual([], run(main))

    def test_repeated_summaries_do_not_keep_a_dead_router_live(self):
        # Reported ages exclude time in transit, so busy routers that relayed
        # the same summaries to each other kept a dead router live.
        async def main():
            table = PeerTable()
            table.apply_heartbeat(make_heartbeat(1, sequence=7))
            for _ in range(30):
                await trio.sleep(0.1)
                table.merge_summary(
                    PeerSummary('n1', '10.0.0.1', 1, 50, 'd0', 7)
                )
            live_before = table.live(2)
            table.merge_summary(PeerSummary('n1', '10.0.0.1', 1, 50, 'd0', 8))
            return live_before, [peer.node for peer in table.live(2)]

        self.assertEqual(([], ['n1']), run(main))

    def test_late_heartbeat_does_not_replace_a_newer_one(self):
        async def main():
            table = PeerTable()
            table.apply_heartbeat(
                make_heartbeat(1, sequence=5, configuration_version=9)
            )
            late = table.apply_heartbeat(
                make_heartbeat(1, sequence=4, configuration_version=8)
            )
            return late, table.by_node['n1'].heartbeat.configuration_version

        self.assertEqual((False, 9), run(main))

    def test_draining_router_is_neither_live_nor_sampled(self):
        async def main():
            table = PeerTable()
            table.apply_heartbeat(
                make_heartbeat(1, draining=True, delay_ms=900)
            )
            table.apply_heartbeat(make_heartbeat(2, delay_ms=30))
            sample = [summary.node for summary in table.sample(2, 'd0', 5)]
            return sample, table.delays_s(), len(table.with_recent_heartbeat())

        self.assertEqual((['n2'], [0.03], 2), run(main))

    def test_heartbeat_of_an_old_incarnation_is_ignored(self):
        async def main():
            table = PeerTable()
            table.apply_heartbeat(make_heartbeat(1, incarnation=5))
            applied = table.apply_heartbeat(
                make_heartbeat(1, incarnation=4, delay_ms=70)
            )
            return applied, table.delays_s()

        self.assertEqual((False, [0]), run(main))

    def test_sample_is_limited_to_the_given_domain(self):
        async def main():
            table = PeerTable()
            for node in range(1, 9):
                domain = f'd{node % 2}'
                table.apply_heartbeat(
                    make_heartbeat(node, failure_domain=domain)
                )
            names = {summary.node for summary in table.sample(2, 'd1', 9)}
            return names, len(table.sample(2, '', 3))

        self.assertEqual(({'n1', 'n3', 'n5', 'n7'}, 3), run(main))
