"""
eelgrassfork.gateway.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps configuration, backend servers and evacuations in sync with the store.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final, NamedTuple

import logbook
import trio

from ..errors import EelgrassError
from ..supervision import keep_running
from .cold_servers import cold_rate
from .configuration import ConfigurationHolder
from .evacuations import Evacuations, is_evacuation_id
from .packing import BadPacking, pack, unpack
from .records import Configuration, ServerEntry, Service
from .server_records import ServerRecord, ServerRecords
from .servers import ServerSet
from .silent_watch import cancel_if_outdated
from .store import (
    Change,
    HistoryGone,
    Listing,
    Store,
    StoreError,
    StoreRestored,
)
from .stored_records import EVACUATIONS, SERVERS, RecordFactory, RecordKind
from .watch_role import WatchRole

__all__ = ('Decoders', 'StoreFollower', 'StoreView', 'WatchRoles')

_log = logbook.Logger('follow')

_MAX_DOUBLINGS: Final = 10
# While the store is unreachable, only the task that follows the configuration
# calls it; the other task waits for recovery, at most for this time.
_MAX_RECOVERY_WAIT_S: Final = 2.0
# A watch this short shows at once whether an unreachable store has recovered.
_PROBE_WATCH_S: Final = 0.05
_MIN_WATCH_S: Final = 2.4
# A small fraction of the propagation bound for configurations.
_ROLE_POLL_S: Final = 0.25
# Upper limit set by the platform.
_MAX_WATCH_S: Final = 30.0
# A change ends the watches of all routers at once, so the durations of the next
# ones are randomised over nearly the whole range.
_MIN_WATCH_FRACTION: Final = 0.05

_OnListing = Callable[[Listing], None]
_OnChanges = Callable[[list[Change]], None]


class Decoders(NamedTuple):
    """
    Kinds, names and decoders of the stored objects.

    :param configuration_kind: kind of configurations.
    :param configuration_name: name of the current configuration.
    :param servers_kind: kind of backend server entries.
    :param configuration: decodes a configuration.
    :param server: decodes the entry of a server, given its id; ``None`` if the
        entry names no usable server.
    :param evacuations_kind: kind of evacuations, which are named by their
        failure domains.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    configuration: Callable[[bytes], Configuration]
    server: Callable[[str, bytes], ServerEntry | None]
    evacuations_kind: str = ''


class WatchRoles(NamedTuple):
    """Role of this router for each kind of object."""

    configuration: WatchRole
    servers: WatchRole


