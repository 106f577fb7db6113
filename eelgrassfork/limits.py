"""
eelgrassfork.limits
~~~~~~~~~~~~~~~~~~~

Admission of requests: concurrency, a queue bounded in time, shedding.
"""

import bisect
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final, Literal, NamedTuple

import trio

from .errors import EelgrassError

__all__ = (
    'Admission',
    'AdmissionRequest',
    'Decision',
    'LimitUse',
    'LimitExceeded',
    'LoadSnapshot',
    'decide',
)

_INITIAL_MEAN_HOLD_S: Final = 1.0
_HOLD_SMOOTHING: Final = 0.1
_MIN_RETRY_AFTER_S: Final = 1.0
_NO_SERVER_RETRY_AFTER_S: Final = 2.0


class LimitExceeded(EelgrassError):
    """
    A request may not start within its bounds.

    :param code: ``overloaded``, ``organisation_limit`` or ``no_server``.
    :param retry_after_s: seconds until a retry makes sense.
    """

    def __init__(self, code: str, message: str, retry_after_s: float) -> None:
        super().__init__(code, message)
        self.retry_after_s = retry_after_s


class LimitUse(NamedTuple):
    """
    How far one limit is used.

    :param in_flight: requests in progress.
    :param limit: most requests in progress.
    :param ahead: waiting requests that start before this one.
    :param hold_s: mean time that a request is in progress, in seconds.
    """

    in_flight: int
    limit: int
    ahead: int = 0
    hold_s: float = _INITIAL_MEAN_HOLD_S


class LoadSnapshot(NamedTuple):
    """
    Input of one decision.

    :param max_wait_s: bound of the queue or rest of the deadline,
        whichever is shorter, in seconds.
    """

    service: LimitUse
    organisation: LimitUse
    max_wait_s: float


class Decision(NamedTuple):
    """
    Whether a request starts, waits or is refused.

    :param code: which limit keeps the request from starting: ``overloaded``
        (the service's), ``organisation_limit`` or ``no_server``.
    :param wait_s: estimated wait in seconds; for a refusal, the time after
        which a retry makes sense.
    """

    action: Literal['admit', 'queue', 'refuse']
    code: str = ''
    wait_s: float = 0


def decide(load: LoadSnapshot) -> Decision:
    """
    Decide on one request.

    :param load: use of both limits and the longest wait.
    :returns: start, wait or refuse with a code and a delay.
    """
    if load.service.limit < 1:
        return Decision('refuse', 'no_server', _NO_SERVER_RETRY_AFTER_S)
    service_wait_s = _estimated_wait_s(load.service)
    organisation_wait_s = _estimated_wait_s(load.organisation)
    wait_s = max(service_wait_s, organisation_wait_s)
    if wait_s <= 0:
        return Decision('admit')
    by_service = service_wait_s >= organisation_wait_s
    code = 'overloaded' if by_service else 'organisation_limit'
    if wait_s <= load.max_wait_s:
        return Decision('queue', code, wait_s)
    return Decision('refuse', code, max(wait_s, _MIN_RETRY_AFTER_S))


def _estimated_wait_s(use: LimitUse) -> float:
    shortage = use.ahead + 1 - (use.limit - use.in_flight)
    if shortage <= 0:
        return 0
    # Places come free at the rate limit / hold_s.
    return shortage * use.hold_s / max(use.limit, 1)


class AdmissionRequest(NamedTuple):
    """
    A request that asks to start.

    :param slots: most requests of the service in progress at this router.
    :param organisation_slots: the same for the organisation.
    :param priority: 0 starts first and is shed last.
    :param queue_s: longest wait in seconds.
    :param deadline: time on the clock of trio after which the answer is of
        no use.
    """

    service: str
    organisation: str
    slots: Callable[[], int]
    organisation_slots: int
    priority: int
    queue_s: float
    deadline: float


class _Waiter:
    def __init__(self, request: AdmissionRequest, number: int) -> None:
        now_s = trio.current_time()
        self.request = request
        self.order = (request.priority, number)
        self.max_wait_s = min(request.queue_s, max(0, request.deadline - now_s))
        self.timeout_at = now_s + self.max_wait_s
        self.decision: Decision | None = None
        self.decided = trio.Event()


class _LimitCounter:
    def __init__(self) -> None:
        self.in_flight = 0
        self.hold_s = _INITIAL_MEAN_HOLD_S

    def use(self, limit: int, ahead: int) -> LimitUse:
        return LimitUse(self.in_flight, limit, ahead, self.hold_s)

    def record_end(self, held_s: float) -> None:
        self.in_flight -= 1
        self.hold_s += _HOLD_SMOOTHING * (held_s - self.hold_s)


