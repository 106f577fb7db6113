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

from .heartbeats import StoreRead

__all__ = ('StoreContact',)

_MS_PER_S: Final = 1000
# Longer than a reading is told while there are newer ones.
_FORGET_S: Final = 60.0
_NEVER: Final = float('-inf')


class StoreContact:
    """
    The newest reading that the beliefs of this router include.

    :param node: name of this VM.
    :param incarnation: of this process; readings are numbered from it on.
    """

    def __init__(self, node: str, incarnation: int = 0) -> None:
        self._reader = crc32(node.encode())
        self._own_at: float = _NEVER
        self._own_number = incarnation
        self._heard_at: float = _NEVER
        self._heard: StoreRead | None = None
        self._numbers_by_reader: dict[int, tuple[int, float]] = {}

    @property
    def read_at(self) -> float:
        """When the store was read last, on the clock of trio."""
        return max(self._own_at, self._heard_at)

    @property
    def age_ms(self) -> int | None:
        """Time since the store was read; ``None`` if it is unknown."""
        return _age_ms(self.read_at)

    @property
    def own_age_ms(self) -> int | None:
        """Time since this router read the store; ``None`` if it never did."""
        return _age_ms(self._own_at)

    @property
    def others_read_at(self) -> float:
        """When another router read the store last, on the clock of trio."""
        return self._heard_at

    def note_own(self, read_at: float) -> None:
        """
        Note that this router read the store.

        :param read_at: the answer holds all changes before this time.
        """
        if read_at > self._own_at:
            self._own_at = read_at
            self._own_number += 1

    def take(self, reading: StoreRead | None) -> None:
        """
        Take over what a peer tells.

        :param reading: the newest one that it knows of.
        """
        if reading is None or reading.reader == self._reader:
            return
        known, _ = self._numbers_by_reader.get(reading.reader, (-1, 0))
        if reading.number <= known:
            return
        now_s = trio.current_time()
        self._numbers_by_reader[reading.reader] = (reading.number, now_s)
        read_at = now_s - max(0, reading.age_ms) / _MS_PER_S
        if read_at > self._heard_at:
            self._heard_at = read_at
            self._heard = reading
            self._forget(now_s)

    def newest(self) -> StoreRead | None:
        """
        Tell peers of the newest reading.

        :returns: the reading with its present age; ``None`` without any.
        """
        age_ms = self.age_ms
        if age_ms is None:
            return None
        if self._own_at >= self._heard_at or self._heard is None:
            return StoreRead(self._reader, self._own_number, age_ms)
        return self._heard._replace(age_ms=age_ms)

    def _forget(self, now_s: float) -> None:
        for reader, (_, heard_at) in list(self._numbers_by_reader.items()):
            if now_s - heard_at > _FORGET_S:
                self._numbers_by_reader.pop(reader)


def _age_ms(read_at: float) -> int | None:
    if read_at == _NEVER:
        return None
    return int((trio.current_time() - read_at) * _MS_PER_S)
