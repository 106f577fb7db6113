"""
eelgrassfork.gateway.ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes the transfers of one router to the ledger in the store, each at most
once.
"""

import random
from collections.abc import Callable, Mapping
from typing import Final

import logbook
import trio

from .credit import HeldCredit, add_credit
from .ledger import (
    EMPTY,
    Ledger,
    LedgerWrite,
    Operation,
    Transfer,
    apply_transfer,
    remaining,
)
from .ledger_copy import LedgerCopy
from .ledger_history import LedgerHistory
from .lending import LedgerView
from .store import Store, StoreError, StoreRestored, StoreUnavailable
from .stored_ledger import StoredLedger

__all__ = ('LedgerWriter',)

_log = logbook.Logger('credit')

_MAX_ATTEMPTS: Final = 12
# Approximate duration of a write.  Conflicting routers spread their retries by
# exponential backoff with jitter, as each attempt is a call to the store.
_BACKOFF_S: Final = 0.006
_MAX_DOUBLINGS: Final = 4
# An older copy of the ledger is read again before a write, as other keepers
# have usually written since.
_REREAD_AGE_S: Final = 0.2
# An older copy of the ledger does not prove that no credit remains.
_MAX_RELIABLE_AGE_S: Final = 1.0
_NEVER_OBSERVED: Final = (float('-inf'), EMPTY)


