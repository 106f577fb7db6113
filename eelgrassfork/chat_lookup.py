"""
eelgrassfork.chat_lookup
~~~~~~~~~~~~~~~~~~~~~~~~

Finds the server that already runs a request with an idempotency key.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import trio

from .engine_client import EngineClient
from .engine_types import EngineError, EngineRecord
from .names import rendezvous_order
from .routing import ServerState

__all__ = ('Lookup', 'look_up')

# Failover follows the rendezvous order, so that an earlier attempt is at one
# of the first servers unless more than three of them failed at once.
_ASKED: Final = 4
_BOUND_S: Final = 0.5


class Lookup(NamedTuple):
    """
    Where a request with a key may have run before.

    :param holder: server that runs or ran it, if one is known.
    :param silent: servers that could not be asked.
    """

    holder: ServerState | None = None
    silent: tuple[ServerState, ...] = ()


async def look_up(
    engines: EngineClient, servers: Iterable[ServerState], identity: str
) -> Lookup:
    """
    Ask the servers that an earlier attempt would have chosen.

    :param engines: client of the engines.
    :param servers: servers of the service, in any state; at least those
        that come first for the identity.
    :param identity: identity of the request at the engines.
    :returns: what they know, after at most half a second.
    """
    servers_by_vm = {server.vm: server for server in servers}
    asked = rendezvous_order(identity, list(servers_by_vm))[:_ASKED]
    answers_by_vm: dict[str, EngineRecord | None] = {}

    async def ask(vm: str) -> None:
        address = servers_by_vm[vm].address
        try:
            answers_by_vm[vm] = await engines.find(address, identity)
        except EngineError:
            await trio.lowlevel.checkpoint()

    with trio.move_on_after(_BOUND_S):
        async with trio.open_nursery() as nursery:
            for asked_vm in asked:
                nursery.start_soon(ask, asked_vm)
    holders = [name for name in asked if _is_usable(answers_by_vm.get(name))]
    silent = [name for name in asked if name not in answers_by_vm]
    return Lookup(
        servers_by_vm[holders[0]] if holders else None,
        tuple(servers_by_vm[name] for name in silent),
    )


def _is_usable(record: EngineRecord | None) -> bool:
    return record is not None and record.state != 'cancelled'
