"""
tests.test_line_writer
~~~~~~~~~~~~~~~~~~~~~~

Guards against log output that blocks the process or grows without bound.
"""

import os

import logbook
import testtools
import trio
import trio.testing

from eelgrassfork.line_writer import LineWriter


class LineWriterTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)

    def run_in_trio(self, function):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, clock=clock)

    def test_writes_lines_in_order(self):
        async def main():
            writer = LineWriter(self.descriptor)
            writer.write('one\n')
            writer.write('two\n')
            return os.read(self.reader, 100)

        self.assertEqual(b'one\ntwo\n', self.run_in_trio(main))

    def test_rate_is_limited_and_recovers(self):
        async def main():
            writer = LineWriter(self.descriptor, lines_per_s=10)
            for _ in range(1000):
                writer.write('x\n')
            dropped = writer.dropped
            os.read(self.reader, 100_000)
            await trio.sleep(1)
            writer.write('later\n')
            return dropped, os.read(self.reader, 100)

        self.assertEqual((400, b'later\n'), self.run_in_trio(main))

    def test_logs_number_of_dropped_lines(self):
        async def main():
            writer = LineWriter(self.descriptor, lines_per_s=10)
            for _ in range(1000):
                writer.write('x\n')
            os.read(self.reader, 100_000)
            with logbook.TestHandler() as handler, trio.move_on_after(5):
                await writer.run()
            return [record.extra['in_all'] for record in handler.records]

        self.assertEqual([400], self.run_in_trio(main))

    def test_stalled_reader_does_not_block(self):
        async def main():
            writer = LineWriter(self.descriptor, lines_per_s=1_000_000)
            for _ in range(600):
                writer.write('x' * 2000 + '\n')
            dropped = writer.dropped
            os.read(self.reader, 10_000_000)
            writer.flush()
            return dropped, os.read(self.reader, 10_000_000)[:1]

        dropped, rest = self.run_in_trio(main)
        self.assertGreater(dropped, 0)
        self.assertEqual(b'x', rest)

    def test_works_outside_the_event_loop(self):
        LineWriter(self.descriptor).write('start\n')
        self.assertEqual(b'start\n', os.read(self.reader, 100))

    def fill_pipe(self):
        try:
            while True:
                os.write(self.descriptor, b'x' * 4096)
        except BlockingIOError:
            return

    def test_close_waits_for_a_slow_reader(self):
        """The last lines before an exit were lost if the pipe was full."""

        async def main():
            writer = LineWriter(self.descriptor)
            self.fill_pipe()
            writer.write('last\n')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.close)
                await trio.sleep(0.05)
                os.read(self.reader, 2**20)
            return os.read(self.reader, 100)

        self.assertEqual(b'last\n', self.run_in_trio(main))

    def test_close_gives_up_on_a_reader_that_has_stopped(self):
        """A reader that has stopped must not delay the exit."""

        async def main():
            writer = LineWriter(self.descriptor)
            self.fill_pipe()
            writer.write('last\n')
            started_at = trio.current_time()
            await writer.close()
            return trio.current_time() - started_at

        self.assertLess(self.run_in_trio(main), 0.4)
