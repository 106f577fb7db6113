"""
eelgrassfork.gateway.stored_ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the credit ledger in the store, and replaces it with a known outcome.
"""

from typing import Final

import logbook
import trio

from .ledger import Ledger, Operation, encode_ledger, has_applied
from .ledger_copy import LedgerCopy
from .store import (
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreError,
    StoreRestored,
)

__all__ = ('StoredLedger',)

_log = logbook.Logger('credit')

_KIND: Final = 'eelgrassfork-credit'
_NAME: Final = 'ledger'
_RESOLVE_INTERVAL_S: Final = 0.5
# Requests do not wait for the store until this time after a failed call.  A
# failed call takes up to 1 s and is retried after 0.5 s; a router that rarely
# calls the store tries again after this time.
_UNAVAILABLE_S: Final = 2.0


class StoredLedger:
    """
    The ledger in the store.

    :param store: store that contains the ledger.
    :param node: name of this VM.
    :param copy: copy of the ledger that is kept up to date.
    """

    def __init__(self, store: Store, node: str, copy: LedgerCopy) -> None:
        self._store = store
        self._node = node
        self._copy = copy
        self._unavailable_until: float = float('-inf')

    @property
    def is_unavailable(self) -> bool:
        """Whether a call failed recently."""
        return trio.current_time() < self._unavailable_until

    def mark_unavailable(self) -> None:
        """Record that a call failed."""
        self._unavailable_until = trio.current_time() + _UNAVAILABLE_S

    async def read(self) -> None:
        """
        Read the ledger.

        :raises StoreError: if the store does not respond.
        :raises msgspec.DecodeError: if the ledger is malformed.
        """
        self._adopt(await self._store.get(_KIND, _NAME))

    async def replace(self, planned: Ledger, operation: Operation) -> bool:
        """
        Replace the ledger unless it was changed since it was read.

        :param planned: new state.
        :param operation: identifies the write.
        :returns: whether the write took effect.
        :raises StoreUnavailable: if it has no effect, as the store does not
            respond.
        :raises StoreRestored: if the store was restored meanwhile, and the
            ledger does not contain the write.
        """
        content = encode_ledger(planned)
        revision = self._copy.revision
        try:
            return await self._try_replace(content, revision, operation)
        except StoreAnswerLost as error:
            self.mark_unavailable()
            _log.warning(
                'outcome of a write to the credit ledger is unknown',
                extra={'why': error.code, 'revision': revision},
            )
            return await self._resolve(content, revision, operation)
        except StoreRestored:
            return await self._resolve_restored(operation)

    async def _try_replace(
        self, content: object, revision: int | None, operation: Operation
    ) -> bool:
        try:
            stored = await self._write(content, revision)
        except StoreConflict as conflict:
            self._adopt(conflict.current)
            return has_applied(self._copy.ledger, self._node, operation)
        self._adopt(stored)
        return True

    async def _write(
        self, content: object, revision: int | None
    ) -> StoredObject:
        if revision is None:
            return await self._store.create(_KIND, _NAME, content)
        return await self._store.replace(_KIND, _NAME, content, revision)

    async def _resolve(
        self, content: object, revision: int | None, operation: Operation
    ) -> bool:
        # The unanswered write may still take effect as long as the stored
        # revision matches.  Repeating it resolves this: one of the two writes
        # gets a conflict.
        while True:
            try:
                return await self._try_replace(content, revision, operation)
            except StoreRestored:
                return await self._resolve_restored(operation)
            except StoreError as error:
                self.mark_unavailable()
                _log.debug(
                    'outcome of a write to the credit ledger is still unknown',
                    extra={'why': error.code},
                )
                await trio.sleep(_RESOLVE_INTERVAL_S)

    async def _resolve_restored(self, operation: Operation) -> bool:
        while True:
            try:
                await self.read()
            except StoreError as error:
                _log.debug(
                    'credit ledger not read after a restore of the store',
                    extra={'why': error.code},
                )
            else:
                if not self._copy.is_abstaining:
                    break
            await trio.sleep(_RESOLVE_INTERVAL_S)
        if has_applied(self._copy.ledger, self._node, operation):
            return True
        raise StoreRestored(
            'former_era', 'the store was restored during a write'
        )

    def _adopt(self, stored: StoredObject | None) -> None:
        self._copy.adopt(stored)
        self._unavailable_until = float('-inf')
