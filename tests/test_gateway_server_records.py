"""
tests.test_gateway_server_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that disagree on servers after all has been passed on.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.gateway.server_records import ServerRecord, ServerRecords

RECORDS = st.builds(
    lambda server, revision, removed: ServerRecord(
        f's{server}', revision, removed, b'' if removed else b'{}'
    ),
    st.integers(0, 3),
    st.integers(1, 6),
    st.booleans(),
)


class ServerRecordsTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
    def test_any_order_leads_to_the_same(self, records, shuffler):
        first, second = ServerRecords(), ServerRecords()
        shuffled = list(records)
        shuffler.shuffle(shuffled)
        for record in records:
            first.put(record)
        for record in shuffled:
            second.put(record)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(sorted(first.export()), sorted(second.export()))

    def test_removal_wins_over_its_last_entry_only(self):
        records = ServerRecords()
        records.put(ServerRecord('s', 4, False, b'{}'))
        self.assertTrue(records.put(ServerRecord('s', 4, True, b'')))
        self.assertFalse(records.put(ServerRecord('s', 4, False, b'{}')))
        self.assertTrue(records.put(ServerRecord('s', 5, False, b'{}')))

    def test_listing_removes_what_it_lacks(self):
        records = ServerRecords()
        records.put(ServerRecord('s', 4, False, b'{}'))
        records.put(ServerRecord('t', 5, False, b'{}'))
        missing = records.removals_missing_from(['s'], 99)
        self.assertEqual([ServerRecord('t', 5, True, b'')], missing)
