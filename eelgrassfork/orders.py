"""
eelgrassfork.orders
~~~~~~~~~~~~~~~~~~~

Calls of plain services that run at most once.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Final, NoReturn, cast

import trio

from .claim_records import (
    MAX_KEPT_BYTES,
    ClaimAnswer,
    ClaimState,
    ReplayedAnswer,
    keep_answer,
)
from .claims import NewClaim
from .errors import RequestError
from .http_client import HttpClientError, Response
from .http_server import Call, CallerGone
from .issued_key_table import parse_key
from .permits import Permit, permit_by_claim
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
    Send a call once, or answer its repetition.

    The call is sent on a new connection, and never again once a byte may
    have left. The answer is recorded before it is delivered, and also if the
    caller has gone away.

    :param parts: dependencies.
    :param call: the request as it arrived.
    :param request: the checked call.
    :raises RequestError: with the outcome, if there is no whole answer.
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
    issued = parse_key(request.key)
    if issued is not None:
        return await parts.issued_keys.permit(issued, wanted)
    return await permit_by_claim(parts.claims, parts.credit, wanted)


class _Order:
    """
    One permitted call until its outcome is recorded.

    Until a byte may have left, this router alone could send the call and did
    not, so that its refusals say ``not_run``.
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
        self._ended = False

    async def run(self) -> None:
        try:
            while not self._ended:
                await self._try_server(await self._next_sending())
        except BaseException:
            # Also when the router is stopped: the outcome is written down
            # before this task ends.
            if not self._ended:
                with trio.CancelScope(shield=True):
                    await self._end('unknown')
            raise

    async def _next_sending(self) -> CallAttempt:
        request = self._request
        if self._call.gone.is_set():
            await self._end('released')
            raise CallerGone
        if trio.current_time() >= request.deadline:
            await self._refuse('deadline_exceeded', 'the deadline is over')
        server = choose_server(self._parts, request, self._excluded)
        if server is None:
            await self._refuse('no_server', 'no server can be used')
        first_byte_s = request.service.first_byte_ms / _MS
        return CallAttempt(server, request, True, first_byte_s)

    async def _try_server(self, sending: CallAttempt) -> None:
        try:
            async with open_answer(self._parts, sending) as response:
                await self._take(response)
        except HttpClientError as error:
            if error.sent:
                await self._end('unknown')
                raise RequestError(
                    'server_failed',
                    f'the request was sent, but: {error.message}',
                    'unknown',
                ) from None
            self._excluded |= {sending.server.vm}

    async def _take(self, response: Response) -> None:
        body = await _read_kept(response)
        whole = len(body) <= MAX_KEPT_BYTES
        await self._end(
            'ran',
            keep_answer(
                response.status,
                response.headers_by_name,
                body if whole else None,
            ),
        )
        passed_on = end_to_end_headers(response.headers_by_name)
        headers = tuple(passed_on.items())
        if whole:
            await send_answer(self._call, response.status, headers, body)
            return
        await self._call.start(response.status, headers)
        await self._call.send(body)
        await relay_remaining(self._call, response)

    async def _refuse(self, code: str, message: str) -> NoReturn:
        await self._end('released')
        raise RequestError(code, message)

    async def _end(
        self, state: ClaimState, answer: ClaimAnswer | None = None
    ) -> None:
        self._ended = True
        request = self._request
        outcome = 'not_run' if state == 'released' else state
        self._parts.metrics.count(
            'orders', request.caller.fleet, request.service.name, outcome
        )
        await self._permit(state, answer)


async def _read_kept(response: Response) -> bytes:
    # Reads on only until the body is too large to be kept.
    body = bytearray()
    chunks = cast(AsyncGenerator[bytes, None], response.chunks())
    async with aclosing(chunks):
        async for chunk in chunks:
            body += chunk
            if len(body) > MAX_KEPT_BYTES:
                break
    return bytes(body)
