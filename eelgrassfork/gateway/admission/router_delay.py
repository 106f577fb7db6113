"""
eelgrassfork.gateway.admission.router_delay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a busy router sends a request back, so that another router
serves it; pure functions only.

Answers callers who are spread unevenly: one router receives several times the
mean rate of requests, and its event loop or its network link delays all of
them, while most other routers are idle.  A caller that is refused at once reaches one of these and is
still answered within its objective.
"""

from collections.abc import Callable, Sequence
from statistics import median
from typing import Final, NamedTuple

__all__ = (
    'LOOP_ITERATIONS',
    'RouterDelays',
    'link_delay_s',
    'redirect_probability',
)

# Iterations of the event loop from the arrival of a request to the first
# event of its answer: accept, read, credit, connect, send, head, event.
LOOP_ITERATIONS: Final = 7
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

# From this utilisation on, bursts of requests queue at a link.
_BUSY_UTILISATION: Final = 0.65
# Delay of a request behind the queue of a full link.
_FULL_LINK_DELAY_S: Final = 0.5


class RouterDelays(NamedTuple):
    """
    Event loop delays of this router and of others, in seconds.

    :param own_s: mean delay of one iteration of the event loop here.
    :param of_peers_s: returns the delays that other routers last reported.
    :param link_s: expected delay of a large request at the link here.
    """

    own_s: float
    of_peers_s: Callable[[], Sequence[float]]
    link_s: float = 0


def link_delay_s(utilisation: float) -> float:
    """
    Estimate how long a large request and its answer wait at the network link.

    :param utilisation: used fraction of the link; its measurement does not
        exceed 1 while the queue grows.
    :returns: seconds; 0 below two thirds.
    """
    excess = (utilisation - _BUSY_UTILISATION) / (1 - _BUSY_UTILISATION)
    return min(max(excess, 0), 1) * _FULL_LINK_DELAY_S


def redirect_probability(objective_s: float, delays: RouterDelays) -> float:
    """
    Compute the probability with which a request is sent back to its caller.

    A late event loop matters to requests with a short objective; the queue of a
    link delays all others too, so that it is kept short for all alike.

    :param objective_s: latency objective of the request, in seconds.
    :param delays: delays of the routers.
    :returns: 0 to 0.9; 0 unless most other routers have much less delay.
    """
    loop_s = delays.own_s * LOOP_ITERATIONS
    late = loop_s / objective_s - _START_FRACTION
    probability = max(
        late / (_FULL_FRACTION - _START_FRACTION),
        delays.link_s / _FULL_LINK_DELAY_S,
    )
    if probability <= 0:
        return 0
    peers_s = delays.of_peers_s()
    worst_s = max(delays.own_s, delays.link_s / LOOP_ITERATIONS)
    if not peers_s or median(peers_s) > worst_s * _MAX_PEER_DELAY_RATIO:
        return 0
    return min(_MAX_PROBABILITY, probability)
