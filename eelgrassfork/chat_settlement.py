"""
eelgrassfork.chat_settlement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bills each chat request once, also those whose answer is not whole.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, Literal

import logbook
import trio

from .backends import Backends
from .chat_meter import Usage, billable_tokens
from .chat_run import Accounts, ChatRun
from .engine_client import EngineClient
from .engine_types import EngineError, EngineRecord
from .retries import EjectionPolicy, backoff_s
from .routing import ServerState

__all__ = ('Ending', 'Settlement')

_log = logbook.Logger('chat')

_RESOLVE_S: Final = 600.0
_FIRST_POLL_S: Final = 0.25
_LONGEST_POLL_S: Final = 5.0
_POLLS: Final = EjectionPolicy(first_s=_FIRST_POLL_S, longest_s=_LONGEST_POLL_S)
_POLLS_WITHOUT_RECORD: Final = 2
_FINAL_STATES: Final = frozenset(('finished', 'cancelled'))

Ending = Literal['interrupted', 'broken', 'overrun', 'gave_up']


_SettleTask = Callable[[ChatRun, Ending], Awaitable[None]]


class Settlement:
    """
    Settles the reservations of chat requests.

    A whole answer is settled at once with the usage that it reports. For
    others the engine is asked in the background. A request with an
    idempotency key can still be fetched from its engine by a retry, so its
    reservation stays open until the engine tells how it ended, or until
    the engine is delisted and its record with it.

    :param accounts: credit of this holder.
    :param engines: client of the engines.
    :param backends: which servers are still listed.
    :param source: random source of jitter.
    """

    def __init__(
        self,
        accounts: Accounts,
        engines: EngineClient,
        backends: Backends,
        source: random.Random,
    ) -> None:
        self._accounts = accounts
        self._engines = engines
        self._backends = backends
        self._source = source
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.open_bills = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Run the background work.

        :param nursery: where it runs.
        """
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop asking; open bills are settled with what is known."""
        self._scope.cancel()
        await self._stopped.wait()

    def whole(self, run: ChatRun, usage: Usage) -> None:
        """
        Settle a request whose answer is whole, and cancel the others.

        :param run: the request.
        :param usage: what the engine reports.
        """
        run.whole = True
        spent = _tokens(run, usage) if run.pays else 0
        self._settle(run, spent)
        for server in run.tried:
            if server is not run.answering:
                self._spawn(self._cancel, run, server)

    def ended(self, run: ChatRun, ending: Ending) -> None:
        """
        Settle a request whose answer is not whole.

        :param run: the request.
        :param ending: why it is not.
        """
        if run.reservation is None or run.settled:
            return
        if not run.tried or not run.pays:
            self._settle(run, 0)
        elif run.request.key:
            self._settle_later(run, self._settle_keyed, ending)
        elif ending == 'gave_up':
            self._settle(run, 0)
            for server in run.tried:
                self._spawn(self._cancel, run, server)
        else:
            self._settle_later(run, self._settle_unkeyed, ending)

    async def _run(self, task_status: trio.TaskStatus[None]) -> None:
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    task_status.started()
                    await trio.sleep_forever()
        finally:
            self._nursery = None
            self._stopped.set()

    def _settle_later(
        self, run: ChatRun, task: _SettleTask, ending: Ending
    ) -> None:
        if self._nursery is None:
            self._settle(run, _relayed_tokens(run))
            return
        run.settled = True
        self.open_bills += 1
        self._nursery.start_soon(task, run, ending)

    def _spawn(
        self, task: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task, *arguments)

    async def _settle_unkeyed(self, run: ChatRun, ending: Ending) -> None:
        spent = _relayed_tokens(run)
        billed = run.answering or run.tried[-1]
        try:
            for server in run.tried:
                record = await self._cancel(run, server)
                if server is billed and record is not None:
                    spent = _record_tokens(run, record)
        finally:
            self._bill(run, spent)

    async def _settle_keyed(self, run: ChatRun, ending: Ending) -> None:
        spent = 0
        billed = run.answering or run.tried[-1]
        lets_finish = ending in {'interrupted', 'broken'}
        try:
            for server in reversed(run.tried):
                waits = lets_finish and server is billed
                record = await self._final_record(run, server, waits)
                if record and (waits or record.state == 'finished'):
                    spent = max(spent, _record_tokens(run, record))
        finally:
            self._bill(run, spent)

    async def _final_record(
        self, run: ChatRun, server: ServerState, waits: bool
    ) -> EngineRecord | None:
        attempt = 0
        with trio.move_on_after(_RESOLVE_S):
            while self._backends.is_listed(server.vm):
                ended, record = await self._ask(run, server, waits)
                # A request that is still on its way has no record yet.
                if ended and (record or attempt >= _POLLS_WITHOUT_RECORD):
                    return record
                await trio.sleep(backoff_s(attempt, _POLLS, self._source))
                attempt += 1
        _log.info('chat: no record of {} at {}', run.payer, server.vm)
        return None

    async def _ask(
        self, run: ChatRun, server: ServerState, waits: bool
    ) -> tuple[bool, EngineRecord | None]:
        ask = self._find_record if waits else self._cancel_record
        try:
            record = await ask(run, server)
        except EngineError:
            return False, None
        return record is None or record.state in _FINAL_STATES, record

    async def _find_record(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        records = await self._engines.records(server.address, run.payer)
        identity = run.request.identity
        found = [entry for entry in records if entry.request_id == identity]
        return found[0] if found else None

    async def _cancel_record(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        # With a key, the generation may be another router's to pay and to
        # relay.
        if run.request.key and not await self._find_record(run, server):
            return None
        identity = run.request.identity
        return await self._engines.cancel(server.address, identity)

    async def _cancel(
        self, run: ChatRun, server: ServerState
    ) -> EngineRecord | None:
        try:
            return await self._cancel_record(run, server)
        except EngineError as error:
            _log.info('chat: no cancel at {}: {}', server.vm, error.message)
        return None

    def _settle(self, run: ChatRun, spent: int) -> None:
        if run.reservation is not None and not run.settled:
            run.settled = True
            self._accounts.settle(run.reservation, spent)

    def _bill(self, run: ChatRun, spent: int) -> None:
        self.open_bills -= 1
        if run.reservation is not None:
            self._accounts.settle(run.reservation, spent)


def _tokens(run: ChatRun, usage: Usage) -> int:
    reserved = run.reservation.amount if run.reservation else 0
    return billable_tokens(usage, run.request.max_tokens, reserved)


def _record_tokens(run: ChatRun, record: EngineRecord) -> int:
    if record.payer != run.payer:
        return 0
    return _tokens(run, Usage(record.prompt_tokens, record.completion_tokens))


def _relayed_tokens(run: ChatRun) -> int:
    # A retry with the key pays in full for another run.
    if run.request.key:
        return 0
    return _tokens(run, run.meter.usage or Usage(0, run.meter.tokens))
