"""
tests.test_pacing
~~~~~~~~~~~~~~~~~

Guards against more actions than the rate allows.
"""

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.pacing import Pacer


class PacerTests(testtools.TestCase):
    def test_rate_is_not_exceeded_in_any_window(self):
        cases = ((0, 0.1, 2, 20), (0.5, 0.5, 8, 80), (0, 0.5, 2, 20))
        for burst_s, tick_s, per_s, most in cases:
            with self.subTest(burst_s=burst_s, tick_s=tick_s):
                times = self.times(burst_s, tick_s, per_s)
                allowed = per_s * burst_s + 1
                self.assertTrue(most * 0.9 <= len(times) <= most + allowed)
                for start in times:
                    window = [t for t in times if start <= t < start + 1]
                    self.assertLessEqual(len(window), per_s + allowed)
                if not burst_s:
                    pairs = zip(times, times[1:], strict=False)
                    self.assertTrue(all(b - a >= 0.499 for a, b in pairs))

    def times(self, burst_s, tick_s, per_s):
        taken = []

        async def main():
            pacer = Pacer(burst_s)
            await trio.sleep(30)
            begun_at = trio.current_time()
            while trio.current_time() < begun_at + 10:
                while pacer.take(per_s):
                    taken.append(trio.current_time())
                await trio.sleep(tick_s)

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return taken
