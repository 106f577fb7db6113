"""
eelgrassfork.gateway.timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Computes time-outs for servers, and retry delays for refused callers; pure
functions only.
"""

from typing import Final, NamedTuple

from .records import Route

__all__ = (
    'MAX_PERMIT_WAIT_S',
    'WaitContext',
    'credit_wait_s',
    'event_gap_timeout_s',
    'first_byte_timeout_s',
    'permit_wait_s',
    'retry_delay_s',
)

_MIN_TIMEOUT_S: Final = 0.01
# A server times out at this multiple of its typical latency.
_LATENCY_FACTOR: Final = 3.0
# A shorter time-out would fail requests to plain services that are merely
# busy.
_PLAIN_MIN_TIMEOUT_S: Final = 0.12
# Engines first prefill the prompts of other requests, which takes some
# hundred milliseconds.
_ENGINE_MIN_TIMEOUT_S: Final = 0.3
# Fraction of the latency objective after which the first refused callers
# retry, and the fraction over which all their retries are spread.
_RETRY_START: Final = 0.2
_RETRY_SPREAD: Final = 0.5


# Longest time that the most urgent request waits for a permit, a fraction of
# the shortest latency objectives.
MAX_PERMIT_WAIT_S: Final = 0.1
_PRIORITIES: Final = 10


# A few round trips to the store and to a keeper.
_MIN_CREDIT_WAIT_S: Final = 0.15
_CREDIT_WAIT_FRACTION: Final = 0.3


class WaitContext(NamedTuple):
    """
    Request and server state that determines a time-out.

    :param remaining_s: time until the request's deadline.
    :param typical_latency_s: the server's typical time to first byte;
        ``None`` if unknown.
    :param has_alternative: whether another server may be tried.
    """

    remaining_s: float
    typical_latency_s: float | None
    has_alternative: bool


def first_byte_timeout_s(route: Route, context: WaitContext) -> float:
    """
    Compute the time-out for the first byte of an answer.

    It is shorter than the remaining time only if the request may run on
    another server.  A server that hangs or has lost its network then costs
    only a part of the latency objective.

    :param route: route of the request.
    :param context: state of the request and the server.
    :returns: seconds.
    """
    remaining_s = max(_MIN_TIMEOUT_S, context.remaining_s)
    if not (route.repeatable and context.has_alternative):
        return remaining_s
    min_timeout_s = _PLAIN_MIN_TIMEOUT_S
    if route.kind == 'stream':
        min_timeout_s = _ENGINE_MIN_TIMEOUT_S
    typical_latency_s = context.typical_latency_s
    if typical_latency_s is None:
        typical_latency_s = route.objective_s / 2
    return min(
        remaining_s, max(min_timeout_s, typical_latency_s * _LATENCY_FACTOR)
    )


def event_gap_timeout_s(route: Route, context: WaitContext) -> float:
    """
    Compute the time-out between complete events of a stream.

    :param route: route of the request.
    :param context: state of the request and the server.
    :returns: seconds; all the remaining time if the stream can't be resumed
        on another server, as a slow stream is better than a truncated one.
    """
    remaining_s = max(_MIN_TIMEOUT_S, context.remaining_s)
    may_fail_over = route.repeatable and context.has_alternative
    if not (may_fail_over and route.max_event_gap_s):
        return remaining_s
    return min(remaining_s, route.max_event_gap_s)


def permit_wait_s(priority: int) -> float:
    """
    Compute how long a request waits for a permit of a limited server.

    Permits are reserved in advance for at most this time.  While there are
    fewer permits than requests, they therefore go to the most urgent ones.

    :param priority: 0 is the most urgent, 9 the least.
    :returns: seconds.
    """
    rank = min(max(priority, 0), _PRIORITIES - 1)
    return MAX_PERMIT_WAIT_S * (1 - rank / _PRIORITIES)


def credit_wait_s(route: Route) -> float:
    """
    Compute how long a request waits for credit.

    :param route: route of the request.
    :returns: seconds; a part of the latency objective that leaves time for
        the answer.
    """
    return max(_MIN_CREDIT_WAIT_S, route.objective_s * _CREDIT_WAIT_FRACTION)


def retry_delay_s(route: Route, fraction: float) -> float:
    """
    Compute when a refused caller may retry.

    Retries are spread, so that callers refused at the same time do not all
    return at the same time.

    :param route: route of the request.
    :param fraction: position within the spread, from 0 to 1.
    :returns: seconds.
    """
    return route.objective_s * (_RETRY_START + _RETRY_SPREAD * fraction)
