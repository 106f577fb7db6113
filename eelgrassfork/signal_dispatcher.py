"""
eelgrassfork.signal_dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers the signals of a process on trio, in each phase of its life.
"""

import signal
import time
from collections.abc import Callable, Mapping
from typing import Final, Literal

import logbook
import trio

from .process_signals import (
    ACTIONS_BY_SIGNAL,
    Action,
    ProcessSignals,
    SignalArrival,
)
from .supervision import keep_running

__all__ = ('ANSWERS_BY_PHASE', 'Phase', 'SignalDispatcher')

Phase = Literal['starting', 'serving', 'draining', 'exiting']

_AnswersByAction = Mapping[Action, Action]

_log = logbook.Logger('signals')

_MS_PER_S: Final = 1000
# Signals that arrive within this time are answered together, so that a series
# of them can't use up the rate of log lines.
_ANSWER_INTERVAL_S: Final = 0.1

# No signal shortens a drain; a reload still applies to the requests that are
# in progress.
ANSWERS_BY_PHASE: Final[Mapping[Phase, _AnswersByAction]] = {
    'starting': {'stop': 'stop', 'reload': 'reload', 'ignore': 'ignore'},
    'serving': {'stop': 'stop', 'reload': 'reload', 'ignore': 'ignore'},
    'draining': {'stop': 'ignore', 'reload': 'reload', 'ignore': 'ignore'},
    'exiting': {'stop': 'ignore', 'reload': 'ignore', 'ignore': 'ignore'},
}


class SignalDispatcher:
    """
    Requests the stop of a process once, and reloads its settings.

    The first stop signal counts; no other signal shortens or repeats the stop.

    :param signals: signals received by the process.
    :param reload: applies changed settings.
    :ivar phase: what the process is doing; set by the program.
    :ivar on_stop: called when a stop is requested, before later reloads.
    """

    def __init__(
        self, signals: ProcessSignals, reload: Callable[[], None]
    ) -> None:
        self._signals = signals
        self._reload = reload
        self._arrived = trio.Event()
        self._stop = trio.Event()
        self._stop_requested_at: float = 0
        self.phase: Phase = 'starting'
        self.on_stop: Callable[[], None] = _do_nothing

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested."""
        return self._stop.is_set()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Answer the signals received so far, then those to come.

        :param nursery: nursery for the task.
        """
        token = trio.lowlevel.current_trio_token()

        def wake() -> None:
            try:
                token.run_sync_soon(self._wake, idempotent=True)
            except trio.RunFinishedError:
                # The event loop has ended; close() answers the signal.
                return

        self._signals.on_arrival = wake
        self.answer_all()
        nursery.start_soon(keep_running, 'answer signals', self._run)

    def answer_all(self) -> None:
        """Answer the signals received so far, stop signals first."""
        # The order of signals that arrive together is unknown.
        for arrival in sorted(self._signals.take(), key=_is_no_stop):
            try:
                self._answer(arrival)
            except Exception:
                # The other signals still have to be answered.
                _log.exception('answer to signal {} failed', arrival.number)

    async def wait_stop(self) -> float:
        """
        Wait for the first request to stop.

        :returns: time since then, in seconds.
        """
        await self._stop.wait()
        return time.monotonic() - self._stop_requested_at

    def request_stop(self) -> None:
        """Stop the process without a signal."""
        self._request_stop(time.monotonic())

    def close(self) -> None:
        """Log the signals that came after the end of the event loop."""
        self.phase = 'exiting'
        self.answer_all()

    def _wake(self) -> None:
        self._arrived.set()

    async def _run(self) -> None:
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            self.answer_all()
            await trio.sleep(_ANSWER_INTERVAL_S)

    def _answer(self, arrival: SignalArrival) -> None:
        number = signal.Signals(arrival.number)
        answer = ANSWERS_BY_PHASE[self.phase][ACTIONS_BY_SIGNAL[number]]
        age_s = time.monotonic() - arrival.arrived_at
        _log.info(
            '{} received while {}, answer: {}',
            number.name,
            self.phase,
            answer,
            extra={
                'signal': number.name,
                'times': arrival.times,
                'phase': self.phase,
                'answer': answer,
                'age_ms': int(age_s * _MS_PER_S),
            },
        )
        if answer == 'reload':
            self._reload()
        elif answer == 'stop':
            self._request_stop(arrival.arrived_at)

    def _request_stop(self, requested_at: float) -> None:
        if not self._stop.is_set():
            self._stop_requested_at = requested_at
            self._stop.set()
            self.on_stop()


def _is_no_stop(arrival: SignalArrival) -> bool:
    return ACTIONS_BY_SIGNAL[signal.Signals(arrival.number)] != 'stop'


def _do_nothing() -> None:
    """Do nothing."""
