"""
eelgrassfork.gateway.cold_servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides until when a server is cold, and which limit it has; pure functions only.

A cold server runs, but ends if it gets requests at its usual rate.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from .records import Service

__all__ = (
    'ColdState',
    'after_implication',
    'after_report',
    'cold_rate',
    'cold_until',
    'is_reported_cold',
    'lowest_rate',
)

_NEVER: Final = float('-inf')
# A false report lasts at most for this multiple of the time that servers of
# the service need after a start.
_MAX_START_TIMES: Final = 2
# A server reports every 1.2 s, and its report takes some hundred milliseconds,
# so that one that arrives earlier may have been written before the server
# became cold.
_REPORT_DELAY_S: Final = 1.5


class ColdState(NamedTuple):
    """
    What is known of one incarnation of a server; times are on trio's clock.

    :param reported_at: when the server's last report arrived.
    :param reported_s: time that the server stays cold, by this report.
    :param implied_at: when an event happened after which it is cold, unless a
        later report says otherwise.
    """

    reported_at: float = _NEVER
    reported_s: float = 0
    implied_at: float = _NEVER


def after_report(
    state: ColdState, cold_s: float | None, now_s: float
) -> ColdState:
    """
    Apply a report of the server.

    :param state: what was known before.
    :param cold_s: time that the server stays cold, in seconds; ``None`` if
        the report is invalid, and ignored.
    :param now_s: current time on trio's clock.
    :returns: what is known now.
    """
    if cold_s is None:
        return state
    implied_at = state.implied_at
    if now_s >= implied_at + _REPORT_DELAY_S:
        implied_at = _NEVER
    return ColdState(now_s, cold_s, implied_at)


def after_implication(state: ColdState, now_s: float) -> ColdState:
    """
    Apply an event after which the server is cold, as after a start.

    :param state: what was known before.
    :param now_s: current time on trio's clock.
    :returns: what is known now.
    """
    return state._replace(implied_at=now_s)


def cold_until(state: ColdState, start_s: float) -> float:
    """
    Compute the end of the time in which the server is cold.

    :param state: what is known of the server.
    :param start_s: time for which servers are cold after a start, in seconds.
    :returns: time on trio's clock; in the past if the server is not cold.
    """
    reported_s = min(state.reported_s, _MAX_START_TIMES * start_s)
    return max(state.reported_at + reported_s, state.implied_at + start_s)


def cold_rate(
    state: ColdState, service: Service | None, now_s: float
) -> float | None:
    """
    Look up the limit of a server that may be cold.

    :param state: what is known of the server.
    :param service: its service; ``None`` if the configuration has none.
    :param now_s: current time on trio's clock.
    :returns: requests a second from all routers together; ``None`` if the
        server is not cold, or if cold servers of the service have no limit.
    """
    if service is None or service.cold_per_s <= 0:
        return None
    if now_s >= cold_until(state, service.cold_start_s):
        return None
    return service.cold_per_s


def is_reported_cold(state: ColdState, now_s: float) -> bool:
    """
    Check whether a server is cold by its last report.

    :param state: what is known of the server.
    :param now_s: current time on trio's clock.
    :returns: whether the time that it reported has not ended.
    """
    return now_s < state.reported_at + state.reported_s


def lowest_rate(rates: Iterable[float | None]) -> float | None:
    """
    Combine limits of one server.

    :param rates: requests a second; ``None`` for no limit.
    :returns: the lowest rate; ``None`` without a limit.
    """
    return min((rate for rate in rates if rate is not None), default=None)
