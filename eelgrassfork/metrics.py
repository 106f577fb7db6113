"""
eelgrassfork.metrics
~~~~~~~~~~~~~~~~~~~~

Statsd client with fleet-qualified names; periodic gauges and counters.
"""

import re
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import statsd
import trio

from .errors import EelgrassError
from .metric_table import METRICS_BY_NAME, Kind

__all__ = (
    'Metrics',
    'NullMetrics',
    'StatsdMetrics',
    'CounterReporter',
    'create_metrics',
    'report_gauges',
)

_PREFIX: Final = 'eelgrassfork'
_SPECIAL: Final = re.compile('[^A-Za-z0-9_-]')


class Metrics(Protocol):
    """Receives samples; each name is a key of ``METRICS_BY_NAME``."""

    def count(
        self, name: str, fleet: str, *labels: str, amount: int = 1
    ) -> None:
        """
        Add to a counter.

        :param fleet: fleet that the sample is about.
        :param labels: one value for each label of the metric.
        """

    def gauge(self, name: str, fleet: str, *labels: str, value: float) -> None:
        """
        Set a gauge.

        :param fleet: fleet that the sample is about.
        """

    def timing(
        self, name: str, fleet: str, *labels: str, milliseconds: float
    ) -> None:
        """
        Record a duration.

        :param fleet: fleet that the sample is about.
        """


class NullMetrics:
    """Validates and discards samples, for a router without statsd."""

    def count(
        self, name: str, fleet: str, *labels: str, amount: int = 1
    ) -> None:
        """Validate the name and the number of labels."""
        _full_name('counter', name, fleet, labels)

    def gauge(self, name: str, fleet: str, *labels: str, value: float) -> None:
        """Validate the name and the number of labels."""
        _full_name('gauge', name, fleet, labels)

    def timing(
        self, name: str, fleet: str, *labels: str, milliseconds: float
    ) -> None:
        """Validate the name and the number of labels."""
        _full_name('timer', name, fleet, labels)


class StatsdMetrics:
    """
    Sends samples over UDP; a lost sample is not an error.

    :param client: client of the statsd server.
    """

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(
        self, name: str, fleet: str, *labels: str, amount: int = 1
    ) -> None:
        """Add to a counter."""
        self._client.incr(_full_name('counter', name, fleet, labels), amount)

    def gauge(self, name: str, fleet: str, *labels: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(_full_name('gauge', name, fleet, labels), value)

    def timing(
        self, name: str, fleet: str, *labels: str, milliseconds: float
    ) -> None:
        """Record a duration."""
        full_name = _full_name('timer', name, fleet, labels)
        self._client.timing(full_name, milliseconds)


async def report_gauges(
    metrics: Metrics,
    fleet: str,
    queries_by_name: Mapping[str, Callable[[], float]],
    interval_s: float,
) -> None:
    """
    Report gauges periodically until cancelled.

    :param metrics: receives the samples.
    :param fleet: fleet of this router.
    :param queries_by_name: functions that read the gauges, by gauge name.
    :param interval_s: time between two reports, in seconds.
    """
    while True:
        for name, query in queries_by_name.items():
            metrics.gauge(name, fleet, value=query())
        await trio.sleep(interval_s)


class CounterReporter:
    """
    Reports the increase of monotonic totals as counters.

    :param metrics: receives the samples.
    :param fleet: fleet of this router.
    :param queries_by_key: functions that read the totals, by counter name
        and labels.
    """

    def __init__(
        self,
        metrics: Metrics,
        fleet: str,
        queries_by_key: Mapping[tuple[str, ...], Callable[[], int]],
    ) -> None:
        self._metrics = metrics
        self._fleet = fleet
        self._queries_by_key = queries_by_key
        self._reported: dict[tuple[str, ...], int] = {}

    def report(self) -> None:
        """Report the increase since the last report."""
        for key, query in self._queries_by_key.items():
            total = query()
            added = total - self._reported.get(key, 0)
            if added:
                name, *labels = key
                self._metrics.count(name, self._fleet, *labels, amount=added)
            self._reported[key] = total


def create_metrics(address: str) -> Metrics:
    """
    Create the metrics client of a process.

    :param address: ``ip:port`` of the statsd server, or empty for none.
    :returns: a statsd client, or one that discards its samples.
    """
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(':')
    return StatsdMetrics(
        statsd.StatsClient(
            host.strip('[]'), int(port), prefix=_PREFIX, ipv6=':' in host
        ),
    )


def _full_name(
    kind: Kind, name: str, fleet: str, labels: tuple[str, ...]
) -> str:
    spec = METRICS_BY_NAME.get(name)
    if spec is None or spec.kind != kind or len(spec.labels) != len(labels):
        raise EelgrassError(
            'unknown_metric',
            f'{name!r} is not a {kind} with {len(labels)} labels',
        )
    # Merged fleets share one statsd server, so names begin with the fleet.
    parts = (fleet or 'none', name, *labels)
    return '.'.join(_SPECIAL.sub('_', part) for part in parts)
