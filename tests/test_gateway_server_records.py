"""
tests.test_gateway_server_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers whose server records diverge after a full exchange.
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
    def test_result_does_not_depend_on_the_order(self, records, shuffler):
        first, second = ServerRecords(), ServerRecords()
        shuffled = list(records)
        shuffler.shuffle(shuffled)
        for record in records:
            first.put(record)
        for record in shuffled:
            second.put(record)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(sorted(first.export()), sorted(second.export()))

    def test_removal_supersedes_only_the_last_entry(self):
        records = ServerRecords()
        records.put(ServerRecord('s', 4, False, b'{}'))
        self.assertTrue(records.put(ServerRecord('s', 4, True, b'')))
        self.assertFalse(records.put(ServerRecord('s', 4, False, b'{}')))
        self.assertTrue(records.put(ServerRecord('s', 5, False, b'{}')))

    def test_servers_missing_from_a_listing_are_removed(self):
        records = ServerRecords()
        records.put(ServerRecord('s', 4, False, b'{}'))
        records.put(ServerRecord('t', 5, False, b'{}'))
        missing = records.removals_for_listing(['s'], 99)
        self.assertEqual([ServerRecord('t', 5, True, b'')], missing)
