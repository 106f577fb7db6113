"""
eelgrassfork.organisation_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Organisations and callers of a bundle, decoded from its parts on demand.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from typing import Final

from .bundle_types import Caller, Organisation
from .organisation_leaves import (
    Group,
    Leaf,
    decode_organisation,
    find_leaves,
    key_prefix,
    names_with_prefix,
)

__all__ = ('CallerTable', 'OrganisationTable')

# Decoded, all 3,300 organisations of the target size took 78 MB; 128 take 3 MB.
_MAX_DECODED: Final = 128


class OrganisationTable(Mapping[str, Organisation]):
    """
    Organisations by qualified name, decoded on access.

    The most recently used organisations stay decoded.

    :param groups: groups of leaves, by the hash of the index or leaf that the
        manifest lists.
    :param previous: table of an older bundle, whose cache of decoded
        organisations is reused and whose keys are not compared again.
    :ivar groups: the groups of leaves.
    :ivar shared_key_hashes: SHA-256 in hexadecimal of the keys that several
        organisations have.
    """

    def __init__(
        self,
        groups: Mapping[str, Group],
        previous: 'OrganisationTable | None' = None,
    ) -> None:
        self.groups = groups
        self._leaf_by_name = {
            name: leaf for leaf in self.leaves() for name in leaf.names
        }
        self._decoded: OrderedDict[tuple[str, str], Organisation] = (
            OrderedDict() if previous is None else previous._decoded
        )
        self.shared_key_hashes = self._find_shared_key_hashes(previous)

    def __getitem__(self, name: str) -> Organisation:
        leaf = self._leaf_by_name[name]
        cache_key = (leaf.part_hash, name)
        organisation = self._decoded.get(cache_key)
        if organisation is None:
            organisation = decode_organisation(leaf, name)
            self._decoded[cache_key] = organisation
            if len(self._decoded) > _MAX_DECODED:
                self._decoded.popitem(last=False)
        self._decoded.move_to_end(cache_key)
        return organisation

    def __iter__(self) -> Iterator[str]:
        return iter(self._leaf_by_name)

    def __len__(self) -> int:
        return len(self._leaf_by_name)

    def leaves(self) -> Iterator[Leaf]:
        """
        Iterate over the leaves of all groups.

        :returns: iterator over leaves.
        """
        groups = self.groups.values()
        return itertools.chain.from_iterable(each.leaves for each in groups)

    def names_in_different_parts(self, other: 'OrganisationTable') -> set[str]:
        """
        Find organisations that may differ between two tables.

        :param other: the other table.
        :returns: names of the organisations in parts that only one of the
            two tables has.
        """
        ours = {leaf.part_hash: leaf for leaf in self.leaves()}
        theirs = {leaf.part_hash: leaf for leaf in other.leaves()}
        return {
            name
            for part_hash in ours.keys() ^ theirs.keys()
            for name in (ours.get(part_hash) or theirs[part_hash]).names
        }

    def duplicate_name(self) -> str | None:
        """
        Find an organisation that is defined more than once.

        :returns: its name, or ``None``.
        """
        seen: set[str] = set()
        for leaf in self.leaves():
            for name in leaf.names:
                if name in seen:
                    return name
                seen.add(name)
        return None

    def owners(self, key_hash: str) -> list[str]:
        """
        Find the organisations that have a key.

        :param key_hash: SHA-256 of the key in hexadecimal.
        :returns: names of the organisations, usually one or none.
        """
        try:
            prefix = key_prefix(key_hash)
        except ValueError:
            return []
        return [
            name
            for leaf in self._leaves_with(prefix)
            for name in names_with_prefix(leaf, prefix)
            if key_hash in self[name].budgets_by_key_hash
        ]

    def _find_shared_key_hashes(
        self, previous: 'OrganisationTable | None'
    ) -> frozenset[str]:
        if previous is None:
            prefixes = self._duplicate_prefixes()
            hashes: set[str] = set()
        else:
            known = {leaf.part_hash for leaf in previous.leaves()}
            prefixes = self._duplicate_new_prefixes(known)
            hashes = set(previous.shared_key_hashes)
        for prefix in prefixes:
            hashes.update(self._hashes_with(prefix))
        return frozenset(each for each in hashes if len(self.owners(each)) > 1)

    def _leaves_with(self, prefix: int) -> list[Leaf]:
        return find_leaves(self.groups.values(), prefix)

    def _hashes_with(self, prefix: int) -> Iterator[str]:
        for leaf in self._leaves_with(prefix):
            for name in names_with_prefix(leaf, prefix):
                yield from self[name].budgets_by_key_hash

    def _duplicate_prefixes(self) -> set[int]:
        # Merging sorted arrays avoids a temporary set of all prefixes, which
        # would take 13 MB.
        merged = heapq.merge(*(each.prefixes for each in self.groups.values()))
        return {
            one for one, other in itertools.pairwise(merged) if one == other
        }

    def _duplicate_new_prefixes(self, known: set[str]) -> set[int]:
        duplicates: set[int] = set()
        new: set[int] = set()
        for leaf in self.leaves():
            if leaf.part_hash not in known:
                for prefix in leaf.prefixes:
                    (duplicates if prefix in new else new).add(prefix)
        for leaf in self.leaves():
            if leaf.part_hash in known:
                duplicates.update(new.intersection(leaf.prefixes))
        return duplicates


class CallerTable(Mapping[str, Caller]):
    """
    Callers by the SHA-256 of their keys in hexadecimal.

    A key that organisations of several fleets share is listed for each of
    them as ``<fleet>/<hash>``.

    :param organisations: table of the organisations that own the keys.
    """

    def __init__(self, organisations: OrganisationTable) -> None:
        self._organisations = organisations

    def __getitem__(self, key: str) -> Caller:
        fleet, slash, key_hash = key.rpartition('/')
        owners = self._organisations.owners(key_hash)
        is_shared = len(owners) > 1
        if is_shared is not bool(slash):
            raise KeyError(key)
        for owner in owners:
            if owner.startswith(f'{fleet}{slash}'):
                return self._caller(owner, key_hash)
        raise KeyError(key)

    def __iter__(self) -> Iterator[str]:
        duplicates = self._organisations.shared_key_hashes
        for name, organisation in self._organisations.items():
            for key_hash in organisation.budgets_by_key_hash:
                fleet = name.partition('/')[0]
                is_shared = key_hash in duplicates
                yield f'{fleet}/{key_hash}' if is_shared else key_hash

    def __len__(self) -> int:
        leaves = self._organisations.leaves()
        return sum(len(leaf.prefixes) for leaf in leaves)

    def _caller(self, name: str, key_hash: str) -> Caller:
        organisation = self._organisations[name]
        budget = organisation.budgets_by_key_hash[key_hash]
        return Caller(name.partition('/')[0], organisation, f'{name}/{budget}')
