"""
eelgrassfork.gateway.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the configuration and the backend servers in the store.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final, NamedTuple

import logbook
import trio

from ..errors import EelgrassError
from ..supervision import keep_running
from .configuration import ConfigurationHolder
from .duty import WatchDuty
from .packing import BadPacking, pack, unpack
from .records import Configuration, ServerEntry
from .server_records import ServerRecord, ServerRecords
from .servers import ServerSet
from .silent_watch import leave_if_silent
from .store import Change, HistoryGone, Listing, Store, StoreError

__all__ = ('Beliefs', 'Decoders', 'Duties', 'StoreFollower')

_log = logbook.Logger('follow')

_MAX_DOUBLINGS: Final = 10
# While the store is away only the configuration's follower asks for it; the
# other one waits for its success, or so long.
_LONGEST_WAIT_S: Final = 2.0
# Tells at once whether a store that was away is back.
_ASK_S: Final = 0.05
_SHORTEST_WATCH_S: Final = 2.4
# A small part of the bound on configurations.
_DUTY_POLL_S: Final = 0.25
# The platform's bound.
_LONGEST_WATCH_S: Final = 30.0
# A change ends the watches of all routers at once, so their lengths are spread
# over nearly the whole range.
_LEAST_PART: Final = 0.05


class Decoders(NamedTuple):
    """
    How stored objects are understood.

    :param configuration_kind: kind of the configuration.
    :param configuration_name: name of the newest one.
    :param servers_kind: kind of the entries of backend servers.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    configuration: Callable[[bytes], Configuration]
    server: Callable[[str, bytes], ServerEntry | None]


class Duties(NamedTuple):
    """Whether this router has to read each kind of object itself."""

    configuration: WatchDuty
    servers: WatchDuty


class Beliefs:
    """
    What a router believes, from the store and from peers alike.

    :param decoders: how stored objects are understood.
    :param on_change: told when something newer was taken over.
    """

    def __init__(
        self, decoders: Decoders, on_change: Callable[[], None]
    ) -> None:
        self.configuration = ConfigurationHolder()
        self.servers = ServerSet()
        self.records = ServerRecords()
        self._decoders = decoders
        self._on_change = on_change

    def take_configuration(self, content: bytes, source: str) -> None:
        """
        Put a configuration into force if it is newer.

        :param content: JSON as it is stored.
        :param source: who said so, for the log.
        """
        self._take(content, None, source)

    def take_packed(self, packed: bytes, source: str) -> None:
        """
        Put a configuration of a peer into force if it is newer.

        :param packed: as the peer got it, compressed.
        :param source: who said so, for the log.
        """
        try:
            content = unpack(packed)
        except BadPacking as error:
            _log.error(
                'refused a configuration',
                extra={'source': source, 'why': error.message},
            )
            return
        self._take(content, packed, source)

    def _take(self, content: bytes, packed: bytes | None, source: str) -> None:
        try:
            configuration = self._decoders.configuration(content)
        except EelgrassError as error:
            _log.error(
                'refused a configuration',
                extra={'source': source, 'why': error.message},
            )
            return
        if configuration.version <= self.configuration.version:
            return
        packed = packed or pack(content)
        self.configuration.take(configuration, packed)
        _log.info(
            'put a configuration into force',
            extra={
                'version': configuration.version,
                'source': source,
                'bytes': len(content),
                'packed_bytes': len(packed),
            },
        )
        self._on_change()

    def take_servers(
        self, records: Iterable[ServerRecord], source: str
    ) -> None:
        """
        Take over newer records of backend servers.

        :param records: what was read.
        :param source: who said so, for the log.
        """
        changed = False
        for record in records:
            if self.records.put(record):
                changed = True
                self._take_server(record, source)
        if changed:
            self._on_change()

    def _take_server(self, record: ServerRecord, source: str) -> None:
        if record.removed:
            changed = self.servers.mark_removed(record.id)
            entry = None
        else:
            entry = self._decoders.server(record.id, record.content)
            changed = entry is not None and self.servers.apply_entry(entry)
        if not changed and entry is not None:
            return
        _log.info(
            'took over an entry',
            extra={
                'server': record.id,
                'revision': record.revision,
                'removed': record.removed,
                'usable': entry is not None and not entry.leaving,
                'source': source,
            },
        )


