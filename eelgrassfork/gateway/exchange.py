"""
eelgrassfork.gateway.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Exchanges one request with one server, and relays its answer.
"""

import math
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

import logbook
import trio

from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
    Response,
)
from ..sse import EventTooLarge
from .event_relay import BrokenStream
from .follower import Beliefs
from .patience import Waiting, pause_s, silence_s
from .records import AnswerHead, Headers
from .sending import KeptAnswer, Send, SendFailed, Sending
from .servers import Server

__all__ = ('Exchange', 'ExchangeParts', 'Leave', 'Target')

_log = logbook.Logger('exchange')

_EVENTS: Final = 'text/event-stream'
# Routers and servers are a few milliseconds apart.
_CONNECT_S: Final = 0.3
# Statuses by which callers know that a request has not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))


class Target(NamedTuple):
    """What a server is told beside the caller's own headers."""

    server_id: str
    patience_s: float
    organisation: str
    priority: int
    last_event_id: str


class ExchangeParts(NamedTuple):
    """
    What an exchange works with.

    :param client: HTTP client for servers.
    :param beliefs: told of servers that are not who they were.
    :param encode: writes the headers that tell a server its target.
    :param decode: understands the head of an answer.
    """

    client: HttpClient
    beliefs: Beliefs
    encode: Callable[[Target], Headers]
    decode: Callable[[int, Headers], AnswerHead]


# Takes the right to send the request to another server; asked once the present
# one is slow.
Leave = Callable[[], bool]


class _Incoming:
    def __init__(self, response: Response, answer: AnswerHead) -> None:
        self.response = response
        self.answer = answer
        self.progress_at = trio.current_time()


