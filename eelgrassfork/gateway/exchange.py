"""
eelgrassfork.gateway.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends a request to one server, and relays the server's answer.
"""

import math
import random
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

import logbook
import trio

from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
    Response,
)
from ..sse import EventTooLarge
from .event_relay import EventsMissing
from .follower import StoreView
from .limit_table import LimitTable
from .part_quarantine import PartQuarantine
from .records import AnswerHead, Headers
from .sending import Attempt, AttemptFailed, ErrorAnswer, PendingRequest
from .server_crashes import CrashDetector
from .servers import Server
from .timeouts import WaitContext, event_gap_timeout_s, first_byte_timeout_s

__all__ = ('ClaimFailover', 'Exchange', 'ExchangeParts', 'ForwardMetadata')

_log = logbook.Logger('exchange')

_EVENT_STREAM: Final = 'text/event-stream'
_HTTP_MESSAGES: Final = ('message/http', 'application/http')
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}')
_STATUS_LINE_BYTES: Final = 12
# Routers and servers are a few milliseconds apart.
_CONNECT_TIMEOUT_S: Final = 0.3
# Callers take these statuses as a guarantee that the request has not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class ForwardMetadata(NamedTuple):
    """
    Values that a router sends to a server in addition to the caller's headers.

    :param server_id: id of the server that the request is meant for.
    :param remaining_s: time until the request's deadline.
    :param organisation: name of the organisation, empty for anonymous
        requests.
    :param priority: 0 is the most urgent.
    :param last_event_id: last event received of a resumed stream; empty for a
        new stream.
    """

    server_id: str
    remaining_s: float
    organisation: str
    priority: int
    last_event_id: str


class ExchangeParts(NamedTuple):
    """
    Dependencies of an exchange.

    :param client: HTTP client for servers.
    :param store_view: state of servers and configuration.
    :param limits: limits that servers name in their answers.
    :param crashes: detects servers that ended.
    :param quarantine: records the requests under which servers ended.
    :param encode_metadata: encodes metadata as headers.
    :param decode_response: decodes status and headers of an answer.
    """

    client: HttpClient
    store_view: StoreView
    limits: LimitTable
    crashes: CrashDetector
    quarantine: PartQuarantine
    encode_metadata: Callable[[ForwardMetadata], Headers]
    decode_response: Callable[[int, Headers], AnswerHead]


# Called when the current server has timed out.  Returns whether the request
# may be sent to another server; if so, the retry is taken from the budget.
ClaimFailover = Callable[[], bool]


class _IncomingStream:
    def __init__(self, response: Response, answer: AnswerHead) -> None:
        self.response = response
        self.answer = answer
        self.progress_at = trio.current_time()


