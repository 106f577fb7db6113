"""
tests.test_gateway_loop_delay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a router that does not notice how far it is behind.
"""

import time

import testtools
import trio

from eelgrassfork.gateway.loop_delay import LoopDelay


class LoopDelayTests(testtools.TestCase):
    def test_work_that_blocks_the_loop_shows_and_passes(self):
        async def block():
            for _ in range(10):
                # Work of requests that keep the loop for so long each.
                time.sleep(0.05)
                await trio.lowlevel.checkpoint()

        async def main():
            delay = LoopDelay()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(delay.run)
                await trio.sleep(0.3)
                idle_s = delay.delay_s
                await block()
                busy_s = delay.delay_s
                await trio.sleep(1.5)
                nursery.cancel_scope.cancel()
            return idle_s, busy_s, delay.delay_s

        idle_s, busy_s, after_s = trio.run(main)
        self.assertGreater(busy_s, 2 * idle_s + 0.005)
        self.assertLess(after_s, busy_s / 2)
