"""
eelgrassfork.organisation_leaves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encoded parts of organisations, with an index of their keys.
"""

import bisect
import re
from array import array
from collections.abc import Iterable
from typing import Any, Final, NamedTuple, TypedDict

import msgspec

from .bundle_types import Organisation

__all__ = (
    'Group',
    'Leaf',
    'decode_organisation',
    'find_leaves',
    'key_prefix',
    'names_with_prefix',
    'new_group',
    'new_leaf',
)

_PREFIX_DIGITS: Final = 16
_NUMBER_BITS: Final = 16
_MAX_NUMBER: Final = 65_535
_HEXADECIMAL: Final = 16
_KEY_HASH: Final = re.compile('[0-9a-f]{64}')


class Leaf(NamedTuple):
    """
    A verified part of organisations, kept encoded.

    :param part_hash: SHA-256 of the part in hexadecimal.
    :param body: the encoded part.
    :param names: qualified names of its organisations.
    :param ends: end offset of each organisation's keys in ``prefixes``.
    :param prefixes: first 64 bits of the key hashes, in the order of the
        organisations.
    """

    part_hash: str
    body: bytes
    names: tuple[str, ...]
    ends: tuple[int, ...]
    prefixes: 'array[int]'


class Group(NamedTuple):
    """
    Several leaves with a common index of their keys.

    :param leaves: the leaves.
    :param prefixes: key prefixes of all leaves, sorted.
    :param leaf_numbers: position in ``leaves`` of the leaf of each prefix.
    """

    leaves: tuple[Leaf, ...]
    prefixes: 'array[int]'
    leaf_numbers: 'array[int]'


class _Fields(TypedDict, total=False):
    budgets_by_key_hash: dict[str, str]
    services: frozenset[str]
    priority: int
    max_in_flight: int


class _LeafBody(TypedDict):
    content: dict[str, msgspec.Raw]


_leaf_decoder: Final = msgspec.msgpack.Decoder(_LeafBody)
_fields_decoder: Final = msgspec.msgpack.Decoder(_Fields)


def new_leaf(
    part_hash: str, body: bytes, organisations: Iterable[Organisation]
) -> Leaf:
    """
    Create a leaf from a verified part.

    :param part_hash: SHA-256 of the part in hexadecimal.
    :param body: the encoded part.
    :param organisations: the decoded organisations of the part.
    :returns: the leaf.
    :raises ValueError: if a key hash is not a SHA-256 in lower-case
        hexadecimal.
    """
    names = []
    ends = []
    prefixes = array('Q')
    for organisation in organisations:
        names.append(organisation.name)
        prefixes.extend(map(key_prefix, organisation.budgets_by_key_hash))
        ends.append(len(prefixes))
    return Leaf(part_hash, body, tuple(names), tuple(ends), prefixes)


def new_group(leaves: tuple[Leaf, ...]) -> Group:
    """
    Create a group and the index of its keys.

    :param leaves: at most 65,536 leaves, as numbers of leaves have 16 bits.
    :returns: the group.
    """
    entries = sorted(
        prefix << _NUMBER_BITS | number
        for number, leaf in enumerate(leaves)
        for prefix in leaf.prefixes
    )
    return Group(
        leaves,
        array('Q', (entry >> _NUMBER_BITS for entry in entries)),
        array('H', (entry & _MAX_NUMBER for entry in entries)),
    )


def key_prefix(key_hash: str) -> int:
    """
    Return the index prefix of a key hash.

    :param key_hash: SHA-256 of the key in lower-case hexadecimal.
    :returns: its first 64 bits.
    :raises ValueError: if it has another form.
    """
    if not _KEY_HASH.fullmatch(key_hash):
        raise ValueError(
            'a key hash is not a SHA-256 in lower-case hexadecimal'
        )
    return int(key_hash[:_PREFIX_DIGITS], _HEXADECIMAL)


def find_leaves(groups: Iterable[Group], prefix: int) -> list[Leaf]:
    """
    Find the leaves that contain a key with a prefix.

    :param groups: groups to search.
    :param prefix: prefix from :func:`key_prefix`.
    :returns: the leaves, usually one or none.
    """
    found = {}
    for group in groups:
        position = bisect.bisect_left(group.prefixes, prefix)
        while (
            position < len(group.prefixes)
            and group.prefixes[position] == prefix
        ):
            leaf = group.leaves[group.leaf_numbers[position]]
            found[leaf.part_hash] = leaf
            position += 1
    return list(found.values())


def names_with_prefix(leaf: Leaf, prefix: int) -> set[str]:
    """
    Find the organisations of a leaf that have a key with a prefix.

    :param leaf: leaf to search.
    :param prefix: prefix from :func:`key_prefix`.
    :returns: qualified names of the organisations.
    """
    return {
        leaf.names[bisect.bisect_right(leaf.ends, position)]
        for position, found in enumerate(leaf.prefixes)
        if found == prefix
    }


def decode_organisation(leaf: Leaf, name: str) -> Organisation:
    """
    Decode one organisation of a leaf.

    :param leaf: leaf that contains the organisation.
    :param name: qualified name of the organisation.
    :returns: the organisation.
    :raises KeyError: if the leaf has no such organisation.
    """
    raw = _leaf_decoder.decode(leaf.body)['content'][name]
    fields: Any = _fields_decoder.decode(raw)
    return Organisation(name=name, **fields)
