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

from .credit import HeldCredit
from .ledger import (
    EMPTY,
    Ledger,
    Operation,
    Transfer,
    apply_transfer,
    decode_ledger,
    encode_ledger,
    has_applied,
    remaining,
)
from .lending import LedgerView
from .store import (
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreError,
    StoreUnavailable,
)

__all__ = ('LedgerWriter',)

_log = logbook.Logger('credit')

_KIND: Final = 'eelgrassfork-credit'
_NAME: Final = 'ledger'
_RESOLVE_INTERVAL_S: Final = 0.5
# Requests do not wait for the store until this time after a failed call.  A
# failed call takes up to 1 s and is retried after 0.5 s; a router that rarely
# calls the store tries again after this time.
_UNAVAILABLE_S: Final = 2.0
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
    :ivar ledger: last known state of the ledger.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        incarnation: int,
        held: HeldCredit,
        prepaid: Callable[[], Mapping[str, int]],
    ) -> None:
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._held = held
        self._prepaid = prepaid
        self._revision: int | None = None
        self._read_at: float = float('-inf')
        self._operation_number = 0
        self._random = random.Random()
        self._observed_by_organisation: dict[str, tuple[float, Ledger]] = {}
        self.ledger = EMPTY
        self._unavailable_until: float = float('-inf')

    @property
    def is_unavailable(self) -> bool:
        """Whether a call failed recently, so that waiting would be futile."""
        return trio.current_time() < self._unavailable_until

    def is_known_insufficient(self, organisation: str, missing: int) -> bool:
        """
        Check whether a recent ledger shows too little drawable credit.

        :param organisation: name of the organisation.
        :param missing: tokens needed.
        :returns: whether an attempt to draw them would fail.
        """
        read_at, _ = self._observed_by_organisation.get(
            organisation, _NEVER_OBSERVED
        )
        age_s = trio.current_time() - max(read_at, self._read_at)
        return (
            age_s < _MAX_RELIABLE_AGE_S
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
        try:
            await self._transfer(plan, reread)
        except StoreError:
            self._unavailable_until = trio.current_time() + _UNAVAILABLE_S
            raise

    def dump(self) -> dict[str, object]:
        """
        Return the state of the ledger for operators.

        :returns: tokens by organisation, revision and age.
        """
        return {
            'revision': self._revision,
            'age_s': round(self.age_s, 1),
            'granted_by_organisation': self.ledger.granted_by_organisation,
            'spent_by_organisation': self.ledger.spent_by_organisation,
        }

    @property
    def age_s(self) -> float:
        """Time since the last read of the ledger, in seconds."""
        return trio.current_time() - self._read_at

    def _newest(self, organisation: str) -> Ledger:
        read_at, ledger = self._observed_by_organisation.get(
            organisation, _NEVER_OBSERVED
        )
        return ledger if read_at > self._read_at else self.ledger

    async def _transfer(
        self, plan: Callable[[], Transfer], reread: bool
    ) -> None:
        if self._revision is None or (
            reread and self.age_s > _MAX_RELIABLE_AGE_S
        ):
            await self._read()
        for attempt in range(_MAX_ATTEMPTS):
            transfer = plan()
            if any(transfer) and self.age_s > _REREAD_AGE_S:
                # A read is cheaper than a conflicting write.
                await self._read()
                transfer = plan()
            if not any(transfer) or await self._write(transfer):
                return
            max_delay_s = _BACKOFF_S * 2 ** min(attempt, _MAX_DOUBLINGS)
            await trio.sleep(self._random.uniform(0, max_delay_s))
        _log.warning(
            'transfer abandoned after repeated conflicts on the credit ledger'
        )

    async def _write(self, transfer: Transfer) -> bool:
        self._operation_number += 1
        operation = Operation(self._incarnation, self._operation_number)
        planned, drawn = apply_transfer(
            self.ledger, transfer, self._prepaid(), self._node, operation
        )
        returned = {
            name: self._held.remove(name, amount)
            for name, amount in transfer.returned_by_organisation.items()
        }
        try:
            applied = await self._replace(planned, operation)
        except StoreUnavailable:
            self._add(returned)
            raise
        if applied:
            self._add(drawn)
            self._held.mark_flushed(transfer.spent_by_organisation)
            _log.info(
                'credit transferred',
                extra={
                    'drawn': dict(drawn),
                    'returned': dict(transfer.returned_by_organisation),
                    'spent': dict(transfer.spent_by_organisation),
                    'revision': self._revision,
                    'era': self._store.era.current,
                },
            )
        else:
            self._add(returned)
        return applied

    def _add(self, tokens_by_organisation: Mapping[str, int]) -> None:
        for name, tokens in tokens_by_organisation.items():
            self._held.add(name, tokens)

    async def _replace(self, planned: Ledger, operation: Operation) -> bool:
        content = encode_ledger(planned)
        try:
            stored = await self._store.replace(
                _KIND, _NAME, content, self._revision
            )
        except StoreConflict as conflict:
            self._adopt(conflict.current)
            return has_applied(self.ledger, self._node, operation)
        except StoreAnswerLost as error:
            self._unavailable_until = trio.current_time() + _UNAVAILABLE_S
            _log.warning(
                'outcome of a write to the credit ledger is unknown',
                extra={'why': error.code, 'revision': self._revision},
            )
            return await self._resolve(content, operation)
        self._adopt(stored)
        return True

    async def _resolve(self, content: object, operation: Operation) -> bool:
        # The unanswered write may still take effect as long as the stored
        # revision matches.  Repeating it resolves this: one of the two writes
        # gets a conflict.
        revision = self._revision
        while True:
            try:
                stored = await self._store.replace(
                    _KIND, _NAME, content, revision
                )
            except StoreConflict as conflict:
                self._adopt(conflict.current)
                return has_applied(self.ledger, self._node, operation)
            except StoreError as error:
                self._unavailable_until = trio.current_time() + _UNAVAILABLE_S
                _log.debug(
                    'outcome of a write to the credit ledger is still unknown',
                    extra={'why': error.code},
                )
                await trio.sleep(_RESOLVE_INTERVAL_S)
            else:
                self._adopt(stored)
                return True

    async def _read(self) -> None:
        stored = await self._store.get(_KIND, _NAME)
        if stored is None:
            try:
                stored = await self._store.create(
                    _KIND, _NAME, encode_ledger(EMPTY)
                )
            except StoreConflict as conflict:
                stored = conflict.current
        self._adopt(stored)

    def _adopt(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._revision = None
            return
        self.ledger = decode_ledger(stored.content)
        self._revision = stored.revision
        self._read_at = trio.current_time()
        self._unavailable_until = float('-inf')
