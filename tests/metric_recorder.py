"""
tests.metric_recorder
~~~~~~~~~~~~~~~~~~~~~

Metrics backend that records samples in memory.
"""

from collections import Counter

from eelgrassfork.metrics import NullMetrics

__all__ = ('MetricRecorder',)


class MetricRecorder(NullMetrics):
    """Validates and records samples; the fleet is the first label."""

    def __init__(self) -> None:
        self.counts = Counter()
        self.times_ms = {}
        self.levels = {}

    def count(self, name, fleet, *labels, amount=1):
        super().count(name, fleet, *labels, amount=amount)
        self.counts[(name, fleet, *labels)] += amount

    def gauge(self, name, fleet, *labels, value):
        super().gauge(name, fleet, *labels, value=value)
        self.levels[(name, fleet, *labels)] = value

    def timing(self, name, fleet, *labels, milliseconds):
        super().timing(name, fleet, *labels, milliseconds=milliseconds)
        key = (name, fleet, *labels)
        self.times_ms.setdefault(key, []).append(milliseconds)
