"""
eelgrassfork.issued_key_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the issuer of a key and the router that requests its use.
"""

from typing import Final, Literal, NamedTuple

import msgspec

from .claim_records import (
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    ReplayedAnswer,
)
from .claims import NewClaim
from .errors import CODES, Outcome, RequestError
from .peer_messages import Payload

__all__ = (
    'KeyMessage',
    'KeyReport',
    'KeyResponse',
    'USE_ISSUED_KEY',
    'decode_message',
    'decode_response',
    'as_payload',
    'response_from_error',
)

USE_ISSUED_KEY: Final = 'use_issued_key'


class KeyReport(NamedTuple):
    """Outcome of the use of a key; ``released`` if nothing was sent."""

    state: ClaimState
    answer: ClaimAnswer | None = None


class KeyMessage(msgspec.Struct):
    """
    Message of a requester to the issuer.

    :param key: the complete key.
    :param ask: identity of the use; a repeated ask is the same use.
    :param listed_at: a revision of the VM list that contains the requester's
        VM, or 0.
    :param order: the request that is to be sent.
    :param report: set instead of ``order`` once the use has ended.
    """

    key: str
    ask: str
    listed_at: int = 0
    order: NewClaim | None = None
    report: KeyReport | None = None


class KeyResponse(msgspec.Struct):
    """
    Response of the issuer.

    :param kind: ``granted`` with the claim, ``replay`` with the answer,
        ``refused`` with the error, ``noted`` for a report, or ``gone`` if
        the key is not known to this holder.
    """

    kind: Literal['granted', 'replay', 'refused', 'noted', 'gone']
    claim: ClaimRecord | None = None
    answer: ClaimAnswer | None = None
    code: str = ''
    message: str = ''
    outcome: Outcome = 'unknown'
    attempt: Outcome = 'unknown'
    retry_after_s: float | None = None

    def error(self) -> RequestError:
        """
        Convert a refusal to the error that the issuer raised.

        :returns: the error for the caller; its code is ``claim_unreachable``
            if the issuer's code is not known here.
        """
        is_known = self.code in CODES
        return RequestError(
            self.code if is_known else 'claim_unreachable',
            self.message,
            self.outcome,
            self.retry_after_s,
            self.attempt,
        )


def response_from_error(error: RequestError | ReplayedAnswer) -> KeyResponse:
    """
    Convert an exception raised by the issuer to a response.

    :param error: the exception.
    :returns: response that raises the same exception at the requester.
    """
    if isinstance(error, ReplayedAnswer):
        return KeyResponse('replay', answer=error.answer)
    return KeyResponse(
        'refused',
        code=error.code,
        message=error.message,
        outcome=error.outcome,
        attempt=error.attempt,
        retry_after_s=error.retry_after_s,
    )


def as_payload(message: KeyMessage | KeyResponse) -> Payload:
    """
    Convert a message to the payload of a peer call.

    :param message: message of the requester or response of the issuer.
    :returns: built-in types; bytes are not encoded.
    """
    return dict(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(payload: Payload) -> KeyMessage:
    """
    Decode the message of a requester.

    :param payload: payload of a peer call.
    :returns: the message.
    :raises msgspec.ValidationError: if the payload is not a valid message.
    """
    return msgspec.convert(payload, KeyMessage)


def decode_response(payload: Payload) -> KeyResponse:
    """
    Decode the response of an issuer.

    :param payload: result of a peer call.
    :returns: the response.
    :raises msgspec.ValidationError: if the payload is not a valid response.
    """
    return msgspec.convert(payload, KeyResponse)
