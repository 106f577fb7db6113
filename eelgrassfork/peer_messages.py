"""
eelgrassfork.peer_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages that routers exchange, encoded as MessagePack arrays.
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
    What a router tells its peers about itself.

    :param bundle_version: version in force, or 0 without a bundle.
    :param vm_list_revision: newest VM list it knows, or 0.
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
    """Answer to one call; an empty code means success."""

    number: int
    code: str
    payload: Payload


class Exchange(NamedTuple):
    """Request of an exchange: a heartbeat and any number of calls."""

    sender: Heartbeat
    calls: list[PeerCall]


class ExchangeAnswer(NamedTuple):
    """Answer of an exchange: the peer's heartbeat and all results."""

    sender: Heartbeat
    results: list[PeerResult]


_encoder: Final = msgspec.msgpack.Encoder()
_exchange_decoder: Final = msgspec.msgpack.Decoder(Exchange)
_answer_decoder: Final = msgspec.msgpack.Decoder(ExchangeAnswer)


def encode(message: Exchange | ExchangeAnswer) -> bytes:
    """
    Encode a message.

    :param message: either side of an exchange.
    :returns: MessagePack.
    """
    return _encoder.encode(message)


def decode_exchange(body: bytes) -> Exchange:
    """
    Decode the request of an exchange.

    :param body: MessagePack.
    :returns: the message.
    :raises msgspec.DecodeError: if the body is not such a message.
    """
    return _exchange_decoder.decode(body)


def decode_answer(body: bytes) -> ExchangeAnswer:
    """
    Decode the answer of an exchange.

    :param body: MessagePack.
    :returns: the message.
    :raises msgspec.DecodeError: if the body is not such a message.
    """
    return _answer_decoder.decode(body)