class Exchange:
    """
    Sends requests to servers that were chosen.

    :param parts: what it works with.
    """

    def __init__(self, parts: ExchangeParts) -> None:
        self._parts = parts
        self._random = random.Random()

    async def run(
        self, sending: Sending, send: Send, leave: Leave
    ) -> KeptAnswer | None:
        """
        Send a request and relay its answer.

        :param sending: the request.
        :param send: the server it goes to.
        :param leave: whether another server may be tried after it.
        :returns: a failure of the server that was not relayed; ``None`` if
            the answer was.
        :raises SendFailed: if there is no answer to relay.
        """
        response = await self._request(sending, send, leave)
        try:
            return await self._relay(sending, send, response, leave)
        except HttpClientError as error:
            raise self._lost(send, error) from None
        except (BrokenStream, EventTooLarge) as error:
            self._note_failure(send)
            raise SendFailed(error.code, error.message, not_run=False) from None
        finally:
            await response.close()

    async def _request(
        self, sending: Sending, send: Send, leave: Leave
    ) -> Response:
        send.reached = True
        waiting = _waiting(sending, send)
        bounds = ClientTimeouts(
            connect_s=_CONNECT_S,
            first_byte_s=silence_s(sending.permission.route, waiting),
            # The deadline of the request ends a body that stalls.
            silence_s=math.inf,
            should_time_out=leave,
        )
        try:
            return await self._parts.client.request(
                self._encode(sending, send), bounds
            )
        except HttpClientError as error:
            send.reached = error.sent
            raise self._lost(send, error) from None

    def _encode(self, sending: Sending, send: Send) -> ClientRequest:
        head = sending.head
        permission = sending.permission
        target = Target(
            send.server.entry.id,
            sending.left_s,
            permission.organisation.name,
            permission.priority,
            sending.relay.last_event_id,
        )
        return ClientRequest(
            send.server.entry.address,
            head.method,
            head.target,
            (*head.headers, *self._parts.encode(target)),
            sending.call.body,
            no_resend=not permission.route.repeatable,
            host=head.host_header,
        )

    async def _relay(
        self,
        sending: Sending,
        send: Send,
        response: Response,
        leave: Leave,
    ) -> KeptAnswer | None:
        answer = self._check(sending, send, response)
        sending.may_have_run = True
        if not _is_success(answer):
            return await self._failure(sending, send, response, answer)
        if _is_stream(sending, answer):
            await self._stream(
                sending, send, _Incoming(response, answer), leave
            )
        else:
            body = await response.read()
            self._note_success(send)
            await sending.respond(answer, body)
        send.outcome = 'answered'
        return None

    def _check(
        self, sending: Sending, send: Send, response: Response
    ) -> AnswerHead:
        answer = self._parts.decode(response.status, response.headers)
        if answer.load is not None:
            send.server.note_load(answer.load, trio.current_time())
        _note_wishes(send.server, answer)
        if answer.request_id not in {'', sending.head.request_id}:
            self._note_failure(send)
            raise SendFailed('crossed', 'an answer to another request', False)
        if answer.not_run:
            raise self._not_run(send, answer)
        if _is_success(answer) and not answer.sealed:
            self._note_failure(send)
            raise SendFailed('unsealed', 'an answer of unknown origin', False)
        return answer

    def _not_run(self, send: Send, answer: AnswerHead) -> SendFailed:
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._parts.beliefs.servers.misdirected(send.server)
        else:
            self._note_failure(send)
        return SendFailed('not_run', f'HTTP {answer.status}', not_run=True)

    async def _failure(
        self,
        sending: Sending,
        send: Send,
        response: Response,
        answer: AnswerHead,
    ) -> KeptAnswer:
        body = await response.read()
        send.outcome = f'http_{answer.status}'
        is_servers = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_servers:
            self._note_failure(send)
        if answer.status in _PROMISES:
            # The server did not vouch for it, so callers must not rely on it.
            raise SendFailed('unproven', f'HTTP {answer.status}', not_run=False)
        repeatable = sending.permission.route.repeatable
        return KeptAnswer(answer, body, not (is_servers and repeatable))

    async def _stream(
        self, sending: Sending, send: Send, incoming: _Incoming, leave: Leave
    ) -> None:
        relay = sending.relay
        relay.begin()
        sending.tokens_per_event = self._tokens_per_event(send)
        while chunk := await self._next_chunk(sending, send, incoming, leave):
            events = relay.feed(chunk)
            if events:
                incoming.progress_at = trio.current_time()
                if not send.is_read:
                    send.mark_read()
                    self._note_success(send)
                await sending.pass_on(incoming.answer, events)
        if not relay.is_whole:
            raise SendFailed('cut', 'the stream ended within an event', False)
        await sending.finish(incoming.answer)

    async def _next_chunk(
        self, sending: Sending, send: Send, incoming: _Incoming, leave: Leave
    ) -> bytes:
        # Bytes that complete no event are no progress.
        while True:
            longest_s = pause_s(
                sending.permission.route, _waiting(sending, send)
            )
            with trio.move_on_at(incoming.progress_at + longest_s):
                return await incoming.response.next_chunk()
            if leave():
                self._note_failure(send)
                raise SendFailed(
                    'silent', f'no event within {longest_s} s', False
                )
            incoming.progress_at = trio.current_time()

    def _tokens_per_event(self, send: Send) -> int:
        configuration = self._parts.beliefs.configuration.current
        if configuration is None:
            return 1
        service = configuration.services_by_name.get(send.server.entry.service)
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    def _lost(self, send: Send, error: HttpClientError) -> SendFailed:
        self._note_failure(send, isinstance(error, ConnectFailed))
        silent = isinstance(error, ReceiveTimeout)
        return SendFailed(
            'silent' if silent else error.code,
            error.message,
            not_run=not error.sent,
        )

    def _note_failure(self, send: Send, unreachable: bool = False) -> None:
        server = send.server
        now_s = trio.current_time()
        was_ejected = server.health.ejected
        server.note_failure(now_s, unreachable, self._random)
        if server.health.ejected and not was_ejected:
            _log.warning(
                'ejected a server',
                extra={
                    'server': server.entry.id,
                    'unreachable': unreachable,
                    'failures': round(server.failures(now_s), 1),
                },
            )

    def _note_success(self, send: Send) -> None:
        server = send.server
        now_s = trio.current_time()
        if server.health.ejected:
            _log.info('took a server back', extra={'server': server.entry.id})
        server.note_success(now_s - send.started_at, now_s)


def _waiting(sending: Sending, send: Send) -> Waiting:
    has_other = sending.reached < sending.permission.route.attempts
    return Waiting(sending.left_s, send.server.latency_s, has_other)


def _note_wishes(server: Server, answer: AnswerHead) -> None:
    if answer.leaving and server.note_leaving():
        _log.info('a server leaves', extra={'server': server.entry.id})
    if answer.pause_s > 0:
        server.pause(answer.pause_s, trio.current_time())
        _log.info(
            'a server asked for a pause',
            extra={'server': server.entry.id, 'pause_s': answer.pause_s},
        )


def _is_success(answer: AnswerHead) -> bool:
    return HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES


def _is_stream(sending: Sending, answer: AnswerHead) -> bool:
    kinds = [text for name, text in answer.headers if name == 'content-type']
    events = any(text.startswith(_EVENTS) for text in kinds)
    return events or (sending.permission.route.kind == 'stream' and not kinds)
