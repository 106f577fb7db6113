"""
tests.test_organisation_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against callers that decoding on demand misses or confuses.
"""

import hashlib
import random

import testtools

from eelgrassfork import bundle
from eelgrassfork.bundle_types import Caller, Organisation

FLEETS = bundle.new_part('fleets', {'f': {}})


def fields(*key_hashes):
    return {
        'budgets_by_key_hash': {
            key_hash: f'b{number}' for number, key_hash in enumerate(key_hashes)
        },
        'services': [],
    }


def bundle_of(groups, previous=None):
    """Assemble a bundle from groups of leaves, dicts of fields by name."""
    bodies = dict([FLEETS])
    roots = [FLEETS[0]]
    for leaves in groups:
        parts = [bundle.new_part('organisations', leaf) for leaf in leaves]
        bodies.update(parts)
        index, body = bundle.new_part('index', [part[0] for part in parts])
        bodies[index] = body
        roots.append(index)
    parts = {
        part_hash: bundle.read_part(part_hash, body)
        for part_hash, body in bodies.items()
    }
    manifest = bundle.Manifest(1, tuple(roots))
    return bundle.assemble(manifest, parts, previous)


def random_groups(source, organisations=300):
    key_hashes = [
        [
            hashlib.sha256(source.randbytes(8)).hexdigest()
            for _ in range(source.randrange(4))
        ]
        for _ in range(organisations)
    ]
    names = [f'f/o{number}' for number in range(organisations)]
    by_name = dict(zip(names, map(lambda each: fields(*each), key_hashes)))
    groups = [[{} for _ in range(5)] for _ in range(4)]
    for name, organisation in by_name.items():
        source.choice(source.choice(groups))[name] = organisation
    return groups, by_name


class TableTests(testtools.TestCase):
    def test_lazy_look_ups_equal_decoded_records(self):
        for seed in range(5):
            groups, by_name = random_groups(random.Random(seed))
            whole = bundle_of(groups)
            expected = {
                name: Organisation(name, given['budgets_by_key_hash'], set())
                for name, given in by_name.items()
            }
            self.assertEqual(expected, dict(whole.organisations_by_name))
            callers = {
                key_hash: Caller('f', organisation, f'{name}/{budget}')
                for name, organisation in expected.items()
                for key_hash, budget in organisation.budgets_by_key_hash.items()
            }
            self.assertEqual(callers, dict(whole.callers_by_key_hash))
            for key_hash in ('0' * 64, '', 'x'):
                self.assertIsNone(whole.callers_by_key_hash.get(key_hash))

    def test_different_keys_with_equal_prefixes(self):
        first, second, third = ('a' * 16 + each * 48 for each in 'bcd')
        whole = bundle_of([[{'f/a': fields(first)}, {'f/b': fields(second)}]])
        found = [
            whole.callers_by_key_hash[each].budget for each in (first, second)
        ]
        self.assertEqual(['f/a/b0', 'f/b/b0'], found)
        self.assertNotIn(third, whole.callers_by_key_hash)

    def test_duplicates_are_rejected_with_and_without_previous(self):
        key = 'a' * 64
        old = [[{'f/a': fields(key)}], [{'f/b': fields('b' * 64)}]]
        previous = bundle_of(old)
        for change in (
            [{'f/c': fields(key)}],
            [{'f/a': fields('c' * 64)}],
            [{'f/c': fields('c' * 64), 'f/d': fields('c' * 64)}],
            old[0],
        ):
            for known in (None, previous):
                with self.subTest(change=change, known=known is not None):
                    self.assertRaises(
                        bundle.BundleError, bundle_of, [*old, change], known
                    )

    def test_change_replaces_cached_organisations(self):
        old = [[{'f/a': fields('a' * 64)}], [{'f/b': fields('b' * 64)}]]
        previous = bundle_of(old)
        self.assertEqual(2, len(dict(previous.organisations_by_name)))
        new = [[{'f/a': fields('c' * 64)}], old[1]]
        whole = bundle_of(new, previous)
        self.assertEqual(
            {'b' * 64, 'c' * 64}, set(dict(whole.callers_by_key_hash))
        )

    def test_cache_of_decoded_organisations_is_bounded(self):
        groups, _ = random_groups(random.Random(1))
        table = bundle_of(groups).organisations_by_name
        dict(table)
        self.assertEqual(128, len(table._decoded))
