"""
eelgrassfork.chat_run
~~~~~~~~~~~~~~~~~~~~~

State of one chat request, and the caller's side of its answer.
"""

from typing import Any, Final, Protocol

import trio

from .chat_meter import StreamMeter
from .chat_request import ChatRequest
from .errors import Outcome, RequestError, error_body
from .http_server import Call, CallerGone
from .names import PayerTag
from .routing import ServerState
from .sse import make_event

__all__ = ('Accounts', 'CallerSink', 'ChatRun', 'Reservation')

_SEND_TIMEOUT_S: Final = 60.0
_ABORT_TIMEOUT_S: Final = 2.0
_OK: Final = 200
_EVENT_STREAM: Final = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-cache'),
)


class Reservation(Protocol):
    """Credit set aside for one request."""

    @property
    def payer(self) -> PayerTag:
        """Names the reservation."""

    @property
    def amount(self) -> int:
        """The most that may be spent, in tokens."""


class Accounts(Protocol):
    """Credit of this holder, see ``credit.CreditAccounts``."""

    async def reserve(self, budget: str, amount: int) -> Any:
        """Set credit aside."""

    def settle(self, reservation: Any, spent: int) -> None:
        """Bill a reservation once; 0 releases it."""


class CallerSink:
    """
    Sends a streamed answer to its caller.

    :param call: the caller's request.
    """

    def __init__(self, call: Call) -> None:
        self._call = call

    @property
    def started(self) -> bool:
        """Whether anything was sent."""
        return self._call.started

    async def send(self, events: list[bytes]) -> None:
        """
        Send events; the first ones send the head.

        :param events: whole events.
        :raises CallerGone: if the caller has gone or reads nothing.
        """
        if not events:
            return
        with trio.move_on_after(_SEND_TIMEOUT_S):
            if not self._call.started:
                await self._call.start(_OK, _EVENT_STREAM)
            await self._call.send(b''.join(events))
            return
        raise CallerGone

    async def finish(self, done: bytes) -> None:
        """
        End the stream as whole.

        :param done: its last event.
        """
        await self.send([done])
        await self._call.finish()

    async def abort(self, error: RequestError) -> None:
        """
        End the stream so that the caller sees that it is cut.

        :param error: why.
        """
        text = error_body(error, self._call.request_id)
        with trio.move_on_after(_ABORT_TIMEOUT_S):
            try:
                await self._call.send(make_event(text, 'error'))
            except CallerGone:
                await trio.lowlevel.checkpoint()
        await self._call.abort()


class ChatRun:
    """
    State of one chat request.

    :ivar reservation: credit set aside, once it is.
    :ivar settled: whether it was billed or its bill is being worked out.
    :ivar whole: whether a whole answer was billed.
    :ivar tried_servers: servers that may have run it, in order.
    :ivar uncertain_servers: servers that may run it for an earlier attempt, which
        then pays.
    :ivar answering_server: the server whose answer has begun.
    :ivar answer_payer: text form of the payer tag that this answer names.
    :ivar first_token_at: when the first token of a stream was sent on.
    :ivar retried: number of further servers that were tried.
    :ivar resumed: how often its stream was resumed.
    """

    def __init__(self, request: ChatRequest) -> None:
        self.request = request
        self.reservation: Reservation | None = None
        self.settled = False
        self.answer_complete = False
        self.tried_servers: list[ServerState] = []
        self.uncertain_servers: list[ServerState] = []
        self.answering_server: ServerState | None = None
        self.answer_payer = ''
        self.first_token_at: float | None = None
        self.retry_count = 0
        self.resume_count = 0
        self.meter = StreamMeter(request.max_tokens, request.include_usage)

    @property
    def payer(self) -> str:
        """Text form of the own payer tag."""
        return str(self.reservation.payer) if self.reservation else ''

    @property
    def is_payer(self) -> bool:
        """Whether the answer is this reservation's to pay."""
        return self.answer_payer in {'', self.payer}

    @property
    def billed_server(self) -> ServerState:
        """The server whose work is billed, of those tried."""
        return self.answering_server or self.tried_servers[-1]

    @property
    def other_servers(self) -> list[ServerState]:
        """The other servers that may have run it."""
        billed = self.billed_server
        return [server for server in self.tried_servers if server is not billed]

    @property
    def outcome(self) -> Outcome:
        """What is known about this attempt before its answer is whole."""
        if self.meter.next_event:
            return 'ran'
        return 'unknown' if self.tried_servers else 'not_run'
