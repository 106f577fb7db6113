"""
eelgrassfork.gateway.silent_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leaves a watch of the store that may be silent.

An open connection can be silent for good while new ones work.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from .duty import WatchRole
from .store import Change, StoreAnswerLost, StoreError

__all__ = ('cancel_if_silent',)

# A small part of the bound on configurations.
_POLL_S: Final = 0.25

Changes = tuple[list[Change], int]


async def cancel_if_silent(
    role: WatchRole, watch: Callable[[], Awaitable[Changes]]
) -> Changes:
    """
    Wait for a watch, until nobody has read the store lately.

    :param role: of the kind that is watched.
    :param watch: calls the store.
    :returns: what the watch returns.
    :raises StoreError: what the watch raises.
    :raises StoreAnswerLost: if the watch was left.
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
        raise StoreAnswerLost('watch_silent', 'nobody has read the store')
    return changes


async def _cancel_when_silent(role: WatchRole, watch: trio.CancelScope) -> None:
    await trio.sleep(_POLL_S)
    while role.is_store_reachable:
        await trio.sleep(_POLL_S)
    watch.cancel()
