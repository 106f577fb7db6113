"""
tests.signal_series
~~~~~~~~~~~~~~~~~~~

Plays seeded series of signals over the whole life of router processes; run as
``python -m tests.signal_series FIRST_SEED COUNT [JOBS]``.
"""

import random
import sys
from typing import NamedTuple

import trio

from eelgrassfork.process_signals import ACTIONS_BY_SIGNAL

from .router_process import (
    GRACE_S,
    OpenConnection,
    RouterProcess,
    Streams,
    run_processes,
)

JOBS = 6
# The load balancer still sends requests for this time after a stop signal.
REMOVAL_S = 2.6
MAX_STREAMS = 8
MAX_SERIES = 12
# A request that was just sent may reach a process that has gone.
LOSS_SLACK_S = 0.2
# Signals that arrive later may find the process gone.
LAST_LOGGED_S = 0.5

STOP_SIGNALS = [
    number for number, action in ACTIONS_BY_SIGNAL.items() if action == 'stop'
]
OTHER_SIGNALS = [
    number for number, action in ACTIONS_BY_SIGNAL.items() if action != 'stop'
]


class Outcome(NamedTuple):
    """
    Result of one play.

    :param seed: seed of the play.
    :param problems: broken promises, with the last lines of the log.
    :param streams: streams that were started.
    :param answers: answers on the connection that was kept open.
    :param signals: signals that were sent.
    """

    seed: int
    problems: list[str]
    streams: int
    answers: int
    signals: int


def change(router, source, is_stopping):
    """
    Leave the settings file changed, half written, missing or unreadable.

    :param is_stopping: whether the router has begun to stop; a shorter grace
        time must have no effect then.
    """
    path = router.path
    text = router.settings.encode()
    contents = {
        'same': text,
        'changed': text.replace(b'budgetSlack=58', b'budgetSlack=30'),
        'shorter grace': text.replace(b'graceS=%d' % GRACE_S, b'graceS=1'),
        'half written': text[: source.randrange(len(text))],
        'half a character': text + b'name=\xd0',
        'empty': b'',
    }
    if not is_stopping:
        del contents['shorter grace']
    kind = source.choice((*contents, 'missing', 'folder'))
    if path.is_dir():
        path.rmdir()
    path.unlink(missing_ok=True)
    if kind == 'folder':
        path.mkdir()
    elif kind != 'missing':
        path.write_bytes(contents[kind])


class Play:
    """
    One router process with its callers.

    :param world: the stand-ins.
    :param seed: seed of all choices.
    """

    def __init__(self, world, seed):
        self._world = world
        self._seed = seed
        self._random = random.Random(seed)
        self._sent = []
        self._router = None

    async def run(self):
        source = self._random
        router = self._router = RouterProcess(self._world.store.address)
        try:
            await router.program.wait_handlers()
            if source.random() < 0.3:
                await self._send_series(OTHER_SIGNALS, 0.05)
            await router.wait_ready()
            streams = Streams(router.caller_address)
            connection = OpenConnection(
                router.caller_address, f'{self._seed:07x}f'
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._call, streams, nursery)
                nursery.start_soon(connection.use)
                if source.random() < 0.7:
                    await self._send_series(OTHER_SIGNALS, 0.2)
                await trio.sleep(source.uniform(0, 1))
                change(router, source, is_stopping=False)
                stopped_at = trio.current_time()
                self._send(source.choice(STOP_SIGNALS))
                nursery.start_soon(self._disturb_until_exit)
                await router.program.wait_exit()
                exited_after_s = trio.current_time() - stopped_at
                nursery.cancel_scope.deadline = trio.current_time() + 1
            return self._judge(streams, connection, exited_after_s)
        finally:
            router.close()

    def _judge(self, streams, connection, exited_after_s):
        program = self._router.program
        messages = program.messages()
        code = program.popen.returncode
        problems = [
            f'stream {name} is incomplete' for name in streams.incomplete()
        ]
        problems += [
            f'request {name} was lost after {lost_after_s:.2f} s'
            for name, lost_after_s in connection.lost.items()
            if name in self._world.plain.runs or lost_after_s > LOSS_SLACK_S
        ]
        if code:
            problems.append(f'exit code {code}')
        if 'node: stopped' not in messages:
            problems.append('no line "stopped"')
        if not REMOVAL_S <= exited_after_s <= GRACE_S:
            own_s = [
                line['after_s']
                for line in program.log_lines()
                if line['message'] == 'node: stopped'
            ]
            problems.append(
                f'exited after {exited_after_s:.2f} s, by its log {own_s}'
            )
        logged = {
            line['signal']
            for line in program.log_lines()
            if line['part'] == 'signals'
        }
        unlogged = {
            number.name
            for number, sent_at in self._sent
            if sent_at + LAST_LOGGED_S < self._sent[-1][1]
        } - logged
        problems += [f'{name} is not in the log' for name in unlogged]
        if problems:
            problems += messages[-10:]
        return Outcome(
            self._seed,
            problems,
            streams.started,
            connection.answered,
            len(self._sent),
        )

    async def _call(self, streams, nursery):
        # Streams begin until the load balancer has removed the router.
        for number in range(self._random.randrange(1, MAX_STREAMS)):
            nursery.start_soon(streams.read, f'{self._seed:08x}{number:08x}')
            await trio.sleep(self._random.uniform(0, 0.3))

    async def _disturb_until_exit(self):
        source = self._random
        while self._router.program.popen.poll() is None:
            if source.random() < 0.3:
                change(self._router, source, is_stopping=True)
            await self._send_series(list(ACTIONS_BY_SIGNAL), 0.1)
            await trio.sleep(source.uniform(0, 0.5))

    async def _send_series(self, numbers, max_pause_s):
        source = self._random
        repeated = source.random() < 0.3
        number = source.choice(numbers)
        for _ in range(source.randrange(1, MAX_SERIES)):
            self._send(number if repeated else source.choice(numbers))
            if source.random() < 0.5:
                await trio.sleep(source.uniform(0, max_pause_s))

    def _send(self, number):
        if self._router.program.popen.poll() is None:
            self._router.program.signal(number)
            self._sent.append((number, trio.current_time()))


def play_seeds(seeds, jobs=JOBS):
    """
    Play seeds, several at a time.

    :param seeds: the seeds.
    :param jobs: number of router processes at a time.
    :returns: an :class:`Outcome` for each seed.
    """
    outcomes = []

    async def scenario(world):
        limiter = trio.CapacityLimiter(jobs)

        async def play(seed):
            async with limiter:
                outcomes.append(await Play(world, seed).run())

        async with trio.open_nursery() as nursery:
            for seed in seeds:
                nursery.start_soon(play, seed)
        return outcomes

    return run_processes(scenario)


def main():
    """
    Play seeds and print the broken ones.

    :returns: 1 if a promise was broken, else 0.
    """
    first, count, *jobs = (int(text) for text in sys.argv[1:4])
    outcomes = play_seeds(range(first, first + count), *jobs)
    broken = [outcome for outcome in outcomes if outcome.problems]
    for outcome in broken:
        print(outcome.seed, *outcome.problems, sep='\n  ')
    print(
        f'signal series: seeds={len(outcomes)} broken={len(broken)} '
        f'streams={sum(each.streams for each in outcomes)} '
        f'answers={sum(each.answers for each in outcomes)} '
        f'signals={sum(each.signals for each in outcomes)}'
    )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
