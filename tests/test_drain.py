"""
tests.test_drain
~~~~~~~~~~~~~~~~

Guards against a graceful shutdown that interrupts requests.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.drain import Drain, DrainSettings


class DrainTests(testtools.TestCase):
    def run_on_mock_clock(self, test):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(test, clock=clock)

    def test_requests_are_served_during_the_grace_time(self):
        async def main():
            drain = Drain(DrainSettings(grace_s=2))
            refused_new = [drain.refuses_new]
            drain.begin('test')
            for _ in range(3):
                refused_new.append(drain.refuses_new)
                await trio.sleep(1)
            return refused_new

        refused_new = self.run_on_mock_clock(main)
        self.assertEqual([False, False, False, True], refused_new)

    def test_waits_for_open_work_and_reports_what_is_left(self):
        cases = (('ends in time', 5, {}), ('too long', 50, {'requests': 1}))
        for name, work_s, expected in cases:

            async def main(work_s=work_s):
                drain = Drain(DrainSettings(grace_s=1, limit_s=10))
                drain.begin('test')
                ends_at = trio.current_time() + work_s

                def open_work():
                    is_open = trio.current_time() < ends_at
                    return {'requests': int(is_open)}

                return await drain.wait_empty(open_work)

            with self.subTest(name):
                self.assertEqual(expected, self.run_on_mock_clock(main))
