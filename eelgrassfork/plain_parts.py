"""
eelgrassfork.plain_parts
~~~~~~~~~~~~~~~~~~~~~~~~

Common parts of plain calls: admission, server choice, exchange and answer.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

import trio

from .backends import Backends
from .claims import Claims
from .errors import RequestError
from .http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectionLost,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
    Response,
)
from .http_server import Call
from .issued_key_use import IssuedKeyUse
from .limits import Admission, AdmissionRequest
from .metrics import Metrics
from .permits import Credit
from .plain_request import PlainRequest
from .retries import RetryBudget
from .routing import RoutePolicy, RouteSnapshot, ServerState, choose

__all__ = (
    'Headers',
    'PlainParts',
    'CallAttempt',
    'admission_request',
    'choose_server',
    'send_answer',
    'open_answer',
    'relay_remaining',
)

Headers = tuple[tuple[str, str], ...]

_MS: Final = 1000
_CONNECT_S: Final = 1.0
_IDEMPOTENT_PRIORITY: Final = 0
_BODILESS_STATUSES: Final = frozenset((204, 304))


class PlainParts(NamedTuple):
    """
    Dependencies of plain calls.

    :param failure_domain: failure domain of this router.
    :param source: random source of server choice.
    """

    claims: Claims
    issued_keys: IssuedKeyUse
    credit: Credit
    backends: Backends
    admission: Admission
    retry_budget: RetryBudget
    http: HttpClient
    metrics: Metrics
    failure_domain: str
    source: random.Random


class CallAttempt(NamedTuple):
    """
    One attempt to send a call to a server.

    :param fresh: whether to use a new connection.
    :param first_byte_s: time-out for the head of the answer, in seconds.
    """

    server: ServerState
    request: PlainRequest
    fresh: bool
    first_byte_s: float


def admission_request(
    parts: PlainParts, request: PlainRequest
) -> AdmissionRequest:
    """
    Build the admission request of a call.

    Idempotent calls have the best priority: they start first and are shed last.

    :param parts: dependencies.
    :param request: the call.
    :returns: its limits and priority.
    """
    service = request.service
    organisation = request.caller.organisation
    priority = max(service.priority, organisation.priority)

    def slots() -> int:
        return service.in_flight_per_server * parts.backends.count_usable(
            service.name
        )

    return AdmissionRequest(
        service=service.name,
        organisation=organisation.name,
        slots=slots,
        organisation_slots=organisation.max_in_flight,
        priority=_IDEMPOTENT_PRIORITY if request.is_idempotent else priority,
        queue_s=service.queue_ms / _MS,
        deadline=request.deadline,
    )


def choose_server(
    parts: PlainParts, request: PlainRequest, excluded: frozenset[str]
) -> ServerState | None:
    """
    Choose a backend server by load and failure domain.

    :param parts: dependencies.
    :param request: the call.
    :param excluded: VMs that already failed this call.
    :returns: a server, or ``None`` if none is usable.
    """
    service = request.service
    servers = tuple(parts.backends.servers(service.name))
    return choose(
        RouteSnapshot(servers, parts.failure_domain, excluded=excluded),
        RoutePolicy(in_flight_per_server=service.in_flight_per_server),
        parts.source,
    )


@asynccontextmanager
async def open_answer(
    parts: PlainParts, attempt: CallAttempt
) -> AsyncIterator[Response]:
    """
    Send a call and check that the answer belongs to it.

    A connection is closed instead of pooled if its answer was abandoned or
    belongs to another call.

    :param parts: dependencies.
    :param attempt: the call and its server.
    :returns: context manager with the answer, whose head has arrived.
    :raises HttpClientError: if there is no such answer; ``sent`` is set if
        any byte of the call may have been sent.
    """
    vm = attempt.server.vm
    parts.backends.request_started(vm)
    try:
        response = await _send(parts, attempt)
        try:
            _check_identity(response, attempt.request)
            parts.backends.record_success(vm)
            yield response
        finally:
            await response.close()
    except HttpClientError as error:
        await _note_failure(parts, attempt, error)
        raise
    finally:
        parts.backends.request_ended(vm)


async def send_answer(
    call: Call, status: int, headers: Headers, body: bytes
) -> None:
    """
    Send a complete answer to the caller.

    :param call: the caller's request.
    :param status: HTTP status.
    :param headers: headers without content length and request ID.
    :param body: the complete body.
    """
    if status not in _BODILESS_STATUSES:
        headers = (*headers, ('content-length', str(len(body))))
    await call.start(status, headers)
    await call.send(body)
    await call.finish()


async def relay_remaining(call: Call, response: Response) -> None:
    """
    Relay the remaining body of an answer, and finish it if it is complete.

    :param call: the caller's request, whose response has been started.
    :param response: the server's answer.
    :raises RequestError: ``server_failed`` if the answer is truncated.
    """
    try:
        async for chunk in response.chunks():
            await call.send(chunk)
    except HttpClientError as error:
        raise RequestError(
            'server_failed',
            f'the answer was truncated: {error.message}',
            'ran',
        ) from None
    await call.finish()


async def _send(parts: PlainParts, attempt: CallAttempt) -> Response:
    request = attempt.request
    bounds = ClientTimeouts(
        _CONNECT_S, attempt.first_byte_s, request.service.silence_ms / _MS
    )
    # A server that does not read the request is treated as a silent one.
    with trio.move_on_after(_CONNECT_S + attempt.first_byte_s):
        return await parts.http.request(
            ClientRequest(
                attempt.server.address,
                request.method,
                request.target,
                (*request.headers, ('x-request-id', request.request_id)),
                request.body,
                attempt.fresh,
            ),
            bounds,
        )
    raise ReceiveTimeout(
        'connection_silent', 'timed out while sending the request', sent=True
    )


def _check_identity(response: Response, request: PlainRequest) -> None:
    echoed = response.headers_by_name.get('x-request-id', request.request_id)
    if echoed != request.request_id:
        raise ConnectionLost(
            'wrong_identity', 'the answer has another X-Request-Id', sent=True
        )


async def _note_failure(
    parts: PlainParts, attempt: CallAttempt, error: HttpClientError
) -> None:
    silent = isinstance(error, ReceiveTimeout)
    if silent:
        # The other idle connections to the server may be silent as well.
        await parts.http.close_idle(attempt.server.address)
    if attempt.fresh or not silent:
        parts.backends.record_failure(attempt.server.vm, silent)
