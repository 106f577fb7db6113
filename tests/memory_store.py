"""
tests.memory_store
~~~~~~~~~~~~~~~~~~

In-memory store for the gateway, with outages and lost or delayed writes.
"""

from collections import Counter
from functools import partial
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.gateway.store import (
    Change,
    HistoryGone,
    Listing,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)
from eelgrassfork.gateway.store_era import StoreEra, join_revision


class StoreCopy(NamedTuple):
    """State of the store at one moment."""

    objects_by_key: dict
    revision: int


class Answer(NamedTuple):
    """
    Answer of the store as it arrives at a client.

    :param era: number of the era in which the call was executed.
    :param content: result of the call, or the error that it states.
    """

    era: int
    content: Any


class MemoryStore:
    """
    Objects by kind and name.

    :ivar era_number: rises by one with each restore.

    :ivar down: every call is refused and has no effect.
    :ivar stalled_through: number of the last call whose watch has stalled;
        watches up to it receive no more changes.
    :ivar silent: every call times out after a second without an effect.
    :ivar latency_s: duration of each call.
    :ivar writes_by_kind: number of attempted writes.
    :ivar lose: number of next writes that take effect but are not answered.
    :ivar delay: number of next writes that are not answered, and are only
        attempted when :meth:`release` is called.
    """

    def __init__(self):
        self.era = StoreEra()
        self.era_number = 1
        self.revision = 10
        self.objects_by_key = {}
        self.changes = []
        self.oldest_revision = 10
        self.down = False
        self.silent = False
        self.lose = 0
        self.delay = 0
        self.calls = 0
        self.stalled_through = 0
        self.latency_s = 0
        self.writes_by_kind = Counter()
        self._delayed_writes = []
        self._changed = trio.Event()

    async def get(self, kind, name):
        await self._simulate_call()
        return self.objects_by_key.get((kind, name))

    async def list_all(self, kind):
        await self._simulate_call()
        found = [
            stored
            for (of, _), stored in self.objects_by_key.items()
            if of == kind
        ]
        return Listing(tuple(found), self.revision)

    async def watch(self, kind, after_revision, wait_s):
        await self._simulate_call()
        number = self.calls
        era_number = self.era_number
        with trio.move_on_after(wait_s):
            while not self._changes_after(kind, after_revision):
                if self.down or era_number != self.era_number:
                    raise StoreAnswerLost('cut', 'the watch was cut')
                await self._changed.wait()
                if number <= self.stalled_through:
                    await trio.sleep_forever()
        if self.down:
            raise StoreAnswerLost('cut', 'the watch was cut')
        if number <= self.stalled_through:
            await trio.sleep(1)
            raise StoreAnswerLost('silent', 'no answer')
        if not self.oldest_revision <= after_revision <= self.revision:
            raise HistoryGone('history_gone', 'compacted')
        return self._changes_after(kind, after_revision), self.revision

    async def create(self, kind, name, content):
        return await self._write(kind, name, content, 'new')

    async def replace(self, kind, name, content, revision):
        return await self._write(kind, name, content, revision)

    def put(self, kind, name, content):
        """Write unconditionally, as another client."""
        encoded = content
        if not isinstance(content, bytes):
            encoded = msgspec.json.encode(content)
        self.revision += 1
        stored = StoredObject(name, self.revision, encoded)
        self.objects_by_key[kind, name] = stored
        self._record(kind, Change(stored, False))
        return stored

    def remove(self, kind, name):
        stored = self.objects_by_key.pop((kind, name))
        self.revision += 1
        self._record(kind, Change(stored, True))

    def compact(self):
        """Drop the history of changes."""
        self.oldest_revision = self.revision

    def copy_state(self):
        """Return a copy that ``restore`` accepts."""
        return StoreCopy(dict(self.objects_by_key), self.revision)

    def restore(self, state):
        """Return to an earlier state and begin the next era."""
        self.era_number += 1
        self.objects_by_key = dict(state.objects_by_key)
        self.revision = state.revision
        self.oldest_revision = state.revision
        self.changes = []
        self._changed.set()
        self._changed = trio.Event()

    async def answer(self, call):
        """Execute a call, and return its answer unless there is none."""
        try:
            content = await call()
        except (StoreConflict, HistoryGone) as error:
            content = error
        return Answer(self.era_number, content)

    def release(self):
        """Apply the delayed writes whose conditions still hold."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for arguments in delayed:
            try:
                self._apply(*arguments)
            except StoreConflict:
                continue

    async def _write(self, kind, name, content, condition):
        self.writes_by_kind[kind] += 1
        await self._simulate_call()
        encoded = msgspec.json.encode(content)
        if self.delay:
            self.delay -= 1
            self._delayed_writes.append((kind, name, encoded, condition))
            raise StoreAnswerLost('late', 'no answer')
        stored = self._apply(kind, name, encoded, condition)
        if self.lose:
            self.lose -= 1
            raise StoreAnswerLost('lost', 'no answer')
        return stored

    def _apply(self, kind, name, encoded, condition):
        current = self.objects_by_key.get((kind, name))
        if condition == 'new':
            holds = current is None
        elif condition is None:
            holds = current is not None
        else:
            holds = current is not None and current.revision == condition
        if not holds:
            raise StoreConflict(name, current)
        return self.put(kind, name, encoded)

    def _record(self, kind, change):
        self.changes.append((self.revision, kind, change))
        self._changed.set()
        self._changed = trio.Event()

    def _changes_after(self, kind, after_revision):
        return [
            change
            for revision, of, change in self.changes
            if of == kind and revision > after_revision
        ]

    async def _simulate_call(self):
        self.calls += 1
        await trio.sleep(self.latency_s)
        if self.silent:
            await trio.sleep(1)
            raise StoreAnswerLost('silent', 'no answer')
        if self.down:
            raise StoreUnavailable('down', 'the store is down')


async def deliver(perform, wait_s):
    """Deliver a call to the store at once."""
    return await perform()


class MemoryStoreClient:
    """
    Client of one router, as the client of the platform's store.

    :param store: store that the routers share.
    :param transport: delivers a call and its answer; it may delay or lose
        either.
    """

    def __init__(self, store, transport=deliver):
        self.era = StoreEra()
        self._store = store
        self._transport = transport

    async def get(self, kind, name):
        return await self._call(partial(self._store.get, kind, name))

    async def list_all(self, kind):
        return await self._call(partial(self._store.list_all, kind))

    async def watch(self, kind, after_revision, wait_s):
        number = self.era.number_of(after_revision)
        call = partial(self._store.watch, kind, number, wait_s)
        return await self._call(call, wait_s, after_revision)

    async def create(self, kind, name, content):
        return await self._call(
            partial(self._store.create, kind, name, content)
        )

    async def replace(self, kind, name, content, revision):
        number = None if revision is None else self.era.number_of(revision)
        call = partial(self._store.replace, kind, name, content, number)
        return await self._call(call, revision=revision)

    async def _call(self, call, wait_s=0, revision=None):
        answer = await self._transport(
            partial(self._store.answer, call), wait_s
        )
        self.era.check_answer(answer.era, revision)
        content = with_era(answer.content, answer.era)
        if isinstance(content, Exception):
            raise content
        return content


def with_era(content, era):
    """Add the era to the revisions in an answer."""
    if isinstance(content, StoreConflict) and content.current is not None:
        content.current = with_era(content.current, era)
    if isinstance(content, StoredObject | Listing):
        content = content._replace(
            revision=join_revision(era, content.revision)
        )
    if isinstance(content, Listing):
        return content._replace(
            objects=tuple(with_era(one, era) for one in content.objects)
        )
    if isinstance(content, tuple) and isinstance(content[0], list):
        changes, revision = content
        return [
            Change(with_era(change.stored, era), change.deleted)
            for change in changes
        ], join_revision(era, revision)
    return content
