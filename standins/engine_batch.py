"""
standins.engine_batch
~~~~~~~~~~~~~~~~~~~~~

Continuous batching of a stand-in engine.
"""

import heapq
import itertools
from typing import Any, Final, Literal, NamedTuple

import trio

from .engine_cache import PrefixCache
from .engine_text import (
    BLOCK_WORDS,
    ChatRequest,
    completion_word,
    prefix_blocks,
)

__all__ = ('Batch', 'Generation', 'GenerationSpec')

# Durations of a mid-size model: 16 sequences give about 30 ms per token.
STEP_S: Final = 0.014
STEP_S_PER_SEQUENCE: Final = 0.001
PREFILL_S_PER_TOKEN: Final = 0.0002

State = Literal['waiting', 'running', 'finished', 'cancelled']


class GenerationSpec(NamedTuple):
    """
    Parameters of a generation.

    :param payer: value of ``X-Payer``.
    :param priority: scheduling priority; lower values start first.
    :param length: number of completion tokens to produce.
    :param prefix: name of the prompt's prefix, or empty.
    """

    request_id: str
    payer: str
    priority: int
    chat: ChatRequest
    length: int
    prefix: str = ''


class Generation:
    """
    One generation; any number of responses can be attached to it.

    :ivar produced: number of completion tokens produced.
    :ivar cached_tokens: number of prompt tokens found in the cache.
    :ivar attached: number of responses attached so far.
    """

    def __init__(self, spec: GenerationSpec) -> None:
        self.spec = spec
        self.state: State = 'waiting'
        self.produced = 0
        self.cached_tokens = 0
        self.attached = 0
        self._changed = trio.Event()

    @property
    def ended(self) -> bool:
        """Whether the generation is finished or cancelled."""
        return self.state in {'finished', 'cancelled'}

    @property
    def finish_reason(self) -> str:
        """Finish reason as in the OpenAI API."""
        is_complete = self.spec.length >= self.spec.chat.uncapped_words
        return 'stop' if is_complete else 'length'

    def token_text(self, number: int) -> str:
        """
        Return the text of a completion token.

        :param number: index of the token, from 0.
        :returns: the word, preceded by a space unless it is the first.
        """
        token_text = completion_word(self.spec.chat, number)
        return f' {token_text}' if number else token_text

    def record(self) -> dict[str, Any]:
        """
        Return the record of this generation.

        :returns: the record as in ``GET /v1/requests``.
        """
        return {
            'request_id': self.spec.request_id,
            'payer': self.spec.payer,
            'prompt_tokens': self.spec.chat.prompt_tokens,
            'completion_tokens': self.produced,
            'state': self.state,
            'attached': self.attached,
        }

    def advance(self) -> None:
        """Produce a token; finish after the last one."""
        self.produced += 1
        if self.produced >= self.spec.length:
            self.state = 'finished'
        self.notify()

    def notify(self) -> None:
        """Wake up all tasks in :meth:`wait`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change of state or progress."""
        await self._changed.wait()


class Batch:
    """
    Runs generations; each step produces one token per sequence.

    :param slots: maximum number of concurrent sequences.
    :param cache: prefix cache.
    :ivar pace: factor on all durations; below 1 is faster.
    """

    def __init__(self, slots: int, cache: PrefixCache, pace: float) -> None:
        self.pace = pace
        self._slots = slots
        self._cache = cache
        self._running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._order = itertools.count()
        self._submitted = trio.Event()

    @property
    def running(self) -> int:
        """Number of running sequences."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for a slot."""
        return sum(not entry[-1].ended for entry in self._waiting)

    def submit(self, generation: Generation) -> None:
        """
        Queue a generation by its priority.

        :param generation: the generation to run.
        """
        entry = (generation.spec.priority, next(self._order), generation)
        heapq.heappush(self._waiting, entry)
        self._submitted.set()

    def cancel(self, generation: Generation) -> None:
        """
        Cancel a generation; no effect if it has already ended.

        :param generation: the generation to cancel.
        """
        if not generation.ended:
            generation.state = 'cancelled'
            generation.notify()

    async def run(self) -> None:
        """Run queued generations until this task is cancelled."""
        while True:
            self._running = [gen for gen in self._running if not gen.ended]
            prefill_tokens = self._admit()
            if not self._running:
                self._submitted = trio.Event()
                await self._submitted.wait()
                continue
            await trio.sleep(self._step_s(prefill_tokens))
            for generation in self._running:
                if not generation.ended:
                    generation.advance()

    def _admit(self) -> int:
        prefill_tokens = 0
        while self._waiting and len(self._running) < self._slots:
            generation = heapq.heappop(self._waiting)[-1]
            if not generation.ended:
                generation.state = 'running'
                self._running.append(generation)
                prefill_tokens += self._prefill(generation)
        return prefill_tokens

    def _prefill(self, generation: Generation) -> int:
        chat = generation.spec.chat
        blocks = prefix_blocks(chat)
        cached = self._cache.cached_blocks(blocks)
        generation.cached_tokens = cached * BLOCK_WORDS
        self._cache.store(generation.spec.prefix, blocks)
        return chat.prompt_tokens - generation.cached_tokens

    def _step_s(self, prefill_tokens: int) -> float:
        step_s = STEP_S + STEP_S_PER_SEQUENCE * len(self._running)
        return self.pace * (step_s + PREFILL_S_PER_TOKEN * prefill_tokens)
