"""
eelgrassfork.claim_records
~~~~~~~~~~~~~~~~~~~~~~~~~~

Claim records, and pure functions that resolve repeated keys.
"""

import hashlib
from collections.abc import Callable, Mapping
from typing import Final, Literal, NamedTuple

import msgspec

from .errors import EelgrassError, Outcome, RequestError

__all__ = (
    'MAX_STORED_BODY_BYTES',
    'Claim',
    'ClaimAnswer',
    'ClaimError',
    'ClaimRecord',
    'ClaimState',
    'ReplayedAnswer',
    'resolve_repeat',
    'decode_claim',
    'encode_claim',
    'make_stored_answer',
    'object_key',
    'refusal',
    'refusal_outcome',
    'supersedes',
)

ClaimState = Literal['claimed', 'released', 'ran', 'unknown']

IsDead = Callable[[str, int], bool]

# Base64 turns three bytes into four, and an object holds at most 1 MB.
MAX_STORED_BODY_BYTES: Final = 262_144
_MAX_STORED_HEADER_LENGTH: Final = 1024
_STORED_HEADERS: Final = (
    'content-type',
    'content-encoding',
    'content-language',
    'etag',
    'location',
)
_RANK_BY_STATE: Final[Mapping[ClaimState, int]] = {
    'claimed': 0,
    'released': 1,
    'unknown': 2,
    'ran': 3,
}


class ClaimError(EelgrassError):
    """The content of a claim object cannot be decoded."""


