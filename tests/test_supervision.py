"""
tests.test_supervision
~~~~~~~~~~~~~~~~~~~~~~

Guards against one unexpected error in a task that terminates the process.
"""

import logbook
import testtools
import trio

from eelgrassfork.supervision import keep_running, run_step

from .mock_clock import run


class SupervisionTests(testtools.TestCase):
    def test_failed_task_is_restarted(self):
        runs = []

        async def task():
            runs.append(trio.current_time())
            await trio.sleep(0.1)
            if len(runs) < 3:
                raise ValueError('unexpected')

        async def main():
            await keep_running('task', task)

        run(main)
        self.assertEqual(3, len(runs))
        self.assertGreater(runs[1] - runs[0], 1)

    def test_cancellation_is_not_treated_as_an_error(self):
        async def main():
            with trio.move_on_after(5) as scope:
                await keep_running('task', trio.sleep_forever)
            return scope.cancelled_caught

        self.assertTrue(run(main))

    def test_failed_step_of_a_stop_is_logged(self):
        """An error in one step of a stop skipped the steps after it."""

        async def step():
            raise ValueError('unexpected')

        with logbook.TestHandler() as handler:
            run(lambda: run_step('close', step))
        (record,) = handler.records
        self.assertIn('close', record.message)
        self.assertIn('unexpected', record.formatted_exception)
