"""
tests.test_bundle_join
~~~~~~~~~~~~~~~~~~~~~~

Guards against changes lost when the bundles of two operators are combined.
"""

import random

import testtools

from eelgrassfork.bundle_changes import changes_between, compare, value_of
from eelgrassfork.bundle_join import apply_changes
from eelgrassfork.bundle_source import compile_parts
from eelgrassfork.manifest import Manifest
from eelgrassfork.options import OptionsError
from eelgrassfork.signed_file import seal_bundle

from . import bundles

FLEETS = {'f': {}, 'g': {}}


def bundle_of(organisations, services=('f/s', 'g/s'), aliases=None):
    kinds = {
        'fleets': FLEETS,
        'services': {name: {'kind': 'plain'} for name in services},
        'organisations': organisations,
    }
    return bundles.held_bundle(1, kinds, aliases).bundle


def fields(*keys, **options):
    return {
        'budgets_by_key_hash': dict.fromkeys(keys, 'main'),
        'services': [],
        **options,
    }


def random_edits(source, organisations):
    changed = {name: dict(given) for name, given in organisations.items()}
    for _ in range(source.randrange(3)):
        name = f'f/o{source.randrange(4)}'
        number = source.randrange(10)
        given = changed.setdefault(name, fields())
        source.choice(
            (
                lambda: given.update(priority=source.randrange(3)),
                lambda: given.update(services=['f/s']),
                lambda: given.update(
                    budgets_by_key_hash={
                        bundles.key_hash(f'{name}{number}'): 'm'
                    }
                ),
                lambda: changed.pop(name),
            )
        )()
    return changed


def apply_and_seal(accepted, ours, changes):
    parts = compile_parts(apply_changes(accepted, ours, changes))
    return seal_bundle(Manifest(2, (), 1), parts, bundles.KEY).bundle


class ApplyChangesTests(testtools.TestCase):
    def test_result_has_the_changes_of_both(self):
        applied = 0
        for seed in range(150):
            source = random.Random(seed)
            start = random_edits(
                source, {f'f/o{n}': fields() for n in range(3)}
            )
            base = bundle_of(start)
            ours, theirs = (
                bundle_of(random_edits(source, start)) for _ in range(2)
            )
            found = compare(base, ours, theirs)
            if found.conflicts:
                continue
            applied += 1
            whole = apply_and_seal(theirs, ours, found.ours.values())
            expected = {**found.theirs, **found.ours}
            for field, change in expected.items():
                self.assertEqual(change.after, value_of(whole, field))
            self.assertEqual(
                expected.keys(),
                {each.field for each in changes_between(base, whole)},
            )
        self.assertTrue(applied > 50, applied)

    def test_inconsistent_records_are_rejected(self):
        key = 'a' * 64
        base = bundle_of({'f/a': fields()})
        cases = {
            'key of two organisations': (
                bundle_of({'f/a': fields(key)}),
                bundle_of({'f/a': fields(), 'f/b': fields(key)}),
            ),
            'service removed and used': (
                bundle_of({'f/a': fields()}, services=('g/s',)),
                bundle_of({'f/a': fields(services=['f/s'])}),
            ),
        }
        for name, (ours, theirs) in cases.items():
            with self.subTest(name=name):
                found = compare(base, ours, theirs)
                self.assertEqual([], found.conflicts)
                changes = found.ours.values()
                error = self.assertRaises(
                    OptionsError, apply_changes, theirs, ours, changes
                )
                self.assertIn('organisations.f/', error.message)

    def test_aliases_and_shared_keys_of_both_are_kept(self):
        key = 'a' * 64
        shared = {'f/a': fields(key), 'g/a': fields(key)}
        aliases = {'shared_keys': {key: ['f/a', 'g/a']}}
        base = bundle_of(shared, aliases=aliases)
        ours = bundle_of(
            shared, aliases={**aliases, 'services': {'f/old': 'f/s'}}
        )
        theirs = bundle_of(
            {**shared, 'f/b': fields()},
            aliases={**aliases, 'services': {'g/old': 'g/s'}},
        )
        found = compare(base, ours, theirs)
        whole = apply_and_seal(theirs, ours, found.ours.values())
        self.assertEqual(
            {'f/old': 'f/s', 'g/old': 'g/s'}, whole.service_aliases
        )
        self.assertEqual({key: ('f/a', 'g/a')}, whole.shared_keys)
