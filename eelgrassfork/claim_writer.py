"""
eelgrassfork.claim_writer
~~~~~~~~~~~~~~~~~~~~~~~~~

Writes records of claims to the platform, and retries while it is down.
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
# Bodies of answers are a convenience; the outcomes are what must not be lost.
_MAX_PENDING_BODY_BYTES: Final = 4_194_304
_FIRST_DELAY_S: Final = 0.1
_MAX_DELAY_S: Final = 5.0
_LEAST_JITTER: Final = 0.5
# Another writer of the same claim can win a few races, never many.
_MAX_RACES: Final = 4
# A caller's answer waits this long for its record; the rest is background.
_INLINE_S: Final = 1.0
_MAX_DOUBLINGS: Final = 8


class ClaimStore(Protocol):
    """The part of the platform client that claims need."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object by conditional update."""

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Read all objects with a prefix."""


class _Pending:
    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.busy = False


class ClaimWriter:
    """
    Brings records of claims to the platform, however long that takes.

    Records of one claim only move up (see
    :func:`~eelgrassfork.claim_records.supersedes`), and every write is
    conditional, so repeating one, or one that takes effect late, is safe.

    :param store: the platform.
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
        self._added = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def pending(self) -> int:
        """Number of records that the platform does not hold yet."""
        return len(self._pending_by_claim)

    @property
    def is_full(self) -> bool:
        """Whether no further record should be made without the platform."""
        return self.pending >= _MAX_PENDING

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Retry pending records in the background.

        :param nursery: where this runs.
        """
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop retrying, after a last try of every pending record."""
        self._scope.cancel()
        await self._flush_all()

    def find(self, key: str) -> ClaimRecord | None:
        """
        Look up a record that is still pending.

        :param key: object key of the claim.
        :returns: the record that is known best, or ``None``.
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
        Write a record in the background, retried until it is there.

        :param claim: the record, and the version it replaces.
        """
        self._insert(claim)
        self._added.set()

    async def write(self, claim: Claim) -> None:
        """
        Write a record now, and in the background if that fails.

        Waits at most a second, and not at all while writes fail. The record
        is pending from the start, so a cancelled call loses nothing.

        :param claim: the record, and the version it replaces.
        """
        pending = self._insert(claim)
        bound = trio.move_on_after(0 if self._failing else _INLINE_S)
        with bound:
            await self._flush(pending)
        self._failing = self._failing or bound.cancelled_caught
        self._added.set()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: pending records by state, and bytes of their answers.
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
            pending = _Pending(self._within_budget(claim))
            self._pending_by_claim[identity] = pending
            self._body_bytes += _body_size(pending.claim)
        elif supersedes(claim.record, pending.claim.record):
            self._body_bytes -= _body_size(pending.claim)
            pending.claim = self._within_budget(claim)
            self._body_bytes += _body_size(pending.claim)
        return pending

    def _within_budget(self, claim: Claim) -> Claim:
        answer = claim.record.answer
        size = _body_size(claim)
        if answer is None or self._body_bytes + size <= _MAX_PENDING_BODY_BYTES:
            return claim
        shortened = msgspec.structs.replace(answer, body=None)
        record = msgspec.structs.replace(claim.record, answer=shortened)
        return claim._replace(record=record)

    async def _run(self) -> None:
        failures = 0
        with self._scope:
            while True:
                if not self._pending_by_claim:
                    self._added = trio.Event()
                    await self._added.wait()
                done = await self._flush_all()
                failures = 0 if done else failures + 1
                if failures:
                    await trio.sleep(self._delay(failures))

    def _delay(self, failures: int) -> float:
        doubled: float = _FIRST_DELAY_S * 2 ** min(failures, _MAX_DOUBLINGS)
        part: float = self._jitter.uniform(_LEAST_JITTER, 1)
        return part * min(doubled, _MAX_DELAY_S)

    async def _flush_all(self) -> bool:
        all_written = True
        for pending in list(self._pending_by_claim.values()):
            if not await self._flush(pending):
                all_written = False
                # One that is refused must not stop the others.
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
            _log.info('claims: {} is not written yet: {}', claim.key, error)
            written = False
        except EelgrassError as error:
            _log.error('claims: {} cannot be written: {}', claim.key, error)
            return False
        self._failing = not written
        return written

    async def _write(self, claim: Claim) -> bool:
        body = encode_claim(claim.record)
        expected = claim.version
        for _ in range(_MAX_RACES):
            try:
                await self._store.put(claim.key, body, expected)
            except AnswerLost:
                # The same condition again: if the lost write took effect,
                # this one conflicts; if not, it can't any more.
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
