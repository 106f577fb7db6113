"""
eelgrassfork.orders
~~~~~~~~~~~~~~~~~~~

Runs orders: calls of plain services that are executed at most once.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Final, NoReturn, cast

import trio

from .claim_records import (
    MAX_STORED_BODY_BYTES,
    ClaimAnswer,
    ClaimState,
    ReplayedAnswer,
    make_stored_answer,
)
from .claims import NewClaim
from .errors import RequestError
from .http_client import HttpClientError, Response
from .http_server import Call, CallerDisconnected
from .issued_key_table import parse_key
from .permits import Permit, claim_and_reserve
from .plain_parts import (
    CallAttempt,
    PlainParts,
    choose_server,
    open_answer,
    relay_remaining,
    send_answer,
)
from .plain_request import PlainRequest, end_to_end_headers

__all__ = ('run_order',)

_MS: Final = 1000
_REPLAYED: Final = ('idempotent-replayed', 'true')


async def run_order(
    parts: PlainParts, call: Call, request: PlainRequest
) -> None:
    """
    Send a call at most once, or replay the answer to a repeated key.

    The call is sent on a new connection, and is not sent again once a byte
    may have been sent. The answer is recorded before it is delivered, even if
    the caller has disconnected.

    :param parts: dependencies.
    :param call: the incoming request.
    :param request: the validated request.
    :raises RequestError: with the outcome, if no complete answer was read.
    """
    try:
        permit = await _permit(parts, request)
    except ReplayedAnswer as replay:
        answer = replay.answer
        headers = (*answer.headers, _REPLAYED)
        await send_answer(call, answer.status, headers, answer.body or b'')
        return
    await _Order(parts, call, request, permit).run()


async def _permit(parts: PlainParts, request: PlainRequest) -> Permit:
    wanted = NewClaim(
        budget=request.caller.budget,
        key=request.key,
        body_hash=request.body_hash,
        request_id=request.request_id,
        price=request.service.price_tokens,
        first_attempt=request.first_attempt,
    )
    issued_key = parse_key(request.key)
    if issued_key is not None:
        return await parts.issued_keys.permit(issued_key, wanted)
    return await claim_and_reserve(parts.claims, parts.credit, wanted)


class _Order:
    """
    One permitted call, until its outcome is recorded.

    Only this router may send the call. Until a byte may have been sent, its
    refusals therefore report ``not_run``.
    """

    def __init__(
        self,
        parts: PlainParts,
        call: Call,
        request: PlainRequest,
        permit: Permit,
    ) -> None:
        self._parts = parts
        self._call = call
        self._request = request
        self._permit = permit
        self._excluded: frozenset[str] = frozenset()
        self._has_outcome = False

    async def run(self) -> None:
        try:
            while not self._has_outcome:
                await self._try_server(await self._next_attempt())
        except BaseException:
            # Shielded, so that the outcome is recorded before this task ends
            # even if the router is shutting down.
            if not self._has_outcome:
                with trio.CancelScope(shield=True):
                    await self._record_outcome('unknown')
            raise

    async def _next_attempt(self) -> CallAttempt:
        request = self._request
        if self._call.disconnected.is_set():
            await self._record_outcome('released')
            raise CallerDisconnected
        if trio.current_time() >= request.deadline:
            await self._refuse(
                'deadline_exceeded',
                'deadline exceeded before the request was sent',
            )
        server = choose_server(self._parts, request, self._excluded)
        if server is None:
            await self._refuse(
                'no_server', 'no backend server is available for the request'
            )
        first_byte_s = request.service.first_byte_ms / _MS
        return CallAttempt(server, request, True, first_byte_s)

    async def _try_server(self, attempt: CallAttempt) -> None:
        try:
            async with open_answer(self._parts, attempt) as response:
                await self._handle_response(response)
        except HttpClientError as error:
            if error.sent:
                await self._record_outcome('unknown')
                raise RequestError(
                    'server_failed',
                    f'the request was sent, but the call failed: {error.message}',
                    'unknown',
                ) from None
            self._excluded |= {attempt.server.vm}

    async def _handle_response(self, response: Response) -> None:
        body = await _read_storable(response)
        is_complete = len(body) <= MAX_STORED_BODY_BYTES
        await self._record_outcome(
            'ran',
            make_stored_answer(
                response.status,
                response.headers_by_name,
                body if is_complete else None,
            ),
        )
        forwarded = end_to_end_headers(response.headers_by_name)
        headers = tuple(forwarded.items())
        if is_complete:
            await send_answer(self._call, response.status, headers, body)
            return
        await self._call.start(response.status, headers)
        await self._call.send(body)
        await relay_remaining(self._call, response)

    async def _refuse(self, code: str, message: str) -> NoReturn:
        await self._record_outcome('released')
        raise RequestError(code, message)

    async def _record_outcome(
        self, state: ClaimState, answer: ClaimAnswer | None = None
    ) -> None:
        self._has_outcome = True
        request = self._request
        outcome = 'not_run' if state == 'released' else state
        self._parts.metrics.count(
            'orders', request.caller.fleet, request.service.name, outcome
        )
        await self._permit(state, answer)


async def _read_storable(response: Response) -> bytes:
    # Stops reading once the body is too large to be stored.
    body = bytearray()
    chunks = cast(AsyncGenerator[bytes, None], response.chunks())
    async with aclosing(chunks):
        async for chunk in chunks:
            body += chunk
            if len(body) > MAX_STORED_BODY_BYTES:
                break
    return bytes(body)
