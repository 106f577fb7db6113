"""
eelgrassfork.gateway.patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a router waits for a server, and when callers may come back; pure
functions only.
"""

from typing import Final, NamedTuple

from .records import Route

__all__ = ('Waiting', 'pause_s', 'return_s', 'silence_s')

_LEAST_S: Final = 0.01
# A server that is this much slower than usual is taken to be silent.
_SILENCE_FACTOR: Final = 3.0
# Shorter bounds would take a busy plain service for a silent one.
_PLAIN_SILENCE_S: Final = 0.12
# Engines read prompts of others first, for some hundred milliseconds.
_ENGINE_SILENCE_S: Final = 0.3
# Part of the objective after which the first refused callers return, and the
# part over which all of them are spread.
_FIRST_RETURN: Final = 0.2
_RETURN_SPREAD: Final = 0.5


class Waiting(NamedTuple):
    """
    What a wait depends on.

    :param left_s: time until the request's deadline.
    :param usual_s: the server's usual time to its first byte; ``None`` if
        unknown.
    :param has_other: whether another server may be tried.
    """

    left_s: float
    usual_s: float | None
    has_other: bool


def silence_s(route: Route, waiting: Waiting) -> float:
    """
    Compute how long to wait for the first byte of an answer.

    A silent server is left early only where the request may run elsewhere,
    so that a server that hangs or goes dark costs a part of the objective.

    :param route: route of the request.
    :param waiting: what else it depends on.
    :returns: seconds.
    """
    left_s = max(_LEAST_S, waiting.left_s)
    if not (route.repeatable and waiting.has_other):
        return left_s
    shortest_s = _PLAIN_SILENCE_S
    if route.kind == 'stream':
        shortest_s = _ENGINE_SILENCE_S
    usual_s = waiting.usual_s
    if usual_s is None:
        usual_s = route.objective_s / 2
    return min(left_s, max(shortest_s, usual_s * _SILENCE_FACTOR))


def pause_s(route: Route, waiting: Waiting) -> float:
    """
    Compute how long a stream may go without a whole event.

    :param route: route of the request.
    :param waiting: what else it depends on.
    :returns: seconds; all that is left where the stream can't go on
        elsewhere, as a slow stream is better than a cut one.
    """
    left_s = max(_LEAST_S, waiting.left_s)
    may_leave = route.repeatable and waiting.has_other
    if not (may_leave and route.longest_pause_s):
        return left_s
    return min(left_s, route.longest_pause_s)


def return_s(route: Route, share: float) -> float:
    """
    Compute when a refused caller may come back.

    Returns are spread, so that those refused together do not meet again.

    :param route: route of the request.
    :param share: place among the returns, from 0 to 1.
    :returns: seconds.
    """
    return route.objective_s * (_FIRST_RETURN + _RETURN_SPREAD * share)
