"""
tests.test_key_files
~~~~~~~~~~~~~~~~~~~~

Guards against key lists that lose entries when read or written.
"""

import tempfile
from pathlib import Path

import testtools

from eelgrassfork import key_files
from eelgrassfork.bundle_merge import merge_sources
from eelgrassfork.bundle_merge_files import merged_texts
from eelgrassfork.bundle_source import read_sources
from eelgrassfork.key_list import KeyList, new_grant
from eelgrassfork.options import OptionsError

from . import bundles
from .test_bundle_source import write_sources

GRANT = new_grant(bundles.OTHER_KEY.public_key, bundles.KEY)
REVOKED = 'a' * 16


class KeyFileTests(testtools.TestCase):
    def test_entries_are_stored_once(self):
        directory = tempfile.mkdtemp()
        self.assertEqual(KeyList(), key_files.read_key_lists([directory]))
        for _ in range(2):
            key_files.add_grant(directory, GRANT)
            key_files.add_revocation(directory, REVOKED)
        expected = KeyList((GRANT,), (REVOKED,))
        both = [directory, tempfile.mkdtemp(), directory]
        self.assertEqual(expected, key_files.read_key_lists(both))

    def test_invalid_files_are_reported(self):
        for text in (
            '[]',
            '{"grants": [{}]}',
            '{"grants": 3}',
            '{"revoked": "x"}',
            '{"x": 1}',
        ):
            with self.subTest(text=text):
                directory = tempfile.mkdtemp()
                Path(directory, 'keys.json').write_text(text)
                error = self.assertRaises(
                    OptionsError, key_files.read_key_lists, [directory]
                )
                self.assertIn('keys.json', error.message)
                self.assertRaises(
                    OptionsError, key_files.add_grant, directory, GRANT
                )

    def test_merge_keeps_the_keys_of_both_sides(self):
        pair = (
            write_sources(),
            write_sources(
                fleets='{"g": {}}', organisations='{}', services='{}'
            ),
        )
        key_files.add_grant(pair[0], GRANT)
        key_files.add_revocation(pair[1], REVOKED)
        result = merge_sources(*(read_sources([each]) for each in pair))
        texts = merged_texts(result, pair)
        expected = key_files.keys_text(KeyList((GRANT,), (REVOKED,)))
        self.assertEqual(expected, texts['keys.json'])
