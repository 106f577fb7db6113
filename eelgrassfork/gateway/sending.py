"""
eelgrassfork.gateway.sending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends one request to one server after the other until its answer is relayed.
"""

import random
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

import trio

from ..errors import EelgrassError, RequestError
from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    ConnectionSilent,
    HttpClient,
    HttpClientError,
    Response,
)
from ..http_server import Call
from ..sse import EventTooLarge
from .choice import Candidate, ChoicePolicy, Wish, choose, placement_key
from .configuration import Permission
from .event_relay import BrokenStream, EventRelay
from .follower import Beliefs
from .records import AnswerHead, ForwardHead, Headers, Route
from .repeat_budget import RepeatBudget, RepeatPolicy
from .servers import Server
from .telemetry import Telemetry

__all__ = ('Send', 'Sender', 'SenderParts', 'Sending', 'Target')

_EVENTS: Final = 'text/event-stream'
_CONNECT_S: Final = 0.3
_TRIAL_S: Final = 1.0
_SERVER_ERROR: Final = 500
_SUCCESS: Final = range(200, 300)
_MISDIRECTED: Final = 421
# Statuses by which callers know that a request has not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))
# A server that is this much slower than usual is taken to be silent, where
# another one may still answer in time.
_SILENCE_FACTOR: Final = 3.0
_SHORTEST_SILENCE_S: Final = 0.12
_PREFILL_SILENCE_S: Final = 0.3
# Returns of refused callers are spread over this part of their objective.
_SPREAD: Final = 1.0
_MAX_BODY_BYTES: Final = 4_194_304

Verdict = Literal['done', 'not_run', 'failed']


class Target(NamedTuple):
    """What a server is told beside the caller's own headers."""

    server_id: str
    patience_s: float
    organisation: str
    priority: int
    last_event_id: str


class SenderParts(NamedTuple):
    """
    What the sender works with.

    :param client: HTTP client for servers.
    :param encode: writes the headers that tell a server its target.
    :param decode: understands the head of an answer.
    :param routers: number of live routers.
    """

    client: HttpClient
    beliefs: Beliefs
    telemetry: Telemetry
    failure_domain: str
    encode: Callable[[Target], Headers]
    decode: Callable[[int, Headers], AnswerHead]
    repeat_policy: RepeatPolicy
    routers: Callable[[], int]


class Send:
    """One request sent to one server."""

    def __init__(self, server: Server, reason: str, load: float) -> None:
        self.server = server
        self.reason = reason
        self.load = load
        self.outcome = 'unknown'
        self.reached = False
        self.started_at = trio.current_time()

    def log_fields(self) -> dict[str, object]:
        """
        Describe the send for the log.

        :returns: server, why it was chosen, and how it ended.
        """
        return {
            'server': self.server.entry.id,
            'chosen_by': self.reason,
            'load': round(self.load, 1),
            'outcome': self.outcome,
        }


class Sending:
    """
    State of one request.

    :ivar deadline: when its answer has to be complete, on the clock of trio.
    :ivar may_have_run: whether some server may have run it.
    """

    def __init__(
        self,
        call: Call,
        head: ForwardHead,
        permission: Permission,
        deadline: float,
    ) -> None:
        self.call = call
        self.head = head
        self.permission = permission
        self.deadline = deadline
        self.relay = EventRelay(head.last_event_id)
        self.sends: list[Send] = []
        self.may_have_run = False
        self.outcome = 'answered'
        self.answered = False
        self.caller_gone = False
        self.first_byte_at: float = -1
        self.tokens_per_event = 0

    def spent_tokens(self) -> int:
        """
        Count what the request has used.

        :returns: tokens; 0 if no server ran it.
        """
        if not self.may_have_run:
            return 0
        output = self.relay.events * self.tokens_per_event
        return self.head.prompt_tokens + min(
            output, self.head.max_output_tokens
        )


Renew = Callable[[Sending], Permission]


class _Failed(EelgrassError):
    """A send brought no answer that may be relayed."""

    def __init__(self, code: str, message: str, not_run: bool) -> None:
        super().__init__(code, message)
        self.not_run = not_run


class _Kept(NamedTuple):
    """
    A server's own error.

    :param final: whether no repeated send may do better.
    """

    answer: AnswerHead
    body: bytes
    final: bool


