"""
eelgrassfork.gateway.store_contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How newly one kind of object was read from the store, by any router.

A reading that is told on spends time on the way that its age does not hold.
Each one has a number, and counts when it is heard of first only; otherwise
routers that repeat it to each other would make it seem ever newer.
"""

from typing import Final
from zlib import crc32

import trio

from .heartbeats import Reading

__all__ = ('StoreContact',)

_MS_PER_S: Final = 1000
# Longer than a reading is told while there are newer ones.
_SEEN_RETENTION_S: Final = 60.0
_NEVER: Final = float('-inf')


class StoreContact:
    """
    The newest reading that the beliefs of this router include.

    :param node: name of this VM.
    :param incarnation: of this process; readings are numbered from it on.
    """

    def __init__(self, node: str, incarnation: int = 0) -> None:
        self._reader = crc32(node.encode())
        self._own_read_at: float = _NEVER
        self._own_reading_number = incarnation
        self._peer_read_at: float = _NEVER
        self._peer_reading: Reading | None = None
        self._seen_by_reader: dict[int, tuple[int, float]] = {}

    @property
    def read_at(self) -> float:
        """When the store was read last, on the clock of trio."""
        return max(self._own_read_at, self._peer_read_at)

    @property
    def age_ms(self) -> int | None:
        """Time since the store was read; ``None`` if it is unknown."""
        return _age_ms(self.read_at)

    @property
    def own_age_ms(self) -> int | None:
        """Time since this router read the store; ``None`` if it never did."""
        return _age_ms(self._own_read_at)

    @property
    def peers_read_at(self) -> float:
        """When another router read the store last, on the clock of trio."""
        return self._peer_read_at

    def record_own_read(self, read_at: float) -> None:
        """
        Note that this router read the store.

        :param read_at: the answer holds all changes before this time.
        """
        if read_at > self._own_read_at:
            self._own_read_at = read_at
            self._own_reading_number += 1

    def merge(self, reading: Reading | None) -> None:
        """
        Take over what a peer tells.

        :param reading: the newest one that it knows of.
        """
        if reading is None or reading.reader == self._reader:
            return
        last_number, _ = self._seen_by_reader.get(reading.reader, (-1, 0))
        if reading.number <= last_number:
            return
        now_s = trio.current_time()
        self._seen_by_reader[reading.reader] = (reading.number, now_s)
        read_at = now_s - max(0, reading.age_ms) / _MS_PER_S
        if read_at > self._peer_read_at:
            self._peer_read_at = read_at
            self._peer_reading = reading
            self._evict_expired(now_s)

    def newest(self) -> Reading | None:
        """
        Tell peers of the newest reading.

        :returns: the reading with its present age; ``None`` without any.
        """
        age_ms = self.age_ms
        if age_ms is None:
            return None
        if (
            self._own_read_at >= self._peer_read_at
            or self._peer_reading is None
        ):
            return Reading(self._reader, self._own_reading_number, age_ms)
        return self._peer_reading._replace(age_ms=age_ms)

    def _evict_expired(self, now_s: float) -> None:
        for reader, (_, received_at) in list(self._seen_by_reader.items()):
            if now_s - received_at > _SEEN_RETENTION_S:
                self._seen_by_reader.pop(reader)


def _age_ms(read_at: float) -> int | None:
    if read_at == _NEVER:
        return None
    return int((trio.current_time() - read_at) * _MS_PER_S)
