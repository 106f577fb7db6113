"""
bench.sim
~~~~~~~~~

Engines of the stand-ins and routers' decisions in one process on a mock
clock, without HTTP, so that thousands of requests take seconds.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import trio
import trio.testing

from eelgrassfork.backends import Backends, CacheEvent
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.routing import prefix_hash
from eelgrassfork.vm_list import VmRecord
from standins.engine_batch import Batch, Generation, GenerationSpec
from standins.engine_cache import CacheEvents, PrefixCache
from standins.engine_text import ChatRequest

__all__ = (
    'Engine',
    'Prompt',
    'SERVICE',
    'TimedGeneration',
    'quantiles',
    'run_mocked',
    'start_polls',
)

SERVICE = 'threadlantern/eelgrass-llm'
LOAD_LAG_S = 0.5
POLL_S = 1
POLL_JITTER = 0.25
EVENTS_EVERY = 5
QUANTILES = (0.5, 0.95, 0.99)


class Prompt(NamedTuple):
    """
    A chat request before it is sent.

    :param words: words of the prompt, each one token.
    :param prefix: hash of its leading messages.
    :param length: completion tokens.
    """

    words: tuple[str, ...]
    prefix: str
    length: int


class TimedGeneration(Generation):
    """
    A generation that notes when each token came.

    :ivar token_times: times on the clock of trio.
    """

    def __init__(self, spec: GenerationSpec) -> None:
        super().__init__(spec)
        self.token_times: list[float] = []
        self.done = trio.Event()

    def advance(self) -> None:
        """Add a token and note its time."""
        super().advance()
        self.token_times.append(trio.current_time())

    def notify(self) -> None:
        """Wake the request at its end; tokens are read from the times."""
        if self.ended:
            self.done.set()


class Engine:
    """
    A model engine without HTTP.

    :param record: its VM.
    :param seed: decides which cache events are lost.
    :param slots: sequences that run at once.
    :param cache_blocks: size of its prefix cache.
    """

    def __init__(
        self,
        record: VmRecord,
        seed: int,
        slots: int = 16,
        cache_blocks: int = 4096,
    ) -> None:
        self.record = record
        self.events = CacheEvents(seed)
        self.cache = PrefixCache(cache_blocks, self.events)
        self.batch = Batch(slots, self.cache, 1)
        self.reported = (0, 0)

    def start(self, nursery: trio.Nursery) -> None:
        """
        Run the batch and its load reports.

        :param nursery: where they run.
        """
        nursery.start_soon(self.batch.run)
        nursery.start_soon(self._report)

    def submit(self, request_id: str, prompt: Prompt) -> TimedGeneration:
        """
        Start a generation.

        :param request_id: identity of the request.
        :param prompt: the request.
        :returns: the generation.
        """
        chat = ChatRequest(
            'm', request_id, prompt.words, 0, True, prompt.length, prompt.length
        )
        generation = TimedGeneration(
            GenerationSpec(
                request_id, '', 1, chat, prompt.length, prompt.prefix
            )
        )
        self.batch.submit(generation)
        return generation

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.batch.running + self.batch.waiting

    async def _report(self) -> None:
        while True:
            self.reported = (self.batch.running, self.batch.waiting)
            await trio.sleep(LOAD_LAG_S)


def start_polls(
    nursery: trio.Nursery,
    backends: Backends,
    engines_by_vm: dict[str, Engine],
    source: random.Random,
) -> None:
    """
    Poll load reports and cache events as the router does.

    :param nursery: where it runs.
    :param backends: where reports go.
    :param engines_by_vm: the engines.
    :param source: random source of jitter.
    """

    async def run() -> None:
        number = 0
        while True:
            spread = POLL_JITTER * (2 * source.random() - 1)
            await trio.sleep(POLL_S * (1 + spread))
            number += 1
            for vm, engine in engines_by_vm.items():
                backends.record_load(vm, *engine.reported)
                if number % EVENTS_EVERY == 0:
                    _take_events(backends, vm, engine)

    nursery.start_soon(run)


def new_backends(records: Iterable[VmRecord], seed: int) -> Backends:
    """
    Make a router's view of the servers.

    :param records: the servers.
    :param seed: seed of its jitter.
    :returns: the view.
    """
    backends = Backends(EjectionPolicy(), random.Random(seed))
    backends.update(records)
    return backends


def leading_prefix(words: Sequence[str]) -> str:
    """
    Hash the leading messages of a conversation.

    :param words: words of the system message and the first question.
    :returns: the hash that routers and engines use.
    """
    return prefix_hash(SERVICE, ['system', ' '.join(words)])


def quantiles(values: Iterable[float]) -> dict[str, float]:
    """
    Summarise times.

    :param values: seconds.
    :returns: milliseconds by ``p50`` and so on.
    """
    ordered = sorted(values)
    if not ordered:
        return {}
    last = len(ordered) - 1
    return {
        f'p{round(part * 100)}_ms': round(1000 * ordered[round(part * last)], 1)
        for part in QUANTILES
    }


def run_mocked(main: Callable[..., Any], *arguments: Any) -> Any:
    """
    Run on a clock that jumps over waits.

    :param main: async function.
    :param arguments: its arguments.
    :returns: its result.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *arguments, clock=clock)


def _take_events(backends: Backends, vm: str, engine: Engine) -> None:
    known = {
        target.vm: target.events_after
        for target in backends.polls_due(0, 1_000)
    }
    shown = engine.events.after(known.get(vm, 0))
    backends.apply_cache_events(
        vm,
        [CacheEvent(event.number, event.kind, event.prefix) for event in shown],
    )
