"""
eelgrassfork.peer_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages exchanged between routers, encoded as MessagePack arrays.
"""

from typing import Any, Final, Literal, NamedTuple

import msgspec

__all__ = (
    'EXCHANGE_PATH',
    'Exchange',
    'ExchangeAnswer',
    'Heartbeat',
    'Payload',
    'PeerCall',
    'PeerResult',
    'RouterState',
    'decode_answer',
    'decode_exchange',
    'encode',
)

EXCHANGE_PATH: Final = '/peer/v1/exchange'

Payload = dict[str, Any]
RouterState = Literal['starting', 'ready', 'draining']


class Heartbeat(NamedTuple):
    """
    State that a router announces to its peers.

    :param bundle_version: version of the active bundle, or 0 if none.
    :param vm_list_revision: revision of its newest VM list, or 0 if none.
    """

    vm: str
    holder: str
    fleet: str
    failure_domain: str
    peer_address: str
    state: RouterState
    bundle_version: int = 0
    vm_list_revision: int = 0


class PeerCall(NamedTuple):
    """One call to a peer; the number is unique within its exchange."""

    number: int
    kind: str
    payload: Payload


class PeerResult(NamedTuple):
    """Result of one call; an empty code means success."""

    number: int
    code: str
    payload: Payload


class Exchange(NamedTuple):
    """Request of an exchange: the sender's heartbeat and its calls."""

    sender: Heartbeat
    calls: list[PeerCall]


class ExchangeAnswer(NamedTuple):
    """Response of an exchange: the peer's heartbeat and all results."""

    sender: Heartbeat
    results: list[PeerResult]


_encoder: Final = msgspec.msgpack.Encoder()
_exchange_decoder: Final = msgspec.msgpack.Decoder(Exchange)
_answer_decoder: Final = msgspec.msgpack.Decoder(ExchangeAnswer)


def encode(message: Exchange | ExchangeAnswer) -> bytes:
    """
    Encode a message.

    :param message: request or response of an exchange.
    :returns: MessagePack.
    """
    return _encoder.encode(message)


def decode_exchange(body: bytes) -> Exchange:
    """
    Decode the request of an exchange.

    :param body: MessagePack.
    :returns: the message.
    :raises msgspec.DecodeError: if the body is not a valid message.
    """
    return _exchange_decoder.decode(body)


def decode_answer(body: bytes) -> ExchangeAnswer:
    """
    Decode the response of an exchange.

    :param body: MessagePack.
    :returns: the message.
    :raises msgspec.DecodeError: if the body is not a valid message.
    """
    return _answer_decoder.decode(body)
