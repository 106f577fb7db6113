"""
standins.engine_cache
~~~~~~~~~~~~~~~~~~~~~

Prefix cache of a stand-in engine, with delayed and partly lost events.
"""

import collections
import random
from typing import Final, Literal, NamedTuple

import trio

__all__ = ('CacheEvent', 'CacheEvents', 'PrefixCache')

EVENT_DELAY_S: Final = 0.5
EVENT_LOSS_FRACTION: Final = 0.1


class CacheEvent(NamedTuple):
    """
    A prefix was stored in the cache or evicted from it.

    :param number: sequence number from 1; a gap indicates a lost event.
    :param prefix: name of the prefix.
    """

    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


class CacheEvents:
    """
    Log of cache events that become visible after a delay or are lost.

    :param seed: random seed that selects the lost events.
    :param delay_s: seconds until an event becomes visible.
    :param loss_fraction: fraction of events that are lost.
    """

    def __init__(
        self,
        seed: int,
        delay_s: float = EVENT_DELAY_S,
        loss_fraction: float = EVENT_LOSS_FRACTION,
    ) -> None:
        self._random = random.Random(seed)
        self._delay_s = delay_s
        self._loss_fraction = loss_fraction
        self._number = 0
        self._delayed_events: list[tuple[float, CacheEvent]] = []

    def record(self, kind: Literal['stored', 'evicted'], prefix: str) -> None:
        """
        Record an event.

        :param kind: kind of the event.
        :param prefix: name of the prefix.
        """
        self._number += 1
        if self._random.random() >= self._loss_fraction:
            visible_at = trio.current_time() + self._delay_s
            event = CacheEvent(self._number, kind, prefix)
            self._delayed_events.append((visible_at, event))

    def after(self, number: int) -> list[CacheEvent]:
        """
        Return the visible events after a sequence number.

        :param number: number of the last event that the caller has, or 0.
        :returns: later events that are visible now.
        """
        now = trio.current_time()
        return [
            event
            for visible_at, event in self._delayed_events
            if event.number > number and visible_at <= now
        ]


class PrefixCache:
    """
    Least-recently-used cache of prompt blocks.

    A prefix is identified by a name from the caller or else by the hash of
    its first block. It is cached while its first block is.

    :param max_blocks: capacity in blocks.
    :param events: log in which changes are recorded.
    """

    def __init__(self, max_blocks: int, events: CacheEvents) -> None:
        self._max_blocks = max_blocks
        self._events = events
        self._blocks_by_recency: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._blocks_by_prefix: dict[str, tuple[str, ...]] = {}
        self._prefixes_by_first_block: collections.defaultdict[
            str, set[str]
        ] = collections.defaultdict(set)

    def cached_blocks(self, blocks: tuple[str, ...]) -> int:
        """
        Count the leading blocks that need no prefill.

        :param blocks: hashes of a prompt's blocks.
        :returns: number of consecutive cached blocks from the start.
        """
        count = 0
        for block in blocks:
            if block not in self._blocks_by_recency:
                break
            count += 1
        return count

    def store(self, prefix: str, blocks: tuple[str, ...]) -> None:
        """
        Store a prompt's blocks, up to the capacity, as most recently used.

        :param prefix: name of the prefix, or empty.
        :param blocks: hashes of the prompt's blocks.
        """
        kept = blocks[: self._max_blocks]
        if not kept:
            return
        name = prefix or kept[0]
        if name not in self._blocks_by_prefix:
            self._events.record('stored', name)
        old_first_block = self._blocks_by_prefix.get(name, kept)[0]
        self._prefixes_by_first_block[old_first_block].discard(name)
        self._prefixes_by_first_block[kept[0]].add(name)
        self._blocks_by_prefix[name] = kept
        # A block is useless without the blocks before it, so later blocks are
        # evicted first.
        for block in reversed(kept):
            self._blocks_by_recency[block] = None
            self._blocks_by_recency.move_to_end(block)
        while len(self._blocks_by_recency) > self._max_blocks:
            self._evict()

    def blocks(self, prefix: str) -> tuple[str, ...]:
        """
        Return the cached blocks of a prefix.

        :param prefix: name of the prefix.
        :returns: the cached blocks, empty if the prefix is not cached.
        """
        blocks = self._blocks_by_prefix.get(prefix, ())
        return blocks[: self.cached_blocks(blocks)]

    def _evict(self) -> None:
        block, _ = self._blocks_by_recency.popitem(last=False)
        for prefix in sorted(self._prefixes_by_first_block.pop(block, ())):
            self._blocks_by_prefix.pop(prefix)
            self._events.record('evicted', prefix)
