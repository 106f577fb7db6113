"""
eelgrassfork.gateway.patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a router waits for a server, and when callers may come back; pure
functions only.
"""

from typing import Final, NamedTuple

from .records import Route

__all__ = (
    'WaitContext',
    'event_gap_timeout_s',
    'retry_delay_s',
    'first_byte_timeout_s',
)

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


class WaitContext(NamedTuple):
    """
    What a wait depends on.

    :param remaining_s: time until the request's deadline.
    :param typical_latency_s: the server's usual time to its first byte; ``None`` if
        unknown.
    :param has_alternative: whether another server may be tried.
    """

    remaining_s: float
    typical_latency_s: float | None
    has_alternative: bool


def first_byte_timeout_s(route: Route, context: WaitContext) -> float:
    """
    Compute how long to wait for the first byte of an answer.

    A silent server is left early only where the request may run elsewhere,
    so that a server that hangs or goes dark costs a part of the objective.

    :param route: route of the request.
    :param context: what else it depends on.
    :returns: seconds.
    """
    remaining_s = max(_LEAST_S, context.remaining_s)
    if not (route.repeatable and context.has_alternative):
        return remaining_s
    shortest_s = _PLAIN_SILENCE_S
    if route.kind == 'stream':
        shortest_s = _ENGINE_SILENCE_S
    typical_latency_s = context.typical_latency_s
    if typical_latency_s is None:
        typical_latency_s = route.objective_s / 2
    return min(
        remaining_s, max(shortest_s, typical_latency_s * _SILENCE_FACTOR)
    )


def event_gap_timeout_s(route: Route, context: WaitContext) -> float:
    """
    Compute how long a stream may go without a whole event.

    :param route: route of the request.
    :param context: what else it depends on.
    :returns: seconds; all that is left where the stream can't go on
        elsewhere, as a slow stream is better than a cut one.
    """
    remaining_s = max(_LEAST_S, context.remaining_s)
    may_leave = route.repeatable and context.has_alternative
    if not (may_leave and route.max_event_gap_s):
        return remaining_s
    return min(remaining_s, route.max_event_gap_s)


def retry_delay_s(route: Route, share: float) -> float:
    """
    Compute when a refused caller may come back.

    Returns are spread, so that those refused together do not meet again.

    :param route: route of the request.
    :param share: place among the returns, from 0 to 1.
    :returns: seconds.
    """
    return route.objective_s * (_FIRST_RETURN + _RETURN_SPREAD * share)
