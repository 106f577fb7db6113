"""
eelgrassfork.gateway.silent_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cancels a watch of the store that has become useless.

An established connection can stall for good while new connections work, and a
watch from before a restore of the store misses what the restore undid.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from .store import Change, StoreAnswerLost, StoreError, StoreRestored
from .store_era import StoreEra
from .watch_role import WatchRole

__all__ = ('cancel_if_outdated',)

# A small fraction of the propagation bound for configurations.
_POLL_S: Final = 0.25

Changes = tuple[list[Change], int]


async def cancel_if_outdated(
    role: WatchRole, era: StoreEra, watch: Callable[[], Awaitable[Changes]]
) -> Changes:
    """
    Run a watch until no router has read the store recently, or a restore.

    :param role: this router's role for the kind that is watched.
    :param era: restores of the store.
    :param watch: calls the store.
    :returns: the result of the watch.
    :raises StoreError: if the watch raises it.
    :raises StoreAnswerLost: ``watch_silent`` if no router has read the store.
    :raises StoreRestored: if the store was restored.
    """
    changes: Changes | None = None
    failure: StoreError | None = None
    began_in = era.current
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_when,
            lambda: not role.is_store_reachable or era.current != began_in,
            nursery.cancel_scope,
        )
        try:
            changes = await watch()
        except StoreError as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if changes is not None:
        return changes
    if era.current != began_in:
        raise StoreRestored('former_era', 'watch cancelled: store was restored')
    raise StoreAnswerLost(
        'watch_silent',
        'watch cancelled: no router has read the store recently',
    )


async def _cancel_when(
    is_outdated: Callable[[], bool], scope: trio.CancelScope
) -> None:
    await trio.sleep(_POLL_S)
    while not is_outdated():
        await trio.sleep(_POLL_S)
    scope.cancel()
