"""
eelgrassfork.chat_meter
~~~~~~~~~~~~~~~~~~~~~~~

Counts what an engine answers and holds it to the cap.
"""

from typing import Any, Final

import msgspec

from .engine_types import EngineError
from .sse import DONE, event_data

__all__ = ('StreamMeter', 'Usage', 'answer_usage', 'billable_tokens')

_EMPTY_DELTAS: Final = frozenset((b'null', b'""', b'[]', b'{}'))


class Usage(msgspec.Struct, frozen=True):
    """Tokens of a request as an engine reports them."""

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
    Reads the events of a stream on their way to the caller.

    :param max_tokens: cap on completion tokens.
    :param include_usage: whether the caller asked for the usage.
    :ivar next_event: number of the engine's next event.
    :ivar tokens: lower bound of the completion tokens so far.
    :ivar usage: usage as last reported, if it was.
    :ivar done: the event that ends the stream, once it came.
    :ivar overrun: whether the answer exceeds the cap.
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
        Count events.

        :param events: whole events in their order.
        :returns: those to forward now, unchanged; the last event of the
            stream is kept in ``done_event``, and nothing follows an overrun.
        :raises EngineError: ``bad_answer`` or ``engine_failed`` if an
            event is not part of an answer.
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
            raise EngineError('bad_answer', f'bad event: {error}') from None
        if chunk.error is not None:
            raise EngineError('engine_failed', 'the engine ended the stream')
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
    Read the usage of a whole answer.

    :param body: answer of the engine.
    :returns: its usage.
    :raises EngineError: ``bad_answer`` if it is no completion or has no
        usage.
    """
    try:
        return msgspec.json.decode(body, type=_Completion).usage
    except msgspec.DecodeError as error:
        raise EngineError('bad_answer', f'no completion: {error}') from None


def billable_tokens(usage: Usage, max_tokens: int, reserved: int) -> int:
    """
    Tell what a request costs.

    :param usage: what the engine reports.
    :param max_tokens: cap on completion tokens.
    :param reserved: the most that may be spent.
    :returns: tokens to bill, never more than reserved.
    """
    completion = min(usage.completion_tokens, max_tokens)
    return min(usage.prompt_tokens + completion, reserved)


def _has_token(chunk: _Chunk) -> bool:
    # Every event with content stands for at least one token.
    for choice in chunk.choices:
        for name, text in (choice.delta or {}).items():
            if name != 'role' and bytes(text) not in _EMPTY_DELTAS:
                return True
    return False
