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
# Routers find each other by heartbeats; the store only helps after a start,
# and when all that were known are gone.
_LISTINGS_S: Final = (0, 1, 4)
_LONELY_S: Final = 5.0


class _Entry(msgspec.Struct):
    ip: str
    incarnation: int


class Registry:
    """
    Writes this router's entry and reads those of others.

    :param store: where entries are.
    :param gossip: told of addresses.
    :param settings: name and address of this router.
    :param incarnation: of this process.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        settings: NodeSettings,
        incarnation: int,
    ) -> None:
        self._store = store
        self._gossip = gossip
        self._settings = settings
        self._incarnation = incarnation

    async def run(self) -> None:
        """Register, and look for others while there are none."""
        await self._insist(self._register)
        for delay_s in _LISTINGS_S:
            await trio.sleep(delay_s)
            await self._insist(self._find)
        while True:
            await trio.sleep(_LONELY_S)
            if not self._gossip.spoken():
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
