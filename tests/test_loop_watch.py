"""
tests.test_loop_watch
~~~~~~~~~~~~~~~~~~~~~

Guards against a stalled event loop that nobody sees.
"""

import testtools
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from eelgrassfork.loop_watch import LoopDelayMonitor


class LoopWatchTests(testtools.TestCase):
    def test_stall_is_noted_once(self):
        clock = MockClock()

        async def main():
            watch = LoopDelayMonitor()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await wait_all_tasks_blocked()
                clock.jump(0.5)
                await wait_all_tasks_blocked()
                clock.jump(0.1)
                await wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return [round(watch.pop_max_delay_ms()) for _ in range(2)]

        self.assertEqual([400, 0], trio.run(main, clock=clock))

    def test_mean_shows_work_that_blocks_the_loop_and_passes(self):
        clock = MockClock()

        async def main():
            watch = LoopDelayMonitor()
            means = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await wait_all_tasks_blocked()
                # Work that keeps the loop for 50 ms in each step, then none.
                for step_s in (0.15, 0.1):
                    for _ in range(10):
                        clock.jump(step_s)
                        await wait_all_tasks_blocked()
                    means.append(round(watch.mean_delay_s, 3))
                nursery.cancel_scope.cancel()
            return means

        self.assertEqual([0.05, 0], trio.run(main, clock=clock))
