"""
tests.test_json_comments
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against errors with a wrong line, and unexpected exception types.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import json_comments
from eelgrassfork.options import OptionsError

TEXT = """// "b": 1
{
  // "b": a comment
  a: {c: 1, "b": 2,
    d: 4},
  "b": {
    'c': 3,
    e: [1,
      2],
  },
}
"""


class LineTests(testtools.TestCase):
    def test_line_of_each_field(self):
        cases = (
            (('a',), 4),
            (('a', 'b'), 4),
            (('a', 'd'), 5),
            (('b',), 6),
            (('b', 'c'), 7),
            (('b', 'e'), 8),
            (('b', 'missing'), 6),
            (('missing',), None),
        )
        for path, line in cases:
            with self.subTest(path=path):
                self.assertEqual(line, json_comments.line_of(TEXT, path))


class ParseTests(testtools.TestCase):
    def test_comments_and_trailing_commas(self):
        content = json_comments.parse_document(TEXT).content
        self.assertEqual({'c': 3, 'e': [1, 2]}, content['b'])

    def test_invalid_text_is_rejected_with_its_line(self):
        cases = (
            ('{"a":\n}', 2, 'not valid'),
            ('{"a": 1,\n"a": 2}', 2, 'twice'),
            ('{a: 1,\n//\n a: 2}', 3, 'twice'),
            ('{\na: NaN}', None, 'NaN'),
            ('{"a": NaN}', None, 'NaN'),
            ('', None, 'empty'),
            ('[' * 9000, None, 'deep'),
            ('{"a": "\\ud800"}', None, 'surrogate'),
            ('1' * 5000, None, 'digits'),
        )
        for text, line, fragment in cases:
            with self.subTest(text=text[:20]):
                error = self.assertRaises(
                    OptionsError, json_comments.parse_document, text, 'f'
                )
                self.assertIn(fragment, error.message)
                if line is not None:
                    self.assertEqual(line, error.problems[0].line)

    def test_missing_file_is_reported_by_name(self):
        error = self.assertRaises(
            OptionsError, json_comments.read_document, '/no/such/file'
        )
        self.assertIn('/no/such/file', error.message)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.text(alphabet='{}[]:,"\'\\/*\n a1.-u', max_size=40))
    def test_only_own_errors(self, text):
        try:
            json_comments.parse_document(text)
        except OptionsError:
            return
