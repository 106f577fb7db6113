"""
eelgrassfork.gateway.link_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures how much of the VM's network link the traffic of callers uses.
"""

from collections.abc import Callable
from typing import Final

import trio

__all__ = ('LinkMonitor',)

_INTERVAL_S: Final = 0.1
# Averages over about half a second, the time in which a queue at the link
# becomes as long as a latency objective.
_SMOOTHING_FACTOR: Final = 0.3
_BITS_PER_MEGABYTE_S: Final = 8e-6
# Share that the headers of packets add to requests and events.
_OVERHEAD: Final = 1.15


class LinkMonitor:
    """
    Moving average of the traffic on the network link.

    What callers send goes on to servers, and what servers answer goes on to
    callers, so that each direction carries the sum of both.

    :param moved_bytes: returns the bytes that were received from callers and
        sent to them so far.
    :param link_mbps: bandwidth of the link in each direction, in Mbit/s; the
        link is not measured if it is 0.
    :ivar utilisation: used fraction of the link, 1 if it is full.
    """

    def __init__(
        self, moved_bytes: Callable[[], int], link_mbps: float
    ) -> None:
        self._moved_bytes = moved_bytes
        self._link_mbps = link_mbps
        self.utilisation: float = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        if self._link_mbps <= 0:
            await trio.sleep_forever()
        measured_at = trio.current_time()
        before = self._moved_bytes()
        while True:
            await trio.sleep(_INTERVAL_S)
            now_s = trio.current_time()
            moved = self._moved_bytes()
            self._add(moved - before, max(now_s - measured_at, _INTERVAL_S / 2))
            before, measured_at = moved, now_s

    def _add(self, moved: int, elapsed_s: float) -> None:
        mbps = moved / elapsed_s * _BITS_PER_MEGABYTE_S * _OVERHEAD
        change = mbps / self._link_mbps - self.utilisation
        self.utilisation += change * _SMOOTHING_FACTOR
