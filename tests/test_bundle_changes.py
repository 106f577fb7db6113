"""
tests.test_bundle_changes
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against undetected conflicts between the changes of two operators.
"""

import testtools

from eelgrassfork.bundle_changes import ABSENT, compare

from . import bundles

A, B, C = (digit * 64 for digit in 'abc')


def bundle_of(organisations, aliases=None, **services):
    kinds = {
        'fleets': {'f': {}},
        'services': {
            f'f/{name}': {'kind': 'plain', **fields}
            for name, fields in services.items()
        },
        'organisations': organisations,
    }
    return bundles.held_bundle(1, kinds, {'services': aliases or {}}).bundle


def organisation(*keys, services=(), **fields):
    return {
        'f/o': {
            'budgets_by_key_hash': dict.fromkeys(keys, 'main'),
            'services': [f'f/{name}' for name in services],
            **fields,
        }
    }


class CompareTests(testtools.TestCase):
    def test_conflicts_are_detected_per_field(self):
        base = organisation(A, priority=1, max_in_flight=8)
        cases = {
            'same field': (
                organisation(A, priority=0, max_in_flight=8),
                organisation(A, priority=2, max_in_flight=8),
                {'priority'},
            ),
            'same value': (
                organisation(A, priority=0, max_in_flight=8),
                organisation(A, priority=0, max_in_flight=8),
                set(),
            ),
            'other fields': (
                organisation(A, priority=0, max_in_flight=8),
                organisation(A, priority=1, max_in_flight=9),
                set(),
            ),
            'other keys': (
                organisation(A, B, priority=1, max_in_flight=8),
                organisation(A, C, priority=1, max_in_flight=8),
                set(),
            ),
            'removed and changed': (
                {},
                organisation(A, priority=1, max_in_flight=9),
                {'max_in_flight'},
            ),
            'removed and extended': (
                {},
                organisation(A, B, priority=1, max_in_flight=8),
                {f'budgets_by_key_hash.{B}'},
            ),
            'both removed': ({}, {}, set()),
        }
        for name, (ours, theirs, expected) in cases.items():
            for one, other in ((ours, theirs), (theirs, ours)):
                with self.subTest(name=name):
                    found = compare(*map(bundle_of, (base, one, other)))
                    fields = {each.field for each in found.conflicts}
                    self.assertEqual(expected, fields)

    def test_records_added_under_one_name_conflict(self):
        found = compare(
            bundle_of({}),
            bundle_of(organisation(A)),
            bundle_of(organisation(B)),
        )
        self.assertEqual(
            {f'budgets_by_key_hash.{A}', f'budgets_by_key_hash.{B}'},
            {each.field for each in found.conflicts},
        )

    def test_aliases_are_compared(self):
        found = compare(
            bundle_of({}, s={}, t={}),
            bundle_of({}, {'f/x': 'f/s'}, s={}, t={}),
            bundle_of({}, {'f/x': 'f/t'}, s={}, t={}),
        )
        [field] = found.conflicts
        self.assertEqual(('aliases', 'f/x'), field[:2])
        self.assertEqual((ABSENT, 'f/s'), found.ours[field][1:])
        self.assertEqual('f/t', found.theirs[field].after)
