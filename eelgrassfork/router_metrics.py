"""
eelgrassfork.router_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports the gauges and counters of a router's components.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

import trio

from .backends import Backends
from .ledger_metrics import AccountMeter
from .loop_watch import LoopDelayMonitor
from .membership import Membership
from .metrics import CounterReporter, Metrics, report_gauges
from .peering import Peering
from .rollout import Rollout
from .router_credit import RouterCredit

__all__ = ('MetricSources', 'RouterMetrics')

_INTERVAL_S: Final = 10

_GaugeQueries = dict[str, Callable[[], float]]


class MetricSources(NamedTuple):
    """
    Components whose metrics are reported, and where they are sent.

    :param metrics: receives the samples.
    :param fleet: fleet of the router.
    :param busy: returns the number of callers' requests in progress.
    :param gauges: functions that read further gauges, by gauge name.
    """

    metrics: Metrics
    fleet: str
    busy: Callable[[], int]
    rollout: Rollout
    membership: Membership
    peering: Peering
    backends: Backends
    credit: RouterCredit
    gauges: Mapping[str, Callable[[], float]]


class RouterMetrics:
    """
    Reports metrics every ten seconds.

    :param sources: components to report on.
    """

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources
        self._loop_watch = LoopDelayMonitor()
        self._account_meter = AccountMeter(sources.metrics)
        self._counter_reporter = CounterReporter(
            sources.metrics, sources.fleet, self.counters()
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start reporting in the background.

        :param nursery: nursery for the background tasks.
        """
        sources = self._sources
        nursery.start_soon(self._loop_watch.run)
        nursery.start_soon(self._report_counters)
        nursery.start_soon(
            report_gauges,
            sources.metrics,
            sources.fleet,
            self.gauges(),
            _INTERVAL_S,
        )
        await trio.lowlevel.checkpoint()

    def gauges(self) -> _GaugeQueries:
        """
        List the functions that read the gauges.

        :returns: functions by gauge name.
        """
        sources = self._sources
        server_counts = sources.backends.server_counts
        return {
            'requests_in_flight': sources.busy,
            'bundle_version': lambda: sources.rollout.version,
            'bundle_age_s': self._bundle_age_s,
            'servers_listed': lambda: server_counts().listed,
            'servers_ejected': lambda: server_counts().ejected,
            'servers_leaving': lambda: server_counts().leaving,
            'peers_heard': lambda: len(sources.membership.peers()),
            'peers_suspect': lambda: sum(
                peer.suspect for peer in sources.membership.peers()
            ),
            'loop_late_ms': self._loop_watch.pop_max_delay_ms,
            **sources.gauges,
        }

    def counters(self) -> dict[tuple[str, ...], Callable[[], int]]:
        """
        List the functions that read totals kept by the components.

        :returns: functions by counter name and labels.
        """
        peering = self._sources.peering
        return {
            ('peer_bytes', 'sent'): lambda: peering.bytes_sent,
            ('peer_bytes', 'received'): lambda: peering.bytes_received,
        }

    def _bundle_age_s(self) -> float:
        return self._sources.rollout.dump()['in_force_for_s'] or 0

    async def _report_counters(self) -> None:
        while True:
            await trio.sleep(_INTERVAL_S)
            self._counter_reporter.report()
            accounts = self._sources.credit.accounts.dump()
            self._account_meter.report(accounts['accounts_by_budget'])
