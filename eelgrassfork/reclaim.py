"""
eelgrassfork.reclaim
~~~~~~~~~~~~~~~~~~~~

Reclaims the credit of dead holders.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import logbook
import trio

from .credit_policy import backoff_s
from .errors import EelgrassError
from .ledger import LedgerShard, decode_shard, empty_shard, encode_shard
from .ledger_writer import LedgerStore
from .names import PayerTag, vm_of_holder
from .platform_types import AnswerLost, Conflict
from .reclaim_plan import (
    Evidence,
    VmsByDomain,
    close_dead_holders,
    reclaim_rank,
)
from .spend_records import RecordSource, read_records

__all__ = (
    'BorrowedSpendReader',
    'ReclaimInputs',
    'ReclaimSettings',
    'Reclaimer',
)

_log = logbook.Logger('reclaim')

_MAX_ATTEMPTS: Final = 8
_FIRST_RETRY_DELAY_S: Final = 0.01
_MAX_RETRY_DELAY_S: Final = 1

BorrowedSpendReader = Callable[[str], Awaitable[dict[PayerTag, int]]]


class ReclaimSettings(NamedTuple):
    """
    Timing of reclaiming, in seconds.

    :param interval_s: time between two scans of the ledger.
    :param quiet_s: delay after a holder was found dead, so that engines
        have received its last requests.
    :param takeover_s: additional delay after which the second-ranked router
        reclaims if the first has not.
    """

    interval_s: float = 10
    quiet_s: float = 2
    takeover_s: float = 30


class ReclaimInputs(NamedTuple):
    """
    Dependencies of the reclaimer.

    :param own_vm: this router's VM.
    :param is_dead: returns whether a holder is proven dead; takes the holder
        and the VM list revision that the holder recorded in its entry.
    :param ledger_keys: returns the keys of all ledger shards.
    :param live_vms_by_domain: returns the VMs of the live routers.
    :param domain_of: returns the failure domain of a VM, which may no longer
        exist; empty if unknown.
    :param sources: spend records by payer, from engines and claims.
    :param survey: reads how much peers spent of the credit they borrowed
        from a dead holder; raises
        :class:`~eelgrassfork.spend_records.RecordsMissing` while a peer may
        still spend some.
    """

    own_vm: str
    is_dead: Callable[[str, int], bool]
    ledger_keys: Callable[[], list[str]]
    live_vms_by_domain: Callable[[], VmsByDomain]
    domain_of: Callable[[str], str]
    sources: tuple[RecordSource, ...]
    survey: BorrowedSpendReader


class Reclaimer:
    """
    Scans the ledger for dead holders and closes their accounts.

    :param platform: store of the ledger objects.
    :param inputs: dependencies.
    :param settings: timing.
    """

    def __init__(
        self,
        platform: LedgerStore,
        inputs: ReclaimInputs,
        settings: ReclaimSettings,
    ) -> None:
        self._platform = platform
        self._inputs = inputs
        self._settings = settings
        self._detected_at_by_holder: dict[str, float] = {}
        self._pending_reasons_by_holder: dict[str, str] = {}
        self._scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start scanning in the background.

        :param nursery: nursery of the background task.
        """
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop scanning."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: dead holders that can't be closed yet, and the reason.
        """
        return {'waits_by_holder': dict(self._pending_reasons_by_holder)}

    async def scan(self) -> None:
        """Reclaim credit in the shards for which this router is a candidate."""
        self._pending_reasons_by_holder.clear()
        inputs = self._inputs
        own_domain = inputs.domain_of(inputs.own_vm)
        live = inputs.live_vms_by_domain()
        for key in inputs.ledger_keys():
            # The first two of the whole fleet are also among the first two
            # of their own failure domain, so ranking by the own domain skips
            # no shard.
            if reclaim_rank(inputs.own_vm, key, own_domain, live) is None:
                continue
            try:
                await self.reclaim_shard(key)
            except EelgrassError as error:
                _log.warning(
                    'reclaim: skipped ledger object {}: {}', key, error
                )

    async def reclaim_shard(self, key: str) -> None:
        """
        Close the accounts of dead holders in one shard.

        :param key: key of the ledger shard.
        :raises EelgrassError: if the ledger can't be read or written.
        """
        shard, version = await self._read(key)
        evidence_by_holder: dict[str, Evidence] = {}
        for holder in self._due_holders(key, shard):
            try:
                evidence_by_holder[holder] = await self._collect_evidence(
                    holder
                )
            except EelgrassError as error:
                self._pending_reasons_by_holder[holder] = error.message
                _log.warning(
                    'reclaim: holder {} can not be closed yet: {}',
                    holder,
                    error,
                )
        if evidence_by_holder:
            await self._close(key, shard, version, evidence_by_holder)

    async def _run(self) -> None:
        with self._scope:
            while True:
                await trio.sleep(self._settings.interval_s)
                await self.scan()

    def _due_holders(self, key: str, shard: LedgerShard) -> list[str]:
        entries_by_holder = {
            holder: entry
            for record in shard['budgets'].values()
            for holder, entry in record['holders'].items()
        }
        return [
            holder
            for holder, entry in entries_by_holder.items()
            if self._inputs.is_dead(holder, entry.get('listed_at', 0))
            and self._is_due(key, holder)
        ]

    def _is_due(self, key: str, holder: str) -> bool:
        now = trio.current_time()
        detected_at = self._detected_at_by_holder.setdefault(holder, now)
        rank = reclaim_rank(
            self._inputs.own_vm,
            key,
            self._inputs.domain_of(vm_of_holder(holder)),
            self._inputs.live_vms_by_domain(),
        )
        if rank is None:
            return False
        delay_s = self._settings.quiet_s + rank * self._settings.takeover_s
        return now - detected_at >= delay_s

    async def _collect_evidence(self, holder: str) -> Evidence:
        # Borrowers are queried before the records are read: once a borrower
        # has answered, it starts no more requests on borrowed credit.
        settled_by_payer = await self._inputs.survey(holder)
        records = await read_records(self._inputs.sources, f'{holder}/')
        return Evidence(records, settled_by_payer)

    async def _close(
        self,
        key: str,
        shard: LedgerShard,
        version: int | None,
        evidence_by_holder: dict[str, Evidence],
    ) -> None:
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            closed = close_dead_holders(shard, evidence_by_holder)
            if closed is shard:
                return
            try:
                await self._platform.put(key, encode_shard(closed), version)
            except (AnswerLost, Conflict):
                await _back_off(attempt)
                shard, version = await self._read(key)
            else:
                _log.info(
                    'reclaim: closed dead holders {} in ledger object {}',
                    sorted(evidence_by_holder),
                    key,
                )
                return

    async def _read(self, key: str) -> tuple[LedgerShard, int | None]:
        stored = await self._platform.get(key)
        if stored is None:
            return empty_shard(), None
        return decode_shard(stored.body), stored.version


async def _back_off(attempt: int) -> None:
    jitter = random.random()  # noqa: S311  Spreads out retries.
    await trio.sleep(
        backoff_s(attempt, _FIRST_RETRY_DELAY_S, _MAX_RETRY_DELAY_S, jitter)
    )
