"""
eelgrassfork.gateway.overload
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a router that is behind turns a request away; pure functions
only.

The load is that of one router whose callers stay with it while one
organisation sends several times its usual: it works through its requests in
turn, each of them late, while other routers and the servers have room.
"""

from collections.abc import Callable, Sequence
from statistics import median
from typing import Final, NamedTuple

__all__ = ('Backlog', 'should_refuse')

# Turns of the loop until a request has left for its server and its answer has
# come back: accept, read, credit, connect, send, head, first event.
_TURNS: Final = 6
# The rest of the caller's patience is for the server and the network.  A late
# answer is worth more to callers than a refusal that may not be the last one.
_PART_FOR_ROUTER: Final = 0.5
# Where other routers are nearly as late, a caller gains nothing by a return.
_LESS_ELSEWHERE: Final = 0.5


class Backlog(NamedTuple):
    """
    How far routers are behind with their work.

    :param delay_s: mean delay of one turn of the loop here.
    :param peer_delays_s: reads the same of other routers by their last
        word.
    """

    delay_s: float
    peer_delays_s: Callable[[], Sequence[float]]


def should_refuse(patience_s: float, backlog: Backlog) -> bool:
    """
    Tell whether a caller is better served by another router.

    :param patience_s: how long the caller waits.
    :param backlog: delays here and elsewhere.
    :returns: whether the answer would hardly come in that time, and others
        are less behind.
    """
    most_s = patience_s * _PART_FOR_ROUTER
    if backlog.delay_s * _TURNS <= most_s:
        return False
    delays_s = backlog.peer_delays_s()
    if not delays_s:
        return False
    return median(delays_s) < backlog.delay_s * _LESS_ELSEWHERE
