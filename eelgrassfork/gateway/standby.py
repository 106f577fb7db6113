"""
eelgrassfork.gateway.standby
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit for outages of the store, which survives the death of its holder.

A holder renews a record of its standby credit in the store.  From
``ACTIVATION_S`` after the last renewal that may have taken effect it may use
that credit, more of it the more time passes.  So whoever starts again on the
same VM knows how much of it can't have been used, and takes that over.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from .ledger import sum_by_organisation
from .store import (
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreError,
    StoreUnavailable,
)

__all__ = (
    'ACTIVATION_S',
    'RECLAIM_S',
    'RELEASE_S',
    'FleetTime',
    'Standby',
    'StandbyRecord',
    'reclaimable_fraction',
)

_log = logbook.Logger('standby')

_KIND: Final = 'eelgrassfork-standby'
RENEWAL_S: Final = 0.8
# A renewal, the restart of a VM in up to 1.7 s, and the start of the process.
RECLAIM_S: Final = 3.0
# Clocks of VMs differ by less than this.
_CLOCK_MARGIN_S: Final = 0.5
ACTIVATION_S: Final = RECLAIM_S + _CLOCK_MARGIN_S
# Standby credit lasts for longer than this, so what is released is enough also
# where more is used than before.
RELEASE_S: Final = 5.0
# With so many clocks one third of them may be wrong.
_MIN_CLOCKS: Final = 5
_MS_PER_S: Final = 1000


class FleetTime(NamedTuple):
    """
    Median of the routers' clocks.

    :param unix_ms: Unix time in milliseconds.
    :param clocks: number of clocks, this router's included.
    """

    unix_ms: int
    clocks: int


class StandbyRecord(msgspec.Struct, frozen=True):
    """
    What a holder keeps in the store.

    :ivar incarnation: of the process that wrote it.
    :ivar renewed_ms: fleet time before the write was sent.
    :ivar tokens_by_organisation: credit that is not in use.
    """

    incarnation: int
    renewed_ms: int
    tokens_by_organisation: dict[str, int]


def released_fraction(since_renewal_s: float) -> float:
    """
    Compute how much of the standby credit its holder may use.

    :param since_renewal_s: time since the last renewal that may have taken effect.
    :returns: from 0 to 1.
    """
    return min(1, max(0, (since_renewal_s - ACTIVATION_S) / RELEASE_S))


def reclaimable_fraction(record: StandbyRecord, started: FleetTime) -> float:
    """
    Compute how much of a former process's credit can't have been used.

    :param record: its last record.
    :param started: when the present process started on the same VM, by
        which time the former one was dead.
    :returns: from 0 to 1.
    """
    elapsed_s = (started.unix_ms - record.renewed_ms) / _MS_PER_S
    if started.clocks < _MIN_CLOCKS or elapsed_s < 0:
        return 0
    return 1 - released_fraction(elapsed_s + _CLOCK_MARGIN_S)


class Standby:
    """
    Standby credit of one router, in tokens.

    :param store: where the record is.
    :param node: name of this VM.
    :param incarnation: of this process.
    :param fleet_time: median of the routers' clocks.
    :param on_free: takes credit that is no longer on standby.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        incarnation: int,
        fleet_time: Callable[[], FleetTime],
        on_free: Callable[[Mapping[str, int]], None],
    ) -> None:
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._fleet_time = fleet_time
        self._on_free = on_free
        self._tokens: dict[str, int] = {}
        self._tokens_at_activation: dict[str, int] = {}
        self._revision: int | None = None
        self._renewed_at: float = float('-inf')
        self._is_outcome_unknown = False
        self._started_at = trio.current_time()

    @property
    def tokens_by_organisation(self) -> dict[str, int]:
        """Credit on standby."""
        return dict(self._tokens)

    @property
    def has_fleet_time(self) -> bool:
        """Whether enough routers are heard to tell the fleet's time."""
        return self._fleet_time().clocks >= _MIN_CLOCKS

    async def recover(self) -> None:
        """
        Take over what a former process on this VM left.

        :raises StoreError: if the store does not answer.
        """
        stored = await self._store.get(_KIND, self._node)
        if stored is None:
            return
        self._revision = stored.revision
        record = _decode(stored)
        if record is None or not any(record.tokens_by_organisation.values()):
            return
        started = self._start_time()
        is_same_process = record.incarnation == self._incarnation
        fraction = (
            1 if is_same_process else reclaimable_fraction(record, started)
        )
        reclaimed = _scale(record.tokens_by_organisation, fraction)
        _log.info(
            'found credit of a former process',
            extra={
                'tokens': record.tokens_by_organisation,
                'renewed_ms': record.renewed_ms,
                'started_ms': started.unix_ms,
                'clocks': started.clocks,
                'reclaimed': reclaimed,
            },
        )
        if reclaimed:
            await self._write(reclaimed)
            self._tokens = reclaimed

    async def renew(
        self, target_by_organisation: Mapping[str, int], free: bool
    ) -> None:
        """
        Renew the record, or give the credit up if the store is in doubt.

        :param target_by_organisation: credit to keep on standby; more is
            freed.
        :param free: whether to free all of it.
        """
        if self._is_outcome_unknown or free or not self.has_fleet_time:
            await self._release()
            return
        kept = {
            name: min(tokens, target_by_organisation.get(name, 0))
            for name, tokens in self._tokens.items()
        }
        await self._renew({name: kept[name] for name in kept if kept[name]})

    async def put(self, added: Mapping[str, int]) -> bool:
        """
        Put credit on standby.

        :param added: tokens by organisation, no longer held otherwise.
        :returns: whether it is; if not, it has not been taken.
        """
        if self._is_outcome_unknown or not self.has_fleet_time:
            return False
        previous = self._tokens
        self._tokens = sum_by_organisation(previous, added)
        try:
            await self._write(self._tokens)
        except StoreUnavailable:
            self._tokens = previous
            return False
        except StoreError as error:
            self._mark_outcome_unknown(error)
        return True

    def release_if_due(self) -> None:
        """Release what no successor on this VM can take over any more."""
        since_renewal_s = trio.current_time() - self._renewed_at
        fraction = released_fraction(since_renewal_s)
        if not fraction or not self._tokens:
            return
        if not self._tokens_at_activation:
            self._tokens_at_activation = dict(self._tokens)
            _log.warning(
                'begins to use its standby credit',
                extra={
                    'tokens': self._tokens_at_activation,
                    'waited_s': round(since_renewal_s, 1),
                },
            )
        self._is_outcome_unknown = True
        kept = _scale(self._tokens_at_activation, 1 - fraction)
        freed = {
            name: tokens - kept.get(name, 0)
            for name, tokens in self._tokens.items()
        }
        self._tokens = kept
        self._on_free(freed)

    def _start_time(self) -> FleetTime:
        now = self._fleet_time()
        age_s = trio.current_time() - self._started_at
        return now._replace(unix_ms=now.unix_ms - int(age_s * _MS_PER_S))

    async def _renew(self, kept: Mapping[str, int]) -> None:
        freed = {
            name: tokens - kept.get(name, 0)
            for name, tokens in self._tokens.items()
            if tokens > kept.get(name, 0)
        }
        if not self._tokens:
            return
        try:
            await self._write(kept)
        except StoreUnavailable as error:
            _log.info('did not renew', extra={'why': error.code})
            return
        except StoreError as error:
            self._mark_outcome_unknown(error)
            return
        self._tokens = dict(kept)
        if freed:
            self._on_free(freed)

    async def _release(self) -> None:
        if not (self._tokens or self._is_outcome_unknown):
            return
        try:
            await self._write({})
        except StoreUnavailable as error:
            _log.debug('could not give up', extra={'why': error.code})
            return
        except StoreError as error:
            self._mark_outcome_unknown(error)
            return
        self._is_outcome_unknown = False
        self._free_all()

    def _free_all(self) -> None:
        freed = self._tokens
        self._tokens = {}
        self._tokens_at_activation = {}
        if freed:
            self._on_free(freed)

    def _mark_outcome_unknown(self, error: StoreError) -> None:
        # A record that claims credit may stand or come to stand.
        self._is_outcome_unknown = True
        _log.warning(
            'a renewal has an unknown outcome', extra={'why': error.code}
        )

    async def _write(self, tokens: Mapping[str, int]) -> None:
        previous = self._renewed_at
        if any(tokens.values()):
            self._renewed_at = trio.current_time()
        record = StandbyRecord(
            self._incarnation, self._fleet_time().unix_ms, dict(tokens)
        )
        try:
            stored = await self._store_record(record)
        except StoreUnavailable:
            self._renewed_at = previous
            raise
        except StoreConflict as conflict:
            self._revision = (
                conflict.current.revision if conflict.current else None
            )
            raise StoreAnswerLost(
                'standby_conflict', 'the record changed under its writer'
            ) from None
        self._revision = stored.revision

    async def _store_record(self, record: StandbyRecord) -> StoredObject:
        if self._revision is None:
            return await self._store.create(_KIND, self._node, record)
        return await self._store.replace(
            _KIND, self._node, record, self._revision
        )


def _scale(tokens: Mapping[str, int], fraction: float) -> dict[str, int]:
    kept = {name: int(amount * fraction) for name, amount in tokens.items()}
    return {name: amount for name, amount in kept.items() if amount}


def _decode(stored: StoredObject) -> StandbyRecord | None:
    try:
        return msgspec.json.decode(stored.content, type=StandbyRecord)
    except msgspec.DecodeError as error:
        _log.error('the record is damaged', extra={'why': str(error)})
        return None
