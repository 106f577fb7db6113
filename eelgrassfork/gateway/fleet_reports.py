"""
eelgrassfork.gateway.fleet_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports on servers and prompts that routers send beside their heartbeats.
"""

from collections.abc import Callable

import msgspec

from .heartbeats import FleetReport, LimitNotice, PartNotice
from .ledger import LedgerWrite

__all__ = ('FleetReports',)


class FleetReports:
    """
    Collects what a router reports, and passes on what others do.

    :param node: VM of this router.
    :ivar get_limits: returns the limits of servers to report.
    :ivar on_limits: called with the limits that another router reports, and
        the name of its VM.
    :ivar get_parts: returns the suspect parts of prompts to report.
    :ivar on_parts: called with the suspect parts that another router reports,
        and the name of its VM.
    :ivar on_ledger_writes: called with what another router has written to the
        credit ledger.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self.get_limits: Callable[[], tuple[LimitNotice, ...]] = tuple
        self.on_limits: Callable[[tuple[LimitNotice, ...], str], None] = _ignore
        self.get_parts: Callable[[], tuple[PartNotice, ...]] = tuple
        self.on_parts: Callable[[tuple[PartNotice, ...], str], None] = _ignore
        self.on_ledger_writes: Callable[[tuple[LedgerWrite, ...]], None] = (
            _ignore_writes
        )

    def encode(self) -> tuple[bytes, ...]:
        """
        Encode the present report.

        :returns: a datagram, or none if there is nothing to report.
        """
        report = FleetReport(node=self._node, limits=self.get_limits())
        parts = self.get_parts()
        if parts:
            report['parts'] = parts
        elif not report['limits']:
            return ()
        return (msgspec.msgpack.encode(report),)

    def apply(self, report: FleetReport) -> None:
        """
        Pass on the report of another router.

        :param report: the decoded report.
        """
        self.on_limits(report['limits'], report['node'])
        self.on_parts(report.get('parts', ()), report['node'])
        self.on_ledger_writes(report.get('ledger_writes', ()))


def _ignore(notices: tuple[object, ...], node: str) -> None:
    """Ignore reported notices."""


def _ignore_writes(writes: tuple[LedgerWrite, ...]) -> None:
    """Ignore reported writes."""
