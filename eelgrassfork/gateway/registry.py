"""
eelgrassfork.gateway.registry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds other routers through the store, for want of any other directory.
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
# Routers find each other by heartbeats; the store only helps those that hear
# nobody after a start, or later.
_LONELY_S: Final = (0, 1, 4)
_LONELY_LATER_S: Final = 5.0


class _Entry(msgspec.Struct):
    ip: str
    incarnation: int


class Registry:
    """
    Writes this router's entry and reads those of others.

    Only routers that watch the store and those that hear nobody register, so
    that a fleet that starts does not crowd at the store.

    :param store: where entries are.
    :param gossip: told of addresses.
    :param settings: name and address of this router.
    :param incarnation: of this process.
    :param is_watcher: whether this router watches the store.
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

    async def run(self) -> None:
        """Register where that helps others, and look for them if alone."""
        while not self._gossip.roster.is_settled:
            await trio.sleep(_RETRY_S)
        for delay_s in _LONELY_S:
            await trio.sleep(delay_s)
            await self._look_around()
        while True:
            await trio.sleep(_LONELY_LATER_S)
            await self._look_around()

    async def _look_around(self) -> None:
        lonely = not self._gossip.roster.peers.with_recent_heartbeat()
        if not self._registered and (lonely or self._is_watcher()):
            await self._insist(self._register)
        if lonely:
            await self._insist(self._find)

    async def _insist(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except StoreError as error:
                _log.debug('could not use the store', extra={'why': error.code})
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

    async def _find(self) -> None:
        listing = await self._store.list_all(_KIND)
        ips = []
        for stored in listing.objects:
            try:
                entry = msgspec.json.decode(stored.content, type=_Entry)
            except msgspec.DecodeError as error:
                _log.warning(
                    'skipped a bad entry',
                    extra={'name': stored.name, 'why': str(error)},
                )
                continue
            ips.append(entry.ip)
        self._gossip.add_seeds(tuple(ips))
