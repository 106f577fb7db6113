"""
eelgrassfork.chat_meter
~~~~~~~~~~~~~~~~~~~~~~~

Counts the tokens of an engine's answer and enforces the token cap.
"""

from typing import Any, Final

import msgspec

from .engine_types import EngineError
from .sse import DONE, event_data

__all__ = ('StreamMeter', 'Usage', 'answer_usage', 'billable_tokens')

_EMPTY_DELTAS: Final = frozenset((b'null', b'""', b'[]', b'{}'))


class Usage(msgspec.Struct, frozen=True):
    """Token usage of a request as reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Choice(msgspec.Struct):
    delta: dict[str, msgspec.Raw] | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()
    usage: Usage | None = None
    error: Any = None


class _Completion(msgspec.Struct):
    choices: list[msgspec.Raw]
    usage: Usage


class StreamMeter:
    """
    Filter that counts the tokens of a stream before it is forwarded.

    :param max_tokens: cap on completion tokens.
    :param include_usage: whether the caller requested the usage.
    :ivar next_event: sequence number of the engine's next event.
    :ivar tokens: lower bound of the completion tokens received.
    :ivar usage: last reported usage, ``None`` before the first report.
    :ivar done: the event that ends the stream, once it came.
    :ivar overrun: whether the answer exceeds the token cap.
    """

    def __init__(self, max_tokens: int, include_usage: bool) -> None:
        self._max_tokens = max_tokens
        self._include_usage = include_usage
        self._decoder = msgspec.json.Decoder(_Chunk)
        self.next_event = 0
        self.tokens = 0
        self.usage: Usage | None = None
        self.done_event = b''
        self.overrun = False

    def process(self, events: list[bytes]) -> list[bytes]:
        """
        Count the tokens of events and select the events to forward.

        :param events: complete events in their order.
        :returns: the events to forward now, unchanged; the last event of
            the stream is kept in ``done_event``, and nothing is forwarded
            after an overrun.
        :raises EngineError: ``bad_answer`` if an event is invalid,
            ``engine_failed`` if it reports an error.
        """
        forward = []
        for event in events:
            text = event_data(event)
            if text == DONE:
                self.next_event += 1
                self.done_event = event
            elif not text:
                forward.append(event)
            elif self._process_chunk(text):
                forward.append(event)
            if self.overrun:
                break
        return forward

    def _process_chunk(self, text: bytes) -> bool:
        try:
            chunk = self._decoder.decode(text)
        except msgspec.DecodeError as error:
            raise EngineError(
                'bad_answer', f'invalid stream event: {error}'
            ) from None
        if chunk.error is not None:
            raise EngineError('engine_failed', 'the engine sent an error event')
        self.next_event += 1
        self.tokens += _has_token(chunk)
        if chunk.usage is not None:
            self.usage = chunk.usage
            self.tokens = max(self.tokens, chunk.usage.completion_tokens)
        self.overrun = self.tokens > self._max_tokens
        usage_only = chunk.usage is not None and not chunk.choices
        return not self.overrun and (self._include_usage or not usage_only)


def answer_usage(body: bytes) -> Usage:
    """
    Return the usage of a complete answer.

    :param body: response body of the engine.
    :returns: its usage.
    :raises EngineError: ``bad_answer`` if the body is not a completion or
        has no usage.
    """
    try:
        return msgspec.json.decode(body, type=_Completion).usage
    except msgspec.DecodeError as error:
        raise EngineError(
            'bad_answer', f'invalid completion body: {error}'
        ) from None


def billable_tokens(usage: Usage, max_tokens: int, reserved: int) -> int:
    """
    Calculate the cost of a request.

    :param usage: usage that the engine reported.
    :param max_tokens: cap on completion tokens.
    :param reserved: reserved tokens.
    :returns: tokens to bill, never more than reserved.
    """
    completion = min(usage.completion_tokens, max_tokens)
    return min(usage.prompt_tokens + completion, reserved)


def _has_token(chunk: _Chunk) -> bool:
    # Each event with content contains at least one token.
    for choice in chunk.choices:
        for name, text in (choice.delta or {}).items():
            if name != 'role' and bytes(text) not in _EMPTY_DELTAS:
                return True
    return False
