"""
tests.fault_schedule
~~~~~~~~~~~~~~~~~~~~

Runs a cell deterministically, and suspends the tasks of stopped hosts.

Uses two private parts of trio: the switch for deterministic scheduling, which
its Hypothesis plugin also uses, and the queue of runnable tasks.
"""

import contextvars
import random
import secrets
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from trio._core import _run
from trio.testing import MockClock

__all__ = ('HOST', 'HoldableRunQueue', 'install_run_queue', 'run_seeded')

# Incarnation of the host that a task runs on; child tasks inherit it.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host', default='')


class HoldableRunQueue(deque):
    """
    Queue of runnable tasks that skips the tasks of suspended hosts.

    A suspended host makes no progress, as after SIGSTOP or SIGKILL: timers
    that expire meanwhile are processed when it resumes.

    :ivar hosts: incarnations whose tasks don't run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.hosts: set[str] = set()

    def __iter__(self) -> Iterator[trio.lowlevel.Task]:
        tasks = super().__iter__()
        return (task for task in tasks if not self._is_held(task))

    def __len__(self) -> int:
        if not self.hosts:
            return super().__len__()
        return sum(1 for _ in self)

    def clear(self) -> None:
        held = [task for task in super().__iter__() if self._is_held(task)]
        super().clear()
        self.extend(held)

    def _is_held(self, task: trio.lowlevel.Task) -> bool:
        return task.context.get(HOST, '') in self.hosts


def install_run_queue() -> HoldableRunQueue:
    """
    Replace the run queue of the running event loop.

    :returns: the new queue.
    """
    runner = _run.GLOBAL_RUN_CONTEXT.runner
    run_queue = HoldableRunQueue()
    run_queue.extend(runner.runq)
    runner.runq = run_queue
    return run_queue


def run_seeded(main, seed: int):
    """
    Run an async function deterministically, on an autojump clock.

    The order of sets of strings depends on ``PYTHONHASHSEED``, which must be
    fixed for the process.

    :param main: function without arguments.
    :param seed: determines identities, jitter and the order of tasks.
    :returns: the function's return value.
    """
    with _seeded(seed):
        return trio.run(main, clock=MockClock(autojump_threshold=0))


@contextmanager
def _seeded(seed: int):
    source = random.Random(seed)
    unseeded = random.Random

    class SeededRandom(unseeded):
        def __init__(self, given=None) -> None:
            super().__init__(source.random() if given is None else given)

    def token_hex(count=16):
        return source.randbytes(count).hex()

    saved = (secrets.token_hex, secrets.token_urlsafe, random.getstate())
    secrets.token_hex = secrets.token_urlsafe = token_hex
    random.Random = SeededRandom
    random.seed(seed)
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    try:
        yield
    finally:
        secrets.token_hex, secrets.token_urlsafe, state = saved
        random.Random = unseeded
        random.setstate(state)
        _run._ALLOW_DETERMINISTIC_SCHEDULING = False
