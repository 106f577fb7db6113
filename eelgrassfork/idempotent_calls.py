"""
eelgrassfork.idempotent_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards idempotent calls to plain services, with retries.
"""

from typing import Final

import trio

from .claim_records import refusal
from .errors import RequestError
from .http_client import HttpClientError, ReceiveTimeout, Response
from .http_server import Call, CallerDisconnected
from .plain_parts import (
    CallAttempt,
    PlainParts,
    choose_server,
    open_answer,
    relay_remaining,
)
from .plain_request import PlainRequest, end_to_end_headers

__all__ = ('forward_idempotent',)

_MS: Final = 1000


async def forward_idempotent(
    parts: PlainParts, call: Call, request: PlainRequest
) -> None:
    """
    Forward an idempotent call and relay its response.

    Until its response starts, the call may be retried on another server
    within the retry budget. It is not billed: no record of it would outlive
    this router, so it could not be billed exactly once.

    :param parts: dependencies.
    :param call: the call as received.
    :param request: the validated request.
    :raises RequestError: if no complete response was received.
    """
    await _IdempotentCall(parts, call, request).run()


class _IdempotentCall:
    def __init__(
        self, parts: PlainParts, call: Call, request: PlainRequest
    ) -> None:
        self._parts = parts
        self._call = call
        self._request = request
        self._excluded_vms: frozenset[str] = frozenset()
        self._silent_vms: frozenset[str] = frozenset()
        self._sent = False

    async def run(self) -> None:
        self._parts.retry_budget.request_started()
        error = await self._try_once()
        while error is not None:
            if not self._parts.retry_budget.take():
                raise self._failed(error)
            self._parts.metrics.count(
                'plain_retries',
                self._request.caller.fleet,
                self._request.service.name,
            )
            error = await self._try_once()

    async def _try_once(self) -> HttpClientError | None:
        attempt = self._next_attempt()
        try:
            async with open_answer(self._parts, attempt) as response:
                await self._relay(response)
        except HttpClientError as error:
            self._record_error(attempt, error)
            return error
        return None

    def _next_attempt(self) -> CallAttempt:
        request = self._request
        if self._call.disconnected.is_set():
            raise CallerDisconnected
        remaining_s = request.deadline - trio.current_time()
        if remaining_s <= 0:
            raise self._refused(
                'deadline_exceeded',
                'deadline exceeded before the answer was complete',
            )
        server = choose_server(self._parts, request, self._excluded_vms)
        if server is None:
            raise self._refused(
                'no_server', 'no backend server is available for the request'
            )
        fresh = server.vm in self._silent_vms
        # A pooled connection may never respond; half of the remaining time is
        # reserved for a new one.
        max_wait_s = remaining_s if fresh else remaining_s / 2
        first_byte_s = request.service.first_byte_ms / _MS
        return CallAttempt(
            server, request, fresh, min(first_byte_s, max_wait_s)
        )

    async def _relay(self, response: Response) -> None:
        headers = end_to_end_headers(response.headers_by_name)
        length = response.headers_by_name.get('content-length')
        if length is not None:
            headers['content-length'] = length
        await self._call.start(response.status, tuple(headers.items()))
        await relay_remaining(self._call, response)

    def _record_error(
        self, attempt: CallAttempt, error: HttpClientError
    ) -> None:
        self._sent = self._sent or error.sent
        vm = attempt.server.vm
        if isinstance(error, ReceiveTimeout) and not attempt.fresh:
            # Retry on a new connection before the server is excluded.
            self._silent_vms |= {vm}
        else:
            self._excluded_vms |= {vm}

    def _failed(self, error: HttpClientError) -> RequestError:
        return self._refused('server_failed', error.message)

    def _refused(self, code: str, message: str) -> RequestError:
        headers = self._call.headers_by_name
        if not self._sent:
            return refusal(code, message, headers)
        return RequestError(code, message, 'unknown')
