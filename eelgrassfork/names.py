"""
eelgrassfork.names
~~~~~~~~~~~~~~~~~~

Qualified names, holder identifiers and payer tags.
"""

import hashlib
import re
import secrets
from typing import Final, NamedTuple

from .errors import EelgrassError

__all__ = (
    'BadName',
    'PayerTag',
    'QualifiedName',
    'new_holder',
    'new_request_id',
    'parse_payer',
    'qualify',
    'rendezvous_order',
    'shard_of',
    'vm_of_holder',
)

_PART: Final = re.compile(r'^[a-z0-9][a-z0-9._-]{0,62}$')
_HOLDER_SUFFIX_BYTES: Final = 4
_REQUEST_ID_BYTES: Final = 9
_DIGEST_BYTES: Final = 8


class BadName(EelgrassError):
    """A name breaks the naming rule."""


class QualifiedName(NamedTuple):
    """Name of an organisation, service or place within its fleet."""

    fleet: str
    name: str

    def __str__(self) -> str:
        return f'{self.fleet}/{self.name}'


class PayerTag(NamedTuple):
    """Names one reservation: who pays, from which budget, which number."""

    holder: str
    budget: str
    number: int

    def __str__(self) -> str:
        return f'{self.holder}/{self.budget}/{self.number}'


def qualify(text: str, default_fleet: str | None = None) -> QualifiedName:
    """
    Parse ``fleet/name``, or ``name`` within a default fleet.

    :param text: the name as written.
    :param default_fleet: fleet of an unqualified name, if allowed.
    :returns: the qualified name.
    :raises BadName: ``bad_name`` if a part breaks the naming rule.
    """
    fleet, slash, name = text.partition('/')
    if not slash:
        fleet, name = default_fleet or '', text
    if not _PART.match(fleet) or not _PART.match(name):
        raise BadName('bad_name', f'{text!r} is not a fleet/name')
    return QualifiedName(fleet, name)


def new_holder(vm: str) -> str:
    """
    Make the identifier of one incarnation of a router process.

    :param vm: name of the VM.
    :returns: ``<vm>.<random>``.
    """
    return f'{vm}.{secrets.token_hex(_HOLDER_SUFFIX_BYTES)}'


def vm_of_holder(holder: str) -> str:
    """
    Tell on which VM a holder runs or ran.

    :param holder: identifier made by :func:`new_holder`.
    :returns: name of the VM.
    """
    return holder.rpartition('.')[0]


def new_request_id() -> str:
    """
    Make a request identity that no other request has.

    :returns: ``req-`` and URL-safe random characters.
    """
    return f'req-{secrets.token_urlsafe(_REQUEST_ID_BYTES)}'


def parse_payer(text: str) -> PayerTag:
    """
    Parse the text form of a payer tag.

    :param text: ``<holder>/<fleet>/<organisation>/<number>``.
    :returns: the tag.
    :raises BadName: ``bad_payer`` if the text has another form.
    """
    holder, _, rest = text.partition('/')
    budget, _, number = rest.rpartition('/')
    if not holder or not budget or not number.isdecimal():
        raise BadName('bad_payer', f'{text!r} is not a payer tag')
    return PayerTag(holder, budget, int(number))


def shard_of(name: str, shards: int) -> int:
    """
    Tell in which ledger shard a budget lives.

    :param name: qualified name of the budget.
    :param shards: number of shards of the fleet, at least 1.
    :returns: shard number from 0.
    """
    return _digest(name) % shards


def rendezvous_order(key: str, nodes: list[str]) -> list[str]:
    """
    Order nodes by highest random weight for a key.

    :param key: what is to be placed.
    :param nodes: names of the candidates.
    :returns: the nodes, the preferred one first.
    """
    return sorted(nodes, key=lambda node: _digest(f'{key}|{node}'))


def _digest(text: str) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
