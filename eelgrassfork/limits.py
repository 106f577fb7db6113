"""
eelgrassfork.limits
~~~~~~~~~~~~~~~~~~~

Admission control: concurrency limits, a time-bounded queue, load shedding.
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
    A request cannot start within its maximum wait.

    :param code: ``overloaded``, ``organisation_limit`` or ``no_server``.
    :param retry_after_s: suggested delay before a retry, in seconds.
    """

    def __init__(self, code: str, message: str, retry_after_s: float) -> None:
        super().__init__(code, message)
        self.retry_after_s = retry_after_s


class LimitUse(NamedTuple):
    """
    Utilisation of one concurrency limit.

    :param in_flight: number of requests in progress.
    :param limit: maximum number of requests in progress.
    :param ahead: number of queued requests that start before this one.
    :param hold_s: mean duration of a request in progress, in seconds.
    """

    in_flight: int
    limit: int
    ahead: int = 0
    hold_s: float = _INITIAL_MEAN_HOLD_S


class LoadSnapshot(NamedTuple):
    """
    Input of one admission decision.

    :param max_wait_s: queue time-out or time left until the deadline,
        whichever is shorter, in seconds.
    """

    service: LimitUse
    organisation: LimitUse
    max_wait_s: float


class Decision(NamedTuple):
    """
    Whether a request is admitted, queued or refused.

    :param code: limit that blocks the request: ``overloaded`` (the limit of
        the service), ``organisation_limit`` or ``no_server``.
    :param wait_s: estimated wait in seconds; for a refusal, the suggested
        delay before a retry.
    """

    action: Literal['admit', 'queue', 'refuse']
    code: str = ''
    wait_s: float = 0


def decide(load: LoadSnapshot) -> Decision:
    """
    Decide whether one request is admitted, queued or refused.

    :param load: utilisation of both limits, and the maximum wait.
    :returns: the action, with a code and a delay unless it is admission.
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
    # Slots become free at the rate limit / hold_s.
    return shortage * use.hold_s / max(use.limit, 1)


class AdmissionRequest(NamedTuple):
    """
    A request for admission.

    :param slots: returns the maximum number of requests of the service in
        progress on this router.
    :param organisation_slots: maximum number of requests of the organisation
        in progress on this router.
    :param priority: 0 is the highest priority: admitted first, shed last.
    :param queue_s: maximum time in the queue, in seconds.
    :param deadline: trio clock time by which the caller needs the response.
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
    """Concurrency limits and admission queue of one router."""

    def __init__(self) -> None:
        self._services: dict[str, _LimitCounter] = {}
        self._organisations: dict[str, _LimitCounter] = {}
        self._waiters: list[_Waiter] = []
        self._number = 0
        self._refused_by_code: Counter[str] = Counter()

    @asynccontextmanager
    async def slot(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """
        Occupy a concurrency slot for the duration of a request.

        :param request: service, organisation and limits of the request.
        :returns: context manager that releases the slot on exit.
        :raises LimitExceeded: if the request cannot start in time.
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
        Admit queued requests that can start; refuse those that cannot.

        A queued request is refused before its time-out only if requests of
        higher priority raise its estimated wait above its maximum wait.
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
                # A request that only its organisation's limit blocks must
                # not delay requests of other organisations.
                if decision.code == 'overloaded':
                    ahead[service] += 1
            else:
                self._resolve(waiter, decision)
        self._waiters = waiting

    def dump(self) -> dict[str, object]:
        """
        Return the state of the queue for operators.

        :returns: numbers of requests in progress by service and by
            organisation, queued, and refused by code.
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
        'overloaded': f'{request.service} has no free slot within the maximum wait',
        'organisation_limit': (
            f'{request.organisation} has too many requests in progress'
        ),
        'no_server': f'no backend server is available for {request.service}',
    }
    code = decision.code
    return LimitExceeded(code, messages_by_code[code], decision.wait_s)


def _in_flight(counters_by_name: dict[str, _LimitCounter]) -> dict[str, int]:
    return {
        name: counter.in_flight for name, counter in counters_by_name.items()
    }
