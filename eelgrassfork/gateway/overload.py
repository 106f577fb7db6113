"""
eelgrassfork.gateway.overload
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a router with a delayed event loop refuses a request; pure
functions only.

The overload in question is that of a single router whose callers keep their
connections to it while one organisation sends several times its usual rate.
The router handles its requests in turn, each of them late, while other
routers and the servers have spare capacity.
"""

from collections.abc import Callable, Sequence
from statistics import median
from typing import Final, NamedTuple

__all__ = ('Backlog', 'should_refuse')

# Iterations of the event loop from the arrival of a request to its answer:
# accept, read, credit, connect, send, head, first event.
_LOOP_ITERATIONS: Final = 6
# The rest of the caller's time-out is left to the server and the network.  A
# late answer is worth more to callers than a refusal, as the next router may
# refuse the request too.
_ROUTER_FRACTION: Final = 0.5
# A retry at another router only helps the caller if the delay there is
# clearly smaller.
_MAX_PEER_DELAY_RATIO: Final = 0.5


class Backlog(NamedTuple):
    """
    Event loop delays of this router and its peers.

    :param delay_s: mean delay of one iteration of the event loop here.
    :param peer_delays_s: returns the delays that other routers last reported.
    """

    delay_s: float
    peer_delays_s: Callable[[], Sequence[float]]


def should_refuse(timeout_s: float, backlog: Backlog) -> bool:
    """
    Check whether another router would serve the caller better.

    :param timeout_s: time-out of the request.
    :param backlog: delays of this router and its peers.
    :returns: whether this router would probably miss the time-out, and
        others have less delay.
    """
    max_delay_s = timeout_s * _ROUTER_FRACTION
    if backlog.delay_s * _LOOP_ITERATIONS <= max_delay_s:
        return False
    delays_s = backlog.peer_delays_s()
    if not delays_s:
        return False
    return median(delays_s) < backlog.delay_s * _MAX_PEER_DELAY_RATIO
