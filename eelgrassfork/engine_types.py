"""
eelgrassfork.engine_types
~~~~~~~~~~~~~~~~~~~~~~~~~

Records and errors of the engine API.
"""

from typing import Final, NamedTuple

import msgspec

from .errors import EelgrassError

__all__ = (
    'FAILURES',
    'EngineCall',
    'EngineError',
    'EngineRecord',
    'EngineState',
    'FailureKind',
    'refusal_code',
)

_SERVER_ERROR: Final = 500


class EngineCall(NamedTuple):
    """
    A chat request to an engine.

    :param request_id: identity; a repeated one attaches to the same
        generation.
    :param payer: text form of the payer tag.
    :param max_tokens: cap on completion tokens.
    :param prefix: hash that identifies the prompt prefix in the engine's
        cache events.
    :param head_timeouts_s: time-outs for the head of the answer, in seconds;
        one for each successive connection.
    :param silence_s: time-out between bytes, in seconds.
    """

    address: str
    request_id: str
    payer: str
    body: bytes
    priority: int
    max_tokens: int
    prefix: str
    head_timeouts_s: tuple[float, ...]
    silence_s: float


class EngineRecord(msgspec.Struct, frozen=True):
    """An engine's record of one request."""

    request_id: str
    payer: str
    prompt_tokens: int
    completion_tokens: int
    state: str

    @property
    def tokens(self) -> int:
        """Tokens to bill."""
        return self.prompt_tokens + self.completion_tokens


class EngineState(msgspec.Struct, frozen=True):
    """
    State of an engine.

    :param models: models and adapters that it serves.
    :param leaving: whether it refuses new requests.
    """

    models: tuple[str, ...]
    version: str = ''
    role: str = ''
    leaving: bool = False


class FailureKind(NamedTuple):
    """
    Classification of a failed attempt.

    :param may_have_run: whether the engine may have run the request.
    :param counts_as_failure: whether it counts towards ejection of the
        server.
    :param retryable: whether a retry at another server may succeed.
    """

    may_have_run: bool
    counts_as_failure: bool
    retryable: bool = True


FAILURES: Final = {
    'engine_unreachable': FailureKind(
        may_have_run=False, counts_as_failure=True
    ),
    'engine_lost': FailureKind(may_have_run=True, counts_as_failure=True),
    'engine_silent': FailureKind(may_have_run=True, counts_as_failure=True),
    'engine_failed': FailureKind(may_have_run=True, counts_as_failure=True),
    'wrong_identity': FailureKind(may_have_run=True, counts_as_failure=True),
    'bad_answer': FailureKind(may_have_run=True, counts_as_failure=True),
    'model_missing': FailureKind(may_have_run=False, counts_as_failure=True),
    'engine_busy': FailureKind(may_have_run=False, counts_as_failure=False),
    'engine_draining': FailureKind(may_have_run=False, counts_as_failure=False),
    'engine_cancelled': FailureKind(may_have_run=True, counts_as_failure=False),
    'engine_rejected': FailureKind(
        may_have_run=False, counts_as_failure=False, retryable=False
    ),
    'order_fenced': FailureKind(
        may_have_run=False, counts_as_failure=False, retryable=False
    ),
}

_CODES_BY_STATUS: Final = {
    400: 'engine_rejected',
    404: 'model_missing',
    409: 'engine_cancelled',
    413: 'engine_rejected',
    422: 'engine_rejected',
    429: 'engine_busy',
    503: 'engine_busy',
}


class EngineError(EelgrassError):
    """
    An engine gave no valid answer.

    :param code: a key of :data:`FAILURES`.
    :param message: description.
    :param sent: whether the request may have been sent, by this attempt or
        on an earlier connection.
    """

    def __init__(self, code: str, message: str, sent: bool = False) -> None:
        super().__init__(code, message)
        self.kind = FAILURES[code]
        self.may_have_run = sent or self.kind.may_have_run


def refusal_code(status: int, engine_code: str) -> str:
    """
    Map an engine's error response to an error code.

    :param status: HTTP status other than 200.
    :param engine_code: code in the engine's error body, or empty.
    :returns: a key of :data:`FAILURES`.
    """
    if engine_code == 'draining':
        return 'engine_draining'
    default = 'engine_failed' if status >= _SERVER_ERROR else 'bad_answer'
    return _CODES_BY_STATUS.get(status, default)
