"""
tests.test_loop_watch
~~~~~~~~~~~~~~~~~~~~~

Guards against stalls of the event loop that go unnoticed.
"""

import testtools
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from eelgrassfork.loop_watch import LoopDelayMonitor


class LoopDelayMonitorTests(testtools.TestCase):
    def test_stall_is_reported_once(self):
        clock = MockClock()

        async def main():
            monitor = LoopDelayMonitor()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(monitor.run)
                await wait_all_tasks_blocked()
                clock.jump(0.5)
                await wait_all_tasks_blocked()
                clock.jump(0.1)
                await wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return [round(monitor.pop_max_delay_ms()) for _ in range(2)]

        self.assertEqual([400, 0], trio.run(main, clock=clock))

    def test_mean_rises_while_the_loop_is_blocked_and_falls_again(self):
        clock = MockClock()

        async def main():
            monitor = LoopDelayMonitor()
            means = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(monitor.run)
                await wait_all_tasks_blocked()
                # Tasks block the loop for 50 ms in each step, then not at all.
                for step_s in (0.15, 0.1):
                    for _ in range(10):
                        clock.jump(step_s)
                        await wait_all_tasks_blocked()
                    means.append(round(monitor.mean_delay_s, 3))
                nursery.cancel_scope.cancel()
            return means

        self.assertEqual([0.05, 0], trio.run(main, clock=clock))