class LedgerWriter:
    """
    Draws credit from the ledger and returns it.

    :param store: store that contains the ledger.
    :param node: name of this VM.
    :param incarnation: incarnation of this process.
    :param held: credit held by this router; updated by transfers.
    :param prepaid: returns the prepaid limits in tokens by organisation.
    :param history: recent writes of all routers.
    :param now_ms: returns the fleet time, in Unix milliseconds.
    :ivar on_write: called after a write of this router was recorded, before
        its credit is used.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        incarnation: int,
        held: HeldCredit,
        prepaid: Callable[[], Mapping[str, int]],
        history: LedgerHistory | None = None,
        now_ms: Callable[[], int] = int,
    ) -> None:
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._held = held
        self._prepaid = prepaid
        self._history = history or LedgerHistory()
        self._now_ms = now_ms
        self._copy = LedgerCopy(store.era, self._history, prepaid, now_ms)
        self._stored = StoredLedger(store, node, self._copy)
        self._operation_number = 0
        self._random = random.Random()
        self._observed_by_organisation: dict[str, tuple[float, Ledger]] = {}
        self.on_write: Callable[[], None] = _do_nothing

    @property
    def ledger(self) -> Ledger:
        """Last known state of the ledger."""
        return self._copy.ledger

    @property
    def age_s(self) -> float:
        """Time since the last read of the ledger, in seconds."""
        return self._copy.age_s

    @property
    def is_unavailable(self) -> bool:
        """
        Whether waiting for credit would be futile.

        Either a call failed recently, or the ledger is being completed after
        a restore of the store.
        """
        return (
            self._copy.is_abstaining
            or not self._copy.may_draw
            or self._stored.is_unavailable
        )

    @property
    def must_check(self) -> bool:
        """Whether a restore may have undone writes of this router."""
        return self._history.has_own and (
            self._copy.must_read or self._copy.is_incomplete
        )

    def age_of_s(self, organisation: str) -> float:
        """
        Compute the age of what is known of an organisation's credit.

        :param organisation: name of the organisation.
        :returns: seconds since it was read from the store, by this router or
            by a keeper.
        """
        read_at, _ = self._observed_by_organisation.get(
            organisation, _NEVER_OBSERVED
        )
        return trio.current_time() - max(read_at, self._copy.read_at)

    def is_known_insufficient(self, organisation: str, missing: int) -> bool:
        """
        Check whether a recent ledger shows too little drawable credit.

        :param organisation: name of the organisation.
        :param missing: tokens needed.
        :returns: whether an attempt to draw them would fail.
        """
        return (
            self.age_of_s(organisation) < _MAX_RELIABLE_AGE_S
            and self.drawable(organisation) < missing
        )

    def drawable(self, organisation: str) -> int:
        """
        Return the credit that may still be drawn, by the newest known ledger.

        :param organisation: name of the organisation.
        :returns: tokens.
        """
        prepaid = self._prepaid().get(organisation, 0)
        return remaining(self._newest(organisation), organisation, prepaid)

    def view(self, organisations: tuple[str, ...]) -> LedgerView:
        """
        Extract the entries of some organisations for a peer.

        :param organisations: names of the organisations.
        :returns: extract of the ledger.
        """
        return LedgerView(
            {
                name: self.ledger.granted_by_organisation.get(name, 0)
                for name in organisations
            },
            {
                name: self.ledger.spent_by_organisation.get(name, 0)
                + self._held.unflushed(name)
                for name in organisations
            },
            self.age_s,
        )

    def observe(self, view: LedgerView) -> None:
        """
        Store a keeper's extract of the ledger.

        A router that does not draw itself learns the ledger only this way.

        :param view: extract of the ledger for some organisations.
        """
        read_at = trio.current_time() - view.age_s
        ledger = Ledger(
            view.granted_by_organisation, view.spent_by_organisation, {}
        )
        for name in view.granted_by_organisation:
            self._observed_by_organisation[name] = (read_at, ledger)

    def is_exhausted(self, organisation: str, amount: int) -> bool:
        """
        Check whether the unused budget is too small for a request.

        :param organisation: name of the organisation.
        :param amount: largest number of tokens that the request may use.
        :returns: whether the known use leaves less than that.
        """
        prepaid = self._prepaid().get(organisation, 0)
        ledger = self._newest(organisation)
        spent = ledger.spent_by_organisation.get(organisation, 0)
        return amount > prepaid - spent - self._held.unflushed(organisation)

    async def transfer(
        self, plan: Callable[[], Transfer], reread: bool = False
    ) -> None:
        """
        Plan and write a transfer, and repeat both after each conflict.

        :param plan: returns a transfer planned on the last known ledger.
        :param reread: whether to read the ledger first if its copy is old.
        :raises StoreError: if the store does not respond.
        """
        self._history.discard_expired()
        try:
            await self._transfer(plan, reread)
        except StoreRestored:
            raise
        except StoreError:
            self._stored.mark_unavailable()
            raise

    def dump(self) -> dict[str, object]:
        """
        Return the state of the ledger for operators.

        :returns: tokens by organisation, and what a restore left uncertain.
        """
        return self._copy.dump()

    def _newest(self, organisation: str) -> Ledger:
        read_at, ledger = self._observed_by_organisation.get(
            organisation, _NEVER_OBSERVED
        )
        return ledger if read_at > self._copy.read_at else self.ledger

    async def _transfer(
        self, plan: Callable[[], Transfer], reread: bool
    ) -> None:
        if self._copy.must_read or (
            reread and self.age_s > _MAX_RELIABLE_AGE_S
        ):
            await self._stored.read()
        for attempt in range(_MAX_ATTEMPTS):
            transfer = self._plan_allowed(plan)
            if any(transfer) and self.age_s > _REREAD_AGE_S:
                # A read is cheaper than a conflicting write.
                await self._stored.read()
                transfer = self._plan_allowed(plan)
            is_needed = any(transfer) or self._copy.is_incomplete
            if not is_needed or await self._write(transfer):
                return
            max_delay_s = _BACKOFF_S * 2 ** min(attempt, _MAX_DOUBLINGS)
            await trio.sleep(self._random.uniform(0, max_delay_s))
        _log.warning(
            'transfer abandoned after repeated conflicts on the credit ledger'
        )

    def _plan_allowed(self, plan: Callable[[], Transfer]) -> Transfer:
        if self._copy.is_abstaining:
            return Transfer({}, {}, {})
        transfer = plan()
        if self._copy.may_draw:
            return transfer
        return transfer._replace(drawn_by_organisation={})

    async def _write(self, transfer: Transfer) -> bool:
        self._operation_number += 1
        operation = Operation(self._incarnation, self._operation_number)
        before = self.ledger
        planned, drawn = apply_transfer(
            before, transfer, self._prepaid(), self._node, operation
        )
        now_ms = self._now_ms()
        planned = planned._replace(
            is_settled=self._copy.may_draw,
            started_ms=before.started_ms or now_ms,
            written_ms=now_ms,
        )
        returned = {
            name: self._held.remove(name, amount)
            for name, amount in transfer.returned_by_organisation.items()
        }
        try:
            applied = await self._stored.replace(planned, operation)
        except StoreUnavailable:
            add_credit(self._held, returned)
            raise
        except StoreRestored:
            # Others may have drawn what was returned.
            if any(returned.values()):
                _log.warning(
                    'credit given up, as the store was restored at its return',
                    extra={
                        'returned': returned,
                        'era': self._store.era.current,
                    },
                )
            raise
        if applied:
            self._record(before, planned, transfer)
            add_credit(self._held, drawn)
            self._held.mark_flushed(transfer.spent_by_organisation)
            _log.info(
                'credit transferred',
                extra={
                    'drawn': dict(drawn),
                    'returned': dict(transfer.returned_by_organisation),
                    'spent': dict(transfer.spent_by_organisation),
                    'revision': self._copy.revision,
                    'position': planned.position,
                },
            )
        else:
            add_credit(self._held, returned)
        return applied

    def _record(
        self, before: Ledger, planned: Ledger, transfer: Transfer
    ) -> None:
        changed = {
            *transfer.drawn_by_organisation,
            *transfer.returned_by_organisation,
        }
        self._history.record(
            LedgerWrite(
                planned.position,
                {
                    name: planned.granted_by_organisation.get(name, 0)
                    - before.granted_by_organisation.get(name, 0)
                    for name in changed
                },
                dict(transfer.spent_by_organisation),
            )
        )
        self.on_write()


def _do_nothing() -> None:
    """Do nothing."""
