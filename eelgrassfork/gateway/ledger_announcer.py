"""
eelgrassfork.gateway.ledger_announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports the writes of this router to the credit ledger to other routers.

A restore of the store may undo a write after its router has ended; others then
repeat it.
"""

from collections.abc import Iterable, Iterator
from typing import Final

import msgspec
import trio

from .gossip import Gossip
from .heartbeats import FleetReport
from .ledger import LedgerWrite
from .ledger_history import MAX_REPORTED_ORGANISATIONS, LedgerHistory
from .roster import ledger_report_ips

__all__ = ('LedgerAnnouncer',)

# Datagrams may be lost.
_REPEAT_S: Final = 0.2


class LedgerAnnouncer:
    """
    Sends the writes of this router, once at once and once a little later.

    :param node: name of this VM.
    :param history: recent writes.
    :param gossip: sends datagrams to other routers.
    """

    def __init__(
        self, node: str, history: LedgerHistory, gossip: Gossip
    ) -> None:
        self._node = node
        self._history = history
        self._gossip = gossip
        self._requested = trio.Event()
        gossip.reports.on_ledger_writes = history.merge

    def announce(self) -> None:
        """Send the newest writes before their credit is used."""
        self._send()
        self._requested.set()

    async def run(self) -> None:
        """Repeat announcements until cancelled."""
        while True:
            await self._requested.wait()
            await trio.sleep(_REPEAT_S)
            self._requested = trio.Event()
            self._send()

    def _send(self) -> None:
        ips = ledger_report_ips(self._gossip.roster)
        for writes in _batches(self._history.recent_own()):
            report = FleetReport(
                node=self._node, limits=(), ledger_writes=writes
            )
            self._gossip.send_report(ips, msgspec.msgpack.encode(report))


def _batches(
    writes: Iterable[LedgerWrite],
) -> Iterator[tuple[LedgerWrite, ...]]:
    batch: list[LedgerWrite] = []
    size = 0
    for write in writes:
        organisations = max(
            len(write.granted_by_organisation),
            len(write.spent_by_organisation),
            1,
        )
        if batch and size + organisations > MAX_REPORTED_ORGANISATIONS:
            yield tuple(batch)
            batch = []
            size = 0
        batch.append(write)
        size += organisations
    if batch:
        yield tuple(batch)
