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
from .loop_watch import LoopDelayMonitor
from .membership import Membership
from .metrics import Metrics, Totals, report_levels
from .peering import Peering
from .rollout import Rollout
from .router_credit import RouterCredit

__all__ = ('MeteredParts', 'RouterMetrics')

_INTERVAL_S: Final = 10

_Levels = dict[str, Callable[[], float]]


class MeteredParts(NamedTuple):
    """
    What is reported.

    :param fleet: fleet of the router.
    :param busy: query for the number of callers' requests in progress.
    :param levels: further queries by name of the gauge.
    """

    metrics: Metrics
    fleet: str
    busy: Callable[[], int]
    rollout: Rollout
    membership: Membership
    peering: Peering
    backends: Backends
    credit: RouterCredit
    levels: Mapping[str, Callable[[], float]]


class RouterMetrics:
    """
    Reports every ten seconds.

    :param parts: what is reported.
    """

    def __init__(self, parts: MeteredParts) -> None:
        self._parts = parts
        self._loop = LoopDelayMonitor()
        self._accounts = AccountMeter(parts.metrics)
        self._totals = Totals(parts.metrics, parts.fleet, self.totals())

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Report in the background.

        :param nursery: where this runs.
        """
        parts = self._parts
        nursery.start_soon(self._loop.run)
        nursery.start_soon(self._report_totals)
        nursery.start_soon(
            report_levels,
            parts.metrics,
            parts.fleet,
            self.levels(),
            _INTERVAL_S,
        )
        await trio.lowlevel.checkpoint()

    def levels(self) -> _Levels:
        """
        List the queries for the gauges.

        :returns: queries by name of the gauge.
        """
        parts = self._parts
        server_counts = parts.backends.server_counts
        return {
            'requests_in_flight': parts.busy,
            'bundle_version': lambda: parts.rollout.version,
            'bundle_age_s': self._bundle_age_s,
            'servers_listed': lambda: server_counts().listed,
            'servers_ejected': lambda: server_counts().ejected,
            'servers_leaving': lambda: server_counts().leaving,
            'peers_heard': lambda: len(parts.membership.peers()),
            'peers_suspect': lambda: sum(
                peer.suspect for peer in parts.membership.peers()
            ),
            'loop_late_ms': self._loop.pop_max_delay_ms,
            **parts.levels,
        }

    def totals(self) -> dict[tuple[str, ...], Callable[[], int]]:
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
