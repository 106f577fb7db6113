"""
eelgrassfork.claim_records
~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of claims, and pure functions that decide about repeated keys.
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

# Base64 makes four bytes of three, and an object holds 1 MB at most.
MAX_STORED_BODY_BYTES: Final = 262_144
_MAX_KEPT_HEADER: Final = 1024
_KEPT_HEADERS: Final = (
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
    """The content of a claim object can't be understood."""


class ClaimAnswer(msgspec.Struct, frozen=True):
    """
    The first answer to a claimed request.

    :param headers: the few headers that are kept, by lower-case name.
    :param body: ``None`` if it was larger than :data:`MAX_STORED_BODY_BYTES`.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class ClaimRecord(msgspec.Struct, frozen=True):
    """
    One claim as the platform keeps it.

    :param body_hash: hash of method, target and body.
    :param holder: who alone may send.
    :param listed_at: a revision of the VM list that listed the holder's VM,
        as the holder knew it, or 0.
    :param nonce: random identity of the claim.
    :param request_id: identity of the request at the backend server.
    :param price: tokens.
    :param payer: payer tag of the reservation; empty if the price is 0.
    :param attempt: raised when the issuer of a key allows another attempt
        after one that sent nothing.
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
    A record and where it is.

    :param version: version of the object that the record replaces next, or
        ``None`` if the object does not exist.
    """

    key: str
    record: ClaimRecord
    version: int | None


class ReplayedAnswer(Exception):
    """
    The request ran before, and its first answer was kept.

    :ivar answer: the first answer, with its body.
    """

    def __init__(self, answer: ClaimAnswer) -> None:
        super().__init__(f'replayed answer with status {answer.status}')
        self.answer = answer


_decoder: Final = msgspec.json.Decoder(ClaimRecord)


def object_key(budget: str, key: str) -> str:
    """
    Tell where the claim of an idempotency key is kept.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param key: the idempotency key as the caller sent it.
    :returns: object key at the platform.
    """
    organisation = budget.rpartition('/')[0]
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'claims/{organisation}/{digest}'


def encode_claim(record: ClaimRecord) -> bytes:
    """
    Encode a record as the content of its object.

    :param record: the record.
    :returns: JSON, with the answer's body in base64.
    """
    return msgspec.json.encode(record)


def decode_claim(body: bytes) -> ClaimRecord:
    """
    Decode the content of a claim object.

    :param body: JSON.
    :returns: the record.
    :raises ClaimError: ``bad_claim`` if the content has another form.
    """
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ClaimError('bad_claim', str(error)) from None


def make_stored_answer(
    status: int, headers_by_name: Mapping[str, str], body: bytes | None
) -> ClaimAnswer:
    """
    Make the part of an answer that a claim keeps.

    :param status: HTTP status.
    :param headers_by_name: all headers by lower-case name.
    :param body: whole body, or ``None`` if it is not at hand as a whole.
    :returns: the answer, without a body that is too large.
    """
    headers = tuple(
        (name, headers_by_name[name])
        for name in _KEPT_HEADERS
        if len(headers_by_name.get(name, '')) in range(1, _MAX_KEPT_HEADER)
    )
    too_large = body is None or len(body) > MAX_STORED_BODY_BYTES
    return ClaimAnswer(status, headers, None if too_large else body)


def supersedes(wanted: ClaimRecord, found: ClaimRecord) -> bool:
    """
    Tell whether a record says more than the one at the platform.

    :param wanted: the record to write.
    :param found: the record that is there.
    :returns: false if the found one is of another claim, or says as much.
    """
    return wanted.nonce == found.nonce and _rank(wanted) > _rank(found)


def resolve_repeat(
    record: ClaimRecord, body_hash: str, is_dead: IsDead
) -> RequestError | ReplayedAnswer:
    """
    Decide what a repeated key gets; a released claim is not a repetition.

    :param record: claim of the key, in another state than ``released``.
    :param body_hash: hash of the repeated request.
    :param is_dead: tells whether a holder is proven dead.
    :returns: what to raise.
    """
    if record.body_hash != body_hash:
        return _not_run_here(
            'idempotency_key_reused',
            'the idempotency key was used for another request',
        )
    if record.state == 'ran':
        return _replay(record)
    dead = record.state == 'claimed' and is_dead(
        record.holder, record.listed_at
    )
    if dead or record.state == 'unknown':
        return _not_run_here(
            'outcome_unknown',
            'the request was sent once and its outcome can never be known',
        )
    return _not_run_here(
        'request_in_progress', 'another attempt of the request is in progress'
    )


def refusal_outcome(headers_by_name: Mapping[str, str]) -> Outcome:
    """
    Tell what may be said about a request that this router refuses.

    An earlier attempt with the same key may have run elsewhere, unless the
    caller marks this one as the first. After a claim was created here the
    outcome is ``not_run`` without asking this.

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
    Make the answer to a request that this router did not run.

    :param code: a key of :data:`~eelgrassfork.errors.CODES`.
    :param message: one plain sentence for the caller.
    :param headers_by_name: the request's headers by lower-case name.
    :param retry_after_s: seconds until a retry makes sense; the code's
        default where it is ``None``.
    :returns: the error, with the outcome of :func:`refusal_outcome`.
    """
    outcome = refusal_outcome(headers_by_name)
    return RequestError(code, message, outcome, retry_after_s, 'not_run')


def _rank(record: ClaimRecord) -> tuple[int, int]:
    return record.attempt, _RANK_BY_STATE[record.state]


def _not_run_here(code: str, message: str) -> RequestError:
    return RequestError(code, message, 'unknown', attempt='not_run')


def _replay(record: ClaimRecord) -> RequestError | ReplayedAnswer:
    answer = record.answer
    if answer is None or answer.body is None:
        return RequestError(
            'answer_not_kept',
            'the request ran, and its answer was too large to be kept',
            'ran',
            attempt='not_run',
        )
    return ReplayedAnswer(answer)
