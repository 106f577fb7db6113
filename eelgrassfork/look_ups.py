"""
eelgrassfork.look_ups
~~~~~~~~~~~~~~~~~~~~~

Idempotent calls of plain services, which may be sent again.
"""

from typing import Final

import trio

from .claim_records import refusal
from .errors import RequestError
from .http_client import ConnectionSilent, HttpClientError, Response
from .http_server import Call, CallerGone
from .plain_parts import (
    CallAttempt,
    PlainParts,
    choose_server,
    open_answer,
    relay_remaining,
)
from .plain_request import PlainRequest, end_to_end_headers

__all__ = ('look_up',)

_MS: Final = 1000


async def look_up(parts: PlainParts, call: Call, request: PlainRequest) -> None:
    """
    Answer an idempotent call.

    Before its answer begins, it may be sent to another server within the
    retry budget. It is free: no record of it would outlive this router, so
    that it could not be billed exactly once.

    :param parts: dependencies.
    :param call: the request as it arrived.
    :param request: the checked call.
    :raises RequestError: if there is no whole answer.
    """
    await _LookUp(parts, call, request).run()


class _LookUp:
    def __init__(
        self, parts: PlainParts, call: Call, request: PlainRequest
    ) -> None:
        self._parts = parts
        self._call = call
        self._request = request
        self._excluded: frozenset[str] = frozenset()
        self._silent: frozenset[str] = frozenset()
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
        sending = self._next_sending()
        try:
            async with open_answer(self._parts, sending) as response:
                await self._relay(response)
        except HttpClientError as error:
            self._note(sending, error)
            return error
        return None

    def _next_sending(self) -> CallAttempt:
        request = self._request
        if self._call.gone.is_set():
            raise CallerGone
        left_s = request.deadline - trio.current_time()
        if left_s <= 0:
            raise self._refused('deadline_exceeded', 'the deadline is over')
        server = choose_server(self._parts, request, self._excluded)
        if server is None:
            raise self._refused('no_server', 'no server can be used')
        fresh = server.vm in self._silent
        # A pooled connection may be silent for good; half of the time is
        # left for a new one.
        usable_s = left_s if fresh else left_s / 2
        bound_s = request.service.first_byte_ms / _MS
        return CallAttempt(server, request, fresh, min(bound_s, usable_s))

    async def _relay(self, response: Response) -> None:
        headers = end_to_end_headers(response.headers_by_name)
        length = response.headers_by_name.get('content-length')
        if length is not None:
            headers['content-length'] = length
        await self._call.start(response.status, tuple(headers.items()))
        await relay_remaining(self._call, response)

    def _note(self, sending: CallAttempt, error: HttpClientError) -> None:
        self._sent = self._sent or error.sent
        vm = sending.server.vm
        if isinstance(error, ConnectionSilent) and not sending.fresh:
            # A new connection is tried before the server counts as failed.
            self._silent |= {vm}
        else:
            self._excluded |= {vm}

    def _failed(self, error: HttpClientError) -> RequestError:
        return self._refused('server_failed', error.message)

    def _refused(self, code: str, message: str) -> RequestError:
        headers = self._call.headers_by_name
        if not self._sent:
            return refusal(code, message, headers)
        return RequestError(code, message, 'unknown')
