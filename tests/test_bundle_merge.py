"""
tests.test_bundle_merge
~~~~~~~~~~~~~~~~~~~~~~~

Guards against merges that lose, overwrite or silently combine records.
"""

import random

import testtools

from eelgrassfork.bundle_aliases import NO_ALIASES, Aliases
from eelgrassfork.bundle_merge import merge_sources
from eelgrassfork.bundle_source import read_sources

from .test_bundle_source import PAZLEN, THREADLANTERN, write_sources

KEYS = [digit * 64 for digit in 'abcdef']
RENAMES = Aliases({'threadlantern/shopdesk': 'threadlantern/staff-desk'})


def organisation(*key_hashes, service=''):
    keys = ', '.join(f'"{key_hash}": "main"' for key_hash in key_hashes)
    services = f'"{service}"' if service else ''
    return f'{{"budgets_by_key_hash": {{{keys}}}, "services": [{services}]}}'


def sources_of(fleet, organisations=(), services=(), **files):
    """Read sources with records given as JSON by name."""
    texts = {
        'fleets': f'{{"{fleet}": {{}}}}',
        'places': '{}',
        'services': join(dict(services)),
        'organisations': join(dict(organisations)),
        **files,
    }
    return read_sources([write_sources(**texts)])


def join(by_name):
    records = (f'"{name}": {fields}' for name, fields in by_name.items())
    return f'{{{", ".join(records)}}}'


def records(sources):
    return {
        kind: {name: entry.record for name, entry in entries.items()}
        for kind, entries in sources.entries_by_kind.items()
    }


class ExampleTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pazlen = read_sources([PAZLEN])
        self.threadlantern = read_sources([THREADLANTERN])

    def test_conflicts_are_listed_with_both_sides(self):
        result = merge_sources(self.pazlen, self.threadlantern)
        self.assertEqual([], result.unresolved())
        found = {
            (conflict.kind, conflict.name) for conflict in result.conflicts
        }
        expected = {
            ('organisations', 'atelier'),
            ('places', 'depot'),
            ('services', 'shopdesk'),
        }
        self.assertEqual(expected, found)
        for conflict in result.conflicts:
            self.assertIn(f'pazlen/{conflict.name} at {PAZLEN}', conflict.first)
            self.assertIn(f'threadlantern/{conflict.name} at ', conflict.second)

    def test_rename_keeps_the_old_name_as_an_alias(self):
        result = merge_sources(self.pazlen, self.threadlantern, RENAMES)
        merged = records(result.sources)
        self.assertEqual(RENAMES.services, result.sources.aliases.services)
        self.assertNotIn('threadlantern/shopdesk', merged['services'])
        self.assertIn('threadlantern/staff-desk', merged['services'])
        self.assertIn('pazlen/shopdesk', merged['services'])
        weavehouse = merged['organisations']['threadlantern/kandy-weavehouse']
        self.assertIn('threadlantern/staff-desk', weavehouse.services)
        [conflict] = [
            each for each in result.conflicts if each.kind == 'services'
        ]
        self.assertIn('the old name is an alias', conflict.resolution)

    def test_merge_is_idempotent(self):
        whole = merge_sources(self.pazlen, self.threadlantern, RENAMES).sources
        for side in (self.pazlen, self.threadlantern, whole):
            for first, second in ((whole, side), (side, whole)):
                again = merge_sources(first, second)
                self.assertEqual([], again.unresolved())
                self.assertEqual(records(whole), records(again.sources))
                self.assertEqual(whole.aliases, again.sources.aliases)


class ResolutionTests(testtools.TestCase):
    def test_key_of_two_fleets_is_shared(self):
        first = sources_of('f', {'a': organisation(*KEYS[:2])})
        second = sources_of('g', {'b': organisation(*KEYS[1:3])})
        result = merge_sources(first, second)
        self.assertEqual([], result.unresolved())
        shared = {KEYS[1]: ('f/a', 'g/b')}
        self.assertEqual(shared, result.sources.aliases.shared_keys)
        [conflict] = result.conflicts
        self.assertEqual(('keys', KEYS[1]), (conflict.kind, conflict.name))
        self.assertIn('f/a at routers of f', conflict.resolution)

    def test_unresolvable_conflicts_are_reported(self):
        plain, priced = '{"kind": "plain"}', '{"kind": "plain", "priority": 2}'
        cases = {
            'other policy of a fleet': (
                sources_of('f'),
                sources_of('f', fleets='{"f": {"draw_fraction": 0.5}}'),
                NO_ALIASES,
                'they differ in draw_fraction',
            ),
            'other record of a fleet': (
                sources_of('f', services={'s': plain}),
                sources_of('f', services={'s': priced}),
                NO_ALIASES,
                'they differ in priority',
            ),
            'key within a fleet': (
                sources_of('f', {'a': organisation(KEYS[0])}),
                sources_of('f', {'b': organisation(KEYS[0])}),
                NO_ALIASES,
                'both are of the fleet f',
            ),
            'alias with two meanings': (
                sources_of(
                    'f',
                    services={'s': plain},
                    aliases='{"services": {"o":"s"}}',
                ),
                sources_of('g'),
                Aliases({'f/o': 'f/p'}),
                'nothing is written',
            ),
            'rename to a name in use': (
                sources_of('f', services={'s': plain, 't': plain}),
                sources_of('g'),
                Aliases({'f/s': 'f/t'}),
                'can not be renamed to f/t',
            ),
            'two renames to one name': (
                sources_of('f', services={'s': plain, 't': plain}),
                sources_of('g'),
                Aliases({'f/s': 'f/u', 'f/t': 'f/u'}),
                'can not be renamed to f/u',
            ),
            'rename to a name of the other side': (
                sources_of('f', services={'s': plain}),
                sources_of('g', services={'s': priced}),
                Aliases({'f/s': 'g/s'}),
                'they differ in priority',
            ),
        }
        for name, (first, second, renames, message) in cases.items():
            with self.subTest(name=name):
                found = merge_sources(first, second, renames).unresolved()
                self.assertEqual(1, len(found), found)
                self.assertIn(message, found[0].resolution)

    def test_merge_preserves_all_records(self):
        for seed in range(40):
            source = random.Random(seed)
            sides = [
                sources_of(
                    fleet,
                    {
                        name: organisation(key, service=source.choice('st'))
                        for name, key in zip('abc', source.sample(KEYS, 3))
                    },
                    {
                        name: f'{{"kind": "plain", "priority": {priority}}}'
                        for name, priority in zip(
                            'st', source.choices([0, 1], k=2)
                        )
                    },
                )
                for fleet in source.choices('fg', k=2)
            ]
            result = merge_sources(*sides)
            if result.unresolved():
                continue
            merged = records(result.sources)
            for side in sides:
                for kind, by_name in records(side).items():
                    for name, record in by_name.items():
                        self.assertEqual(record, merged[kind][name])