class StoreView:
    """
    Local view of the store, updated from the store itself and from peers.

    :param decoders: decoders of the stored objects.
    :param on_change: called after a newer object was applied.
    :param evacuation_s: maximum time until evacuations are known, see
        ``Bounds``.
    """

    def __init__(
        self,
        decoders: Decoders,
        on_change: Callable[[], None],
        evacuation_s: float | None = None,
    ) -> None:
        self.configuration = ConfigurationHolder()
        self.evacuations = Evacuations(evacuation_s)
        self.servers = ServerSet(may_send=self.evacuations.may_send)
        self.records = ServerRecords()
        self._cold_services_by_name: dict[str, Service] = {}
        self._decoders = decoders
        self._on_change = on_change

    def apply_configuration(self, content: bytes, source: str) -> None:
        """
        Apply a configuration if it is newer than the active one.

        An invalid configuration is logged and ignored.

        :param content: stored JSON of the configuration.
        :param source: ``store`` or the name of the peer, for the log.
        """
        self._apply(content, None, source)

    def apply_packed_configuration(self, packed: bytes, source: str) -> None:
        """
        Apply a configuration received from a peer if it is newer.

        An invalid configuration is logged and ignored.

        :param packed: compressed JSON of the configuration.
        :param source: name of the peer, for the log.
        """
        try:
            content = unpack(packed)
        except BadPacking as error:
            _log.error(
                'rejected a configuration that could not be decompressed',
                extra={'source': source, 'why': error.message},
            )
            return
        self._apply(content, packed, source)

    def _apply(self, content: bytes, packed: bytes | None, source: str) -> None:
        try:
            configuration = self._decoders.configuration(content)
        except EelgrassError as error:
            _log.error(
                'rejected an invalid configuration',
                extra={'source': source, 'why': error.message},
            )
            return
        if configuration.version <= self.configuration.version:
            return
        packed = packed or pack(content)
        self.configuration.apply_if_newer(configuration, packed)
        self._cold_services_by_name = {
            service.name: service
            for service in configuration.services_by_name.values()
            if service.cold_per_s > 0
        }
        _log.info(
            'applied a configuration',
            extra={
                'version': configuration.version,
                'source': source,
                'bytes': len(content),
                'packed_bytes': len(packed),
            },
        )
        self._on_change()

    def apply_server_records(
        self, records: Iterable[ServerRecord], source: str
    ) -> None:
        """
        Apply records of servers and evacuations that are newer than known ones.

        :param records: records from the store or from a peer.
        :param source: ``store`` or the name of the peer, for the log.
        """
        changed = False
        for record in records:
            if not self.records.put(record):
                continue
            changed = True
            if is_evacuation_id(record.id):
                self._apply_evacuation(record, source)
            else:
                self.evacuations.begin_wait()
                self._apply_server_record(record, source)
        if changed:
            self._on_change()

    def awaits(self, kind: str) -> bool:
        """
        Check whether objects of a kind are needed before any server is used.

        The peers that this router has its servers from may not follow
        evacuations yet, as they run with former settings.

        :param kind: kind of the objects.
        :returns: whether they should be listed now.
        """
        is_evacuations = kind == self._decoders.evacuations_kind
        return is_evacuations and self.evacuations.is_awaited

    def _apply_evacuation(self, record: ServerRecord, source: str) -> None:
        ended = self.evacuations.apply(record.id, record.removed, source)
        if ended is not None:
            # Servers without requests may have become cold meanwhile.
            self.servers.imply_cold(ended)

    def cold_rate_of(self, server_id: str) -> float | None:
        """
        Look up the limit of a server that may be cold.

        :param server_id: id of the server.
        :returns: requests a second from all routers together; ``None`` if the
            server is not known to be cold.
        """
        # Called for each server at each request.
        if not self._cold_services_by_name:
            return None
        server = self.servers.find(server_id)
        if server is None:
            return None
        service = self._cold_services_by_name.get(server.entry.service)
        return cold_rate(server.cold, service, trio.current_time())

    def limits_cold_servers(self, service: str) -> bool:
        """
        Check whether the configuration limits cold servers of a service.

        :param service: name of the service.
        :returns: whether it does.
        """
        return service in self._cold_services_by_name

    def ids_of_cold_services(self) -> list[str]:
        """
        List the servers that have a limit whenever they are cold.

        :returns: ids of the servers.
        """
        if not self._cold_services_by_name:
            return []
        return [
            entry.id
            for entry in self.servers.entries
            if entry.service in self._cold_services_by_name
        ]

    def _apply_server_record(self, record: ServerRecord, source: str) -> None:
        if record.removed:
            changed = self.servers.mark_removed(record.id)
            entry = None
        else:
            entry = self._decoders.server(record.id, record.content)
            changed = entry is not None and self.servers.apply_entry(entry)
        if not changed and entry is not None:
            return
        _log.info(
            'applied a server entry',
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
    Keeps the store view of this router in sync with the store.

    :param store: the store.
    :param store_view: the view to update.
    :param decoders: kinds and names of the stored objects.
    :param roles: whether this router watches each kind.
    :param evacuations_role: the same for evacuations; ``None`` if the
        deployment has none, so that they are not read.
    """

    def __init__(
        self,
        store: Store,
        store_view: StoreView,
        decoders: Decoders,
        roles: WatchRoles,
        evacuations_role: WatchRole | None = None,
    ) -> None:
        self._store = store
        self._store_view = store_view
        self._decoders = decoders
        self._roles_by_kind = {
            decoders.configuration_kind: roles.configuration,
            decoders.servers_kind: roles.servers,
        }
        if evacuations_role is not None:
            self._roles_by_kind[decoders.evacuations_kind] = evacuations_role
        self._evacuations_role = evacuations_role
        self._record_factory = RecordFactory()
        self._apply_server_listing = partial(
            self._apply_record_listing, SERVERS
        )
        self._primary_role = roles.configuration
        self._random = random.Random()
        self._reachable: bool | None = None
        self._recovered = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start the background tasks that follow the store.

        :param nursery: runs the tasks.
        """
        decoders = self._decoders
        handlers_by_kind: dict[str, tuple[_OnListing, _OnChanges]] = {
            decoders.configuration_kind: (
                self._apply_configuration_listing,
                self._apply_configuration_changes,
            ),
            decoders.servers_kind: (
                self._apply_server_listing,
                partial(self._apply_record_changes, SERVERS),
            ),
            decoders.evacuations_kind: (
                partial(self._apply_record_listing, EVACUATIONS),
                partial(self._apply_record_changes, EVACUATIONS),
            ),
        }
        for kind in self._roles_by_kind:
            follow = partial(self._follow, kind, *handlers_by_kind[kind])
            nursery.start_soon(keep_running, 'follow the store', follow)

    @property
    def reachable(self) -> bool:
        """Whether this or another router has reached the store recently."""
        return bool(self._reachable)

    async def reread(self) -> None:
        """Read the configuration now, as its watch may have stalled."""
        called_at = trio.current_time()
        try:
            stored = await self._store.get(
                self._decoders.configuration_kind,
                self._decoders.configuration_name,
            )
        except StoreError as error:
            _log.info(
                'failed to re-read the configuration',
                extra={'why': error.code},
            )
            return
        if stored is not None:
            self._store_view.apply_configuration(stored.content, 'store')
        self._primary_role.contact.record_own_read(called_at)

    async def _follow(
        self,
        kind: str,
        on_listing: _OnListing,
        on_changes: _OnChanges,
    ) -> None:
        role = self._roles_by_kind[kind]
        revision: int | None = None
        failures = 0
        while True:
            if not role.must_watch:
                # The store may drop the history after this revision meanwhile.
                revision = None
                await self._wait_until_needed(kind)
            called_at = trio.current_time()
            try:
                revision = await self._read(
                    kind, revision, on_listing, on_changes
                )
            except StoreError as error:
                self._record_call(False, error.code)
                await self._pause(kind, failures, called_at)
                failures += 1
            else:
                self._record_call(True, '')
                failures = 0

    async def _pause(self, kind: str, failures: int, called_at: float) -> None:
        if not self._is_primary(kind) and not self.reachable:
            with trio.move_on_after(_MAX_RECOVERY_WAIT_S):
                await self._recovered.wait()
            return
        role = self._roles_by_kind[kind]
        doublings = min(failures, _MAX_DOUBLINGS)
        elapsed_s = trio.current_time() - called_at
        remaining_s = role.retry_delay_s(doublings, elapsed_s)
        while remaining_s > 0:
            self._refresh_reachable()
            step_s = min(_ROLE_POLL_S, remaining_s)
            await trio.sleep(step_s)
            # The limit drops once no other router reaches the store.
            remaining_s = min(remaining_s - step_s, role.max_retry_delay_s)

    async def _read(
        self,
        kind: str,
        revision: int | None,
        on_listing: _OnListing,
        on_changes: _OnChanges,
    ) -> int | None:
        # An answer may be delayed in transit, so the view is only known to be
        # current as of the time of the call, or of the scheduled end of a watch
        # without changes.
        read_at = trio.current_time()
        if revision is None:
            listing = await self._store.list_all(kind)
            on_listing(listing)
            revision = listing.revision
        else:
            wait_s = _PROBE_WATCH_S
            if self._reachable:
                wait_s = self._pick_watch_s(kind)
            try:
                changes, revision = await cancel_if_outdated(
                    self._roles_by_kind[kind],
                    self._store.era,
                    partial(self._store.watch, kind, revision, wait_s),
                )
            except (HistoryGone, StoreRestored) as error:
                _log.info(
                    'changes can not be followed; listing all objects',
                    extra={'of': kind, 'why': error.code},
                )
                return None
            on_changes(changes)
            ended_at = read_at + wait_s
            if not changes and trio.current_time() >= ended_at:
                read_at = ended_at
        self._roles_by_kind[kind].contact.record_own_read(read_at)
        return revision

    async def _wait_until_needed(self, kind: str) -> None:
        role = self._roles_by_kind[kind]
        self._log_role_change('stopped watching the store', kind)
        while not role.must_watch:
            if self._is_primary(kind):
                self._refresh_reachable()
            # While the store is unreachable, probing for one kind suffices.
            may_probe = self._is_primary(kind) or self.reachable
            if may_probe and (role.must_probe or self._store_view.awaits(kind)):
                self._log_role_change('probing the store', kind)
                return
            await trio.sleep(_ROLE_POLL_S)
        self._log_role_change('started watching the store', kind)

    def _refresh_reachable(self) -> None:
        reached = self._primary_role.is_store_reachable
        if reached != self.reachable:
            self._set_reachable(reached, 'reported by peers')

    def _is_primary(self, kind: str) -> bool:
        return kind == self._decoders.configuration_kind

    def _log_role_change(self, text: str, kind: str) -> None:
        _log.info(
            text,
            extra={
                'of': kind,
                'version': self._store_view.configuration.version,
                **self._roles_by_kind[kind].dump(),
            },
        )

    def _pick_watch_s(self, kind: str = '') -> float:
        role = self._primary_role
        if kind == self._decoders.evacuations_kind:
            role = self._evacuations_role or role
        max_s = min(_MAX_WATCH_S, role.max_watch_s)
        fraction = self._random.uniform(_MIN_WATCH_FRACTION, 1)
        return max(_MIN_WATCH_S, max_s) * fraction

    def _record_call(self, reachable: bool, why: str) -> None:
        # Refused calls of this router are no outage while others are served.
        reached = reachable or self._primary_role.is_store_reachable
        if reached != self._reachable:
            self._set_reachable(reached, why)

    def _set_reachable(self, reachable: bool, why: str) -> None:
        self._reachable = reachable
        self._store_view.servers.record_store_contact(reachable)
        fields = {
            'why': why,
            'version': self._store_view.configuration.version,
            **self._primary_role.dump(),
        }
        if reachable:
            self._recovered.set()
            _log.info('store reachable', extra=fields)
        else:
            self._recovered = trio.Event()
            _log.warning('store unreachable', extra=fields)

    def _apply_configuration_listing(self, listing: Listing) -> None:
        for stored in listing.objects:
            if stored.name == self._decoders.configuration_name:
                self._store_view.apply_configuration(stored.content, 'store')

    def _apply_configuration_changes(self, changes: list[Change]) -> None:
        for change in changes:
            is_current = change.stored.name == self._decoders.configuration_name
            if is_current and not change.deleted:
                self._store_view.apply_configuration(
                    change.stored.content, 'store'
                )

    def _apply_record_listing(self, kind: RecordKind, listing: Listing) -> None:
        records = self._record_factory.from_listing(
            kind, listing, self._store_view.records
        )
        self._store_view.apply_server_records(records, 'store')

    def _apply_record_changes(
        self, kind: RecordKind, changes: list[Change]
    ) -> None:
        records = self._record_factory.from_changes(kind, changes)
        self._store_view.apply_server_records(records, 'store')
