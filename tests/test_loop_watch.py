"""
tests.test_loop_watch
~~~~~~~~~~~~~~~~~~~~~

Guards against a stalled event loop that nobody sees.
"""

import testtools
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from eelgrassfork.loop_watch import LoopWatch


class LoopWatchTests(testtools.TestCase):
    def test_stall_is_noted_once(self):
        clock = MockClock()

        async def main():
            watch = LoopWatch()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await wait_all_tasks_blocked()
                clock.jump(0.5)
                await wait_all_tasks_blocked()
                clock.jump(0.1)
                await wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return [round(watch.take_worst_ms()) for _ in range(2)]

        self.assertEqual([400, 0], trio.run(main, clock=clock))
