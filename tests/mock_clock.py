"""
tests.mock_clock
~~~~~~~~~~~~~~~~

Runs a test on a clock that jumps to the next timer.
"""

import trio
from trio.testing import MockClock


def run(function, *arguments):
    """
    Run an async function without waiting for timers.

    :param function: async function.
    :param arguments: of the function.
    :returns: its result.
    """
    clock = MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)
