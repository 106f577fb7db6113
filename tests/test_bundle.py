"""
tests.test_bundle
~~~~~~~~~~~~~~~~~

Guards against acceptance of forged or altered bundles, and against exceptions
other than BundleError on malformed input.
"""

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import bundle

from . import bundles


def read_parts(bodies):
    return {
        part_hash: bundle.read_part(part_hash, body)
        for part_hash, body in bodies.items()
    }


class ManifestTests(testtools.TestCase):
    def test_invalid_envelopes_are_rejected(self):
        good, _ = bundles.signed_bundle(3)
        decoded = msgspec.msgpack.decode(good)
        other, _ = bundles.signed_bundle(4, key=bundles.OTHER_KEY)
        raised = bundle.Manifest(9, ())
        body = msgspec.msgpack.encode(raised._asdict())
        cases = {
            'empty': b'',
            'cut': good[:-1],
            'unsigned': msgspec.msgpack.encode({**decoded, 'signature': b''}),
            'altered': msgspec.msgpack.encode({**decoded, 'manifest': body}),
            'other key': other,
            'other key under a trusted name': msgspec.msgpack.encode(
                {
                    **msgspec.msgpack.decode(other),
                    'key_id': bundles.KEY.key_id,
                },
            ),
            'version 0': bundles.signed_bundle(0)[0],
        }
        for name, envelope in cases.items():
            with self.subTest(name=name):
                error = self.assertRaises(
                    bundle.BundleError,
                    bundle.open_manifest,
                    envelope,
                    bundles.TRUSTED,
                )
                self.assertEqual('bad_manifest', error.code)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=60))
    def test_only_own_errors_on_any_bytes(self, body):
        part_hash = bundle.new_part('fleets', {})[0]
        for read in (
            lambda: bundle.open_manifest(body, bundles.TRUSTED),
            lambda: bundle.read_part(part_hash, body),
        ):
            try:
                read()
            except bundle.BundleError:
                continue

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.sampled_from(['fleets', 'organisations', 'index', 'x']),
        st.recursive(
            st.none() | st.integers(0, 9) | st.floats() | st.text(max_size=4),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(st.text(max_size=4), inner, max_size=3)
            ),
            max_leaves=8,
        ),
    )
    def test_only_own_errors_on_any_signed_content(self, kind, content):
        part_hash, body = bundle.new_part(kind, content)
        try:
            part = bundle.read_part(part_hash, body)
            parts = {part_hash: part}
            manifest = bundle.Manifest(1, (part_hash,))
            if not bundle.missing_parts(manifest, parts):
                bundle.assemble(manifest, parts)
        except bundle.BundleError:
            return


class AssembleTests(testtools.TestCase):
    def test_assembled_bundle_finds_callers_by_key(self):
        envelope, bodies = bundles.signed_bundle(3, ('a', 'b'))
        signed = bundle.open_manifest(envelope, bundles.TRUSTED)
        whole = bundle.assemble(signed.manifest, read_parts(bodies))
        caller = whole.callers_by_key_hash[bundles.key_hash('b')]
        self.assertEqual('pazlen/b/main', caller.budget)
        self.assertEqual(3, whole.version)
        self.assertEqual({'pazlen/matcher'}, caller.organisation.services)

    def test_parts_listed_by_an_index_are_missing(self):
        envelope, bodies = bundles.signed_bundle(3, ('a', 'b'))
        signed = bundle.open_manifest(envelope, bundles.TRUSTED)
        parts = {}
        rounds = []
        while missing := bundle.missing_parts(signed.manifest, parts):
            rounds.append(len(missing))
            parts.update(read_parts({key: bodies[key] for key in missing}))
        self.assertEqual([3, 2], rounds)

    def test_conflicting_records_are_rejected(self):
        organisation = {
            'budgets_by_key_hash': {'a' * 64: 'main'},
            'services': [],
        }
        contents = (
            [('fleets', {'f': {}}), ('fleets', {'f': {'ledger_shards': 9}})],
            [('organisations', {'f/a': organisation})],
            [
                ('fleets', {'f': {}}),
                ('organisations', {'f/a': organisation, 'f/b': organisation}),
            ],
            [
                ('fleets', {'f': {}}),
                ('organisations', {'f/a': organisation}),
                ('organisations', {'f/b': organisation}),
            ],
        )
        for content in contents:
            with self.subTest(content=content):
                bodies = dict(bundle.new_part(*pair) for pair in content)
                manifest = bundle.Manifest(1, tuple(bodies))
                self.assertRaises(
                    bundle.BundleError,
                    lambda: bundle.assemble(manifest, read_parts(bodies)),
                )

    def test_altered_part_is_rejected(self):
        part_hash, _ = bundle.new_part('fleets', {'pazlen': {}})
        _, other = bundle.new_part('fleets', {'other': {}})
        self.assertRaises(
            bundle.BundleError, bundle.read_part, part_hash, other
        )