class Admission:
    """Counts requests in progress and keeps the queue of one router."""

    def __init__(self) -> None:
        self._services: dict[str, _LimitCounter] = {}
        self._organisations: dict[str, _LimitCounter] = {}
        self._waiters: list[_Waiter] = []
        self._number = 0
        self._refused_by_code: Counter[str] = Counter()

    @asynccontextmanager
    async def slot(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """
        Hold a place among the requests in progress.

        :param request: who asks, and within which bounds.
        :returns: context manager; the place is given back at its end.
        :raises LimitExceeded: if the request can't start in time.
        """
        decision = await self._enter(request)
        if decision.action == 'refuse':
            self._refused_by_code[decision.code] += 1
            raise _refusal(request, decision)
        started_at = trio.current_time()
        try:
            yield
        finally:
            self._release(request, trio.current_time() - started_at)

    def reevaluate_queue(self) -> None:
        """
        Start waiting requests that can start, refuse those that can't.

        A waiting request is refused early only if requests of a better
        priority push its estimated wait over its whole bound.
        """
        ahead: Counter[str] = Counter()
        slots_by_service: dict[str, int] = {}
        waiting = []
        for waiter in self._waiters:
            service = waiter.request.service
            if service not in slots_by_service:
                slots_by_service[service] = waiter.request.slots()
            decision = self._decide(waiter, ahead, slots_by_service[service])
            if decision.action == 'queue':
                waiting.append(waiter)
                ahead[waiter.request.organisation] += 1
                # A request that only its organisation's limit holds back
                # must not hold back other organisations.
                if decision.code == 'overloaded':
                    ahead[service] += 1
            else:
                self._resolve(waiter, decision)
        self._waiters = waiting

    def dump(self) -> dict[str, object]:
        """
        Describe the state for operators.

        :returns: numbers in progress by name, waiting and refused.
        """
        return {
            'in_flight_by_service': _in_flight(self._services),
            'in_flight_by_organisation': _in_flight(self._organisations),
            'waiting': len(self._waiters),
            'refused_by_code': dict(self._refused_by_code),
        }

    async def _enter(self, request: AdmissionRequest) -> Decision:
        self._number += 1
        waiter = _Waiter(request, self._number)
        bisect.insort(self._waiters, waiter, key=lambda entry: entry.order)
        self.reevaluate_queue()
        if waiter.decision is None:
            await self._wait(waiter)
        return waiter.decision or self._timed_out(waiter)

    async def _wait(self, waiter: _Waiter) -> None:
        try:
            with trio.move_on_at(waiter.timeout_at):
                await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.decision is None:
                self._waiters.remove(waiter)
            elif waiter.decision.action == 'admit':
                self._release(waiter.request, 0)
            raise

    def _timed_out(self, waiter: _Waiter) -> Decision:
        self._waiters.remove(waiter)
        slots = waiter.request.slots()
        decision = self._decide(waiter, Counter(), slots)
        code = decision.code or 'overloaded'
        retry_after_s = max(decision.wait_s, _MIN_RETRY_AFTER_S)
        return Decision('refuse', code, retry_after_s)

    def _decide(
        self, waiter: _Waiter, ahead: Counter[str], slots: int
    ) -> Decision:
        request = waiter.request
        service = self._service(request).use(slots, ahead[request.service])
        organisation = self._organisation(request).use(
            request.organisation_slots, ahead[request.organisation]
        )
        return decide(LoadSnapshot(service, organisation, waiter.max_wait_s))

    def _resolve(self, waiter: _Waiter, decision: Decision) -> None:
        if decision.action == 'admit':
            self._service(waiter.request).in_flight += 1
            self._organisation(waiter.request).in_flight += 1
        waiter.decision = decision
        waiter.decided.set()

    def _release(self, request: AdmissionRequest, held_s: float) -> None:
        self._service(request).record_end(held_s)
        self._organisation(request).record_end(held_s)
        self.reevaluate_queue()

    def _service(self, request: AdmissionRequest) -> _LimitCounter:
        return self._services.setdefault(request.service, _LimitCounter())

    def _organisation(self, request: AdmissionRequest) -> _LimitCounter:
        return self._organisations.setdefault(
            request.organisation, _LimitCounter()
        )


def _refusal(request: AdmissionRequest, decision: Decision) -> LimitExceeded:
    messages_by_code = {
        'overloaded': f'{request.service} has no free place in time',
        'organisation_limit': (
            f'{request.organisation} has too many requests in progress'
        ),
        'no_server': f'{request.service} has no server',
    }
    code = decision.code
    return LimitExceeded(code, messages_by_code[code], decision.wait_s)


def _in_flight(counters_by_name: dict[str, _LimitCounter]) -> dict[str, int]:
    return {
        name: counter.in_flight for name, counter in counters_by_name.items()
    }
