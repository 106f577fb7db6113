"""
tests.mock_clock
~~~~~~~~~~~~~~~~

Runs tests on a mock clock that advances to the next deadline when idle.
"""

import trio
from trio.testing import MockClock


def run(function, *arguments):
    """
    Run an async function on an autojumping mock clock.

    :param function: async function.
    :param arguments: positional arguments of the function.
    :returns: result of the function.
    """
    clock = MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)
