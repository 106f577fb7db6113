"""
eelgrassfork.gateway.standby
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit for outages of the store, which survives a crash of its holder.

A router renews the record of its standby credit in the store.  From
``ACTIVATION_S`` after the last renewal that may have taken effect, it may use
a share of that credit that grows with time.  A process that is restarted on
the same VM can therefore compute how much of it can't have been used, and
reclaims that part.  A record from before a restore of the store proves nothing:
its credit may have been released since.
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
    StoreRestored,
    StoreUnavailable,
)
from .store_era import era_of

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
# Covers a renewal, a VM restart of up to 1.7 s and the start of the process.
RECLAIM_S: Final = 3.0
# Upper bound of the clock skew between VMs.
_CLOCK_MARGIN_S: Final = 0.5
ACTIVATION_S: Final = RECLAIM_S + _CLOCK_MARGIN_S
# Standby credit covers more than this time of use, so what has been released
# also suffices if use increases.
RELEASE_S: Final = 5.0
# From this number of clocks on, the median tolerates that a third is wrong.
_MIN_CLOCKS: Final = 5
_MS_PER_S: Final = 1000


class FleetTime(NamedTuple):
    """
    Median of the routers' clocks.

    :param unix_ms: Unix time in milliseconds.
    :param clocks: number of clocks, including the clock of this router.
    """

    unix_ms: int
    clocks: int


class StandbyRecord(msgspec.Struct, frozen=True):
    """
    Record of a router's standby credit in the store.

    :ivar incarnation: incarnation of the process that wrote the record.
    :ivar renewed_ms: fleet time before the write was sent, in Unix
        milliseconds.
    :ivar tokens_by_organisation: credit on standby, in tokens.
    :ivar era: era of the store in which it was written.
    """

    incarnation: int
    renewed_ms: int
    tokens_by_organisation: dict[str, int]
    era: int = 0


def released_fraction(since_renewal_s: float) -> float:
    """
    Compute the fraction of standby credit that its holder may use.

    :param since_renewal_s: time since the last renewal that may have taken
        effect, in seconds.
    :returns: fraction from 0 to 1.
    """
    return min(1, max(0, (since_renewal_s - ACTIVATION_S) / RELEASE_S))


def reclaimable_fraction(record: StandbyRecord, started: FleetTime) -> float:
    """
    Compute the unused fraction of an earlier process's standby credit.

    :param record: last record of the earlier process.
    :param started: start time of the current process on the same VM, when
        the earlier process had already ended.
    :returns: fraction from 0 to 1 that can't have been used.
    """
    elapsed_s = (started.unix_ms - record.renewed_ms) / _MS_PER_S
    if started.clocks < _MIN_CLOCKS or elapsed_s < 0:
        return 0
    return 1 - released_fraction(elapsed_s + _CLOCK_MARGIN_S)


class Standby:
    """
    Standby credit of one router, in tokens.

    :param store: store that contains the record.
    :param node: name of this VM.
    :param incarnation: incarnation of this process.
    :param fleet_time: returns the median of the routers' clocks.
    :param on_free: callback that receives credit released from standby.
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
        """Whether enough clocks are known for a reliable fleet time."""
        return self._fleet_time().clocks >= _MIN_CLOCKS

    async def recover(self) -> None:
        """
        Reclaim the unused credit of an earlier process on this VM.

        :raises StoreError: if the store does not respond.
        """
        stored = await self._store.get(_KIND, self._node)
        if stored is None:
            return
        self._revision = stored.revision
        record = _decode(stored)
        if record is None or not any(record.tokens_by_organisation.values()):
            return
        started = self._start_time()
        fraction: float = 0
        if record.era == era_of(stored.revision):
            is_same_process = record.incarnation == self._incarnation
            fraction = (
                1 if is_same_process else reclaimable_fraction(record, started)
            )
        reclaimed = _scale(record.tokens_by_organisation, fraction)
        _log.info(
            'found standby credit of an earlier process',
            extra={
                'tokens': record.tokens_by_organisation,
                'renewed_ms': record.renewed_ms,
                'started_ms': started.unix_ms,
                'clocks': started.clocks,
                'era': record.era,
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
        Renew the record, or release all credit if its state is uncertain.

        All credit is also released while there is no reliable fleet time.

        :param target_by_organisation: tokens to keep on standby; any excess
            is released.
        :param free: whether to release all credit.
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

        :param added: tokens by organisation, already removed from the held
            credit.
        :returns: whether the credit is on standby; if not, it still belongs
            to the caller.
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
        """Release credit that a restarted process could no longer reclaim."""
        since_renewal_s = trio.current_time() - self._renewed_at
        fraction = released_fraction(since_renewal_s)
        if not fraction or not self._tokens:
            return
        if not self._tokens_at_activation:
            self._tokens_at_activation = dict(self._tokens)
            _log.warning(
                'using standby credit',
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
            _log.info('standby record not renewed', extra={'why': error.code})
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
            _log.debug('standby credit not released', extra={'why': error.code})
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
        # A record that claims this credit may be stored now or later.
        self._is_outcome_unknown = True
        _log.warning(
            'outcome of a write to the standby record is unknown',
            extra={'why': error.code},
        )

    async def _write(self, tokens: Mapping[str, int]) -> None:
        previous = self._renewed_at
        if any(tokens.values()):
            self._renewed_at = trio.current_time()
        record = StandbyRecord(
            self._incarnation,
            self._fleet_time().unix_ms,
            dict(tokens),
            self._store.era.current,
        )
        try:
            stored = await self._store_record(record)
        except StoreUnavailable:
            self._renewed_at = previous
            raise
        except StoreRestored:
            self._revision = None
            raise
        except StoreConflict as conflict:
            self._revision = (
                conflict.current.revision if conflict.current else None
            )
            raise StoreAnswerLost(
                'standby_conflict', 'standby record was changed concurrently'
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
        _log.error(
            'standby record could not be decoded', extra={'why': str(error)}
        )
        return None
