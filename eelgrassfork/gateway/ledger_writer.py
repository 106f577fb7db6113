"""
eelgrassfork.gateway.ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes transfers of one router to the ledger in the store, each once.
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
# A router that rarely calls the store tries again after so long; a call that
# fails takes up to one second, and is repeated after half a second.
_UNAVAILABLE_S: Final = 2.0
_MAX_ATTEMPTS: Final = 12
# A write takes about so long.  Routers that conflict spread their next tries,
# since each try is a call of the store.
_BACKOFF_S: Final = 0.006
_MAX_DOUBLINGS: Final = 4
# Other keepers have mostly written since then.
_REREAD_AGE_S: Final = 0.2
# A ledger this old does not prove that nothing is left.
_MAX_RELIABLE_AGE_S: Final = 1.0
_NEVER_OBSERVED: Final = (float('-inf'), EMPTY)


class LedgerWriter:
    """
    Draws and returns credit.

    :param store: where the ledger is.
    :param node: name of this VM.
    :param incarnation: of this process.
    :param held: credit of this router, which transfers change.
    :param prepaid: limits in tokens by organisation.
    :ivar ledger: as last known.
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
        """Whether a call failed lately, so that waiting for one is in vain."""
        return trio.current_time() < self._unavailable_until

    def is_known_insufficient(self, organisation: str, missing: int) -> bool:
        """
        Tell whether the ledger is known to hold too little.

        :param organisation: whose credit.
        :param missing: tokens needed.
        :returns: whether drawing is in vain.
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
        Read what may still be drawn as far as is known.

        :param organisation: whose credit.
        :returns: tokens.
        """
        prepaid = self._prepaid().get(organisation, 0)
        return remaining(self._newest(organisation), organisation, prepaid)

    def view(self, organisations: tuple[str, ...]) -> LedgerView:
        """
        Tell a peer what is known.

        :param organisations: those that the peer asks about.
        :returns: the ledger as far as it concerns them.
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
        Note what a keeper knows, for what this router can't draw itself.

        :param view: the ledger as far as it concerns some organisations.
        """
        read_at = trio.current_time() - view.age_s
        ledger = Ledger(
            view.granted_by_organisation, view.spent_by_organisation, {}
        )
        for name in view.granted_by_organisation:
            self._observed_by_organisation[name] = (read_at, ledger)

    def is_exhausted(self, organisation: str, amount: int) -> bool:
        """
        Tell whether an organisation has used too much for a request.

        :param organisation: whose credit.
        :param amount: tokens that the request may use at most.
        :returns: whether what is known to be used leaves too little.
        """
        prepaid = self._prepaid().get(organisation, 0)
        ledger = self._newest(organisation)
        spent = ledger.spent_by_organisation.get(organisation, 0)
        return amount > prepaid - spent - self._held.unflushed(organisation)

    async def transfer(
        self, plan: Callable[[], Transfer], reread: bool = False
    ) -> None:
        """
        Carry out a plan, anew after each conflict.

        :param plan: makes a transfer from the ledger as last known.
        :param reread: whether an old ledger is read again first.
        :raises StoreError: if the store does not answer.
        """
        try:
            await self._transfer(plan, reread)
        except StoreError:
            self._unavailable_until = trio.current_time() + _UNAVAILABLE_S
            raise

    def dump(self) -> dict[str, object]:
        """
        Describe the ledger for operators.

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
        """Time since the ledger was read, in seconds."""
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
                # A read costs less than a write that conflicts.
                await self._read()
                transfer = plan()
            if not any(transfer) or await self._write(transfer):
                return
            max_delay_s = _BACKOFF_S * 2 ** min(attempt, _MAX_DOUBLINGS)
            await trio.sleep(self._random.uniform(0, max_delay_s))
        _log.warning('gave up a write of the ledger after many conflicts')

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
                'moved credit',
                extra={
                    'drawn': dict(drawn),
                    'returned': dict(transfer.returned_by_organisation),
                    'spent': dict(transfer.spent_by_organisation),
                    'revision': self._revision,
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
                'a write of the ledger has an unknown outcome',
                extra={'why': error.code, 'revision': self._revision},
            )
            return await self._resolve(content, operation)
        self._adopt(stored)
        return True

    async def _resolve(self, content: object, operation: Operation) -> bool:
        # The lost write may still take effect while its condition holds.
        # The same write again settles it: one of the two gets a conflict.
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
                _log.debug('still unknown', extra={'why': error.code})
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
