"""
eelgrassfork.issued_key_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Table of the idempotency keys that one holder issued, in bounded memory.
"""

import collections
import secrets
from typing import Any, Final, NamedTuple

import msgspec

from .claim_records import ClaimRecord
from .errors import RequestError

__all__ = (
    'IssuedKey',
    'KeyEntry',
    'KeyEvicted',
    'KeyLimits',
    'KeyTable',
    'parse_key',
)

_PREFIX: Final = 'efk1'
_NONCE_BYTES: Final = 12
_MAX_REFUSED_ASKS: Final = 8
_MAX_NUMBER_DIGITS: Final = 18


class IssuedKey(NamedTuple):
    """Parts of a key of the form ``efk1.<holder>.<number>``."""

    holder: str
    number: int

    def __str__(self) -> str:
        return f'{_PREFIX}.{self.holder}.{self.number}'


class KeyLimits(NamedTuple):
    """
    Memory limits of a key table.

    :param keys: maximum number of keys; about 1 KB each.
    :param keys_per_organisation: maximum number of keys of one organisation,
        so that an organisation can only cause its own keys to be evicted.
    :param answer_bytes: total size of the answer bodies stored for replay.
    """

    keys: int = 8192
    keys_per_organisation: int = 1024
    answer_bytes: int = 4_194_304


class KeyEvicted(Exception):
    """The key was evicted, so it is unknown whether it was used."""


class KeyEntry:
    """
    State of one key at its issuer.

    :ivar organisation: ``<fleet>/<organisation>`` that it was issued to.
    :ivar nonce: identity of its claim at the platform.
    :ivar record: its claim; ``None`` until it is used, ``released`` again
        after a use that sent nothing.
    :ivar rejected_asks: identities of uses that were abandoned, whose
        messages may still arrive.
    """

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.nonce = secrets.token_urlsafe(_NONCE_BYTES)
        self.record: ClaimRecord | None = None
        self.rejected_asks: collections.deque[str] = collections.deque(
            maxlen=_MAX_REFUSED_ASKS
        )


class KeyTable:
    """
    The keys of one holder, with eviction of the oldest.

    An evicted key counts as used.

    :param holder: the issuer.
    :param limits: memory limits.
    """

    def __init__(self, holder: str, limits: KeyLimits) -> None:
        self._holder = holder
        self._limits = limits
        self._last_number = 0
        self._entries_by_number: dict[int, KeyEntry] = {}
        self._numbers_by_organisation: dict[str, collections.deque[int]] = {}
        self._entries_with_body: collections.deque[tuple[KeyEntry, int]] = (
            collections.deque()
        )
        self._answer_bytes = 0

    def issue(self, organisation: str) -> str:
        """
        Issue a key.

        :param organisation: ``<fleet>/<organisation>`` that may use it.
        :returns: the key.
        """
        self._last_number += 1
        number = self._last_number
        self._entries_by_number[number] = KeyEntry(organisation)
        numbers = self._numbers_by_organisation.setdefault(
            organisation, collections.deque()
        )
        numbers.append(number)
        if len(numbers) > self._limits.keys_per_organisation:
            self._evict(numbers[0])
        if len(self._entries_by_number) > self._limits.keys:
            self._evict(next(iter(self._entries_by_number)))
        return str(IssuedKey(self._holder, number))

    def find(self, number: int, organisation: str) -> KeyEntry:
        """
        Look up a key.

        :param number: number of the key.
        :param organisation: ``<fleet>/<organisation>`` that requests its use.
        :returns: the entry.
        :raises KeyEvicted: if the key was issued and has been evicted.
        :raises RequestError: ``invalid_request`` if it was never issued, or
            to another organisation.
        """
        entry = self._entries_by_number.get(number)
        if entry is None and number in range(1, self._last_number + 1):
            raise KeyEvicted
        if entry is None or entry.organisation != organisation:
            raise _bad_key('was not issued to this organisation')
        return entry

    def set_claim(self, entry: KeyEntry, record: ClaimRecord) -> None:
        """
        Store the claim of a key, and evict the oldest answer bodies if needed.

        :param entry: entry of the key.
        :param record: current record of its claim.
        """
        entry.record = record
        size = _body_size(record)
        if not size:
            return
        self._entries_with_body.append((entry, size))
        self._answer_bytes += size
        while self._has_too_many_answers():
            oldest, oldest_size = self._entries_with_body.popleft()
            self._answer_bytes -= oldest_size
            oldest.record = _without_body(oldest.record)

    def reject_ask(self, number: int, ask: str) -> None:
        """
        Reject a use in advance, whose message may still arrive.

        :param number: number of the key.
        :param ask: identity of the use.
        """
        entry = self._entries_by_number.get(number)
        if entry is not None:
            entry.rejected_asks.append(ask)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: counts of keys, and size of stored answer bodies in bytes.
        """
        return {
            'issued': self._last_number,
            'remembered': len(self._entries_by_number),
            'answer_bytes': self._answer_bytes,
        }

    def _has_too_many_answers(self) -> bool:
        limits = self._limits
        too_large = self._answer_bytes > limits.answer_bytes
        return too_large or len(self._entries_with_body) > limits.keys

    def _evict(self, number: int) -> None:
        entry = self._entries_by_number.pop(number)
        numbers = self._numbers_by_organisation[entry.organisation]
        numbers.popleft()
        if not numbers:
            self._numbers_by_organisation.pop(entry.organisation)


def parse_key(text: str) -> IssuedKey | None:
    """
    Parse an idempotency key that may have been issued by a router.

    :param text: the key as the caller sent it.
    :returns: its parts, or ``None`` if the caller chose the key itself.
    :raises RequestError: ``invalid_request`` if the key has the prefix of an
        issued key but is malformed.
    """
    prefix, _, rest = text.partition('.')
    if prefix != _PREFIX:
        return None
    holder, _, number = rest.rpartition('.')
    if not holder or not (number.isascii() and number.isdecimal()):
        raise _bad_key('has the prefix of an issued key but is malformed')
    if len(number) > _MAX_NUMBER_DIGITS:
        raise _bad_key('has a number with too many digits')
    return IssuedKey(holder, int(number))


def _bad_key(message: str) -> RequestError:
    return RequestError('invalid_request', f'the idempotency key {message}')


def _body_size(record: ClaimRecord) -> int:
    answer = record.answer
    return 0 if answer is None or answer.body is None else len(answer.body)


def _without_body(record: ClaimRecord | None) -> ClaimRecord | None:
    if record is None or record.answer is None:
        return record
    answer = msgspec.structs.replace(record.answer, body=None)
    return msgspec.structs.replace(record, answer=answer)
