"""
eelgrassfork.process_signals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Receives the signals of a process from its first import until its exit.
"""

import signal
import time
from collections.abc import Callable, Mapping
from types import FrameType
from typing import Final, Literal, NamedTuple

__all__ = ('ACTIONS_BY_SIGNAL', 'Action', 'ProcessSignals', 'SignalArrival')

Action = Literal['stop', 'reload', 'ignore']

# All signals whose default action ends a process, except those that report a
# fault of the process itself, SIGKILL, and the real-time signals.  SIGPIPE and
# SIGXFSZ are ignored by the interpreter.
ACTIONS_BY_SIGNAL: Final[Mapping[signal.Signals, Action]] = {
    signal.SIGTERM: 'stop',
    signal.SIGINT: 'stop',
    signal.SIGQUIT: 'stop',
    signal.SIGHUP: 'reload',
    signal.SIGUSR1: 'ignore',
    signal.SIGUSR2: 'ignore',
    signal.SIGALRM: 'ignore',
    signal.SIGVTALRM: 'ignore',
    signal.SIGPROF: 'ignore',
    signal.SIGXCPU: 'ignore',
    signal.SIGIO: 'ignore',
    signal.SIGPWR: 'ignore',
    signal.SIGSTKFLT: 'ignore',
}


class SignalArrival(NamedTuple):
    """
    A signal that was received and not answered yet.

    :param number: signal number.
    :param arrived_at: time of the first one, on ``time.monotonic``.
    :param times: number of times that it was received.
    """

    number: int
    arrived_at: float
    times: int = 1


class ProcessSignals:
    """
    Records signals until the program takes them.

    No signal in :data:`ACTIONS_BY_SIGNAL` takes its default action between
    :meth:`start` and the end of the process.

    :ivar on_arrival: called in the signal handler, between any two bytecode
        instructions of the main thread.
    """

    def __init__(self) -> None:
        self._arrivals_by_number: dict[int, SignalArrival] = {}
        self.on_arrival: Callable[[], None] = _do_nothing

    def start(self) -> None:
        """
        Install the handlers.

        :raises ValueError: outside the main thread.
        """
        for number in ACTIONS_BY_SIGNAL:
            signal.signal(number, self._record)

    def take(self) -> tuple[SignalArrival, ...]:
        """
        Take the signals received since the last call.

        :returns: one entry for each signal number, the first arrival first.
        """
        # A handler that runs between the two assignments adds to the dictionary
        # that is returned.
        taken = self._arrivals_by_number
        self._arrivals_by_number = {}
        return tuple(taken.values())

    def close(self) -> None:
        """
        Ignore signals from now on, so that they don't change the exit code.

        The interpreter restores the default action of handlers that are
        functions before it exits; ignored signals stay ignored.
        """
        for number in ACTIONS_BY_SIGNAL:
            signal.signal(number, signal.SIG_IGN)

    def _record(self, number: int, _frame: FrameType | None) -> None:
        arrivals = self._arrivals_by_number
        known = arrivals.get(number)
        arrivals[number] = (
            SignalArrival(number, time.monotonic())
            if known is None
            else known._replace(times=known.times + 1)
        )
        self.on_arrival()


def _do_nothing() -> None:
    """Do nothing."""
