"""
eelgrassfork.claim_writer
~~~~~~~~~~~~~~~~~~~~~~~~~

Writes claim records to the platform, with retries during outages.
"""

import random
from typing import Any, Final, Protocol

import logbook
import msgspec
import trio

from .claim_records import (
    Claim,
    ClaimRecord,
    decode_claim,
    encode_claim,
    supersedes,
)
from .errors import EelgrassError
from .platform_types import (
    AnswerLost,
    Conflict,
    PlatformUnavailable,
    StoredObject,
)

__all__ = ('ClaimStore', 'ClaimWriter')

_log = logbook.Logger('claims')

_MAX_PENDING: Final = 8192
# Answer bodies may be dropped to limit memory; outcomes must not be lost.
_MAX_PENDING_BODY_BYTES: Final = 4_194_304
_FIRST_DELAY_S: Final = 0.1
_MAX_DELAY_S: Final = 5.0
_MIN_JITTER: Final = 0.5
# Other writers of the same claim cause only a few conflicts in a row.
_MAX_CONFLICTS: Final = 4
# A response to the caller is delayed by at most this time for its record to
# be written; after that the write continues in the background.
_INLINE_TIMEOUT_S: Final = 1.0
_MAX_DOUBLINGS: Final = 8


class ClaimStore(Protocol):
    """The operations of the platform client that claims use."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object if its version is the expected one."""

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Read all objects whose keys have a prefix."""


class _Pending:
    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.busy = False


class ClaimWriter:
    """
    Writes claim records to the platform, with retries until they succeed.

    A record is only replaced by one of higher rank (see
    :func:`~eelgrassfork.claim_records.supersedes`), and every write is
    conditional, so repeated and delayed writes are safe.

    :param store: client of the platform.
    :param jitter: source of random numbers for the backoff.
    """

    def __init__(
        self, store: ClaimStore, jitter: random.Random | None = None
    ) -> None:
        self._store = store
        self._jitter = jitter or random.Random()  # noqa: S311
        self._pending_by_claim: dict[tuple[str, str], _Pending] = {}
        self._body_bytes = 0
        self._failing = False
        self._record_added = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def pending(self) -> int:
        """Number of records that are not yet written to the platform."""
        return len(self._pending_by_claim)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full, so that callers should add no record."""
        return self.pending >= _MAX_PENDING

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start writing pending records in the background.

        :param nursery: nursery for the background task.
        """
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop retrying after a final attempt to write every record."""
        self._scope.cancel()
        await self._flush_all()

    def find(self, key: str) -> ClaimRecord | None:
        """
        Look up a record that is still pending.

        :param key: object key of the claim.
        :returns: a record in the state ``ran`` if there is one, otherwise any
            pending record, or ``None``.
        """
        records = [
            pending.claim.record
            for (pending_key, _), pending in self._pending_by_claim.items()
            if pending_key == key
        ]
        ran = [record for record in records if record.state == 'ran']
        return next(iter(ran or records), None)

    def add(self, claim: Claim) -> None:
        """
        Write a record in the background, with retries until it succeeds.

        :param claim: the record, and the version that it replaces.
        """
        self._insert(claim)
        self._record_added.set()

    async def write(self, claim: Claim) -> None:
        """
        Write a record now, and in the background if that fails.

        Waits for at most one second, and not at all while writes fail. The
        record is queued first, so it is not lost if the call is cancelled.

        :param claim: the record, and the version that it replaces.
        """
        pending = self._insert(claim)
        timeout = trio.move_on_after(0 if self._failing else _INLINE_TIMEOUT_S)
        with timeout:
            await self._flush(pending)
        self._failing = self._failing or timeout.cancelled_caught
        self._record_added.set()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: number of pending records by state, and total size of their
            answer bodies in bytes.
        """
        states = [
            pending.claim.record.state
            for pending in self._pending_by_claim.values()
        ]
        return {
            'pending_by_state': {
                state: states.count(state) for state in sorted(set(states))
            },
            'pending_body_bytes': self._body_bytes,
        }

    def _insert(self, claim: Claim) -> _Pending:
        identity = (claim.key, claim.record.nonce)
        pending = self._pending_by_claim.get(identity)
        if pending is None:
            pending = _Pending(self._limit_body_size(claim))
            self._pending_by_claim[identity] = pending
            self._body_bytes += _body_size(pending.claim)
        elif supersedes(claim.record, pending.claim.record):
            self._body_bytes -= _body_size(pending.claim)
            pending.claim = self._limit_body_size(claim)
            self._body_bytes += _body_size(pending.claim)
        return pending

    def _limit_body_size(self, claim: Claim) -> Claim:
        answer = claim.record.answer
        size = _body_size(claim)
        if answer is None or self._body_bytes + size <= _MAX_PENDING_BODY_BYTES:
            return claim
        without_body = msgspec.structs.replace(answer, body=None)
        record = msgspec.structs.replace(claim.record, answer=without_body)
        return claim._replace(record=record)

    async def _run(self) -> None:
        failures = 0
        with self._scope:
            while True:
                if not self._pending_by_claim:
                    self._record_added = trio.Event()
                    await self._record_added.wait()
                done = await self._flush_all()
                failures = 0 if done else failures + 1
                if failures:
                    await trio.sleep(self._delay(failures))

    def _delay(self, failures: int) -> float:
        uncapped_s: float = _FIRST_DELAY_S * 2 ** min(failures, _MAX_DOUBLINGS)
        factor: float = self._jitter.uniform(_MIN_JITTER, 1)
        return factor * min(uncapped_s, _MAX_DELAY_S)

    async def _flush_all(self) -> bool:
        all_written = True
        for pending in list(self._pending_by_claim.values()):
            if not await self._flush(pending):
                all_written = False
                # A record that the platform refuses must not block others.
                if self._failing:
                    break
        return all_written

    async def _flush(self, pending: _Pending) -> bool:
        if pending.busy:
            await trio.lowlevel.checkpoint()
            return False
        pending.busy = True
        try:
            while True:
                claim = pending.claim
                if not await self._try_write(claim):
                    return False
                if pending.claim is claim:
                    break
        finally:
            pending.busy = False
        self._finish(pending)
        return True

    async def _try_write(self, claim: Claim) -> bool:
        try:
            written = await self._write(claim)
        except PlatformUnavailable as error:
            _log.info(
                'claims: platform unavailable, {} not written: {}',
                claim.key,
                error,
            )
            written = False
        except EelgrassError as error:
            _log.error('claims: write of {} failed: {}', claim.key, error)
            return False
        self._failing = not written
        return written

    async def _write(self, claim: Claim) -> bool:
        body = encode_claim(claim.record)
        expected = claim.version
        for _ in range(_MAX_CONFLICTS):
            try:
                await self._store.put(claim.key, body, expected)
            except AnswerLost:
                # Retried with the same expected version: conflicts if the
                # unconfirmed write took effect, otherwise keeps it from
                # taking effect later.
                continue
            except Conflict:
                stored = await self._store.get(claim.key)
            else:
                return True
            if stored and not supersedes(
                claim.record, decode_claim(stored.body)
            ):
                return True
            expected = stored.version if stored else None
        return False

    def _finish(self, pending: _Pending) -> None:
        claim = pending.claim
        if self._pending_by_claim.pop((claim.key, claim.record.nonce), None):
            self._body_bytes -= _body_size(claim)


def _body_size(claim: Claim) -> int:
    answer = claim.record.answer
    return 0 if answer is None or answer.body is None else len(answer.body)
