"""
bench.exp_routing
~~~~~~~~~~~~~~~~~

Compares the routing algorithm with baselines on the same conversations.
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


def _choose_in_any_domain(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    return choose(snapshot._replace(failure_domain=''), policy, source)


def _choose_with_loose_bound(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    loose = policy._replace(bound_factor=1.5, bound_slack=4)
    return _choose_in_any_domain(snapshot, loose, source)


# The last two relax one more rule each, to show what each rule costs.
CHOOSERS: dict[str, Chooser] = {
    'random': choose_random,
    'least requests': choose_least_requests,
    'affinity': choose_affinity,
    'ours': choose,
    'ours, any domain': _choose_in_any_domain,
    'ours, any domain, bound 1.5 x mean + 4': _choose_with_loose_bound,
}
DOMAINS = ('kandy-a', 'kandy-b', 'matale-a', 'matale-b')
WARM_UP_S = 20
MEAN_THINK_S = 5


class Setting(NamedTuple):
    """
    Load and fleet of one comparison.

    :param engines: number of backend servers, spread over four failure domains.
    :param routers: number of routers, spread in the same way.
    :param conversations_per_s: rate of new conversations.
    :param hot_share: fraction of the conversations that one organisation starts.
    :param duration_s: period in which conversations start.
    :param slow_factor: factor on the processing times of one server.
    :param sticky: whether all turns of a conversation use the same router.
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
    first_token_s: float
    inter_token_s: list[float]
    prompt_tokens: int
    cached_tokens: int


def make_conversations(setting: Setting, seed: int) -> list[list[_Turn]]:
    """
    Generate the conversations; each prompt repeats the prompts before it.

    :param setting: load and fleet.
    :param seed: seed of all random values.
    :returns: turns by conversation; the time of the first turn counts from
        the start of the run, that of a later turn from the end of the
        previous one.
    """
    source = random.Random(seed)
    prompts = [_random_words(source, 400) for _ in range(setting.organisations)]
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
    words = system + _random_words(source, source.randrange(20, 200))
    prefix = sim.leading_prefix(words)
    turns = []
    first_router = source.randrange(setting.routers)
    for number in range(source.randrange(2, 6)):
        router = source.randrange(setting.routers)
        if number:
            at = source.expovariate(1 / MEAN_THINK_S)
            words = words + _random_words(source, source.randrange(60, 260))
        length = source.randrange(40, 140)
        prompt = sim.Prompt(tuple(words), prefix, length)
        router = first_router if setting.sticky else router
        turns.append(_Turn(at, router, prompt))
    return turns


def _random_words(source: random.Random, count: int) -> list[str]:
    return [f'{source.getrandbits(20):05x}' for _ in range(count)]


class _Simulation:
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
        self.rejected = 0
        self.remote_choices = 0
        self.request_numbers = itertools.count()
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
        self.remote_choices += server.failure_domain != domain
        return self.engines_by_vm[server.vm]

    async def send_turn(self, turn: _Turn, measured: bool) -> None:
        engine = self.choose(turn)
        if engine is None:
            self.rejected += 1
            return
        backends: Backends = self.backends[turn.router]
        vm = engine.record.vm
        started_at = trio.current_time()
        generation = engine.submit(
            f'r{next(self.request_numbers)}', turn.prompt
        )
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

    async def run_conversation(self, turns: list[_Turn]) -> None:
        await trio.sleep_until(turns[0].at)
        measured = turns[0].at >= WARM_UP_S
        await self.send_turn(turns[0], measured)
        for turn in turns[1:]:
            await trio.sleep(turn.at)
            await self.send_turn(turn, measured)

    async def sample_loads(self, ends_at: float) -> None:
        await trio.sleep_until(WARM_UP_S)
        while trio.current_time() < ends_at:
            loads = [engine.load for engine in self.engines_by_vm.values()]
            self.loads.append(loads)
            await trio.sleep(0.25)


async def run(setting: Setting, name: str, seed: int) -> dict[str, Any]:
    """
    Run one routing algorithm.

    :param setting: load and fleet.
    :param name: a key of :data:`CHOOSERS`.
    :param seed: seed of all random values.
    :returns: figures by name.
    """
    conversations = make_conversations(setting, seed)
    async with trio.open_nursery() as servers:
        simulation = _Simulation(setting, CHOOSERS[name], seed)
        started_at = trio.current_time()
        for engine in simulation.engines_by_vm.values():
            engine.start(servers)
        for backends, source in zip(
            simulation.backends, simulation.sources, strict=True
        ):
            sim.start_polls(servers, backends, simulation.engines_by_vm, source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                simulation.sample_loads, started_at + setting.duration_s
            )
            for turns in conversations:
                nursery.start_soon(simulation.run_conversation, turns)
        servers.cancel_scope.cancel()
    return _figures(simulation)


def _figures(simulation: _Simulation) -> dict[str, Any]:
    answers = simulation.answers
    inter_token = itertools.chain.from_iterable(
        answer.inter_token_s for answer in answers
    )
    prompt_tokens = sum(answer.prompt_tokens for answer in answers)
    cached_tokens = sum(answer.cached_tokens for answer in answers)
    # Mean load of each server over the run, and the ratio of the highest to
    # the mean load in each sample.
    by_server = [statistics.mean(loads) for loads in zip(*simulation.loads)]
    peaks = [
        max(loads) / max(statistics.mean(loads), 1)
        for loads in simulation.loads
    ]
    return {
        'answers': len(answers),
        'refused': simulation.rejected,
        'first_token': sim.quantiles(
            answer.first_token_s for answer in answers
        ),
        'between_tokens': sim.quantiles(inter_token),
        'prefix_hit': round(cached_tokens / prompt_tokens, 3),
        'worst_server_load': round(
            max(by_server) / statistics.mean(by_server), 3
        ),
        'worst_moment_load': round(statistics.mean(peaks), 3),
        'mean_load': round(statistics.mean(by_server), 2),
        'remote': simulation.remote_choices,
    }


def compare(seed: int, settings: tuple[Setting, ...]) -> Iterator[dict]:
    """
    Run all routing algorithms in all settings.

    :param seed: seed of all random values.
    :param settings: settings to run.
    :returns: iterator of measurement lines.
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
    """Run the comparison and print its lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=7)
    options = parser.parse_args()
    for line in compare(options.seed, SETTINGS):
        emit(line)


if __name__ == '__main__':
    main()
