"""
eelgrassfork.gateway.admission.router_delay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a busy router sends a request back, so that another router
serves it; pure functions only.

Answers callers who are spread unevenly: one router receives several times the
mean rate of requests, and its event loop delays all of them, while most other
routers are idle.  A caller that is refused at once reaches one of these and is
still answered within its objective.
"""

from collections.abc import Callable, Sequence
from statistics import median
from typing import Final, NamedTuple

__all__ = ('RouterDelays', 'redirect_probability')

# Iterations of the event loop from the arrival of a request to the first
# event of its answer: accept, read, credit, connect, send, head, event.
_LOOP_ITERATIONS: Final = 7
# Fractions of the latency objective that the router itself may take.  Requests
# are redirected with a probability that rises between the two, so that the
# delay settles and does not oscillate.
_START_FRACTION: Final = 0.3
_FULL_FRACTION: Final = 0.8
# Some requests are always kept, as each redirected one makes another router
# busier.
_MAX_PROBABILITY: Final = 0.9
# A redirected request helps its caller only where the delay is clearly smaller.
_MAX_PEER_DELAY_RATIO: Final = 0.25


class RouterDelays(NamedTuple):
    """
    Event loop delays of this router and of others, in seconds.

    :param own_s: mean delay of one iteration of the event loop here.
    :param of_peers_s: returns the delays that other routers last reported.
    """

    own_s: float
    of_peers_s: Callable[[], Sequence[float]]


def redirect_probability(objective_s: float, delays: RouterDelays) -> float:
    """
    Compute the probability with which a request is sent back to its caller.

    :param objective_s: latency objective of the request, in seconds.
    :param delays: delays of the routers.
    :returns: 0 to 0.9; 0 unless most other routers have much less delay.
    """
    fraction = delays.own_s * _LOOP_ITERATIONS / objective_s
    if fraction <= _START_FRACTION:
        return 0
    peers_s = delays.of_peers_s()
    if not peers_s or median(peers_s) > delays.own_s * _MAX_PEER_DELAY_RATIO:
        return 0
    excess = (fraction - _START_FRACTION) / (_FULL_FRACTION - _START_FRACTION)
    return min(_MAX_PROBABILITY, excess)