class Exchange:
    """
    Sends requests to selected servers, and records the results.

    :param parts: dependencies.
    """

    def __init__(self, parts: ExchangeParts) -> None:
        self._parts = parts
        self._random = random.Random()

    async def run(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        claim_failover: ClaimFailover,
    ) -> ErrorAnswer | None:
        """
        Send a request and relay its answer.

        :param pending: request to send.
        :param attempt: attempt with the selected server.
        :param claim_failover: called on a time-out; returns whether another
            server may be tried.
        :returns: an error answer of the server that was not relayed; ``None``
            if the answer was relayed.
        :raises AttemptFailed: if there is no answer to relay.
        """
        response = await self._request(pending, attempt, claim_failover)
        try:
            return await self._relay(pending, attempt, response, claim_failover)
        except HttpClientError as error:
            raise await self._connection_failure(
                pending, attempt, error
            ) from None
        except (EventsMissing, EventTooLarge) as error:
            self._record_failure(attempt)
            raise AttemptFailed(
                error.code, error.message, not_run=False
            ) from None
        finally:
            await response.close()

    async def _request(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        claim_failover: ClaimFailover,
    ) -> Response:
        attempt.maybe_sent = True
        context = _wait_context(pending, attempt)
        timeouts = ClientTimeouts(
            connect_s=_CONNECT_TIMEOUT_S,
            first_byte_s=first_byte_timeout_s(
                pending.permission.route, context
            ),
            # A stalled body is ended by the deadline of the request.
            silence_s=math.inf,
            should_time_out=claim_failover,
        )
        try:
            return await self._parts.client.request(
                self._encode(pending, attempt), timeouts
            )
        except HttpClientError as error:
            attempt.maybe_sent = error.sent
            raise await self._connection_failure(
                pending, attempt, error
            ) from None

    def _encode(
        self, pending: PendingRequest, attempt: Attempt
    ) -> ClientRequest:
        head = pending.head
        permission = pending.permission
        metadata = ForwardMetadata(
            attempt.server.entry.id,
            pending.remaining_s,
            permission.organisation.name,
            permission.priority,
            pending.relay.last_event_id,
        )
        return ClientRequest(
            attempt.server.entry.address,
            head.method,
            head.target,
            (*head.headers, *self._parts.encode_metadata(metadata)),
            pending.call.body,
            # The server counts a resent request twice against its limit.
            no_resend=not permission.route.repeatable
            or attempt.limit_per_s is not None,
            host=head.host_header,
        )

    async def _relay(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        response: Response,
        claim_failover: ClaimFailover,
    ) -> ErrorAnswer | None:
        answer = self._check_answer(pending, attempt, response)
        pending.may_have_run = True
        if not _is_success(answer):
            return await self._read_error(pending, attempt, response, answer)
        if _is_stream(pending, answer):
            await self._relay_stream(
                pending,
                attempt,
                _IncomingStream(response, answer),
                claim_failover,
            )
        else:
            body = await self._read_body(attempt, response)
            self._record_success(attempt)
            await pending.respond(answer, body)
        attempt.outcome = 'answered'
        self._parts.quarantine.record_answer(
            attempt.server.entry.service, pending.suspect_ids
        )
        return None

    def _check_answer(
        self, pending: PendingRequest, attempt: Attempt, response: Response
    ) -> AnswerHead:
        answer = self._parts.decode_response(response.status, response.headers)
        if answer.request_id != pending.head.request_id:
            # Bytes after an earlier answer on the connection belong to no
            # request, and say nothing about the server.
            raise self._crossed(
                attempt, 'the answer does not have the id of the request'
            )
        if answer.load is not None:
            attempt.server.update_load(answer.load, trio.current_time())
        _apply_server_requests(attempt.server, answer)
        self._observe_limit(attempt, answer)
        if answer.not_run:
            raise self._not_run(attempt, answer)
        if _is_success(answer) and not answer.sealed:
            self._record_failure(attempt)
            raise AttemptFailed(
                'unsealed', 'the answer has no proof of origin', False
            )
        return answer

    def _crossed(self, attempt: Attempt, message: str) -> AttemptFailed:
        self._record_failure(attempt)
        return AttemptFailed('crossed', message, not_run=False)

    async def _read_body(self, attempt: Attempt, response: Response) -> bytes:
        body = await response.read()
        if response.is_cut:
            # A part of an answer must not look complete to the caller.
            self._record_failure(attempt)
            raise AttemptFailed(
                'error_too_large', 'the error page is too large', not_run=False
            )
        await self._check_end(attempt, response)
        start = body[:_STATUS_LINE_BYTES] + response.surplus
        if not _STATUS_LINE.match(start):
            return body
        if _content_type(response).startswith(_HTTP_MESSAGES):
            return body
        raise self._crossed(attempt, 'the body begins with another answer')

    def _observe_limit(self, attempt: Attempt, answer: AnswerHead) -> None:
        # Another server may answer at the address of a former one.  Only a
        # complete success shows that a server no longer names a limit.
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        is_success = _is_success(answer) and answer.sealed
        if answer.limit.per_s is not None or is_success:
            self._parts.limits.observe(
                attempt.server.entry, answer.limit, attempt.started_at
            )

    def _not_run(self, attempt: Attempt, answer: AnswerHead) -> AttemptFailed:
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._parts.store_view.servers.mark_misdirected(attempt.server)
        else:
            self._record_failure(attempt)
        return AttemptFailed('not_run', f'HTTP {answer.status}', not_run=True)

    async def _read_error(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        response: Response,
        answer: AnswerHead,
    ) -> ErrorAnswer:
        body = await self._read_body(attempt, response)
        attempt.outcome = f'http_{answer.status}'
        is_server_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_server_error:
            self._record_failure(attempt)
        if answer.status in _NOT_RUN_STATUSES:
            # The server did not guarantee that the request has not run, so
            # the status must not reach the caller.
            raise AttemptFailed(
                'unproven', f'HTTP {answer.status}', not_run=False
            )
        if answer.sealed:
            # The server survived the request, but may not have read its prompt.
            self._parts.quarantine.record_answer(
                attempt.server.entry.service, pending.suspect_ids[:1]
            )
        repeatable = pending.permission.route.repeatable
        return ErrorAnswer(answer, body, not (is_server_error and repeatable))

    async def _relay_stream(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        incoming: _IncomingStream,
        claim_failover: ClaimFailover,
    ) -> None:
        relay = pending.relay
        relay.switch_server(attempt.tokens_per_event)
        while chunk := await self._next_chunk(
            pending, attempt, incoming, claim_failover
        ):
            events = relay.feed(chunk)
            if events:
                incoming.progress_at = trio.current_time()
                if not attempt.is_prefilled:
                    attempt.mark_begun()
                    self._record_success(attempt)
                await pending.relay_events(incoming.answer, events)
        if not relay.at_event_boundary:
            self._record_failure(attempt)
            raise AttemptFailed(
                'cut', 'the stream ended within an event', False
            )
        await self._check_end(attempt, incoming.response)
        await pending.finish(incoming.answer)

    async def _check_end(self, attempt: Attempt, response: Response) -> None:
        # The connections of a process that ends are closed as at the end of
        # an answer.
        if not response.is_unframed:
            return
        survived = await self._parts.crashes.survival.has_survived(
            attempt.server
        )
        if not survived or self._was_replaced(attempt.server):
            raise ConnectionLost(
                'connection_lost', 'the server may have ended', sent=True
            )

    def _was_replaced(self, server: Server) -> bool:
        # A later process may listen at the address of one that ended.
        return any(
            entry.id == server.entry.id
            and entry.incarnation > server.entry.incarnation
            for entry in self._parts.store_view.servers.entries
        )

    async def _next_chunk(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        incoming: _IncomingStream,
        claim_failover: ClaimFailover,
    ) -> bytes:
        # Bytes that do not complete an event do not extend the time-out.
        while True:
            max_gap_s = event_gap_timeout_s(
                pending.permission.route, _wait_context(pending, attempt)
            )
            with trio.move_on_at(incoming.progress_at + max_gap_s):
                return await incoming.response.next_chunk()
            if claim_failover():
                self._record_failure(attempt)
                raise AttemptFailed(
                    'silent', f'no complete event within {max_gap_s} s', False
                )
            incoming.progress_at = trio.current_time()

    async def _connection_failure(
        self, pending: PendingRequest, attempt: Attempt, error: HttpClientError
    ) -> AttemptFailed:
        self._record_failure(attempt, isinstance(error, ConnectFailed))
        attempt.server_ended = await self._parts.crashes.has_ended(
            attempt.server, error
        )
        if attempt.server_ended:
            self._parts.quarantine.record_crash(attempt, pending.suspect_ids)
        silent = isinstance(error, ReceiveTimeout)
        return AttemptFailed(
            'silent' if silent else error.code,
            error.message,
            not_run=not error.sent,
        )

    def _record_failure(
        self, attempt: Attempt, unreachable: bool = False
    ) -> None:
        server = attempt.server
        now_s = trio.current_time()
        was_ejected = server.health.ejected
        server.record_failure(now_s, unreachable, self._random)
        if server.health.ejected and not was_ejected:
            _log.warning(
                'server ejected after failures',
                extra={
                    'server': server.entry.id,
                    'unreachable': unreachable,
                    'failures': round(server.failures(now_s), 1),
                },
            )

    def _record_success(self, attempt: Attempt) -> None:
        server = attempt.server
        now_s = trio.current_time()
        if server.health.ejected:
            _log.info(
                'ejected server answered; reinstated',
                extra={'server': server.entry.id},
            )
        server.record_success(now_s - attempt.started_at, now_s)


def _wait_context(pending: PendingRequest, attempt: Attempt) -> WaitContext:
    has_alternative = pending.sent_count < pending.permission.route.max_attempts
    return WaitContext(
        pending.remaining_s, attempt.server.latency_s, has_alternative
    )


def _apply_server_requests(server: Server, answer: AnswerHead) -> None:
    if answer.leaving and server.mark_leaving():
        _log.info(
            'server announced its shutdown', extra={'server': server.entry.id}
        )
    if answer.pause_s > 0:
        server.pause(answer.pause_s, trio.current_time())
        _log.info(
            'server requested a pause',
            extra={'server': server.entry.id, 'pause_s': answer.pause_s},
        )


def _content_type(response: Response) -> str:
    return response.headers_by_name.get('content-type', '')


def _is_success(answer: AnswerHead) -> bool:
    return HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES


def _is_stream(pending: PendingRequest, answer: AnswerHead) -> bool:
    content_types = [
        text for name, text in answer.headers if name == 'content-type'
    ]
    is_event_stream = any(
        text.startswith(_EVENT_STREAM) for text in content_types
    )
    return is_event_stream or (
        pending.permission.route.kind == 'stream' and not content_types
    )