class Sender:
    """
    Chooses servers and exchanges requests with them.

    :param parts: what it works with.
    :param policy: weights of the choice.
    """

    def __init__(
        self, parts: SenderParts, policy: ChoicePolicy | None = None
    ) -> None:
        self._parts = parts
        self._policy = policy or ChoicePolicy()
        self._random = random.Random()
        self._budgets_by_service: dict[str, RepeatBudget] = {}

    async def send(self, sending: Sending, renew: Renew) -> None:
        """
        Bring a request to its final answer.

        :param sending: the request.
        :param renew: looks up the route as it is now; called before each
            send.
        :raises RequestError: if there is no answer to relay.
        """
        with trio.move_on_at(sending.deadline) as scope:
            await self._send(sending, renew)
        if scope.cancelled_caught:
            raise _late(sending)

    async def _send(self, sending: Sending, renew: Renew) -> None:
        service = self._service(sending)
        budget = self._budget(service)
        budget.note_request(trio.current_time())
        kept: _Kept | None = None
        while kept is None or not kept.final:
            sending.permission = renew(sending)
            try:
                kept = await self._send_once(sending, service, kept)
            except _Failed as failure:
                _check_repeatable(sending, failure)
            if sending.answered:
                return
            if not self._may_repeat(sending, budget):
                break
        if kept is None:
            raise _given_up(sending, self._delay_s(sending))
        await _respond(sending, kept.answer, kept.body)

    def _may_repeat(self, sending: Sending, budget: RepeatBudget) -> bool:
        reached = sum(send.reached for send in sending.sends)
        if not reached:
            # A failed connection is no send; the tried ones bound the loop.
            return True
        if reached >= sending.permission.route.attempts:
            return False
        return budget.take(trio.current_time())

    async def _send_once(
        self, sending: Sending, service: str, kept: _Kept | None
    ) -> _Kept | None:
        server, reason = self._choose(sending, service)
        if server is None:
            if kept is not None:
                return kept._replace(final=True)
            raise self._no_server(sending, reason)
        now_s = trio.current_time()
        send = Send(server, reason, server.load(now_s))
        sending.sends.append(send)
        server.in_flight += 1
        server.unread_tokens += sending.head.prompt_tokens
        unread = _Unread(server, sending.head.prompt_tokens)
        try:
            return await self._exchange(sending, send, unread)
        except _Failed as failure:
            send.outcome = failure.code
            raise
        except trio.Cancelled:
            send.outcome = 'cancelled'
            sending.may_have_run = sending.may_have_run or send.reached
            raise
        finally:
            unread.clear()
            server.in_flight -= 1
            self._parts.telemetry.sends.labels(service, send.outcome).inc()

    async def _exchange(
        self, sending: Sending, send: Send, unread: '_Unread'
    ) -> _Kept | None:
        response = await self._request(sending, send)
        try:
            answer = self._check_head(sending, send, response)
            if answer.status not in _SUCCESS:
                return await self._failure(sending, send, response, answer)
            sending.may_have_run = True
            if _is_stream(sending, answer):
                await self._stream(sending, send, response, answer, unread)
            else:
                await self._whole(sending, send, response, answer)
            send.outcome = 'answered'
        except HttpClientError as error:
            raise self._lost(send, error) from None
        except (BrokenStream, EventTooLarge) as error:
            self._note_failure(send, False)
            raise _Failed(error.code, error.message, not_run=False) from None
        finally:
            await response.close()
        return None

    async def _request(self, sending: Sending, send: Send) -> Response:
        head = sending.head
        permission = sending.permission
        entry = send.server.entry
        target = Target(
            entry.id,
            sending.deadline - trio.current_time(),
            permission.organisation.name,
            permission.priority,
            sending.relay.last_event_id,
        )
        request = ClientRequest(
            entry.address,
            head.method,
            head.target,
            (*head.headers, *self._parts.encode(target)),
            sending.call.body,
            once=not permission.route.repeatable,
            host=head.host_header,
        )
        bounds = ClientTimeouts(
            connect_s=_CONNECT_S,
            first_byte_s=self._silence_s(sending, send),
            silence_s=self._pause_s(sending),
        )
        send.reached = True
        try:
            return await self._parts.client.request(request, bounds)
        except HttpClientError as error:
            send.reached = error.sent
            raise self._lost(send, error) from None

    def _check_head(
        self, sending: Sending, send: Send, response: Response
    ) -> AnswerHead:
        answer = self._parts.decode(response.status, response.headers)
        now_s = trio.current_time()
        if answer.load is not None:
            send.server.note_load(answer.load, now_s)
        if answer.request_id not in {'', sending.head.request_id}:
            self._note_failure(send, False)
            raise _Failed('crossed', 'an answer to another request', False)
        if answer.not_run:
            if answer.status == _MISDIRECTED:
                self._parts.beliefs.servers.misdirected(send.server)
            else:
                self._note_failure(send, False)
            raise _Failed('not_run', f'HTTP {answer.status}', not_run=True)
        if answer.status in _SUCCESS and not answer.sealed:
            self._note_failure(send, False)
            raise _Failed('unsealed', 'an answer of unknown origin', False)
        return answer

    async def _failure(
        self,
        sending: Sending,
        send: Send,
        response: Response,
        answer: AnswerHead,
    ) -> _Kept:
        body = await response.read()
        sending.may_have_run = True
        send.outcome = f'http_{answer.status}'
        if answer.status >= _SERVER_ERROR:
            self._note_failure(send, False)
        if answer.status in _PROMISES:
            # The server did not vouch for it, so callers must not rely on it.
            raise _Failed('unproven', f'HTTP {answer.status}', not_run=False)
        repeatable = sending.permission.route.repeatable
        final = answer.status < _SERVER_ERROR or not repeatable
        return _Kept(answer, body, final)

    async def _whole(
        self,
        sending: Sending,
        send: Send,
        response: Response,
        answer: AnswerHead,
    ) -> None:
        body = await response.read()
        self._note_success(send)
        await _respond(sending, answer, body)

    async def _stream(
        self,
        sending: Sending,
        send: Send,
        response: Response,
        answer: AnswerHead,
        unread: '_Unread',
    ) -> None:
        relay = sending.relay
        relay.begin()
        engine = self._engine_of(send)
        sending.tokens_per_event = engine
        async for chunk in response.chunks():
            events = relay.feed(chunk)
            if not events:
                continue
            if unread.clear():
                self._note_success(send)
            await _pass_on(sending, answer, events)
        if not relay.is_whole:
            raise _Failed('cut', 'the stream ended within an event', False)
        if not sending.call.started:
            await _pass_on(sending, answer, b'')
        await sending.call.finish()
        sending.answered = True

    def _engine_of(self, send: Send) -> int:
        configuration = self._parts.beliefs.configuration.current
        if configuration is None:
            return 1
        service = configuration.services_by_name.get(send.server.entry.service)
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    def _lost(self, send: Send, error: HttpClientError) -> _Failed:
        unreachable = isinstance(error, ConnectFailed)
        self._note_failure(send, unreachable)
        code = error.code
        if isinstance(error, ConnectionSilent):
            code = 'silent'
        return _Failed(code, error.message, not_run=not error.sent)

    def _note_failure(self, send: Send, unreachable: bool) -> None:
        send.server.note_failure(
            trio.current_time(), unreachable, self._random
        )

    def _note_success(self, send: Send) -> None:
        now_s = trio.current_time()
        send.server.note_success(now_s - send.started_at, now_s)

    def _silence_s(self, sending: Sending, send: Send) -> float:
        left_s = max(0.01, sending.deadline - trio.current_time())
        route = sending.permission.route
        if not route.repeatable or not self._others(sending, send):
            return left_s
        shortest = _SHORTEST_SILENCE_S
        if route.kind == 'stream':
            shortest = _PREFILL_SILENCE_S
        usual = send.server.latency_s
        if usual is None:
            usual = route.objective_s / 2
        return min(left_s, max(shortest, usual * _SILENCE_FACTOR))

    def _pause_s(self, sending: Sending) -> float:
        left_s = max(0.01, sending.deadline - trio.current_time())
        route = sending.permission.route
        if not route.repeatable or not route.longest_pause_s:
            return left_s
        return min(left_s, route.longest_pause_s)

    def _others(self, sending: Sending, send: Send) -> bool:
        reached = sum(one.reached for one in sending.sends)
        if reached + 1 > sending.permission.route.attempts:
            return False
        tried = {one.server.entry.id for one in sending.sends}
        usable = self._parts.beliefs.servers.usable(send.server.entry.service)
        return any(server.entry.id not in tried for server in usable)

    def _choose(
        self, sending: Sending, service: str
    ) -> tuple[Server | None, str]:
        now_s = trio.current_time()
        servers = self._parts.beliefs.servers.usable(service)
        by_id = {server.entry.id: server for server in servers}
        wish = Wish(
            self._parts.failure_domain,
            placement_key(sending.head.parts),
            frozenset(send.server.entry.id for send in sending.sends),
            sending.permission.route.repeatable,
        )
        choice = choose(
            [_candidate(server, now_s) for server in servers],
            wish,
            self._policy,
            self._random,
        )
        server = by_id.get(choice.server_id)
        if server is not None and choice.reason == 'trial':
            server.health = server.health._replace(probe_at=now_s + _TRIAL_S)
        return server, choice.reason

    def _service(self, sending: Sending) -> str:
        services = sending.permission.route.services
        weights = [max(0, entry.weight) for entry in services]
        if len(services) == 1 or not any(weights):
            return services[0].service
        return self._random.choices(services, weights)[0].service

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(
                self._parts.repeat_policy, self._parts.routers
            )
            self._budgets_by_service[service] = budget
        return budget

    def _no_server(self, sending: Sending, reason: str) -> RequestError:
        if sending.may_have_run:
            return RequestError(
                'server_failed', 'no other server can answer', 'unknown'
            )
        code = 'overloaded' if reason == 'all_full' else 'no_server'
        return RequestError(
            code,
            f'no server may take the request: {reason}',
            retry_after_s=self._delay_s(sending),
        )

    def _delay_s(self, sending: Sending) -> float:
        objective_s = sending.permission.route.objective_s
        return objective_s * (0.2 + _SPREAD * self._random.random() / 2)


