"""
eelgrassfork.errors
~~~~~~~~~~~~~~~~~~~

Base exception of the package and the error codes returned to callers.
"""

from typing import Final, Literal, NamedTuple

import msgspec

__all__ = (
    'CODES',
    'CodeSpec',
    'EelgrassError',
    'Outcome',
    'RequestError',
    'error_body',
)

Outcome = Literal['not_run', 'ran', 'unknown']


class CodeSpec(NamedTuple):
    """HTTP status and default retry delay of an error code."""

    status: int
    retry_after_s: float | None = None


CODES: Final = {
    'invalid_request': CodeSpec(400),
    'idempotency_key_required': CodeSpec(400),
    'unknown_key': CodeSpec(401),
    'budget_exhausted': CodeSpec(402),
    'service_forbidden': CodeSpec(403),
    'unknown_service': CodeSpec(404),
    'unknown_route': CodeSpec(404),
    'request_timeout': CodeSpec(408),
    'request_in_progress': CodeSpec(409, retry_after_s=1),
    'outcome_unknown': CodeSpec(409),
    'answer_not_kept': CodeSpec(409),
    'body_too_large': CodeSpec(413),
    'idempotency_key_reused': CodeSpec(422),
    'credit_held_elsewhere': CodeSpec(429, retry_after_s=2),
    'organisation_limit': CodeSpec(429, retry_after_s=1),
    'headers_too_large': CodeSpec(431),
    'internal_error': CodeSpec(500),
    'server_failed': CodeSpec(502),
    'credit_unreachable': CodeSpec(503, retry_after_s=5),
    'claim_unreachable': CodeSpec(503, retry_after_s=5),
    'overloaded': CodeSpec(503, retry_after_s=1),
    'no_server': CodeSpec(503, retry_after_s=2),
    'part_quarantined': CodeSpec(503, retry_after_s=600),
    'request_quarantined': CodeSpec(503, retry_after_s=600),
    'draining': CodeSpec(503, retry_after_s=1),
    'router_busy': CodeSpec(503, retry_after_s=1),
    'not_ready': CodeSpec(503, retry_after_s=2),
    'deadline_exceeded': CodeSpec(504),
}


class EelgrassError(Exception):
    """
    Base class of all exceptions of the package.

    :param code: stable identifier, lower case with underscores.
    :param message: one human-readable sentence.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message


class RequestError(EelgrassError):
    """
    Final error response to a caller.

    :param code: a key of :data:`CODES`.
    :param message: one human-readable sentence for the caller.
    :param outcome: whether any attempt with the request's ID has run.
    :param retry_after_s: seconds after which a retry is useful; ``None`` for
        the default of the code.
    :param attempt: whether this attempt alone has run; ``None`` if the same
        as the outcome.
    """

    def __init__(
        self,
        code: str,
        message: str,
        outcome: Outcome = 'not_run',
        retry_after_s: float | None = None,
        attempt: Outcome | None = None,
    ) -> None:
        super().__init__(code, message)
        spec = CODES[code]
        self.status = spec.status
        self.outcome: Outcome = outcome
        self.attempt: Outcome = outcome if attempt is None else attempt
        self.retry_after_s = (
            spec.retry_after_s if retry_after_s is None else retry_after_s
        )


def error_body(error: RequestError, request_id: str) -> bytes:
    """
    Encode the JSON body of an error response.

    :param error: code, message and outcome of the response.
    :param request_id: ID of the request as the caller sees it.
    :returns: JSON in UTF-8.
    """
    return msgspec.json.encode(
        {
            'error': {
                'code': error.code,
                'type': error.code,
                'message': error.message,
                'request_id': request_id,
                'outcome': error.outcome,
                'attempt': error.attempt,
                'retry_after_s': error.retry_after_s,
            },
        },
    )
