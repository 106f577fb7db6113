"""
eelgrassfork.retries
~~~~~~~~~~~~~~~~~~~~

Retry budget, backoff, and ejection and return of backend servers.
"""

import random
from typing import Final, NamedTuple

__all__ = (
    'EjectionPolicy',
    'RetryBudget',
    'ServerHealth',
    'after_failure',
    'after_probe',
    'backoff_s',
    'needs_probe',
)

_MAX_DOUBLINGS: Final = 16


class RetryBudget:
    """
    Token bucket that keeps retries to a fraction of requests.

    :param fraction: tokens that each request adds.
    :param capacity: most tokens kept; the bucket starts full, so that the
        first failures after a start can be retried.
    """

    def __init__(self, fraction: float = 0.1, capacity: float = 10) -> None:
        self._fraction = fraction
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Number of retries that can be made now."""
        return self._tokens

    def request_started(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._capacity, self._tokens + self._fraction)

    def take(self) -> bool:
        """
        Use one retry if there is one.

        :returns: whether the retry may be made.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EjectionPolicy(NamedTuple):
    """
    When a server is ejected and tried again.

    :param failures: failures in a row that eject a server.
    :param first_s: shortest time before the first probe, in seconds.
    :param longest_s: longest time between probes, in seconds.
    """

    failures: int = 3
    first_s: float = 0.5
    longest_s: float = 30


class ServerHealth(NamedTuple):
    """
    Failures of one server; the default is a healthy server.

    :param failures: failures in a row.
    :param ejections: ejections and failed probes in a row.
    :param probe_at: time of the next probe on the clock of trio, ``None``
        if the server is not ejected.
    """

    failures: int = 0
    ejections: int = 0
    probe_at: float | None = None

    @property
    def ejected(self) -> bool:
        """Whether the server gets no requests."""
        return self.probe_at is not None


def backoff_s(
    attempt: int, policy: EjectionPolicy, rng: random.Random
) -> float:
    """
    Compute a jittered exponential delay.

    :param attempt: 0 for the first delay.
    :param policy: shortest and longest delay.
    :param rng: random source of the jitter.
    :returns: between half and the whole of the doubled delay, in seconds.
    """
    doublings = min(attempt + 1, _MAX_DOUBLINGS)
    doubled = policy.first_s * (1 << doublings)
    longest = min(policy.longest_s, doubled)
    return longest * (1 + rng.random()) / 2


def after_failure(
    health: ServerHealth,
    now_s: float,
    no_response: bool,
    policy: EjectionPolicy,
    rng: random.Random,
) -> ServerHealth:
    """
    Take a failed request into account.

    :param health: state before.
    :param now_s: time on the clock of trio.
    :param no_response: whether the server stayed silent on a new connection;
        this ejects it at once.
    :param policy: when to eject.
    :param rng: random source of the jitter.
    :returns: state after.
    """
    if health.ejected:
        return health
    failures = health.failures + 1
    if failures < policy.failures and not no_response:
        return health._replace(failures=failures)
    return _eject(health, now_s, policy, rng)


def after_probe(
    health: ServerHealth,
    now_s: float,
    alive: bool,
    policy: EjectionPolicy,
    rng: random.Random,
) -> ServerHealth:
    """
    Take the result of a probe into account.

    A server that answers its probe gets requests again, but its next
    failure ejects it for longer; only a successful request clears that.

    :param health: state before.
    :param now_s: time on the clock of trio.
    :param alive: whether the server answered.
    :param policy: when to try again.
    :param rng: random source of the jitter.
    :returns: state after.
    """
    if not health.ejected:
        return health
    if alive:
        return health._replace(failures=policy.failures - 1, probe_at=None)
    return _eject(health, now_s, policy, rng)


def needs_probe(health: ServerHealth, now_s: float) -> bool:
    """
    Tell whether an ejected server is due to be tried.

    :param health: state of the server.
    :param now_s: time on the clock of trio.
    :returns: whether to send a probe.
    """
    return health.probe_at is not None and now_s >= health.probe_at


def _eject(
    health: ServerHealth,
    now_s: float,
    policy: EjectionPolicy,
    rng: random.Random,
) -> ServerHealth:
    delay_s = backoff_s(health.ejections, policy, rng)
    return ServerHealth(
        failures=policy.failures,
        ejections=health.ejections + 1,
        probe_at=now_s + delay_s,
    )
