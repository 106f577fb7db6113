"""
eelgrassfork.chat_run
~~~~~~~~~~~~~~~~~~~~~

State of one chat request, and the stream to its caller.
"""

from typing import Any, Final, Protocol

import trio

from .chat_meter import StreamMeter
from .chat_request import ChatRequest
from .errors import Outcome, RequestError, error_body
from .http_server import Call, CallerDisconnected
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
    """Credit reserved for one request."""

    @property
    def payer(self) -> PayerTag:
        """Payer tag of the reservation."""

    @property
    def amount(self) -> int:
        """Reserved amount in tokens, the upper bound of the bill."""


class Accounts(Protocol):
    """Credit of this holder, see ``credit.CreditAccounts``."""

    async def reserve(self, budget: str, amount: int) -> Any:
        """Reserve credit of a budget."""

    def settle(self, reservation: Any, spent: int) -> None:
        """Bill a reservation, once only; 0 releases it."""


class CallerSink:
    """
    Writer of a streamed answer to its caller.

    :param call: the caller's request.
    """

    def __init__(self, call: Call) -> None:
        self._call = call

    @property
    def started(self) -> bool:
        """Whether the response has been started."""
        return self._call.started

    async def send(self, events: list[bytes]) -> None:
        """
        Send events; the first call sends the response head as well.

        :param events: complete events.
        :raises CallerDisconnected: if the caller disconnected, or has not read the
            events within 60 s.
        """
        if not events:
            return
        with trio.move_on_after(_SEND_TIMEOUT_S):
            if not self._call.started:
                await self._call.start(_OK, _EVENT_STREAM)
            await self._call.send(b''.join(events))
            return
        raise CallerDisconnected

    async def finish(self, done: bytes) -> None:
        """
        Send the last event and end the stream as complete.

        :param done: the last event.
        """
        await self.send([done])
        await self._call.finish()

    async def abort(self, error: RequestError) -> None:
        """
        Send an error event and reset the stream.

        The reset shows the caller that the answer is incomplete.

        :param error: cause, sent in the error event.
        """
        text = error_body(error, self._call.request_id)
        with trio.move_on_after(_ABORT_TIMEOUT_S):
            try:
                await self._call.send(make_event(text, 'error'))
            except CallerDisconnected:
                await trio.lowlevel.checkpoint()
        await self._call.abort()


class ChatRun:
    """
    State of one chat request.

    :ivar reservation: reserved credit, ``None`` before the reservation.
    :ivar settled: whether it was settled, or is being settled in the
        background.
    :ivar answer_complete: whether a complete answer was billed.
    :ivar tried_servers: servers that may have run it, in order.
    :ivar uncertain_servers: servers that may run it for an earlier attempt
        with the same key, which is then billed instead of this one.
    :ivar answering_server: the server whose answer has begun.
    :ivar answer_payer: text form of the payer tag in the answer's head.
    :ivar first_token_at: time at which the first token of a stream was
        forwarded, on the clock of trio.
    :ivar retry_count: number of retries at further servers.
    :ivar resume_count: number of times its stream was resumed.
    :ivar meter: counts the tokens of its stream.
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
        """Text form of the payer tag of its reservation."""
        return str(self.reservation.payer) if self.reservation else ''

    @property
    def is_payer(self) -> bool:
        """Whether the answer is billed to this reservation."""
        return self.answer_payer in {'', self.payer}

    @property
    def billed_server(self) -> ServerState:
        """The tried server whose work is billed."""
        return self.answering_server or self.tried_servers[-1]

    @property
    def other_servers(self) -> list[ServerState]:
        """Tried servers except the billed one."""
        billed = self.billed_server
        return [server for server in self.tried_servers if server is not billed]

    @property
    def outcome(self) -> Outcome:
        """Outcome of this attempt while its answer is incomplete."""
        if self.meter.next_event:
            return 'ran'
        return 'unknown' if self.tried_servers else 'not_run'
