"""
eelgrassfork.errors
~~~~~~~~~~~~~~~~~~~

Base error of the package and the table of codes that callers see.
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
    """What a code means to a caller: HTTP status and default delay."""

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
    'draining': CodeSpec(503, retry_after_s=1),
    'router_busy': CodeSpec(503, retry_after_s=1),
    'not_ready': CodeSpec(503, retry_after_s=2),
    'deadline_exceeded': CodeSpec(504),
}


class EelgrassError(Exception):
    """
    Base of all errors of the package.

    :param code: stable identifier, lower case with underscores.
    :param message: one plain sentence for people.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message


class RequestError(EelgrassError):
    """
    Final answer to a caller other than success.

    :param code: a key of :data:`CODES`.
    :param message: one plain sentence for the caller.
    :param outcome: what is known about the request's identity.
    :param retry_after_s: seconds until a retry makes sense; the code's
        default where it is ``None``.
    :param attempt: what is known about this attempt alone; the same as the
        outcome where it is ``None``.
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
    Encode the JSON body of a final answer other than success.

    :param error: the answer's code, sentence and outcome.
    :param request_id: identity of the request as the caller sees it.
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
