"""
eelgrassfork.gateway.sending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of a request from its arrival to its final answer.
"""

from typing import Any, Final, NamedTuple

import trio

from ..errors import EelgrassError, RequestError
from ..http_server import Call, CallerDisconnected
from .configuration import Permission
from .event_relay import EventRelay
from .expected_time import ExpectedTime
from .prices import UNKNOWN_TOKENS_PER_EVENT
from .records import AnswerHead, ForwardHead, Headers
from .request_digest import digest_request
from .servers import Server
from .suspect_ids import suspect_ids

__all__ = ('Attempt', 'AttemptFailed', 'ErrorAnswer', 'PendingRequest')


_MS_PER_S: Final = 1000


class AttemptFailed(EelgrassError):
    """
    An attempt returned no answer that may be relayed.

    :ivar not_run: whether it is certain that the server did not run the
        request.
    """

    def __init__(self, code: str, message: str, not_run: bool) -> None:
        super().__init__(code, message)
        self.not_run = not_run


class ErrorAnswer(NamedTuple):
    """
    Error answer of a server, kept until it is relayed or a retry succeeds.

    :param final: whether to relay it without another retry.
    """

    answer: AnswerHead
    body: bytes
    final: bool


class Attempt:
    """
    One attempt to have a request answered by one server.

    :param server: server that receives the request.
    :param reason: why that server was selected.
    :param load: estimated requests at the server before this one.
    :param prompt_tokens: prompt tokens that the server has to prefill.
    :param tokens_per_event: price of each event of the answer, by the
        configuration under which the request is sent.
    :ivar limit_per_s: limit that the server had named, ``None`` without one.
    :ivar outcome: how the attempt ended, for logs and metrics.
    :ivar maybe_sent: whether any byte may have been sent.
    :ivar server_ended: whether the server ended under the request.
    :ivar first_event_at: when the first event of the answer arrived, on trio's
        clock; ``None`` before.
    """

    def __init__(
        self,
        server: Server,
        reason: str,
        load: float,
        prompt_tokens: int,
        tokens_per_event: int = UNKNOWN_TOKENS_PER_EVENT,
    ) -> None:
        self.server = server
        self.tokens_per_event = tokens_per_event
        self.limit_per_s: float | None = None
        self.reason = reason
        self.load = load
        self.load_age_s = server.load_age_s(trio.current_time())
        self.outcome = 'unknown'
        self.maybe_sent = False
        self.server_ended = False
        self.first_event_at: float | None = None
        self.started_at = trio.current_time()
        self._expected: ExpectedTime | None = None
        self._max_tokens = 0
        self._prefill_tokens = prompt_tokens
        self._is_prefilled = False
        server.in_flight += 1
        server.sent += 1
        server.pending_prefill_tokens += prompt_tokens

    @property
    def is_prefilled(self) -> bool:
        """Whether the server has prefilled the whole prompt."""
        return self._is_prefilled

    def expect(self, expected: ExpectedTime | None, max_tokens: int) -> None:
        """
        Record what the request is expected to take of the server.

        :param expected: expected duration; ``None`` unless servers of the
            service report their slowdown.
        :param max_tokens: maximum tokens of prompt and answer.
        """
        self._expected = expected
        self._max_tokens = max_tokens
        self.server.tokens_in_flight += max_tokens

    def mark_begun(self) -> None:
        """Record the first event of the answer."""
        now_s = trio.current_time()
        self.first_event_at = now_s
        self.mark_prefilled()
        if self._expected is not None:
            self.server.learn_speed(
                self._expected, now_s - self.started_at, now_s
            )

    def mark_prefilled(self) -> None:
        """Record that the server has prefilled the whole prompt."""
        if not self._is_prefilled:
            self._is_prefilled = True
            self.server.pending_prefill_tokens -= self._prefill_tokens

    def close(self) -> None:
        """Record that the server no longer works on the request."""
        self.mark_prefilled()
        self.server.in_flight -= 1
        self.server.tokens_in_flight -= self._max_tokens

    def log_fields(self) -> dict[str, object]:
        """
        Describe the attempt for the log.

        :returns: server, why it was selected, and how the attempt ended.
        """
        return {
            'server': self.server.entry.id,
            'chosen_by': self.reason,
            'load': round(self.load, 1),
            'load_age_s': round(self.load_age_s, 1),
            'limit_per_s': self.limit_per_s,
            'outcome': self.outcome,
            'server_ended': self.server_ended,
            **self._expected_fields(),
        }

    def _expected_fields(self) -> dict[str, object]:
        if self._expected is None:
            return {}
        return {
            'slowdown': round(self._expected.slowdown, 2),
            'speed': round(self._expected.speed, 2),
            'expected_first_ms': round(self._expected.first_s * _MS_PER_S),
            'expected_last_ms': round(self._expected.last_s * _MS_PER_S),
        }


