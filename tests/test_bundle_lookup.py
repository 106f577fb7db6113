"""
tests.test_bundle_lookup
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against service names or API keys that stop working after two fleets
are merged.
"""

import testtools

from eelgrassfork.bundle_lookup import current_name, find_caller, find_service

from .test_bundle_aliases import SHARED, TWO_FLEETS
from .test_bundle_source import HASH, whole_bundle, write_sources


class LookupTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        names = '"services": {"f/old": "f/s", "g/old": "f/s"}'
        self.assembled = whole_bundle(
            write_sources(**TWO_FLEETS, aliases=f'{{{names}, {SHARED}}}')
        )

    def test_service_names_are_resolved_per_fleet(self):
        cases = (
            ('s', 'f', 'f/s'),
            ('s', 'g', 'g/s'),
            ('g/s', 'f', 'g/s'),
            ('old', 'f', 'f/s'),
            ('old', 'g', 'f/s'),
            ('g/old', 'f', 'f/s'),
            ('none', 'f', None),
            ('', 'f', None),
            ('f/s/x', 'f', None),
        )
        for name, fleet, expected in cases:
            with self.subTest(name=name, fleet=fleet):
                found = find_service(self.assembled, name, fleet)
                self.assertEqual(expected, found and found.name)
        self.assertEqual('f/s', current_name(self.assembled, 'g/old'))
        self.assertEqual('f/none', current_name(self.assembled, 'f/none'))

    def test_shared_key_selects_the_fleet_of_the_router(self):
        for fleet in ('f', 'g'):
            caller = find_caller(self.assembled, HASH, fleet)
            self.assertEqual(f'{fleet}/a/main', caller.budget)
        self.assertIsNone(find_caller(self.assembled, HASH, 'h'))
        callers = self.assembled.callers_by_key_hash
        self.assertIsNone(callers.get(HASH))
        self.assertEqual({f'f/{HASH}', f'g/{HASH}'}, set(dict(callers)))
        self.assertIsNone(find_caller(self.assembled, 'b' * 64, 'f'))

    def test_key_of_one_organisation_works_at_both_fleets(self):
        alone = whole_bundle(write_sources())
        for fleet in ('pazlen', 'threadlantern'):
            caller = find_caller(alone, HASH, fleet)
            self.assertEqual('pazlen/atelier/main', caller.budget)
