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
# Usual size of the head of a request to a server.
_HEAD_BYTES: Final = 700


class LinkMonitor:
    """
    Moving average of the outgoing traffic on the network link.

    It consists of answers to callers and of requests to servers.  What is
    refused is not part of it, so that refusals free the link.

    :param answered_bytes: returns the bytes that were sent to callers so far.
    :param link_mbps: bandwidth of the link in each direction, in Mbit/s; the
        link is not measured if it is 0.
    :ivar utilisation: used fraction of the link, 1 if it is full.
    """

    def __init__(
        self, answered_bytes: Callable[[], int], link_mbps: float
    ) -> None:
        self._answered_bytes = answered_bytes
        self._forwarded_bytes = 0
        self._link_mbps = link_mbps
        self.utilisation: float = 0

    def add_request(self, body_bytes: int) -> None:
        """
        Record a request that goes on to a server.

        :param body_bytes: size of its body.
        """
        self._forwarded_bytes += body_bytes + _HEAD_BYTES

    async def run(self) -> None:
        """Measure until cancelled."""
        if self._link_mbps <= 0:
            await trio.sleep_forever()
        measured_at = trio.current_time()
        before = self._sent_bytes()
        while True:
            await trio.sleep(_INTERVAL_S)
            now_s = trio.current_time()
            sent = self._sent_bytes()
            self._add(sent - before, max(now_s - measured_at, _INTERVAL_S / 2))
            before, measured_at = sent, now_s

    def _sent_bytes(self) -> int:
        return self._answered_bytes() + self._forwarded_bytes

    def _add(self, sent: int, elapsed_s: float) -> None:
        mbps = sent / elapsed_s * _BITS_PER_MEGABYTE_S * _OVERHEAD
        change = mbps / self._link_mbps - self.utilisation
        self.utilisation += change * _SMOOTHING_FACTOR
