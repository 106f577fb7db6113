"""
tests.test_supervision
~~~~~~~~~~~~~~~~~~~~~~

Guards against one unexpected error that ends a whole process.
"""

import testtools
import trio

from eelgrassfork.supervision import keep_running

from .mock_clock import run


class SupervisionTests(testtools.TestCase):
    def test_task_that_fails_runs_again(self):
        runs = []

        async def work():
            runs.append(trio.current_time())
            await trio.sleep(0.1)
            if len(runs) < 3:
                raise ValueError('unexpected')

        async def main():
            await keep_running('work', work)

        run(main)
        self.assertEqual(3, len(runs))
        self.assertGreater(runs[1] - runs[0], 1)

    def test_stop_is_not_taken_for_an_error(self):
        async def main():
            with trio.move_on_after(5) as scope:
                await keep_running('work', trio.sleep_forever)
            return scope.cancelled_caught

        self.assertTrue(run(main))
