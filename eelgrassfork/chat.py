"""
eelgrassfork.chat
~~~~~~~~~~~~~~~~~

Handlers of ``/v1/chat/completions`` and ``/v1/models``.
"""

import functools
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
import trio

from .bundle_types import Bundle, Caller
from .chat_attempts import Attempts, ChatParts
from .chat_metrics import report_run
from .chat_relay import Relay
from .chat_request import ChatRequest, model_name, parse_request
from .chat_run import CallerSink, ChatRun
from .chat_settlement import Ending, Settlement
from .claim_records import refusal
from .errors import RequestError
from .http_server import Call, CallerDisconnected, cancel_on_disconnect
from .limits import AdmissionRequest, LimitExceeded

__all__ = ('Chat', 'ChatParts')

_MS: Final = 1000
_MAX_CACHED_KEYS: Final = 16384
_OK: Final = 200


class Chat:
    """
    Handler of model calls.

    :param parts: dependencies.
    """

    def __init__(self, parts: ChatParts) -> None:
        self._parts = parts
        self._settlement = Settlement(
            parts.accounts,
            parts.engines,
            parts.backends,
            parts.source,
            parts.metrics,
        )
        self._relay = Relay(parts.engines, self._settlement)
        self._attempts = Attempts(parts, self._relay)
        self._body_hashes = _BodyHashCache()
        self._ended_counts: Counter[str] = Counter()

    @property
    def open_bills(self) -> int:
        """
        Number of unsettled requests that wait for the record of an engine.

        A drain waits until there are none.
        """
        return self._settlement.open_bills

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start the background tasks.

        :param nursery: nursery in which they run.
        """
        await self._settlement.start(nursery)

    async def close(self) -> None:
        """Settle open bills with the usage known so far."""
        await self._settlement.close()

    def dump(self) -> dict[str, object]:
        """
        Describe the state for operators.

        :returns: number of requests by result, retries, resumes, tokens in
            the retry budget and open bills.
        """
        return {
            'ended': dict(self._ended_counts),
            'retried': self._attempts.retry_count,
            'resumed': self._relay.resume_count,
            'retry_tokens': self._parts.retry_budget.tokens,
            'open_bills': self.open_bills,
        }

    async def complete(self, call: Call, caller: Caller) -> None:
        """
        Answer ``POST /v1/chat/completions``.

        :param call: the request.
        :param caller: authenticated sender.
        :raises RequestError: if there is no complete answer; a stream that
            had begun is aborted first, so that the caller detects it.
        :raises CallerDisconnected: if the caller disconnected before the end.
        """
        try:
            request = parse_request(call, caller, self._bundle())
            self._body_hashes.check(request)
            await self._serve(call, request)
        except RequestError as error:
            raise _with_request_outcome(error, call) from None

    async def list_models(self, call: Call, caller: Caller) -> None:
        """
        Answer ``GET /v1/models``.

        :param call: the request.
        :param caller: authenticated sender.
        :raises RequestError: ``not_ready`` if no bundle is loaded.
        """
        services = self._bundle().services_by_name
        listed = [
            _model_entry(name, caller.fleet)
            for name in sorted(caller.organisation.services)
            if name in services and services[name].kind == 'model'
        ]
        body = {'object': 'list', 'data': listed}
        await call.respond(_OK, msgspec.json.encode(body))

    def _bundle(self) -> Bundle:
        bundle = self._parts.bundle()
        if bundle is None:
            raise RequestError('not_ready', 'no bundle has been loaded yet')
        return bundle

    async def _serve(self, call: Call, request: ChatRequest) -> None:
        run = ChatRun(request)
        started_at = trio.current_time()
        self._parts.retry_budget.request_started()
        failure: RequestError | None = None
        ending: Ending = 'interrupted'
        try:
            failure = await self._run_until_deadline(call, run)
        except RequestError as error:
            failure = error
            ending = _ending_after_failure(call, run)
        except CallerDisconnected:
            self._ended_counts['caller_gone'] += 1
            raise
        finally:
            # Runs as well when the server closes and cancels this task.
            self._settlement.settle_incomplete(run, ending)
            report_run(
                self._parts.metrics, run, started_at, failure, call.started
            )
        self._ended_counts[failure.code if failure else 'whole'] += 1
        if failure is not None:
            if call.started:
                await _abort_stream(call, run, failure)
            raise failure

    async def _run_until_deadline(
        self, call: Call, run: ChatRun
    ) -> RequestError | None:
        with trio.move_on_at(run.request.deadline):
            await _run_until_caller_gone(
                call, functools.partial(self._run, call, run)
            )
            return None
        return RequestError(
            'deadline_exceeded',
            'deadline exceeded before the answer was complete',
            run.outcome,
        )

    async def _run(self, call: Call, run: ChatRun) -> None:
        request = run.request
        run.reservation = await self._parts.accounts.reserve(
            request.caller.budget, request.bound
        )
        try:
            async with self._parts.admission.slot(self._admission(request)):
                self._body_hashes.remember(request)
                await self._attempts.run(call, run)
        except LimitExceeded as error:
            raise RequestError(
                error.code, error.message, retry_after_s=error.retry_after_s
            ) from None

    def _admission(self, request: ChatRequest) -> AdmissionRequest:
        service = request.service
        organisation = request.caller.organisation
        backends = self._parts.backends
        return AdmissionRequest(
            service=service.name,
            organisation=organisation.name,
            slots=lambda: (
                service.in_flight_per_server
                * backends.count_usable(service.name)
            ),
            organisation_slots=organisation.max_in_flight,
            priority=request.priority,
            queue_s=service.queue_ms / _MS,
            deadline=request.deadline,
        )


class _BodyHashCache:
    """
    Cache of the body hashes of idempotency keys that this router received.

    It is not shared between routers: at another router, the same key with
    another body gets a different identity and is billed as a new request.
    """

    def __init__(self) -> None:
        self._hashes: OrderedDict[tuple[str, str], str] = OrderedDict()

    def check(self, request: ChatRequest) -> None:
        known = self._hashes.get(_cache_key(request), request.body_hash)
        if known != request.body_hash:
            raise RequestError(
                'idempotency_key_reused',
                'the Idempotency-Key was already used with another body',
            )

    def remember(self, request: ChatRequest) -> None:
        if not request.key:
            return
        self._hashes[_cache_key(request)] = request.body_hash
        self._hashes.move_to_end(_cache_key(request))
        if len(self._hashes) > _MAX_CACHED_KEYS:
            self._hashes.popitem(last=False)


def _cache_key(request: ChatRequest) -> tuple[str, str]:
    return request.caller.organisation.name, request.key


async def _run_until_caller_gone(
    call: Call, work: Callable[[], Awaitable[None]]
) -> None:
    failure: Exception | None = None
    finished = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_disconnect, call, nursery.cancel_scope)
        try:
            await work()
        except Exception as error:
            # Raised after the nursery, which would wrap it in a group.
            failure = error
        finished = not nursery.cancel_scope.cancel_called
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not finished:
        raise CallerDisconnected


async def _abort_stream(
    call: Call, run: ChatRun, failure: RequestError
) -> None:
    if run.answer_complete or not run.request.stream:
        # The end of the answer was being sent, so no error event can follow.
        await call.abort()
        return
    await CallerSink(call).abort(failure)


def _ending_after_failure(call: Call, run: ChatRun) -> Ending:
    if run.meter.overrun:
        return 'overrun'
    return 'broken' if call.started else 'gave_up'


def _with_request_outcome(error: RequestError, call: Call) -> RequestError:
    if error.outcome != 'not_run':
        return error
    headers = call.headers_by_name
    return refusal(error.code, error.message, headers, error.retry_after_s)


def _model_entry(name: str, fleet: str) -> dict[str, Any]:
    return {
        'id': model_name(name, fleet),
        'object': 'model',
        'created': 0,
        'owned_by': name.partition('/')[0],
    }
