"""
tests.test_platform_damaged_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against one object of another writer that hides all others of its page.
"""

import json

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from eelgrassfork.platform.damaged_pages import repair_page
from eelgrassfork.platform.store_client import _decode_page, _Events, _Page

SURROGATE = '\ud83d'


def stored(name, spec):
    return {'metadata': {'name': name, 'revision': 3}, 'spec': spec}


def page(*items):
    # The escapes of unpaired surrogates are ASCII.
    return json.dumps({'items': items, 'currentRev': 7}).encode()


class RepairTests(testtools.TestCase):
    def test_unpaired_surrogate_empties_only_its_object(self):
        body = page(stored('a', {'zone': SURROGATE}), stored('b', {'n': 1}))
        repaired, damaged = repair_page(body)
        items = json.loads(repaired)['items']
        self.assertEqual(('a',), damaged)
        self.assertIsNone(items[0]['spec'])
        self.assertEqual(stored('b', {'n': 1}), items[1])

    def test_bytes_that_are_not_utf8_empty_only_their_object(self):
        body = page(stored('a', {'zone': 'X'}), stored('b', {}))
        repaired, damaged = repair_page(body.replace(b'"X"', b'"\xff\xfe"'))
        self.assertEqual(('a',), damaged)
        self.assertEqual(2, len(json.loads(repaired)['items']))

    def test_damaged_name_leaves_the_page_readable(self):
        repaired, damaged = repair_page(page(stored(SURROGATE, {})))
        self.assertEqual(('?',), damaged)
        self.assertEqual(1, len(json.loads(repaired)['items']))

    def test_store_client_reads_the_other_objects(self):
        body = page(stored('a', {'zone': SURROGATE}), stored('b', {}))
        self.assertEqual(2, len(_decode_page(body, _Page).items))

    def test_watch_keeps_the_other_changes(self):
        events = [
            {'object': stored('a', SURROGATE), 'deleted': False},
            {'object': stored('b', {}), 'deleted': True},
        ]
        body = json.dumps({'events': events, 'currentRev': 9}).encode()
        decoded = _decode_page(body, _Events)
        self.assertEqual((2, 9), (len(decoded.events), decoded.current_rev))

    @given(st.binary(max_size=40))
    def test_any_bytes_in_one_object_leave_the_other(self, noise):
        quoted = b'"' + noise.replace(b'"', b'').replace(b'\\', b'') + b'"'
        body = page(stored('a', 'X'), stored('b', 1)).replace(b'"X"', quoted)
        try:
            repaired, _ = repair_page(body)
        except ValueError:
            return
        items = msgspec.json.decode(repaired)['items']
        self.assertEqual(stored('b', 1), items[1])
