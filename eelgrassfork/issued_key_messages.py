"""
eelgrassfork.issued_key_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages about a key between the router that issued it and one that asks.
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
    """Outcome of a use; ``released`` if nothing was sent."""

    state: ClaimState
    answer: ClaimAnswer | None = None


class KeyMessage(msgspec.Struct):
    """
    What an asker sends.

    :param key: the whole key.
    :param ask: identity of the use; asking twice is one use.
    :param listed_at: a revision of the VM list that listed the asker's VM.
    :param order: the request that the asker wants to send.
    :param report: set instead of the order once the use is over.
    """

    key: str
    ask: str
    listed_at: int = 0
    order: NewClaim | None = None
    report: KeyReport | None = None


class KeyResponse(msgspec.Struct):
    """
    What the issuer answers.

    :param kind: ``granted`` with the claim, ``replay`` with the answer,
        ``refused`` with the error, ``noted`` for a report, or ``gone`` if
        this holder can't tell.
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
        Make the caller's answer of a refusal.

        :returns: the issuer's error.
        """
        known = self.code in CODES
        return RequestError(
            self.code if known else 'claim_unreachable',
            self.message,
            self.outcome,
            self.retry_after_s,
            self.attempt,
        )


def response_from_error(error: RequestError | ReplayedAnswer) -> KeyResponse:
    """
    Turn the end of a use without permission into a verdict.

    :param error: what the issuer raised.
    :returns: the verdict that raises the same at the asker.
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
    Make the payload of a peer call.

    :param message: either side's message.
    :returns: plain values; bytes stay bytes.
    """
    return dict(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(payload: Payload) -> KeyMessage:
    """
    Read an asker's message.

    :param payload: payload of a peer call.
    :returns: the message.
    :raises msgspec.ValidationError: if the payload is not one.
    """
    return msgspec.convert(payload, KeyMessage)


def decode_response(payload: Payload) -> KeyResponse:
    """
    Read an issuer's verdict.

    :param payload: result of a peer call.
    :returns: the verdict.
    :raises msgspec.ValidationError: if the payload is not one.
    """
    return msgspec.convert(payload, KeyResponse)
