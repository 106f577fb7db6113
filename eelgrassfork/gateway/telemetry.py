"""
eelgrassfork.gateway.telemetry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counters, gauges and latency histograms of the gateway for Prometheus.
"""

from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ('Telemetry',)

_PREFIX: Final = 'eelgrassfork'
# From the fastest responses of plain services to the longest route time-out.
_BUCKETS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1,
    2,
    4,
    8,
    16,
)


class Telemetry:
    """
    Metrics of the gateway.

    :ivar requests_ended: ended requests by route kind and outcome.
    :ivar sends: requests sent to servers by service and outcome.
    :ivar limited_sends: requests sent to servers that name a limit, by
        service.
    :ivar first_byte_s: time until the first byte is sent to the caller, in
        seconds.
    :ivar full_response_s: time until the end of the response, in seconds.
    """

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.requests_ended = Counter(
            'requests_ended',
            'Requests by kind of route and outcome.',
            ('kind', 'outcome'),
            _PREFIX,
            registry=registry,
        )
        self.sends = Counter(
            'sends',
            'Requests sent to backend servers by service and outcome.',
            ('service', 'outcome'),
            _PREFIX,
            registry=registry,
        )
        self.limited_sends = Counter(
            'limited_sends',
            'Requests sent to backend servers that name a limit, by service.',
            ('service',),
            _PREFIX,
            registry=registry,
        )
        self._permits = Counter(
            'permits',
            'Requests for permits to send to limited servers, by outcome.',
            ('outcome',),
            _PREFIX,
            registry=registry,
        )
        self._server_crashes = Counter(
            'server_crashes',
            'Backend servers that ended with requests in progress, by service.',
            ('service',),
            _PREFIX,
            registry=registry,
        )
        self._store_calls = Counter(
            'store_calls',
            'Calls of the store by outcome.',
            ('outcome',),
            _PREFIX,
            registry=registry,
        )
        self.first_byte_s = Histogram(
            'first_byte_seconds',
            'Time from the request to the first byte of its answer.',
            ('kind',),
            _PREFIX,
            registry=registry,
            buckets=_BUCKETS_S,
        )
        self.full_response_s = Histogram(
            'whole_answer_seconds',
            'Time from the request to the end of its answer.',
            ('kind',),
            _PREFIX,
            registry=registry,
            buckets=_BUCKETS_S,
        )
        self.configuration_version = Gauge(
            'configuration_version',
            'Version of the configuration in force.',
            (),
            _PREFIX,
            registry=registry,
        )

    def count_store_call(self, outcome: str) -> None:
        """
        Count a call to the store.

        :param outcome: HTTP status or error code of the call.
        """
        self._store_calls.labels(outcome).inc()

    def count_permit(self, outcome: str) -> None:
        """
        Count a request for a permit to send to a limited server.

        :param outcome: ``granted`` or ``refused``, and ``unreachable`` if
            the refusal is due to a failed call.
        """
        self._permits.labels(outcome).inc()

    def count_crash(self, service: str) -> None:
        """
        Count a backend server that ended with requests in progress.

        :param service: service of the server.
        """
        self._server_crashes.labels(service).inc()

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """
        Export a value that another component maintains.

        :param name: name of the gauge, without the common prefix.
        :param description: help text of the gauge.
        :param read: returns the current value; called on each scrape.
        """
        gauge = Gauge(name, description, (), _PREFIX, registry=self._registry)
        gauge.set_function(read)

    def add_gauges(
        self,
        name: str,
        description: str,
        label: str,
        reads_by_text: Mapping[str, Callable[[], float]],
    ) -> None:
        """
        Export values that another component maintains, with one label.

        :param name: name of the gauge, without the common prefix.
        :param description: help text of the gauge.
        :param label: name of the label.
        :param reads_by_text: by text of the label, a function that returns
            the current value.
        """
        gauge = Gauge(
            name, description, (label,), _PREFIX, registry=self._registry
        )
        for text, read in reads_by_text.items():
            gauge.labels(text).set_function(read)

    def render(self) -> bytes:
        """
        Render all metrics.

        :returns: metrics in the text exposition format of Prometheus.
        """
        return generate_latest(self._registry)
