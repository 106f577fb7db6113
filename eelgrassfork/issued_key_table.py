"""
eelgrassfork.issued_key_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Idempotency keys that one holder issued, within bounded memory.
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

_FORM: Final = 'efk1'
_NONCE_BYTES: Final = 12
_MAX_REFUSED_ASKS: Final = 8
_MAX_NUMBER_DIGITS: Final = 18


class IssuedKey(NamedTuple):
    """Parts of a key of the form ``efk1.<holder>.<number>``."""

    holder: str
    number: int

    def __str__(self) -> str:
        return f'{_FORM}.{self.holder}.{self.number}'


class KeyLimits(NamedTuple):
    """
    Bounds on memory.

    :param keys: keys remembered in total; about 1 KB each.
    :param keys_per_organisation: keys remembered of one organisation, so
        that one can only make its own keys be forgotten.
    :param answer_bytes: bodies of answers kept for replay.
    """

    keys: int = 8192
    keys_per_organisation: int = 1024
    answer_bytes: int = 4_194_304


class KeyEvicted(Exception):
    """This holder can't tell whether the key was used."""


class KeyEntry:
    """
    One key at its issuer.

    :ivar organisation: ``<fleet>/<organisation>`` that it was issued to.
    :ivar nonce: identity of its claim at the platform.
    :ivar record: its claim; ``None`` until it is used, ``released`` again
        after a use that sent nothing.
    :ivar rejected_asks: uses that were given up, whose messages may still
        arrive.
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
    The keys of one holder, the oldest forgotten first.

    A number that was given out and is forgotten counts as used.

    :param holder: the issuer.
    :param limits: bounds on memory.
    """

    def __init__(self, holder: str, limits: KeyLimits) -> None:
        self._holder = holder
        self._limits = limits
        self._last_number = 0
        self._entries_by_number: dict[int, KeyEntry] = {}
        self._numbers_by_organisation: dict[str, collections.deque[int]] = {}
        self._answered: collections.deque[tuple[KeyEntry, int]] = (
            collections.deque()
        )
        self._answer_bytes = 0

    def issue(self, organisation: str) -> str:
        """
        Make a key.

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
            self._forget(numbers[0])
        if len(self._entries_by_number) > self._limits.keys:
            self._forget(next(iter(self._entries_by_number)))
        return str(IssuedKey(self._holder, number))

    def find(self, number: int, organisation: str) -> KeyEntry:
        """
        Look a key up.

        :param number: its number.
        :param organisation: who wants to use it.
        :returns: the entry.
        :raises KeyForgotten: if it was issued and is no longer known.
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
        Note the claim of a key; bodies of the oldest answers are dropped.

        :param entry: the key.
        :param record: its claim as it is now.
        """
        entry.record = record
        size = _body_size(record)
        if not size:
            return
        self._answered.append((entry, size))
        self._answer_bytes += size
        while self._has_too_many_answers():
            oldest, oldest_size = self._answered.popleft()
            self._answer_bytes -= oldest_size
            oldest.record = _without_body(oldest.record)

    def reject_ask(self, number: int, ask: str) -> None:
        """
        Refuse a use whose message may still arrive.

        :param number: number of the key.
        :param ask: identity of the use.
        """
        entry = self._entries_by_number.get(number)
        if entry is not None:
            entry.rejected_asks.append(ask)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: numbers of keys and bytes of answers.
        """
        return {
            'issued': self._last_number,
            'remembered': len(self._entries_by_number),
            'answer_bytes': self._answer_bytes,
        }

    def _has_too_many_answers(self) -> bool:
        limits = self._limits
        too_large = self._answer_bytes > limits.answer_bytes
        return too_large or len(self._answered) > limits.keys

    def _forget(self, number: int) -> None:
        entry = self._entries_by_number.pop(number)
        numbers = self._numbers_by_organisation[entry.organisation]
        numbers.popleft()
        if not numbers:
            self._numbers_by_organisation.pop(entry.organisation)


def parse_key(text: str) -> IssuedKey | None:
    """
    Tell whether a router issued an idempotency key.

    :param text: the key as the caller sent it.
    :returns: its parts, or ``None`` if it is the caller's own.
    :raises RequestError: ``invalid_request`` if it only looks issued.
    """
    form, _, rest = text.partition('.')
    if form != _FORM:
        return None
    holder, _, number = rest.rpartition('.')
    if not holder or not (number.isascii() and number.isdecimal()):
        raise _bad_key('has the form of an issued key, but is none')
    if len(number) > _MAX_NUMBER_DIGITS:
        raise _bad_key('has a number that is too large')
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
