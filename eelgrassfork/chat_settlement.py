"""
eelgrassfork.chat_settlement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bills each chat request once, including those without a complete answer.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Literal

import trio

from .backends import Backends
from .chat_meter import Usage, billable_tokens
from .chat_metrics import count_tokens
from .chat_records import ChatRecords
from .chat_run import Accounts, ChatRun
from .engine_client import EngineClient
from .engine_types import EngineRecord
from .metrics import Metrics

__all__ = ('Ending', 'Settlement')

Ending = Literal['interrupted', 'broken', 'overrun', 'gave_up']


_Task = Callable[..., Awaitable[object]]


class Settlement:
    """
    Settles the reservations of chat requests.

    A complete answer is settled at once with the usage that it reports. For
    an incomplete one the engine's record is queried in the background. The
    answer to a request with an idempotency key can still be fetched from its
    engine by a retry, so its reservation stays open until the engine
    reports a final state, or until the engine is delisted and its record
    is lost with it. A generation that an earlier attempt with the key
    started at another engine is billed to that attempt only.

    :param accounts: credit of this holder.
    :param engines: client of the engines.
    :param backends: the listed servers.
    :param source: random source of jitter.
    :param metrics: receives the billed tokens.
    :ivar open_bills: number of requests being settled in the background.
    """

    def __init__(
        self,
        accounts: Accounts,
        engines: EngineClient,
        backends: Backends,
        source: random.Random,
        metrics: Metrics,
    ) -> None:
        self._accounts = accounts
        self._metrics = metrics
        self._records = ChatRecords(engines, backends, source)
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.open_bills = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start the background tasks.

        :param nursery: nursery in which they run.
        """
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop querying; settle open bills with the usage known so far."""
        self._scope.cancel()
        await self._stopped.wait()

    def settle_complete(self, run: ChatRun, usage: Usage) -> None:
        """
        Settle a request with a complete answer; cancel its other attempts.

        :param run: the request.
        :param usage: token usage that the engine reported.
        """
        run.answer_complete = True
        spent = _usage_tokens(run, usage) if run.is_payer else 0
        if run.request.key:
            run.uncertain_servers.extend(run.other_servers)
        if spent and run.uncertain_servers:
            self._settle_later(run, self._settle_uncertain, spent)
        else:
            self._settle(run, spent)
        for server in run.other_servers:
            self._start_task(self._records.try_cancel, run, server)

    def settle_incomplete(self, run: ChatRun, ending: Ending) -> None:
        """
        Settle a request without a complete answer.

        :param run: the request.
        :param ending: why the answer is incomplete.
        """
        if run.reservation is None or run.settled:
            return
        if not run.tried_servers or not run.is_payer:
            self._settle(run, 0)
        elif run.request.key:
            self._settle_incomplete_keyed(
                run, ending in {'interrupted', 'broken'}
            )
        elif ending == 'gave_up':
            self._settle(run, 0)
            for server in run.tried_servers:
                self._start_task(self._records.try_cancel, run, server)
        else:
            self._settle_later(run, self._settle_unkeyed)

    def _settle_incomplete_keyed(self, run: ChatRun, let_finish: bool) -> None:
        run.uncertain_servers.extend(run.other_servers)
        for server in run.other_servers if let_finish else run.tried_servers:
            self._start_task(self._records.try_cancel, run, server)
        self._settle_later(run, self._settle_keyed, let_finish)

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
        self, run: ChatRun, task: _Task, *arguments: object
    ) -> None:
        if self._nursery is None:
            self._settle(run, _relayed_tokens(run))
            return
        run.settled = True
        self.open_bills += 1
        self._nursery.start_soon(task, run, *arguments)

    def _start_task(self, task: _Task, *arguments: object) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task, *arguments)

    async def _settle_unkeyed(self, run: ChatRun) -> None:
        spent = _relayed_tokens(run)
        try:
            record = await self._records.try_cancel(run, run.billed_server)
            if record is not None:
                spent = _record_tokens(run, record)
            for server in run.other_servers:
                await self._records.try_cancel(run, server)
        finally:
            self._close_bill(run, spent)

    async def _settle_keyed(self, run: ChatRun, let_finish: bool) -> None:
        spent = 0
        try:
            if not await self._is_paid_elsewhere(run):
                spent = await self._keyed_tokens(run, let_finish)
        finally:
            self._close_bill(run, spent)

    async def _keyed_tokens(self, run: ChatRun, let_finish: bool) -> int:
        query = (
            self._records.find_own if let_finish else self._records.cancel_own
        )
        billed = run.billed_server
        record = await self._records.wait_for_final(run, billed, query)
        tokens = 0
        if record and (let_finish or record.state == 'finished'):
            tokens = _record_tokens(run, record)
        for server in run.other_servers:
            record = await self._records.wait_for_final(
                run, server, self._records.cancel_own
            )
            if record and record.state == 'finished':
                tokens = max(tokens, _record_tokens(run, record))
        return tokens

    async def _settle_uncertain(self, run: ChatRun, spent: int) -> None:
        try:
            if await self._is_paid_elsewhere(run):
                spent = 0
        finally:
            self._close_bill(run, spent)

    async def _is_paid_elsewhere(self, run: ChatRun) -> bool:
        for server in run.uncertain_servers:
            record = await self._records.wait_for_final(
                run, server, self._records.find_other
            )
            if record and record.state == 'finished':
                return True
        return False

    def _settle(self, run: ChatRun, spent: int) -> None:
        if not run.settled:
            run.settled = True
            self._settle_once(run, spent)

    def _close_bill(self, run: ChatRun, spent: int) -> None:
        self.open_bills -= 1
        self._settle_once(run, spent)

    def _settle_once(self, run: ChatRun, spent: int) -> None:
        if run.reservation is None:
            return
        self._accounts.settle(run.reservation, spent)
        if spent:
            count_tokens(self._metrics, run, spent)


def _usage_tokens(run: ChatRun, usage: Usage) -> int:
    reserved = run.reservation.amount if run.reservation else 0
    return billable_tokens(usage, run.request.max_tokens, reserved)


def _record_tokens(run: ChatRun, record: EngineRecord) -> int:
    if record.payer != run.payer:
        return 0
    return _usage_tokens(
        run, Usage(record.prompt_tokens, record.completion_tokens)
    )


def _relayed_tokens(run: ChatRun) -> int:
    # A retry with the key is billed in full for its own generation.
    if run.request.key:
        return 0
    return _usage_tokens(run, run.meter.usage or Usage(0, run.meter.tokens))
