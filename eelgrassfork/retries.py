"""
eelgrassfork.retries
~~~~~~~~~~~~~~~~~~~~

Retry budget, backoff, and ejection and reinstatement of backend servers.
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
    Token bucket that limits retries to a fraction of requests.

    :param fraction: tokens added per request.
    :param capacity: maximum number of tokens; the bucket starts full, so that
        the first failures after a start can be retried.
    """

    def __init__(self, fraction: float = 0.1, capacity: float = 10) -> None:
        self._fraction = fraction
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Available tokens; each retry takes one."""
        return self._tokens

    def request_started(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(self._capacity, self._tokens + self._fraction)

    def take(self) -> bool:
        """
        Take one token if available.

        :returns: whether the request may be retried.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EjectionPolicy(NamedTuple):
    """
    Thresholds and probe intervals for the ejection of servers.

    :param failures: consecutive failures after which a server is ejected.
    :param first_s: minimum delay before the first probe, in seconds.
    :param longest_s: maximum delay between probes, in seconds.
    """

    failures: int = 3
    first_s: float = 0.5
    longest_s: float = 30


class ServerHealth(NamedTuple):
    """
    Failure state of one server; the default is a healthy server.

    :param failures: consecutive failures.
    :param ejections: consecutive ejections and failed probes.
    :param probe_at: time of the next probe on trio's clock; ``None`` if the
        server is not ejected.
    """

    failures: int = 0
    ejections: int = 0
    probe_at: float | None = None

    @property
    def ejected(self) -> bool:
        """Whether the server is excluded from requests."""
        return self.probe_at is not None


def backoff_s(
    attempt: int, policy: EjectionPolicy, rng: random.Random
) -> float:
    """
    Compute a jittered exponential delay.

    :param attempt: 0 for the first delay.
    :param policy: minimum and maximum delay.
    :param rng: random number generator for the jitter.
    :returns: delay in seconds, between half and the full exponential delay.
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
    Update the state of a server after a failed request.

    :param health: previous state.
    :param now_s: time on trio's clock.
    :param no_response: whether the server didn't respond on a new connection,
        which ejects it immediately.
    :param policy: ejection policy.
    :param rng: random number generator for the jitter.
    :returns: new state.
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
    Update the state of a server after a probe.

    A server that responds to its probe receives requests again, but its next
    failure ejects it for longer; only a successful request resets this.

    :param health: previous state.
    :param now_s: time on trio's clock.
    :param alive: whether the server responded.
    :param policy: ejection policy.
    :param rng: random number generator for the jitter.
    :returns: new state.
    """
    if not health.ejected:
        return health
    if alive:
        return health._replace(failures=policy.failures - 1, probe_at=None)
    return _eject(health, now_s, policy, rng)


def needs_probe(health: ServerHealth, now_s: float) -> bool:
    """
    Check whether a probe of an ejected server is due.

    :param health: state of the server.
    :param now_s: time on trio's clock.
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