class PendingRequest:
    """
    A caller's request and its progress.

    :param call: connection to the caller.
    :param head: decoded head of the request.
    :param permission: its route and organisation.
    :param deadline: when the answer has to be complete, on trio's clock.
    :ivar may_have_run: whether a server may have run it.
    :ivar retry_granted: whether the next retry was already taken from the
        retry budget.
    :ivar held_back: number of servers that it was not sent to because of
        their limits.
    :ivar answered: whether the caller has received a final answer.
    :ivar caller_gone: whether the caller disconnected before that.
    :ivar first_byte_at: start of the answer on trio's clock; -1 before.
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
        self.attempts: list[Attempt] = []
        self.may_have_run = False
        self.retry_granted = False
        self.held_back = 0
        self.answered = False
        self.caller_gone = False
        self.outcome = 'answered'
        self.first_byte_at: float = -1
        self._digest = ''

    @property
    def digest(self) -> str:
        """Digest that is the same for each repeat of the request."""
        if not self._digest:
            self._digest = digest_request(
                self.head, self.permission.organisation.name, self.call.body
            )
        return self._digest

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """What may be the reason if a server ends under the request."""
        return suspect_ids(self.head.parts, self.digest)

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in seconds."""
        return max(0, self.deadline - trio.current_time())

    @property
    def sent_count(self) -> int:
        """Number of attempts that may have sent any byte."""
        return sum(attempt.maybe_sent for attempt in self.attempts)

    @property
    def crash_count(self) -> int:
        """Number of servers that ended under the request."""
        return sum(attempt.server_ended for attempt in self.attempts)

    @property
    def tried(self) -> frozenset[str]:
        """Ids of the servers that were tried."""
        return frozenset(attempt.server.entry.id for attempt in self.attempts)

    def check_caller(self) -> None:
        """
        Check that the caller still waits for the answer.

        A busy router may read a request after its caller has disconnected.

        :raises CallerDisconnected: if the caller is gone.
        """
        if self.call.has_disconnected():
            raise CallerDisconnected

    def spent_tokens(self) -> int:
        """
        Count the tokens that the request has used.

        :returns: tokens; 0 if no server ran it.
        """
        if not self.may_have_run:
            return 0
        return self.head.prompt_tokens + min(
            self.relay.output_tokens, self.head.max_output_tokens
        )

    async def respond(self, answer: AnswerHead, body: bytes) -> None:
        """
        Relay a complete answer.

        :param answer: head of the answer.
        :param body: body of the answer.
        :raises RequestError: ``server_failed`` if a stream has already begun.
        """
        if self.call.started:
            raise RequestError(
                'server_failed', 'the stream was truncated', 'unknown'
            )
        self.answered = True
        self.first_byte_at = trio.current_time()
        self.outcome = f'http_{answer.status}'
        headers = _encode_values(answer.headers)
        await self.call.respond(answer.status, body, headers)

    async def relay_events(self, answer: AnswerHead, events: bytes) -> None:
        """
        Relay a part of a stream.

        :param answer: head of the stream, sent before its first part.
        :param events: complete events.
        """
        if not self.call.started:
            self.first_byte_at = trio.current_time()
            headers = _encode_values(answer.headers)
            await self.call.start(answer.status, headers)
        await self.call.send(events)

    async def finish(self, answer: AnswerHead) -> None:
        """
        End a stream.

        :param answer: head of the stream, sent now if no part was.
        """
        if not self.call.started:
            await self.relay_events(answer, b'')
        await self.call.finish()
        self.answered = True


def _encode_values(headers: Headers) -> tuple[tuple[str, Any], ...]:
    # The HTTP server sends text in ASCII only, and bytes as they are.
    return tuple((name, text.encode('latin-1')) for name, text in headers)
