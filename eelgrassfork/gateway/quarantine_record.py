"""
eelgrassfork.gateway.quarantine_record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps quarantined parts of prompts in the store, so that they outlast a restart
of all routers.
"""

import random
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from .gossip import unix_ms
from .heartbeats import CrashMention, PartNotice
from .part_quarantine import PartQuarantine
from .roster import Roster
from .store import Store, StoreConflict, StoredObject, StoreError

__all__ = ('QuarantineRecord',)

_log = logbook.Logger('quarantine')

_KIND: Final = 'eelgrassfork-quarantine'
_NAME: Final = 'parts'
_CHECK_INTERVAL_S: Final = 0.2
# The keepers of all failure domains learn of a part at the same time; the
# first one writes it for all of them.
_MAX_DELAY_S: Final = 0.5
_RETRY_S: Final = 0.5
_MAX_PARTS: Final = 256


class _Crash(msgspec.Struct):
    crash_id: int
    unix_ms: int
    servers: int


class _Part(msgspec.Struct):
    service: str
    part_id: str
    crashes: list[_Crash]


class _Content(msgspec.Struct):
    parts: list[_Part]


class _State(NamedTuple):
    crash_ids_by_part: dict[tuple[str, str], frozenset[int]]
    revision: int | None


class QuarantineRecord:
    """
    Reads the record at a start, and writes it when the quarantine changes.

    Seeds read it, and tell the other routers; keepers write it.

    :param store: holds the record.
    :param quarantine: quarantined parts of this router.
    :param roster: elects the keepers.
    :param is_seed: whether this router reads the record as soon as it starts.
    """

    def __init__(
        self,
        store: Store,
        quarantine: PartQuarantine,
        roster: Roster,
        is_seed: bool,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._roster = roster
        self._is_seed = is_seed
        self._random = random.Random()
        self._stored: _State | None = None
        store.era.subscribe(self._on_restore)

    async def run(self) -> None:
        """Keep the record up to date until cancelled."""
        while True:
            if self._is_due():
                try:
                    await self._synchronise()
                except StoreError as error:
                    _log.info(
                        'failed to keep the quarantine in the store',
                        extra={'why': error.code},
                    )
                    await trio.sleep(_RETRY_S)
            await trio.sleep(_CHECK_INTERVAL_S)

    def _is_due(self) -> bool:
        if self._stored is None:
            return self._is_seed or self._is_keeper()
        present = self._quarantine.crash_ids_by_part()
        return present != self._stored.crash_ids_by_part and self._is_keeper()

    def _on_restore(self) -> None:
        # The copy may lack parts, so the record is read again and completed.
        self._stored = None

    def _is_keeper(self) -> bool:
        return self._roster.is_settled and self._roster.is_keeper

    async def _synchronise(self) -> None:
        if self._stored is None:
            self._apply(await self._store.get(_KIND, _NAME))
            return
        await trio.sleep(self._random.uniform(0, _MAX_DELAY_S))
        if self._stored is None:
            return
        present = self._quarantine.crash_ids_by_part()
        try:
            stored = await self._write(self._stored.revision)
        except StoreConflict as conflict:
            # Another router has written; what it wrote is mostly the same.
            self._apply(conflict.current)
            return
        self._stored = _State(present, stored.revision)

    async def _write(self, revision: int | None) -> StoredObject:
        now_ms = unix_ms()
        parts = [
            _Part(
                notice.service,
                notice.part_id,
                [
                    _Crash(
                        mention.crash_id,
                        now_ms - mention.age_ms,
                        mention.servers,
                    )
                    for mention in notice.crashes
                ],
            )
            for notice in self._quarantine.notices()[:_MAX_PARTS]
        ]
        content = _Content(parts)
        if revision is None:
            return await self._store.create(_KIND, _NAME, content)
        return await self._store.replace(_KIND, _NAME, content, revision)

    def _apply(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._stored = _State({}, None)
            return
        content = _Content([])
        try:
            content = msgspec.json.decode(stored.content, type=_Content)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warning(
                'ignored an invalid record of the quarantine',
                extra={'why': str(error)},
            )
        self._quarantine.merge(tuple(map(_notice, content.parts)), 'store')
        self._stored = _State(
            {
                (part.service, part.part_id): frozenset(
                    crash.crash_id for crash in part.crashes
                )
                for part in content.parts
            },
            stored.revision,
        )


def _notice(part: _Part) -> PartNotice:
    now_ms = unix_ms()
    crashes = tuple(
        CrashMention(
            crash.crash_id, max(0, now_ms - crash.unix_ms), crash.servers
        )
        for crash in part.crashes
    )
    newest_age_ms = min((crash.age_ms for crash in crashes), default=0)
    return PartNotice(part.service, part.part_id, crashes, None, newest_age_ms)
