"""
standins.engine_cache
~~~~~~~~~~~~~~~~~~~~~

Prefix cache of a stand-in engine, with late and gappy events.
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
    A prefix entered or left the cache.

    :param number: number from 1; a missing one is a lost event.
    :param prefix: name of the prefix.
    """

    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


class CacheEvents:
    """
    Events that are shown late, some of them never.

    :param seed: decides which events are lost.
    :param delay_s: seconds until an event is shown.
    :param loss_fraction: part of the events that is lost.
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
        Add an event.

        :param kind: what happened.
        :param prefix: name of the prefix.
        """
        self._number += 1
        if self._random.random() >= self._loss_fraction:
            visible_at = trio.current_time() + self._delay_s
            event = CacheEvent(self._number, kind, prefix)
            self._delayed_events.append((visible_at, event))

    def after(self, number: int) -> list[CacheEvent]:
        """
        Read events.

        :param number: number of the last event known, or 0.
        :returns: later events that are shown by now.
        """
        now = trio.current_time()
        return [
            event
            for visible_at, event in self._delayed_events
            if event.number > number and visible_at <= now
        ]


class PrefixCache:
    """
    Blocks of prompts, the least recently used ones leave first.

    A prefix is named by the caller or, without a name, by the hash of its
    first block. It is in the cache as long as its first block is.

    :param max_blocks: size of the cache.
    :param events: where changes are recorded.
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
        :returns: how many of them are cached without a gap.
        """
        count = 0
        for block in blocks:
            if block not in self._blocks_by_recency:
                break
            count += 1
        return count

    def store(self, prefix: str, blocks: tuple[str, ...]) -> None:
        """
        Keep a prompt's blocks, as many as fit, as the last used ones.

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
        # A block is of no use without those before it, so later ones leave
        # first.
        for block in reversed(kept):
            self._blocks_by_recency[block] = None
            self._blocks_by_recency.move_to_end(block)
        while len(self._blocks_by_recency) > self._max_blocks:
            self._evict()

    def blocks(self, prefix: str) -> tuple[str, ...]:
        """
        Read the blocks of a prefix.

        :param prefix: its name.
        :returns: those that are cached, none if the prefix is not.
        """
        blocks = self._blocks_by_prefix.get(prefix, ())
        return blocks[: self.cached_blocks(blocks)]

    def _evict(self) -> None:
        block, _ = self._blocks_by_recency.popitem(last=False)
        for prefix in sorted(self._prefixes_by_first_block.pop(block, ())):
            self._blocks_by_prefix.pop(prefix)
            self._events.record('evicted', prefix)
