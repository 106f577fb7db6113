"""
tests.test_organisation_leaves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against key look-ups that return the wrong organisation.
"""

import testtools

from eelgrassfork import bundle, organisation_leaves
from eelgrassfork.bundle_types import Organisation


def leaf_of(**keys_by_name):
    content = {
        f'f/{name}': {
            'budgets_by_key_hash': dict.fromkeys(keys, 'main'),
            'services': ['f/s'],
            'priority': 2,
        }
        for name, keys in keys_by_name.items()
    }
    return bundle.read_part(*bundle.new_part('organisations', content)).leaf


class LeafTests(testtools.TestCase):
    def test_keys_are_found_in_their_organisation(self):
        first, second, third = ('a' * 64, 'b' * 64, 'c' * 64)
        leaf = leaf_of(none=(), one=(first,), two=(second, third))
        for key_hash, names in (
            (first, {'f/one'}),
            (second, {'f/two'}),
            (third, {'f/two'}),
            ('d' * 64, set()),
        ):
            prefix = organisation_leaves.key_prefix(key_hash)
            self.assertEqual(
                names, organisation_leaves.names_with_prefix(leaf, prefix)
            )

    def test_decoded_record_is_complete(self):
        leaf = leaf_of(one=('a' * 64,))
        self.assertEqual(
            Organisation('f/one', {'a' * 64: 'main'}, frozenset(['f/s']), 2),
            organisation_leaves.decode_organisation(leaf, 'f/one'),
        )

    def test_malformed_key_hashes_are_rejected(self):
        for key_hash in ('', 'secret', 'A' * 64, 'a' * 63, 'a' * 65):
            with self.subTest(key_hash=key_hash):
                self.assertRaises(
                    bundle.BundleError, lambda: leaf_of(one=(key_hash,))
                )
