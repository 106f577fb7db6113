"""
eelgrassfork.gateway.store_contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks when any router last read one kind of object from the store.

Routers gossip their newest read with its age, which does not include the
transit time of the message.  Reads are therefore numbered, and only the
first receipt of a number counts; otherwise a read that routers relay to
each other would appear more recent with every hop.
"""

from typing import Final
from zlib import crc32

import trio

from .heartbeats import StoreRead

__all__ = ('StoreContact',)

_MS_PER_S: Final = 1000
# Longer than a superseded read stays in circulation.
_SEEN_RETENTION_S: Final = 60.0
_NEVER: Final = float('-inf')


class StoreContact:
    """
    The newest store read that is reflected in this router's store view.

    :param node: name of this VM.
    :param incarnation: incarnation of this process; its reads are numbered
        upwards from it, so that they supersede those of earlier processes.
    """

    def __init__(self, node: str, incarnation: int = 0) -> None:
        self._reader = crc32(node.encode())
        self._own_read_at: float = _NEVER
        self._own_read_number = incarnation
        self._peer_read_at: float = _NEVER
        self._peer_read: StoreRead | None = None
        self._seen_by_reader: dict[int, tuple[int, float]] = {}

    @property
    def read_at(self) -> float:
        """When any router last read the store, on trio's clock."""
        return max(self._own_read_at, self._peer_read_at)

    @property
    def age_ms(self) -> int | None:
        """Time since any router read the store; ``None`` if unknown."""
        return _age_ms(self.read_at)

    @property
    def own_age_ms(self) -> int | None:
        """Time since this router read the store; ``None`` if it never did."""
        return _age_ms(self._own_read_at)

    @property
    def peers_read_at(self) -> float:
        """When another router last read the store, on trio's clock."""
        return self._peer_read_at

    def record_own_read(self, read_at: float) -> None:
        """
        Record that this router read the store.

        :param read_at: time on trio's clock; the answer includes all changes
            made before it.
        """
        if read_at > self._own_read_at:
            self._own_read_at = read_at
            self._own_read_number += 1

    def merge(self, store_read: StoreRead | None) -> None:
        """
        Merge the newest read known to a peer.

        :param store_read: from the peer's heartbeat; ``None`` if it has none.
        """
        if store_read is None or store_read.reader == self._reader:
            return
        last_number, _ = self._seen_by_reader.get(store_read.reader, (-1, 0))
        if store_read.number <= last_number:
            return
        now_s = trio.current_time()
        self._seen_by_reader[store_read.reader] = (store_read.number, now_s)
        read_at = now_s - max(0, store_read.age_ms) / _MS_PER_S
        if read_at > self._peer_read_at:
            self._peer_read_at = read_at
            self._peer_read = store_read
            self._evict_expired(now_s)

    def newest(self) -> StoreRead | None:
        """
        Return the newest read, to be sent to peers.

        :returns: the read with its current age; ``None`` if there is none.
        """
        age_ms = self.age_ms
        if age_ms is None:
            return None
        if self._own_read_at >= self._peer_read_at or self._peer_read is None:
            return StoreRead(self._reader, self._own_read_number, age_ms)
        return self._peer_read._replace(age_ms=age_ms)

    def _evict_expired(self, now_s: float) -> None:
        for reader, (_, received_at) in list(self._seen_by_reader.items()):
            if now_s - received_at > _SEEN_RETENTION_S:
                self._seen_by_reader.pop(reader)


def _age_ms(read_at: float) -> int | None:
    if read_at == _NEVER:
        return None
    return int((trio.current_time() - read_at) * _MS_PER_S)
