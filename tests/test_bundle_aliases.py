"""
tests.test_bundle_aliases
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against aliases that shadow a service, do not resolve, or charge a key
to the wrong budget.
"""

import testtools

from eelgrassfork import bundle
from eelgrassfork.options import OptionsError

from .test_bundle_source import HASH, whole_bundle, write_sources

TWO_FLEETS = {
    'fleets': '{"f": {}, "g": {}}',
    'services': '{"f/s": {"kind": "plain"}, "g/s": {"kind": "plain"}}',
    'places': '{}',
    'organisations': '{%s}'
    % ','.join(
        f'"{name}": {{"budgets_by_key_hash": {{"{HASH}": "main"}},'
        ' "services": ["s"]}'
        for name in ('f/a', 'g/a')
    ),
}
SHARED = f'"shared_keys": {{"{HASH}": ["f/a", "g/a"]}}'


class AliasTests(testtools.TestCase):
    def test_invalid_aliases_are_reported(self):
        cases = (
            ('{"services": {"matcher": "x"}}', 'can not be an alias'),
            ('{"services": {"old": "none"}}', 'which does not exist'),
            ('{"services": {"a": "b", "b": "a"}}', 'alias is cyclic'),
            ('{"services": {"A": "matcher"}}', 'is not a fleet/name'),
            ('{"services": [1]}', 'expected object'),
            ('{"organisations": {"a": "b"}}', 'ledger entries'),
            ('{"places": {"a": "b"}}', 'can not be renamed'),
            (f'{{"shared_keys": {{"{HASH}": ["atelier"]}}}}', 'two or more'),
            (
                f'{{"shared_keys": {{"{HASH}": ["atelier", "g/x"]}}}}',
                'g/x does not have this key',
            ),
            ('{"service": {}}', 'unknown option'),
        )
        for text, message in cases:
            with self.subTest(text=text):
                directory = write_sources(aliases=text)
                error = self.assertRaises(OptionsError, whole_bundle, directory)
                self.assertIn(message, error.message)
                self.assertIn('aliases.json', error.message)

    def test_aliases_resolve_to_the_current_name(self):
        directory = write_sources(
            aliases='{"services": {"a": "b", "b": "matcher"}}',
            organisations='{"o": {"budgets_by_key_hash": {},'
            ' "services": ["a"]}}',
        )
        assembled = whole_bundle(directory)
        self.assertEqual(
            {'pazlen/a': 'pazlen/matcher', 'pazlen/b': 'pazlen/matcher'},
            assembled.service_aliases,
        )
        organisation = assembled.organisations_by_name['pazlen/o']
        self.assertEqual({'pazlen/matcher'}, organisation.services)

    def test_shared_keys_are_rejected_unless_listed(self):
        directory = write_sources(**TWO_FLEETS)
        self.assertRaises(OptionsError, whole_bundle, directory)
        listed = write_sources(**TWO_FLEETS, aliases=f'{{{SHARED}}}')
        self.assertEqual(2, len(whole_bundle(listed).callers_by_key_hash))

    def assemble(self, organisations, previous=None, **aliases):
        """Assemble parts without validating them as sources."""
        bodies = dict(
            (
                bundle.new_part('fleets', {'f': {}, 'g': {}}),
                bundle.new_part('services', {'f/s': {'kind': 'plain'}}),
                bundle.new_part('organisations', organisations),
                bundle.new_part('aliases', aliases),
            )
        )
        parts = {
            part_hash: bundle.read_part(part_hash, body)
            for part_hash, body in bodies.items()
        }
        manifest = bundle.Manifest(1, tuple(bodies))
        return bundle.assemble(manifest, parts, previous)

    def test_signed_parts_are_revalidated(self):
        key = {'budgets_by_key_hash': {HASH: 'main'}, 'services': []}
        both = {'f/a': key, 'g/a': key}
        shared = {'shared_keys': {HASH: ('f/a', 'g/a')}}
        cases = (
            (both, {}),
            (both, {'shared_keys': {HASH: ('f/a', 'g/b')}}),
            ({'f/a': key}, shared),
            ({'f/a': key, 'f/b': key}, {'shared_keys': {HASH: ('f/a', 'f/b')}}),
            (both, {**shared, 'services': {'f/s': 'f/s'}}),
            (both, {**shared, 'services': {'f/x': 'f/y'}}),
        )
        for organisations, aliases in cases:
            with self.subTest(aliases=aliases):
                self.assertRaises(
                    bundle.BundleError,
                    lambda: self.assemble(organisations, **aliases),
                )
        previous = self.assemble(both, **shared)
        self.assemble(both, previous, **shared)
        self.assertRaises(bundle.BundleError, self.assemble, both, previous)
