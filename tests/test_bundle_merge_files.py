"""
tests.test_bundle_merge_files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against merges that lose comments or overwrite an operator's files.
"""

import tempfile
from pathlib import Path

import testtools

from eelgrassfork import bundle_merge_files, cli
from eelgrassfork.bundle_aliases import NO_ALIASES
from eelgrassfork.bundle_lookup import find_service
from eelgrassfork.bundle_merge import merge_sources
from eelgrassfork.bundle_source import read_sources

from .test_bundle_merge import RENAMES, organisation
from .test_bundle_source import (
    PAZLEN,
    THREADLANTERN,
    whole_bundle,
    write_sources,
)
from .test_cli import run


def texts_of(first, second, renames=RENAMES):
    result = merge_sources(
        read_sources([first]), read_sources([second]), renames
    )
    return bundle_merge_files.merged_texts(result, (first, second))


def file_states(out):
    return {
        path: (path.read_text(), path.stat().st_mtime_ns)
        for path in Path(out).iterdir()
    }


class TextTests(testtools.TestCase):
    def test_comments_of_both_sides_are_kept(self):
        texts = texts_of(PAZLEN, THREADLANTERN)
        for directory in (PAZLEN, THREADLANTERN):
            for kind in ('fleets', 'organisations', 'places', 'services'):
                source = Path(directory, f'{kind}.json').read_text()
                for line in source.splitlines():
                    if line.strip().startswith('//'):
                        self.assertIn(line.strip(), texts[f'{kind}.json'])

    def test_every_layout_is_merged(self):
        key = organisation('a' * 64)
        layouts = (
            '{}',
            '{\n}\n',
            f'{{"a": {key}}}',
            f'{{"a": {key},}}',
            f'// head {{ }}\n{{\n  // why {{ "a": 1\n  a: {key}, // end\n}}\n// }}',
            f"{{\n  'a': {key} // last }}\n  /* }} */\n}}\n",
        )
        for first in layouts:
            for second in layouts:
                with self.subTest(first=first, second=second):
                    texts = texts_of(
                        write_sources(organisations=first),
                        write_sources(
                            fleets='{"g": {}}',
                            organisations=second.replace('a' * 64, 'b' * 64),
                        ),
                        NO_ALIASES,
                    )
                    text = texts['organisations.json']
                    for comment in ('// head { }', '// end', '/* } */', '// }'):
                        written = comment in f'{first}{second}'
                        self.assertEqual(written, comment in text, text)

    def test_merge_is_idempotent(self):
        out = write_sources()
        texts = texts_of(PAZLEN, THREADLANTERN)
        for file, text in texts.items():
            Path(out, file).write_text(text)
        for side in (THREADLANTERN, out):
            self.assertEqual(texts, texts_of(out, side))


class CommandTests(testtools.TestCase):
    def merge(self, code, *options):
        found, text = run('bundle', 'merge', PAZLEN, THREADLANTERN, *options)
        self.assertEqual(code, found, text)
        return text

    def test_existing_files_are_not_overwritten(self):
        out = str(Path(tempfile.mkdtemp(), 'merged'))
        renames = write_sources(
            aliases='{"services": {\n// Not cutting orders.\n'
            '"threadlantern/shopdesk": "threadlantern/staff-desk"}}'
        )
        options = ('--out', out, '--renames', f'{renames}/aliases.json')
        listed = self.merge(0, *options)
        self.assertIn('services shopdesk: pazlen/shopdesk at ', listed)
        before = file_states(out)
        self.assertEqual(5, len(before))
        self.assertIn('nothing changed', self.merge(0, *options))
        self.assertEqual(before, file_states(out))
        assembled = whole_bundle(out)
        found = find_service(assembled, 'shopdesk', 'threadlantern')
        self.assertEqual('threadlantern/staff-desk', found.name)
        # Without the renames the result differs from the existing files.
        self.assertIn('services.json', self.merge(3, '--out', out))
        self.assertEqual(before, file_states(out))

    def test_unresolved_conflicts_prevent_writing(self):
        out = Path(tempfile.mkdtemp(), 'merged')
        other = write_sources(fleets='{"pazlen": {"draw_fraction": 0.5}}')
        code, text = run('bundle', 'merge', PAZLEN, other, '--out', str(out))
        self.assertEqual(3, code, text)
        self.assertIn('fleets pazlen: ', text)
        self.assertFalse(out.exists())
        self.assertEqual(
            2, run('bundle', 'merge', PAZLEN, '--out', str(out))[0]
        )
        self.assertIs(cli.bundle_merge, cli.COMMANDS['bundle']['merge'])
