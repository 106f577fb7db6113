"""
eelgrassfork.gateway.registry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Discovers other routers through entries in the store.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import logbook
import msgspec
import trio

from .gossip import Gossip
from .node_settings import NodeSettings
from .store import Store, StoreConflict, StoreError

__all__ = ('Registry',)

_log = logbook.Logger('registry')

_KIND: Final = 'eelgrassfork-routers'
_RETRY_S: Final = 0.5
# Routers normally discover each other by heartbeats.  Those that receive none,
# after the start or later, use the store.
_INITIAL_CHECK_DELAYS_S: Final = (0, 1, 4)
_CHECK_INTERVAL_S: Final = 5.0


class _Entry(msgspec.Struct):
    ip: str
    incarnation: int


class Registry:
    """
    Writes this router's entry in the store and reads those of others.

    There is no other directory of routers.  Only routers that watch the store
    or receive no heartbeats register, so that a starting fleet does not
    overload the store.

    :param store: holds the entries.
    :param gossip: receives the addresses as seeds.
    :param settings: name and address of this router.
    :param incarnation: of this process.
    :param is_watcher: returns whether this router watches the store.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        settings: NodeSettings,
        incarnation: int,
        is_watcher: Callable[[], bool],
    ) -> None:
        self._store = store
        self._gossip = gossip
        self._settings = settings
        self._incarnation = incarnation
        self._is_watcher = is_watcher
        self._registered = False
        store.era.subscribe(self._on_restore)

    async def run(self) -> None:
        """Register this router if useful, and discover others if isolated."""
        while not self._gossip.roster.is_settled:
            await trio.sleep(_RETRY_S)
        for delay_s in _INITIAL_CHECK_DELAYS_S:
            await trio.sleep(delay_s)
            await self._check()
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            await self._check()

    async def _check(self) -> None:
        is_isolated = not self._gossip.roster.peers.with_recent_heartbeat()
        if not self._registered and (is_isolated or self._is_watcher()):
            await self._retry(self._register)
        if is_isolated:
            await self._retry(self._discover)

    def _on_restore(self) -> None:
        # The copy may be from before the entry was written.
        self._registered = False

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except StoreError as error:
                _log.debug(
                    'store request failed, will retry',
                    extra={'why': error.code},
                )
                await trio.sleep(_RETRY_S)
            else:
                return

    async def _register(self) -> None:
        entry = _Entry(self._settings.ip, self._incarnation)
        name = self._settings.node
        try:
            await self._store.create(_KIND, name, entry)
        except StoreConflict:
            await self._store.replace(_KIND, name, entry, None)
        self._registered = True

    async def _discover(self) -> None:
        listing = await self._store.list_all(_KIND)
        ips = []
        for stored in listing.objects:
            try:
                entry = msgspec.json.decode(stored.content, type=_Entry)
            except msgspec.DecodeError as error:
                _log.warning(
                    'skipped invalid router entry',
                    extra={'name': stored.name, 'why': str(error)},
                )
                continue
            ips.append(entry.ip)
        self._gossip.add_seeds(tuple(ips))
