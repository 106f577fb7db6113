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

# Times of a mid-size model: 16 sequences give about 30 ms between tokens.
STEP_S: Final = 0.014
STEP_S_PER_SEQUENCE: Final = 0.001
PREFILL_S_PER_TOKEN: Final = 0.0002

State = Literal['waiting', 'running', 'finished', 'cancelled']


class GenerationSpec(NamedTuple):
    """
    What is generated for whom.

    :param priority: 0 starts first.
    :param length: completion tokens at its end.
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
    One generation, which any number of answers may follow.

    :ivar produced: completion tokens so far.
    :ivar cached_tokens: prompt tokens found in the cache.
    :ivar attached: answers that follow or followed it.
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
        """Whether no more tokens come."""
        return self.state in {'finished', 'cancelled'}

    @property
    def finish_reason(self) -> str:
        """Why it ends, in the terms of the OpenAI API."""
        is_complete = self.spec.length >= self.spec.chat.uncapped_words
        return 'stop' if is_complete else 'length'

    def token_text(self, number: int) -> str:
        """
        Read a completion token as it is streamed.

        :param number: number from 0.
        :returns: the word, after the first with a space before it.
        """
        token_text = completion_word(self.spec.chat, number)
        return f' {token_text}' if number else token_text

    def record(self) -> dict[str, Any]:
        """
        Read what the engine knows of it.

        :returns: the record as the API shows it.
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
        """Add a token, and finish with the last one."""
        self.produced += 1
        if self.produced >= self.spec.length:
            self.state = 'finished'
        self.notify()

    def notify(self) -> None:
        """Wake those that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


class Batch:
    """
    Runs generations, a token of each per step.

    :param slots: sequences that run at once.
    :param cache: prefix cache.
    :ivar pace: factor on all times; below 1 is faster.
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
        """Sequences that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Sequences that wait for a slot."""
        return sum(not entry[-1].ended for entry in self._waiting)

    def submit(self, generation: Generation) -> None:
        """
        Queue a generation.

        :param generation: what to run, by its priority.
        """
        entry = (generation.spec.priority, next(self._order), generation)
        heapq.heappush(self._waiting, entry)
        self._submitted.set()

    def cancel(self, generation: Generation) -> None:
        """
        End a generation; one that has ended stays as it is.

        :param generation: what to end.
        """
        if not generation.ended:
            generation.state = 'cancelled'
            generation.notify()

    async def run(self) -> None:
        """Run generations until cancelled."""
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