class ClaimAnswer(msgspec.Struct, frozen=True):
    """
    The first answer to a claimed request.

    :param headers: pairs of lower-case name and value of the stored headers.
    :param body: ``None`` if it was larger than :data:`MAX_STORED_BODY_BYTES`.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class ClaimRecord(msgspec.Struct, frozen=True):
    """
    One claim as it is stored on the platform.

    :param body_hash: hash of method, target and body.
    :param holder: the only holder that may send the request.
    :param listed_at: a revision of the VM list that contains the holder's
        VM, as known to the holder, or 0.
    :param nonce: random identity of the claim.
    :param request_id: request identity that the backend server receives.
    :param price: tokens.
    :param payer: payer tag of the reservation; empty if the price is 0.
    :param attempt: incremented when the issuer of a key allows another
        attempt after one that sent nothing.
    :param answer: set in the state ``ran``.
    """

    body_hash: str
    holder: str
    listed_at: int
    nonce: str
    request_id: str
    price: int
    state: ClaimState = 'claimed'
    payer: str = ''
    attempt: int = 0
    answer: ClaimAnswer | None = None


class Claim(NamedTuple):
    """
    A record, its object key, and the version that it replaces.

    :param version: expected version of the object in the next write, or
        ``None`` if the object does not exist.
    """

    key: str
    record: ClaimRecord
    version: int | None


class ReplayedAnswer(Exception):
    """
    The request ran before, and its first answer was stored.

    :ivar answer: the first answer, with its body.
    """

    def __init__(self, answer: ClaimAnswer) -> None:
        super().__init__(f'replayed answer with status {answer.status}')
        self.answer = answer


_decoder: Final = msgspec.json.Decoder(ClaimRecord)


def object_key(budget: str, key: str) -> str:
    """
    Return the object key of the claim of an idempotency key.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param key: the idempotency key as the caller sent it.
    :returns: object key on the platform.
    """
    organisation = budget.rpartition('/')[0]
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'claims/{organisation}/{digest}'


def encode_claim(record: ClaimRecord) -> bytes:
    """
    Encode a record as the content of its object.

    :param record: the record.
    :returns: JSON, with the body of the answer in base64.
    """
    return msgspec.json.encode(record)


def decode_claim(body: bytes) -> ClaimRecord:
    """
    Decode the content of a claim object.

    :param body: JSON.
    :returns: the record.
    :raises ClaimError: ``bad_claim`` if the content is not a valid record.
    """
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ClaimError('bad_claim', str(error)) from None


def make_stored_answer(
    status: int, headers_by_name: Mapping[str, str], body: bytes | None
) -> ClaimAnswer:
    """
    Build the part of an answer that is stored with its claim.

    :param status: HTTP status.
    :param headers_by_name: all headers by lower-case name.
    :param body: complete body, or ``None`` if it was not read completely.
    :returns: the answer; its body is ``None`` if it is too large to store.
    """
    headers = tuple(
        (name, headers_by_name[name])
        for name in _STORED_HEADERS
        if len(headers_by_name.get(name, ''))
        in range(1, _MAX_STORED_HEADER_LENGTH)
    )
    too_large = body is None or len(body) > MAX_STORED_BODY_BYTES
    return ClaimAnswer(status, headers, None if too_large else body)


def supersedes(wanted: ClaimRecord, found: ClaimRecord) -> bool:
    """
    Return whether a record is to replace the one on the platform.

    :param wanted: the record to write.
    :param found: the record on the platform.
    :returns: true if both belong to one claim and ``wanted`` has a later
        attempt, or the same attempt in a state of higher rank.
    """
    return wanted.nonce == found.nonce and _rank(wanted) > _rank(found)


def resolve_repeat(
    record: ClaimRecord, body_hash: str, is_dead: IsDead
) -> RequestError | ReplayedAnswer:
    """
    Choose the response to a repeated key.

    A key whose claim was released does not count as repeated.

    :param record: claim of the key, in a state other than ``released``.
    :param body_hash: hash of the repeated request.
    :param is_dead: returns whether a holder is proven dead.
    :returns: the exception to raise.
    """
    if record.body_hash != body_hash:
        return _refused_repeat(
            'idempotency_key_reused',
            'the idempotency key was already used for a different request',
        )
    if record.state == 'ran':
        return _resolve_ran(record)
    dead = record.state == 'claimed' and is_dead(
        record.holder, record.listed_at
    )
    if dead or record.state == 'unknown':
        return _refused_repeat(
            'outcome_unknown',
            'the request was sent once and its outcome cannot be determined',
        )
    return _refused_repeat(
        'request_in_progress', 'another attempt of the request is in progress'
    )


def refusal_outcome(headers_by_name: Mapping[str, str]) -> Outcome:
    """
    Return the outcome to report for a request that this router refuses.

    An earlier attempt with the same key may have run elsewhere, unless the
    caller marks this one as the first. Once a claim has been created here,
    the outcome is ``not_run`` and this function is not needed.

    :param headers_by_name: the request's headers by lower-case name.
    :returns: ``not_run`` or ``unknown``.
    """
    if 'idempotency-key' not in headers_by_name:
        return 'not_run'
    first = headers_by_name.get('x-stainless-retry-count', '').strip() == '0'
    return 'not_run' if first else 'unknown'


def refusal(
    code: str,
    message: str,
    headers_by_name: Mapping[str, str],
    retry_after_s: float | None = None,
) -> RequestError:
    """
    Build the error for a request that this router did not run.

    :param code: a key of :data:`~eelgrassfork.errors.CODES`.
    :param message: error message for the caller.
    :param headers_by_name: the request's headers by lower-case name.
    :param retry_after_s: seconds until a retry is useful, or ``None`` for
        the default of the code.
    :returns: the error, with the outcome of :func:`refusal_outcome`.
    """
    outcome = refusal_outcome(headers_by_name)
    return RequestError(code, message, outcome, retry_after_s, 'not_run')


def _rank(record: ClaimRecord) -> tuple[int, int]:
    return record.attempt, _RANK_BY_STATE[record.state]


def _refused_repeat(code: str, message: str) -> RequestError:
    return RequestError(code, message, 'unknown', attempt='not_run')


def _resolve_ran(record: ClaimRecord) -> RequestError | ReplayedAnswer:
    answer = record.answer
    if answer is None or answer.body is None:
        return RequestError(
            'answer_not_kept',
            'the request ran, but its answer was too large to be stored',
            'ran',
            attempt='not_run',
        )
    return ReplayedAnswer(answer)
