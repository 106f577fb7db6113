"""
eelgrassfork.router_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports the levels and totals of one router's parts.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

import trio

from .backends import Backends
from .ledger_metrics import AccountMeter
from .loop_watch import LoopWatch
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
    What is reported.

    :param fleet: fleet of the router.
    :param busy: query for the number of callers' requests in progress.
    :param gauges: further queries by name of the gauge.
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
    Reports every ten seconds.

    :param parts: what is reported.
    """

    def __init__(self, parts: MetricSources) -> None:
        self._parts = parts
        self._loop = LoopWatch()
        self._accounts = AccountMeter(parts.metrics)
        self._totals = CounterReporter(
            parts.metrics, parts.fleet, self.counters()
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Report in the background.

        :param nursery: where this runs.
        """
        parts = self._parts
        nursery.start_soon(self._loop.run)
        nursery.start_soon(self._report_totals)
        nursery.start_soon(
            report_gauges,
            parts.metrics,
            parts.fleet,
            self.gauges(),
            _INTERVAL_S,
        )
        await trio.lowlevel.checkpoint()

    def gauges(self) -> _GaugeQueries:
        """
        List the queries for the gauges.

        :returns: queries by name of the gauge.
        """
        parts = self._parts
        census = parts.backends.census
        return {
            'requests_in_flight': parts.busy,
            'bundle_version': lambda: parts.rollout.version,
            'bundle_age_s': self._bundle_age_s,
            'servers_listed': lambda: census().listed,
            'servers_ejected': lambda: census().ejected,
            'servers_leaving': lambda: census().leaving,
            'peers_heard': lambda: len(parts.membership.peers()),
            'peers_suspect': lambda: sum(
                peer.suspect for peer in parts.membership.peers()
            ),
            'loop_late_ms': self._loop.take_worst_ms,
            **parts.gauges,
        }

    def counters(self) -> dict[tuple[str, ...], Callable[[], int]]:
        """
        List the queries for counters that parts keep themselves.

        :returns: queries by name of the counter and its labels.
        """
        peering = self._parts.peering
        return {
            ('peer_bytes', 'sent'): lambda: peering.bytes_sent,
            ('peer_bytes', 'received'): lambda: peering.bytes_received,
        }

    def _bundle_age_s(self) -> float:
        return self._parts.rollout.dump()['in_force_for_s'] or 0

    async def _report_totals(self) -> None:
        while True:
            await trio.sleep(_INTERVAL_S)
            self._totals.report()
            accounts = self._parts.credit.accounts.dump()
            self._accounts.report(accounts['accounts_by_budget'])
