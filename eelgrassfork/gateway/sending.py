"""
eelgrassfork.gateway.sending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one request on its way to its answer.
"""

from typing import NamedTuple

import trio

from ..errors import EelgrassError, RequestError
from ..http_server import Call
from .configuration import Permission
from .event_relay import EventRelay
from .records import AnswerHead, ForwardHead
from .servers import Server

__all__ = ('KeptAnswer', 'Send', 'SendFailed', 'Sending')


class SendFailed(EelgrassError):
    """
    A send brought no answer that may be relayed.

    :ivar not_run: whether the server is known not to have run the request.
    """

    def __init__(self, code: str, message: str, not_run: bool) -> None:
        super().__init__(code, message)
        self.not_run = not_run


class KeptAnswer(NamedTuple):
    """
    A server's own failure.

    :param final: whether no repeated send may do better.
    """

    answer: AnswerHead
    body: bytes
    final: bool


class Send:
    """
    One request sent to one server.

    :param server: where it goes.
    :param reason: why that server was chosen.
    :param load: estimated requests at the server before.
    :param prompt_tokens: tokens that it has to read.
    :ivar outcome: how it ended, for logs and metrics.
    :ivar reached: whether any byte may have left.
    """

    def __init__(
        self, server: Server, reason: str, load: float, prompt_tokens: int
    ) -> None:
        self.server = server
        self.reason = reason
        self.load = load
        self.load_age_s = server.load_age_s(trio.current_time())
        self.outcome = 'unknown'
        self.reached = False
        self.started_at = trio.current_time()
        self._unread_tokens = prompt_tokens
        self._is_read = False
        server.in_flight += 1
        server.unread_tokens += prompt_tokens

    @property
    def is_read(self) -> bool:
        """Whether the server has read the whole prompt."""
        return self._is_read

    def mark_read(self) -> None:
        """Note that the server has read the whole prompt."""
        if not self._is_read:
            self._is_read = True
            self.server.unread_tokens -= self._unread_tokens

    def close(self) -> None:
        """Note that the server no longer works on the request."""
        self.mark_read()
        self.server.in_flight -= 1

    def log_fields(self) -> dict[str, object]:
        """
        Describe the send for the log.

        :returns: server, why it was chosen, and how it ended.
        """
        return {
            'server': self.server.entry.id,
            'chosen_by': self.reason,
            'load': round(self.load, 1),
            'load_age_s': round(self.load_age_s, 1),
            'outcome': self.outcome,
        }


class Sending:
    """
    One request and what has become of it so far.

    :param call: the caller's connection.
    :param head: the request.
    :param permission: its route and organisation.
    :param deadline: when its answer has to be complete, on the clock of trio.
    :ivar may_have_run: whether some server may have run it.
    :ivar repeat_granted: whether the budget of repeated sends was used for
        the next send.
    :ivar answered: whether the caller has a final answer.
    :ivar caller_gone: whether the caller left before.
    :ivar first_byte_at: when the answer began; -1 before.
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
        self.repeat_granted = False
        self.answered = False
        self.caller_gone = False
        self.outcome = 'answered'
        self.first_byte_at: float = -1
        self.tokens_per_event = 0

    @property
    def left_s(self) -> float:
        """Time until the deadline, in seconds."""
        return max(0, self.deadline - trio.current_time())

    @property
    def reached(self) -> int:
        """Number of sends of which a byte may have left."""
        return sum(send.reached for send in self.sends)

    @property
    def tried(self) -> frozenset[str]:
        """Servers that were tried."""
        return frozenset(send.server.entry.id for send in self.sends)

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

    async def respond(self, answer: AnswerHead, body: bytes) -> None:
        """
        Relay a whole answer.

        :param answer: its head.
        :param body: its body.
        :raises RequestError: ``server_failed`` if another answer has begun.
        """
        if self.call.started:
            raise RequestError('server_failed', 'the stream was cut', 'unknown')
        self.answered = True
        self.first_byte_at = trio.current_time()
        self.outcome = f'http_{answer.status}'
        await self.call.respond(answer.status, body, answer.headers)

    async def pass_on(self, answer: AnswerHead, events: bytes) -> None:
        """
        Relay a part of a stream.

        :param answer: head of the stream, sent before its first part.
        :param events: whole events.
        """
        if not self.call.started:
            self.first_byte_at = trio.current_time()
            await self.call.start(answer.status, answer.headers)
        await self.call.send(events)

    async def finish(self, answer: AnswerHead) -> None:
        """
        End a stream.

        :param answer: head of the stream.
        """
        if not self.call.started:
            await self.pass_on(answer, b'')
        await self.call.finish()
        self.answered = True
