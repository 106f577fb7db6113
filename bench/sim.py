"""
bench.sim
~~~~~~~~~

Simulates stand-in engines and routing decisions in one process on a mock clock.

No HTTP is involved, so a run of thousands of requests takes seconds.
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
LOAD_REPORT_INTERVAL_S = 0.5
POLL_S = 1
POLL_JITTER = 0.25
POLLS_PER_EVENT_POLL = 5
QUANTILES = (0.5, 0.95, 0.99)


class Prompt(NamedTuple):
    """
    Content of a chat request.

    :param words: words of the prompt; each is one token.
    :param prefix: hash of the leading messages.
    :param length: number of completion tokens.
    """

    words: tuple[str, ...]
    prefix: str
    length: int


class TimedGeneration(Generation):
    """
    A generation that records the time of each token.

    :ivar token_times: times of the tokens on the clock of trio.
    """

    def __init__(self, spec: GenerationSpec) -> None:
        super().__init__(spec)
        self.token_times: list[float] = []
        self.done = trio.Event()

    def advance(self) -> None:
        """Add a token and record its time."""
        super().advance()
        self.token_times.append(trio.current_time())

    def notify(self) -> None:
        """Wake the request when the generation has ended."""
        if self.ended:
            self.done.set()


class Engine:
    """
    A model engine without HTTP.

    :param record: its VM.
    :param seed: seed of the choice of lost cache events.
    :param slots: number of sequences that run concurrently.
    :param cache_blocks: size of the prefix cache in blocks.
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

        :param nursery: nursery of the background tasks.
        """
        nursery.start_soon(self.batch.run)
        nursery.start_soon(self._report)

    def submit(self, request_id: str, prompt: Prompt) -> TimedGeneration:
        """
        Start a generation.

        :param request_id: id of the request.
        :param prompt: content of the request.
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
        """Number of running and waiting requests."""
        return self.batch.running + self.batch.waiting

    async def _report(self) -> None:
        while True:
            self.reported = (self.batch.running, self.batch.waiting)
            await trio.sleep(LOAD_REPORT_INTERVAL_S)


def start_polls(
    nursery: trio.Nursery,
    backends: Backends,
    engines_by_vm: dict[str, Engine],
    source: random.Random,
) -> None:
    """
    Poll load reports and cache events at the intervals of a router.

    :param nursery: nursery of the background task.
    :param backends: state of the backend servers to update.
    :param engines_by_vm: the polled engines.
    :param source: random source of the jitter.
    """

    async def run() -> None:
        poll_number = 0
        while True:
            jitter = POLL_JITTER * (2 * source.random() - 1)
            await trio.sleep(POLL_S * (1 + jitter))
            poll_number += 1
            for vm, engine in engines_by_vm.items():
                backends.record_load(vm, *engine.reported)
                if poll_number % POLLS_PER_EVENT_POLL == 0:
                    _apply_new_events(backends, vm, engine)

    nursery.start_soon(run)


def new_backends(records: Iterable[VmRecord], seed: int) -> Backends:
    """
    Create a router's state of the backend servers.

    :param records: records of the backend servers.
    :param seed: seed of the jitter.
    :returns: the state.
    """
    backends = Backends(EjectionPolicy(), random.Random(seed))
    backends.update(records)
    return backends


def leading_prefix(words: Sequence[str]) -> str:
    """
    Hash the leading messages of a conversation.

    :param words: words of the system message and the first question.
    :returns: the prefix hash of routers and engines.
    """
    return prefix_hash(SERVICE, ['system', ' '.join(words)])


def quantiles(values: Iterable[float]) -> dict[str, float]:
    """
    Compute quantiles of durations.

    :param values: durations in seconds.
    :returns: milliseconds by ``p50_ms``, ``p95_ms`` and ``p99_ms``; empty
        without values.
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
    Run an async function on a mock clock that skips idle time.

    :param main: async function.
    :param arguments: its arguments.
    :returns: its result.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *arguments, clock=clock)


def _apply_new_events(backends: Backends, vm: str, engine: Engine) -> None:
    last_event_by_vm = {
        target.vm: target.events_after
        for target in backends.polls_due(0, 1_000)
    }
    new_events = engine.events.after(last_event_by_vm.get(vm, 0))
    backends.apply_cache_events(
        vm,
        [
            CacheEvent(event.number, event.kind, event.prefix)
            for event in new_events
        ],
    )
