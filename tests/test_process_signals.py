"""
tests.test_process_signals
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against signals that are lost, or that take their default action.
"""

import os
import signal

import testtools

from eelgrassfork.process_signals import ACTIONS_BY_SIGNAL, ProcessSignals


class ProcessSignalsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for number in ACTIONS_BY_SIGNAL:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals = ProcessSignals()
        self.signals.start()

    def test_signals_are_kept_until_they_are_taken(self):
        """A signal that arrives before the event loop runs must not be lost."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), number)
        taken = [(each.number, each.times) for each in self.signals.take()]
        self.assertEqual([(signal.SIGHUP, 2), (signal.SIGTERM, 1)], taken)
        self.assertEqual((), self.signals.take())

    def test_arrival_time_is_that_of_the_first_signal(self):
        """SIGKILL follows a fixed time after the first SIGTERM."""
        os.kill(os.getpid(), signal.SIGTERM)
        (first,) = tuple(self.signals._arrivals_by_number.values())
        os.kill(os.getpid(), signal.SIGTERM)
        (taken,) = self.signals.take()
        self.assertEqual(first.arrived_at, taken.arrived_at)

    def test_program_is_notified_of_each_signal(self):
        """An event loop that waits must notice a signal."""
        notified = []
        self.signals.on_arrival = lambda: notified.append(True)
        os.kill(os.getpid(), signal.SIGUSR1)
        self.assertEqual([True], notified)

    def test_signals_are_ignored_after_the_end(self):
        """Handlers that are functions are reset before the interpreter exits."""
        self.signals.close()
        for number in ACTIONS_BY_SIGNAL:
            self.assertEqual(signal.SIG_IGN, signal.getsignal(number))

    def test_no_signal_that_reports_a_fault_is_handled(self):
        """A program with a corrupted state must not go on."""
        faults = {
            signal.SIGSEGV,
            signal.SIGBUS,
            signal.SIGFPE,
            signal.SIGILL,
            signal.SIGABRT,
            signal.SIGSYS,
            signal.SIGTRAP,
        }
        self.assertEqual(set(), faults & set(ACTIONS_BY_SIGNAL))
