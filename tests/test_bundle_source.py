"""
tests.test_bundle_source
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against merged fleets that overwrite names, and against errors without
a line number.
"""

import tempfile
from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import bundle, bundle_source
from eelgrassfork.options import OptionsError

EXAMPLES = Path(__file__).parent.parent / 'examples'
PAZLEN = str(EXAMPLES / 'pazlen' / 'bundle')
THREADLANTERN = str(EXAMPLES / 'threadlantern' / 'bundle')
HASH = 'a' * 64
VALID = {
    'fleets': '{"pazlen": {}}',
    'services': '{"matcher": {"kind": "model", "model": "m"}}',
    'places': '{"plovdiv-a": {"region": "bg"}}',
    'organisations': """{
  // A shop.
  "atelier": {
    "budgets_by_key_hash": {"%s": "main"},
    "services": ["matcher"],
  },
}"""
    % HASH,
}


def write_sources(**changes):
    directory = tempfile.mkdtemp()
    for kind, text in {**VALID, **changes}.items():
        if text is not None:
            Path(directory, f'{kind}.json').write_text(text, encoding='utf-8')
    return directory


def whole_bundle(*directories):
    sources = bundle_source.read_sources(directories)
    compiled = bundle_source.compile_parts(sources)
    parts = {
        part_hash: bundle.read_part(part_hash, body)
        for part_hash, body in compiled.bodies_by_hash.items()
    }
    return bundle.assemble(bundle.Manifest(1, compiled.hashes), parts)


def engine_cases():
    model = '"kind": "model", "model": "base"'
    plain = '"kind": "plain"'
    for kind, field, wrong in (
        (model, 'adapter', '["a"]'),
        (model, 'version', '3'),
        (model, 'adapters', '"a"'),
        (model, 'adapters', '["a", "base"]'),
        (model, 'adapters', '[""]'),
        (model, 'role', '"prefil"'),
        (plain, 'version', '"v3"'),
        (plain, 'adapters', '["a"]'),
        (plain, 'role', '"both"'),
    ):
        text = f'{{"m": {{{kind},\n"{field}": {wrong}}}}}'
        yield 'services', text, 2, f'm.{field}'


class MergedFleetTests(testtools.TestCase):
    def test_equal_names_of_two_fleets_are_qualified(self):
        merged = whole_bundle(PAZLEN, THREADLANTERN)
        for by_name, name in (
            (merged.organisations_by_name, 'atelier'),
            (merged.services_by_name, 'shopdesk'),
            (merged.places_by_name, 'depot'),
        ):
            self.assertIn(f'pazlen/{name}', by_name)
            self.assertIn(f'threadlantern/{name}', by_name)
        self.assertEqual(20, len(merged.organisations_by_name))
        alone = whole_bundle(PAZLEN).organisations_by_name
        self.assertEqual(
            alone, {name: merged.organisations_by_name[name] for name in alone}
        )

    def test_duplicate_fleet_is_rejected(self):
        error = self.assertRaises(
            OptionsError, bundle_source.read_sources, (PAZLEN, PAZLEN)
        )
        self.assertIn('is already defined at', error.message)


class ServiceTests(testtools.TestCase):
    def test_engine_fields_survive_compilation(self):
        text = (
            '{"matcher": {"kind": "model", "model": "m", "version": "v2",'
            ' "adapters": ["b", "a"], "role": "prefill"}}'
        )
        merged = whole_bundle(write_sources(services=text))
        service = merged.services_by_name['pazlen/matcher']
        self.assertEqual(
            ('v2', ('b', 'a'), 'prefill'),
            (service.version, service.adapters, service.role),
        )


class PartsTests(testtools.TestCase):
    def test_edit_changes_few_parts(self):
        def parts(priority):
            text = ','.join(
                f'"o{number}": {{"budgets_by_key_hash": {{}}, "services": [],'
                f' "priority": {priority if number == 7 else 1}}}'
                for number in range(300)
            )
            directory = write_sources(organisations=f'{{{text}}}')
            sources = bundle_source.read_sources([directory])
            return bundle_source.compile_parts(sources).bodies_by_hash

        before, after = parts(1), parts(2)
        self.assertEqual(2, len(after.keys() - before.keys()))
        self.assertTrue(len(after) > 60)


class CheckTests(testtools.TestCase):
    def test_errors_contain_file_line_and_field(self):
        budgets = f'"budgets_by_key_hash": {{"{HASH}": "main"}}'
        cases = (
            ('fleets', '{"pazlen": {\n"draw_fraction": 0}}', 2, 'draw_frac'),
            ('fleets', '{\n"a/b": {}}', 2, 'a/b'),
            ('fleets', '{}', None, ''),
            ('services', '{"m": {"kind": "plain",\n"x": 1}}', 2, 'm.x'),
            ('services', '{"m": {\n"kind": "model"}}', 1, 'm.model'),
            ('services', '{"m": {"kind": "plain",\n"priority": 3}}', 2, ''),
            *engine_cases(),
            ('places', '{\n\n"plovdiv": {}}', 3, 'plovdiv.region'),
            ('places', '{"other/x": {"region": "bg"}}', 1, 'other/x'),
            ('places', None, None, ''),
            (
                'organisations',
                f'{{"a": {{{budgets},\n"services": ["none"]}}}}',
                2,
                'a.services',
            ),
            (
                'organisations',
                '{"a": {"services": [], "budgets_by_key_hash":\n'
                '{"secret": "main"}}}',
                2,
                'secret',
            ),
            (
                'organisations',
                f'{{"a": {{{budgets}, "services": []}},\n'
                f'"b": {{{budgets}, "services": []}}}}',
                2,
                'b.budgets_by_key_hash',
            ),
            ('organisations', '{"a": {},\n"a": {}}', 2, 'a'),
            ('organisations', '[]', None, ''),
        )
        for kind, text, line, field in cases:
            with self.subTest(kind=kind, text=text):
                directory = write_sources(**{kind: text})
                error = self.assertRaises(
                    OptionsError, bundle_source.read_sources, [directory]
                )
                found = [
                    problem
                    for problem in error.problems
                    if field in problem.field and problem.line == line
                ]
                self.assertNotEqual([], found, error.message)
                if text != '{}':
                    self.assertIn(f'{kind}.json', error.message)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.sampled_from(sorted(VALID)),
        st.text(alphabet='{}[]:,"/01aps\n ', max_size=30),
        st.integers(0, 60),
    )
    def test_only_own_errors(self, kind, inserted, at):
        text = VALID[kind]
        changed = text[:at] + inserted + text[at:]
        try:
            whole_bundle(write_sources(**{kind: changed}))
        except OptionsError:
            return
