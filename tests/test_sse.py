"""
tests.test_sse
~~~~~~~~~~~~~~

Guards against events that are altered, lost or of unlimited size.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import sse

EVENTS = (
    b'data: {"a": 1}\n\n',
    b': comment\r\n\r\n',
    b'id: 7\nevent: error\ndata:x\ndata: y\n\n',
    b'data: \xd1\x8a\r\n\r\n',
    b'data: [DONE]\n\n',
)


class EventSplitterTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(st.sampled_from(EVENTS), max_size=8),
        st.lists(st.integers(1, 9), min_size=1, max_size=5),
    )
    def test_any_cut_of_the_bytes_gives_the_same_events(self, events, sizes):
        stream = b''.join(events)
        splitter = sse.EventSplitter()
        found = []
        position = 0
        while position < len(stream):
            size = sizes[len(found) % len(sizes)]
            found += splitter.feed(stream[position : position + size])
            position += size
        self.assertEqual(events, found)
        self.assertEqual(b'', splitter.pending)

    def test_incomplete_event_is_buffered(self):
        splitter = sse.EventSplitter()
        self.assertEqual([], splitter.feed(b'data: half\n'))
        self.assertEqual(b'data: half\n', splitter.pending)

    def test_oversized_events_are_rejected(self):
        for chunk in (b'x' * 65, b'x' * 63 + b'\n\n'):
            with self.subTest(chunk=chunk):
                splitter = sse.EventSplitter(max_event_bytes=64)
                self.assertRaises(sse.EventTooLarge, splitter.feed, chunk)


class EventDataTests(testtools.TestCase):
    def test_data_lines_are_joined(self):
        expected = (b'{"a": 1}', b'', b'x\ny', b'\xd1\x8a', sse.DONE)
        self.assertEqual(expected, tuple(map(sse.event_data, EVENTS)))

    def test_encoded_event_is_parsed_back(self):
        event = sse.make_event(b'{}', 'error')
        self.assertEqual([event], sse.EventSplitter().feed(event))
        self.assertEqual(b'{}', sse.event_data(event))
