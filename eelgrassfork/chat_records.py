"""
eelgrassfork.chat_records
~~~~~~~~~~~~~~~~~~~~~~~~~

Queries engines for the records of chat requests without a complete answer.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final

import logbook
import trio

from .backends import Backends
from .chat_run import ChatRun
from .engine_client import EngineClient
from .engine_types import EngineError, EngineRecord
from .retries import EjectionPolicy, backoff_s
from .routing import ServerState

__all__ = ('ChatRecords',)

_log = logbook.Logger('chat')

_RESOLVE_TIMEOUT_S: Final = 600.0
_INITIAL_POLL_S: Final = 0.25
_MAX_POLL_S: Final = 5.0
_POLL_BACKOFF: Final = EjectionPolicy(
    first_s=_INITIAL_POLL_S, longest_s=_MAX_POLL_S
)
_POLLS_WITHOUT_RECORD: Final = 2
_FINAL_STATES: Final = frozenset(('finished', 'cancelled'))

_Query = Callable[[ChatRun, ServerState], Awaitable[EngineRecord | None]]


class ChatRecords:
    """
    Finds and cancels generations of chat requests at engines.

    :param engines: client of the engines.
    :param backends: the listed servers.
    :param source: random source of jitter.
    """

    def __init__(
        self,
        engines: EngineClient,
        backends: Backends,
        source: random.Random,
    ) -> None:
        self._engines = engines
        self._backends = backends
        self._source = source

    async def wait_for_final(
        self, run: ChatRun, server: ServerState, query: _Query
    ) -> EngineRecord | None:
        """
        Poll a server until a request is in a final state.

        :param run: the request.
        :param server: server to query.
        :param query: query to use, a method of this class.
        :returns: its record; ``None`` if the server has none, is delisted,
            or gave no final state within ten minutes.
        """
        attempt = 0
        with trio.move_on_after(_RESOLVE_TIMEOUT_S):
            while self._backends.is_listed(server.vm):
                ended, record = await _try_query(query, run, server)
                # A request that has not reached the server yet has no
                # record, so that a missing one is queried again.
                if ended and (record or attempt >= _POLLS_WITHOUT_RECORD):
                    return record
                await trio.sleep(
                    backoff_s(attempt, _POLL_BACKOFF, self._source)
                )
                attempt += 1
        _log.info(
            'chat: no final record of payer {} at server {}',
            run.payer,
            server.vm,
        )
        return None

    async def find_other(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        """
        Find a generation billed to an earlier attempt with the same key.

        :param run: the request.
        :param server: server to query.
        :returns: its record, or ``None``.
        :raises EngineError: if the query fails.
        """
        record = await self._engines.find(server.address, run.request.identity)
        return record if record and record.payer != run.payer else None

    async def find_own(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        """
        Find the generation billed to the request's own reservation.

        :param run: the request.
        :param server: server to query.
        :returns: its record, or ``None``.
        :raises EngineError: if the query fails.
        """
        records = await self._engines.records(server.address, run.payer)
        identity = run.request.identity
        found = [entry for entry in records if entry.request_id == identity]
        return found[0] if found else None

    async def cancel_own(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        """
        Cancel the generation billed to the request's own reservation.

        :param run: the request.
        :param server: server to query.
        :returns: its record, or ``None`` if there is none.
        :raises EngineError: if the query fails.
        """
        # The generation of a request with a key may be relayed by and billed
        # to another router.
        if run.request.key and not await self.find_own(run, server):
            return None
        identity = run.request.identity
        return await self._engines.cancel(server.address, identity)

    async def try_cancel(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        """
        Cancel the request's own generation; log a failure.

        :param run: the request.
        :param server: server to query.
        :returns: its record, or ``None`` if there is none or the query
            failed.
        """
        try:
            return await self.cancel_own(run, server)
        except EngineError as error:
            _log.info(
                'chat: cancel request to server {} failed: {}',
                server.vm,
                error.message,
            )
        return None


async def _try_query(
    query: _Query, run: ChatRun, server: ServerState
) -> tuple[bool, EngineRecord | None]:
    try:
        record = await query(run, server)
    except EngineError:
        return False, None
    return record is None or record.state in _FINAL_STATES, record
