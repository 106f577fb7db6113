"""
tests.test_gateway_link_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a full network link that its router does not notice.
"""

import testtools
import trio

from eelgrassfork.gateway.link_load import LinkMonitor

from .gateway_world import run_world
from .mock_clock import run

LINK_MBPS = 5


class LinkMonitorTests(testtools.TestCase):
    def measure(self, bytes_per_s, seconds, link_mbps=LINK_MBPS):
        async def main():
            started_at = trio.current_time()
            monitor = LinkMonitor(
                lambda: int((trio.current_time() - started_at) * bytes_per_s),
                link_mbps,
            )
            with trio.move_on_after(seconds):
                await monitor.run()
            return monitor.utilisation

        return run(main)

    def test_full_link_is_noticed_within_a_second(self):
        self.assertGreater(self.measure(600_000, 1), 0.95)

    def test_quiet_link_is_not_busy(self):
        self.assertLess(self.measure(60_000, 5), 0.15)

    def test_unknown_bandwidth_is_never_busy(self):
        self.assertEqual(0, self.measure(600_000, 1, link_mbps=0))

    def test_requests_that_go_on_to_servers_count(self):
        async def main():
            monitor = LinkMonitor(int, LINK_MBPS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(monitor.run)
                for _ in range(100):
                    monitor.add_request(9200)
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            return monitor.utilisation

        self.assertGreater(run(main), 0.8)

    def test_link_counts_only_where_the_settings_call_for_it(self):
        # Heartbeats of other deployments reported the delay of the link.
        async def scenario(world, nursery):
            await trio.lowlevel.checkpoint()
            world.node._link.add_request(10_000_000)
            await trio.sleep(0.3)
            return world.node._link.utilisation

        self.assertEqual(0, run_world(scenario))
