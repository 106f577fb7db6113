"""
tests.test_signal_dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against signals that shorten a drain, or that stay unanswered.
"""

import signal
import time

import testtools
import trio
import trio.testing

from eelgrassfork.process_signals import ProcessSignals
from eelgrassfork.signal_dispatcher import ANSWERS_BY_PHASE, SignalDispatcher


class SignalDispatcherTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        # Signals are recorded without handlers, as tests share the process.
        self.signals = ProcessSignals()
        self.reloads = 0

    def reload(self):
        self.reloads += 1

    def play(self, scenario, reload=None):
        async def main():
            dispatcher = SignalDispatcher(self.signals, reload or self.reload)
            async with trio.open_nursery() as nursery:
                await dispatcher.start(nursery)
                outcome = await scenario(dispatcher)
                nursery.cancel_scope.cancel()
            return outcome

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def test_no_signal_stops_a_process_that_is_stopping(self):
        """A second stop signal must not shorten a drain."""
        for phase in ('draining', 'exiting'):
            answers = ANSWERS_BY_PHASE[phase]
            self.assertNotIn('stop', answers.values())

    def test_signals_before_the_event_loop_are_answered(self):
        """Signals that arrive during the imports count."""
        self.signals._record(signal.SIGHUP, None)
        self.signals._record(signal.SIGTERM, None)

        async def scenario(dispatcher):
            return dispatcher.is_stopping

        self.assertTrue(self.play(scenario))
        self.assertEqual(1, self.reloads)

    def test_time_of_a_stop_is_that_of_the_first_signal(self):
        """A later stop signal must not restart the grace time."""
        self.signals._record(signal.SIGTERM, None)
        arrived_at = time.monotonic()

        async def scenario(dispatcher):
            time.sleep(0.05)
            self.signals._record(signal.SIGINT, None)
            await trio.sleep(1)
            return await dispatcher.wait_stop()

        stop_age_s = self.play(scenario)
        self.assertAlmostEqual(
            time.monotonic() - arrived_at, stop_age_s, delta=0.02
        )

    def test_failed_reload_does_not_lose_the_stop_behind_it(self):
        """An exception in one answer left the later signals unanswered."""

        def fail():
            raise ValueError('unexpected content')

        self.signals._record(signal.SIGHUP, None)
        self.signals._record(signal.SIGTERM, None)

        async def scenario(dispatcher):
            return dispatcher.is_stopping

        self.assertTrue(self.play(scenario, fail))

    def test_reload_applies_in_a_drain_and_not_after_it(self):
        """Requests in progress are still subject to changed settings."""

        async def scenario(dispatcher):
            reloads = []
            for phase in ('serving', 'draining', 'exiting'):
                dispatcher.phase = phase
                self.signals._record(signal.SIGHUP, None)
                await trio.sleep(1)
                reloads.append(self.reloads)
            return reloads

        self.assertEqual([1, 2, 2], self.play(scenario))

    def test_series_of_signals_is_answered_together(self):
        """A flood of signals used up the rate of log lines."""

        async def scenario(dispatcher):
            for _ in range(1000):
                self.signals._record(signal.SIGHUP, None)
                await trio.sleep(0.001)
            await trio.sleep(1)

        self.play(scenario)
        self.assertTrue(2 <= self.reloads <= 11, self.reloads)

    def test_stop_is_answered_before_a_reload_that_arrived_with_it(self):
        """A reload beside the stop changed the grace time of the stop."""
        answers = []

        async def scenario(dispatcher):
            dispatcher.on_stop = lambda: answers.append('stop')
            self.signals._record(signal.SIGHUP, None)
            self.signals._record(signal.SIGTERM, None)
            dispatcher.answer_all()

        self.play(scenario, lambda: answers.append('reload'))
        self.assertEqual(['stop', 'reload'], answers)