class StoreFollower:
    """
    Keeps the beliefs in step with the store.

    :param store: where to read.
    :param beliefs: what to keep in step.
    :param decoders: names of the kinds.
    :param duties: whether this router has to watch.
    """

    def __init__(
        self,
        store: Store,
        beliefs: Beliefs,
        decoders: Decoders,
        duties: Duties,
    ) -> None:
        self._store = store
        self._beliefs = beliefs
        self._decoders = decoders
        self._duties_by_kind = {
            decoders.configuration_kind: duties.configuration,
            decoders.servers_kind: duties.servers,
        }
        self._leading = duties.configuration
        self._random = random.Random()
        self._reachable: bool | None = None
        self._returned = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Follow in the background.

        :param nursery: where the tasks run.
        """
        for follow in (
            partial(
                self._follow,
                self._decoders.configuration_kind,
                self._list_configuration,
                self._change_configuration,
            ),
            partial(
                self._follow,
                self._decoders.servers_kind,
                self._list_servers,
                self._change_servers,
            ),
        ):
            nursery.start_soon(keep_running, 'follow the store', follow)

    @property
    def reachable(self) -> bool:
        """Whether this router or another one reached the store lately."""
        return bool(self._reachable)

    async def reread(self) -> None:
        """Read the configuration at once, as its watch may be silent."""
        asked_at = trio.current_time()
        try:
            stored = await self._store.get(
                self._decoders.configuration_kind,
                self._decoders.configuration_name,
            )
        except StoreError as error:
            _log.info('could not reread', extra={'why': error.code})
            return
        if stored is not None:
            self._beliefs.take_configuration(stored.content, 'store')
        self._leading.contact.note_own(asked_at)

    async def _follow(
        self,
        kind: str,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[list[Change]], None],
    ) -> None:
        duty = self._duties_by_kind[kind]
        revision: int | None = None
        failures = 0
        while True:
            if not duty.must_watch:
                # The store may have forgotten what came after this revision.
                revision = None
                await self._wait_for_duty(kind)
            asked_at = trio.current_time()
            try:
                revision = await self._read(
                    kind, revision, on_listing, on_changes
                )
            except HistoryGone:
                _log.info('lists again, as history is gone', extra={'of': kind})
                revision = None
            except StoreError as error:
                self._note(False, error.code)
                await self._pause(kind, failures, asked_at)
                failures += 1
            else:
                self._note(True, '')
                failures = 0

    async def _pause(self, kind: str, failures: int, asked_at: float) -> None:
        if not self._leads(kind) and not self.reachable:
            with trio.move_on_after(_LONGEST_WAIT_S):
                await self._returned.wait()
            return
        duty = self._duties_by_kind[kind]
        doublings = min(failures, _MAX_DOUBLINGS)
        spent_s = trio.current_time() - asked_at
        left_s = duty.retry_s(doublings, spent_s)
        while left_s > 0:
            self._hear_of_store()
            step_s = min(_DUTY_POLL_S, left_s)
            await trio.sleep(step_s)
            # Others may no longer relieve this router.
            left_s = min(left_s - step_s, duty.longest_retry_s)

    async def _read(
        self,
        kind: str,
        revision: int | None,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[list[Change]], None],
    ) -> int:
        # An answer may be held up on its way, so it only vouches for the time
        # at which the store was asked, or let the watch end.
        read_at = trio.current_time()
        if revision is None:
            listing = await self._store.list_all(kind)
            on_listing(listing)
            revision = listing.revision
        else:
            wait_s = self._watch_s() if self._reachable else _ASK_S
            changes, revision = await leave_if_silent(
                self._duties_by_kind[kind],
                partial(self._store.watch, kind, revision, wait_s),
            )
            on_changes(changes)
            ended_at = read_at + wait_s
            if not changes and trio.current_time() >= ended_at:
                read_at = ended_at
        self._duties_by_kind[kind].contact.note_own(read_at)
        return revision

    async def _wait_for_duty(self, kind: str) -> None:
        duty = self._duties_by_kind[kind]
        self._log_duty('leaves the watch to others', kind)
        while not duty.must_watch:
            if self._leads(kind):
                self._hear_of_store()
            # While the store is away, asking for one kind is enough.
            may_ask = self._leads(kind) or self.reachable
            if may_ask and duty.must_ask:
                self._log_duty('asks for the store', kind)
                return
            await trio.sleep(_DUTY_POLL_S)
        self._log_duty('watches the store', kind)

    def _hear_of_store(self) -> None:
        reached = self._leading.is_store_reached
        if reached != self.reachable:
            self._turn(reached, 'by the word of peers')

    def _leads(self, kind: str) -> bool:
        return kind == self._decoders.configuration_kind

    def _log_duty(self, text: str, kind: str) -> None:
        _log.info(
            text,
            extra={
                'of': kind,
                'version': self._beliefs.configuration.version,
                **self._duties_by_kind[kind].dump(),
            },
        )

    def _watch_s(self) -> float:
        longest_s = min(_LONGEST_WATCH_S, self._leading.longest_watch_s)
        part = self._random.uniform(_LEAST_PART, 1)
        return max(_SHORTEST_WATCH_S, longest_s) * part

    def _note(self, reachable: bool, why: str) -> None:
        # A router that is turned away while others are served sees no outage.
        reached = reachable or self._leading.is_store_reached
        if reached != self._reachable:
            self._turn(reached, why)

    def _turn(self, reachable: bool, why: str) -> None:
        self._reachable = reachable
        self._beliefs.servers.record_store_contact(reachable)
        known = {
            'why': why,
            'version': self._beliefs.configuration.version,
            **self._leading.dump(),
        }
        if reachable:
            self._returned.set()
            _log.info('reaches the store', extra=known)
        else:
            self._returned = trio.Event()
            _log.warning('lost the store', extra=known)

    def _list_configuration(self, listing: Listing) -> None:
        for stored in listing.objects:
            if stored.name == self._decoders.configuration_name:
                self._beliefs.take_configuration(stored.content, 'store')

    def _change_configuration(self, changes: list[Change]) -> None:
        for change in changes:
            named = change.stored.name == self._decoders.configuration_name
            if named and not change.deleted:
                self._beliefs.take_configuration(change.stored.content, 'store')

    def _list_servers(self, listing: Listing) -> None:
        records = [
            ServerRecord(stored.name, stored.revision, False, stored.content)
            for stored in listing.objects
        ]
        names = [record.id for record in records]
        missing = self._beliefs.records.missing_in(names, listing.revision)
        records.extend(missing)
        self._beliefs.take_servers(records, 'store')

    def _change_servers(self, changes: list[Change]) -> None:
        self._beliefs.take_servers(
            [
                ServerRecord(
                    change.stored.name,
                    change.stored.revision,
                    change.deleted,
                    b'' if change.deleted else change.stored.content,
                )
                for change in changes
            ],
            'store',
        )
