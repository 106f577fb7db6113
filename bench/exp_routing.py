"""
bench.exp_routing
~~~~~~~~~~~~~~~~~

Routing against its baselines: the same conversations, four choosers.
"""

import argparse
import itertools
import random
import statistics
from collections.abc import Iterator
from typing import Any, NamedTuple

import trio

from eelgrassfork.backends import Backends
from eelgrassfork.routing import (
    Chooser,
    RoutePolicy,
    RouteSnapshot,
    ServerState,
    choose,
    choose_affinity,
    choose_least_requests,
    choose_random,
)
from eelgrassfork.vm_list import VmRecord

from . import sim
from .measure import emit

__all__ = ('CHOOSERS', 'Setting', 'main', 'run')


def _in_any_domain(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    return choose(snapshot._replace(failure_domain=''), policy, source)


def _with_loose_bound(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    loose = policy._replace(bound_factor=1.5, bound_slack=4)
    return _in_any_domain(snapshot, loose, source)


# The last two tell which rule of ours costs what.
CHOOSERS: dict[str, Chooser] = {
    'random': choose_random,
    'least requests': choose_least_requests,
    'affinity': choose_affinity,
    'ours': choose,
    'ours, any domain': _in_any_domain,
    'ours, any domain, bound 1.5 x mean + 4': _with_loose_bound,
}
DOMAINS = ('kandy-a', 'kandy-b', 'matale-a', 'matale-b')
WARM_UP_S = 20
THINK_S = 5


class Setting(NamedTuple):
    """
    One comparison.

    :param engines: replicas of the service, spread over four domains.
    :param routers: routers, spread likewise.
    :param conversations_per_s: conversations that begin a second.
    :param hot_share: part of them that belong to one organisation.
    :param duration_s: how long conversations begin.
    :param slow_factor: factor on the times of one server.
    :param sticky: whether all turns come through one router.
    """

    name: str
    engines: int = 12
    routers: int = 8
    conversations_per_s: float = 11
    hot_share: float = 0.2
    duration_s: float = 80
    organisations: int = 40
    slow_factor: float = 1
    sticky: bool = False


SETTINGS = (
    Setting('ordinary'),
    Setting('conversations keep their router', sticky=True),
    Setting('busy', conversations_per_s=13.5),
    Setting('one hot organisation', hot_share=0.6),
    Setting('one server half as fast', slow_factor=2),
)


class _Turn(NamedTuple):
    at: float
    router: int
    prompt: sim.Prompt


class _Answer(NamedTuple):
    first_s: float
    between_s: list[float]
    prompt_tokens: int
    cached_tokens: int


def make_conversations(setting: Setting, seed: int) -> list[list[_Turn]]:
    """
    Make the schedule: each conversation repeats what was said before.

    :param setting: rates.
    :param seed: seed of everything in it.
    :returns: turns by conversation; the time of a later turn counts from
        the end of the one before.
    """
    source = random.Random(seed)
    prompts = [_words(source, 400) for _ in range(setting.organisations)]
    conversations = []
    at = 0.0
    while at < setting.duration_s:
        at += source.expovariate(setting.conversations_per_s)
        organisation = 0
        if source.random() >= setting.hot_share:
            organisation = source.randrange(setting.organisations)
        conversations.append(
            _conversation(source, setting, at, prompts[organisation])
        )
    return conversations


def _conversation(
    source: random.Random, setting: Setting, at: float, system: list[str]
) -> list[_Turn]:
    words = system + _words(source, source.randrange(20, 200))
    prefix = sim.leading_prefix(words)
    turns = []
    first_router = source.randrange(setting.routers)
    for number in range(source.randrange(2, 6)):
        router = source.randrange(setting.routers)
        if number:
            at = source.expovariate(1 / THINK_S)
            words = words + _words(source, source.randrange(60, 260))
        length = source.randrange(40, 140)
        prompt = sim.Prompt(tuple(words), prefix, length)
        router = first_router if setting.sticky else router
        turns.append(_Turn(at, router, prompt))
    return turns


def _words(source: random.Random, count: int) -> list[str]:
    return [f'{source.getrandbits(20):05x}' for _ in range(count)]


class _World:
    def __init__(self, setting: Setting, chooser: Chooser, seed: int) -> None:
        self.chooser = chooser
        records = [
            VmRecord(
                f'engine-{number}',
                'backend',
                'live',
                'threadlantern',
                sim.SERVICE,
                f'threadlantern/{DOMAINS[number % len(DOMAINS)]}',
                'lk-central',
                f'10.0.0.{number}:8000',
            )
            for number in range(setting.engines)
        ]
        self.engines_by_vm = {
            record.vm: sim.Engine(record, seed + number)
            for number, record in enumerate(records)
        }
        self.engines_by_vm['engine-0'].batch.pace = setting.slow_factor
        self.backends = [
            sim.new_backends(records, seed + number)
            for number in range(setting.routers)
        ]
        self.sources = [
            random.Random(seed + number) for number in range(setting.routers)
        ]
        self.policy = RoutePolicy(in_flight_per_server=64)
        self.answers: list[_Answer] = []
        self.refused = 0
        self.remote = 0
        self.numbers = itertools.count()
        self.loads: list[list[int]] = []

    def choose(self, turn: _Turn) -> sim.Engine | None:
        servers = tuple(self.backends[turn.router].servers(sim.SERVICE))
        domain = f'threadlantern/{DOMAINS[turn.router % len(DOMAINS)]}'
        server = self.chooser(
            RouteSnapshot(servers, domain, turn.prompt.prefix),
            self.policy,
            self.sources[turn.router],
        )
        if server is None:
            return None
        self.remote += server.failure_domain != domain
        return self.engines_by_vm[server.vm]

    async def ask(self, turn: _Turn, measured: bool) -> None:
        engine = self.choose(turn)
        if engine is None:
            self.refused += 1
            return
        backends: Backends = self.backends[turn.router]
        vm = engine.record.vm
        started_at = trio.current_time()
        generation = engine.submit(f'r{next(self.numbers)}', turn.prompt)
        backends.request_started(vm)
        await generation.done.wait()
        backends.request_ended(vm)
        times = generation.token_times
        if measured:
            self.answers.append(
                _Answer(
                    times[0] - started_at,
                    [later - at for at, later in itertools.pairwise(times)],
                    len(turn.prompt.words),
                    generation.cached_tokens,
                )
            )

    async def talk(self, turns: list[_Turn]) -> None:
        await trio.sleep_until(turns[0].at)
        measured = turns[0].at >= WARM_UP_S
        await self.ask(turns[0], measured)
        for turn in turns[1:]:
            await trio.sleep(turn.at)
            await self.ask(turn, measured)

    async def sample_loads(self, until: float) -> None:
        await trio.sleep_until(WARM_UP_S)
        while trio.current_time() < until:
            loads = [engine.load for engine in self.engines_by_vm.values()]
            self.loads.append(loads)
            await trio.sleep(0.25)


async def run(setting: Setting, name: str, seed: int) -> dict[str, Any]:
    """
    Run one chooser.

    :param setting: load and fleet.
    :param name: a key of :data:`CHOOSERS`.
    :param seed: of the schedule and of all else.
    :returns: figures.
    """
    conversations = make_conversations(setting, seed)
    async with trio.open_nursery() as servers:
        world = _World(setting, CHOOSERS[name], seed)
        started_at = trio.current_time()
        for engine in world.engines_by_vm.values():
            engine.start(servers)
        for backends, source in zip(world.backends, world.sources, strict=True):
            sim.start_polls(servers, backends, world.engines_by_vm, source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.sample_loads, started_at + setting.duration_s)
            for turns in conversations:
                nursery.start_soon(world.talk, turns)
        servers.cancel_scope.cancel()
    return _figures(world)


def _figures(world: _World) -> dict[str, Any]:
    answers = world.answers
    between = itertools.chain.from_iterable(
        answer.between_s for answer in answers
    )
    prompt_tokens = sum(answer.prompt_tokens for answer in answers)
    cached = sum(answer.cached_tokens for answer in answers)
    # Load of the busiest server of each moment, and over the whole time.
    by_server = [statistics.mean(loads) for loads in zip(*world.loads)]
    peaks = [
        max(loads) / max(statistics.mean(loads), 1) for loads in world.loads
    ]
    return {
        'answers': len(answers),
        'refused': world.refused,
        'first_token': sim.quantiles(answer.first_s for answer in answers),
        'between_tokens': sim.quantiles(between),
        'prefix_hit': round(cached / prompt_tokens, 3),
        'worst_server_load': round(
            max(by_server) / statistics.mean(by_server), 3
        ),
        'worst_moment_load': round(statistics.mean(peaks), 3),
        'mean_load': round(statistics.mean(by_server), 2),
        'remote': world.remote,
    }


def compare(seed: int, settings: tuple[Setting, ...]) -> Iterator[dict]:
    """
    Run all choosers in all settings.

    :param seed: of the schedules.
    :param settings: what to compare in.
    :returns: iterator of lines.
    """
    for setting in settings:
        for name in CHOOSERS:
            figures = sim.run_mocked(run, setting, name, seed)
            yield {
                'measure': 'routing',
                'setting': setting.name,
                'policy': name,
                'seed': seed,
                **figures,
            }


def main() -> None:
    """Compare and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=7)
    options = parser.parse_args()
    for line in compare(options.seed, SETTINGS):
        emit(line)


if __name__ == '__main__':
    main()
