"""
eelgrassfork.gateway.silent_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cancels a watch of the store whose connection may have stalled.

An established connection can stall for good while new connections work.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from .store import Change, StoreAnswerLost, StoreError
from .watch_role import WatchRole

__all__ = ('cancel_if_silent',)

# A small fraction of the propagation bound for configurations.
_POLL_S: Final = 0.25

Changes = tuple[list[Change], int]


async def cancel_if_silent(
    role: WatchRole, watch: Callable[[], Awaitable[Changes]]
) -> Changes:
    """
    Run a watch, and cancel it once no router has read the store recently.

    :param role: this router's role for the kind that is watched.
    :param watch: calls the store.
    :returns: the result of the watch.
    :raises StoreError: if the watch raises it.
    :raises StoreAnswerLost: ``watch_silent`` if the watch was cancelled.
    """
    changes: Changes | None = None
    failure: StoreError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when_silent, role, nursery.cancel_scope)
        try:
            changes = await watch()
        except StoreError as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if changes is None:
        raise StoreAnswerLost(
            'watch_silent',
            'watch cancelled: no router has read the store recently',
        )
    return changes


async def _cancel_when_silent(role: WatchRole, scope: trio.CancelScope) -> None:
    await trio.sleep(_POLL_S)
    while role.is_store_reachable:
        await trio.sleep(_POLL_S)
    scope.cancel()
