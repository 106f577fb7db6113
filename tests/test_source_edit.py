"""
tests.test_source_edit
~~~~~~~~~~~~~~~~~~~~~~

Guards against edits that lose comments or records, or leave invalid sources.
"""

import json
import tempfile
from pathlib import Path

import testtools

from eelgrassfork import source_edit
from eelgrassfork.json_comments import read_document
from eelgrassfork.names import BadName
from eelgrassfork.options import OptionsError

HASH = 'a' * 64
OTHER_HASH = 'b' * 64
OLD = f'"old": {{"budgets_by_key_hash": {{"{HASH}": "main"}}, "services": []}}'


def write_sources(organisations):
    directory = tempfile.mkdtemp()
    contents = {
        'fleets': '{"pazlen": {}}',
        'services': '{"shop": {"kind": "plain"}}',
        'places': '{}',
        'organisations': organisations,
    }
    for kind, text in contents.items():
        Path(directory, f'{kind}.json').write_text(text, encoding='utf-8')
    return directory


def add(directory, name='new', key_hash=OTHER_HASH, services=('shop',)):
    fields = {
        'budgets_by_key_hash': {key_hash: 'main'},
        'services': list(services),
    }
    new = source_edit.NewOrganisation(name, fields)
    source_edit.add_organisation(directory, new)


class AddTests(testtools.TestCase):
    def test_existing_content_is_preserved_in_every_layout(self):
        cases = (
            '{}',
            '{\n}\n',
            f'{{{OLD}}}',
            f'{{{OLD},}}',
            f'// head }}\n{{\n  // why\n  {OLD}, // last\n}}\n// tail }}\n',
            f'{{\n  {OLD} // last }}\n  /* }} */\n}}\n',
        )
        for text in cases:
            with self.subTest(text=text):
                directory = write_sources(text)
                file = str(Path(directory, 'organisations.json'))
                before = read_document(file).content
                add(directory)
                after = read_document(file)
                self.assertEqual({*before, 'new'}, set(after.content))
                for comment in ('// head }', '// why', '// last', '// tail }'):
                    self.assertEqual(comment in text, comment in after.text)
                add(directory, 'newer', 'c' * 64)

    def test_plain_json_remains_valid(self):
        directory = write_sources(f'{{{OLD}}}')
        add(directory)
        json.loads(Path(directory, 'organisations.json').read_text())

    def test_rejected_additions_leave_the_file_unchanged(self):
        cases = (
            ({'name': 'old'}, source_edit.NameTaken),
            ({'name': 'pazlen/old'}, source_edit.NameTaken),
            ({'name': 'A'}, BadName),
            ({'name': 'other/x'}, OptionsError),
            ({'key_hash': HASH}, OptionsError),
            ({'services': ['none']}, OptionsError),
        )
        text = f'{{{OLD}}}'
        for options, kind in cases:
            with self.subTest(options=options):
                directory = write_sources(text)
                self.assertRaises(kind, add, directory, **options)
                kept = Path(directory, 'organisations.json').read_text()
                self.assertEqual(text, kept)