def _check_repeatable(sending: Sending, failure: _Failed) -> None:
    if not failure.not_run:
        sending.may_have_run = True
    if sending.may_have_run and not sending.permission.route.repeatable:
        raise RequestError('server_failed', failure.message, 'unknown')


def _is_stream(sending: Sending, answer: AnswerHead) -> bool:
    kinds = [text for name, text in answer.headers if name == 'content-type']
    events = any(text.startswith(_EVENTS) for text in kinds)
    return events or (sending.permission.route.kind == 'stream' and not kinds)


class _Unread:
    """Prompt tokens that a server has to read before its first event."""

    def __init__(self, server: Server, tokens: int) -> None:
        self._server = server
        self._tokens = tokens

    def clear(self) -> bool:
        """Count them as read; returns whether they were not before."""
        was_unread = self._tokens >= 0
        if was_unread:
            self._server.unread_tokens -= self._tokens
            self._tokens = -1
        return was_unread


def _candidate(server: Server, now_s: float) -> Candidate:
    return Candidate(
        server.entry.id,
        server.entry.failure_domain,
        server.load(now_s),
        server.waiting(now_s),
        server.entry.slots,
        server.unread_tokens,
        server.failures(now_s),
        server.health.ejected,
        server.is_due(now_s),
        server.entry.cold_s > 0,
    )


async def _pass_on(
    sending: Sending, answer: AnswerHead, events: bytes
) -> None:
    if not sending.call.started:
        sending.first_byte_at = trio.current_time()
        await sending.call.start(answer.status, answer.headers)
    await sending.call.send(events)


async def _respond(sending: Sending, answer: AnswerHead, body: bytes) -> None:
    if sending.call.started:
        raise RequestError('server_failed', 'the stream was cut', 'unknown')
    sending.answered = True
    sending.first_byte_at = trio.current_time()
    sending.outcome = f'http_{answer.status}'
    await sending.call.respond(answer.status, body, answer.headers)


def _given_up(sending: Sending, delay_s: float) -> RequestError:
    if sending.may_have_run:
        return RequestError(
            'server_failed', 'no server answered', 'unknown'
        )
    return RequestError(
        'overloaded', 'no server took the request', retry_after_s=delay_s
    )


def _late(sending: Sending) -> RequestError:
    if sending.may_have_run or any(send.reached for send in sending.sends):
        return RequestError(
            'deadline_exceeded', 'no answer before the deadline', 'unknown'
        )
    return RequestError(
        'overloaded', 'not sent before the deadline', retry_after_s=0
    )
