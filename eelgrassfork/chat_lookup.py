"""
eelgrassfork.chat_lookup
~~~~~~~~~~~~~~~~~~~~~~~~

Finds the server of an earlier attempt with the same idempotency key.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import trio

from .engine_client import EngineClient
from .engine_types import EngineError, EngineRecord
from .names import rendezvous_order
from .routing import ServerState

__all__ = ('LookupResult', 'find_earlier_attempt')

# Failover follows the rendezvous order, so that an earlier attempt ran at one
# of the first four servers unless more than three failed at the same time.
_MAX_QUERIED: Final = 4
_TIMEOUT_S: Final = 0.5


class LookupResult(NamedTuple):
    """
    Servers at which an earlier attempt may have run.

    :param server: server that runs or ran it, ``None`` if none reported it.
    :param unreachable: queried servers that did not answer.
    """

    server: ServerState | None = None
    unreachable: tuple[ServerState, ...] = ()


async def find_earlier_attempt(
    engines: EngineClient, servers: Iterable[ServerState], identity: str
) -> LookupResult:
    """
    Query the servers that an earlier attempt would have chosen.

    :param engines: client of the engines.
    :param servers: servers of the service in any state, including at least
        those that come first for the identity.
    :param identity: request identity at the engines.
    :returns: the result, after at most half a second.
    """
    servers_by_vm = {server.vm: server for server in servers}
    queried = rendezvous_order(identity, list(servers_by_vm))[:_MAX_QUERIED]
    answers_by_vm: dict[str, EngineRecord | None] = {}

    async def query(vm: str) -> None:
        address = servers_by_vm[vm].address
        try:
            answers_by_vm[vm] = await engines.find(address, identity)
        except EngineError:
            await trio.lowlevel.checkpoint()

    with trio.move_on_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for queried_vm in queried:
                nursery.start_soon(query, queried_vm)
    known = [name for name in queried if _is_reusable(answers_by_vm.get(name))]
    unreachable = [name for name in queried if name not in answers_by_vm]
    return LookupResult(
        servers_by_vm[known[0]] if known else None,
        tuple(servers_by_vm[name] for name in unreachable),
    )


def _is_reusable(record: EngineRecord | None) -> bool:
    return record is not None and record.state != 'cancelled'
