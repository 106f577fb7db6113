"""
tests.test_options
~~~~~~~~~~~~~~~~~~

Guards against misread options, and errors that do not name the option.
"""

from typing import Annotated, NamedTuple

import msgspec
import testtools

from eelgrassfork import options


class Inner(NamedTuple):
    host: str
    port: Annotated[int, msgspec.Meta(ge=1)] = 80


class Outer(NamedTuple):
    name: str
    inner: Inner | None = None
    tags: tuple[str, ...] = ()


class ReadRecordTests(testtools.TestCase):
    def test_valid_options_and_defaults(self):
        problems = options.Problems()
        raw = {'inner': {'host': 'a'}, 'tags': ['x']}
        record = options.read_record(Outer, raw, (), problems, {'name': 'n'})
        problems.check()
        self.assertEqual(Outer('n', Inner('a', 80), ('x',)), record)

    def test_each_problem_contains_the_option_path(self):
        cases = (
            ({'tags': 3}, ['name', 'tags']),
            ({'name': 'n', 'inner': {'host': 'a', 'port': 0}}, ['inner.port']),
            ({'name': 'n', 'inner': {'port': '80'}}, None),
            ({'name': 'n', 'nmae': 1, 'inner': 7}, ['nmae', 'inner']),
            ({'name': True}, ['name']),
            ([], ['']),
        )
        for raw, fields in cases:
            fields = fields or ['inner.host', 'inner.port']
            with self.subTest(raw=raw):
                problems = options.Problems('f.json', lambda path: 7)
                record = options.read_record(Outer, raw, (), problems)
                self.assertIsNone(record)
                error = self.assertRaises(options.OptionsError, problems.check)
                found = [problem.field for problem in error.problems]
                self.assertEqual(sorted(fields), sorted(found))
                self.assertIn('f.json:7: ', error.message)

    def test_preset_fields_are_not_options(self):
        problems = options.Problems()
        raw = {'name': 'other'}
        options.read_record(Outer, raw, (), problems, {'name': 'n'})
        self.assertEqual(['name'], [found.field for found in problems.found])
