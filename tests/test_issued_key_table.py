"""
tests.test_issued_key_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against unbounded memory, and evicted keys that count as unused.
"""

import testtools

from eelgrassfork import claim_records as records
from eelgrassfork.issued_key_table import (
    KeyEvicted,
    KeyLimits,
    KeyTable,
    parse_key,
)

LIMITS = KeyLimits(keys=6, keys_per_organisation=4, answer_bytes=100)


class TableTests(testtools.TestCase):
    def issue_number(self, organisation='p/a'):
        return parse_key(self.table.issue(organisation)).number

    def setUp(self):
        super().setUp()
        self.table = KeyTable('vm.x.1', LIMITS)

    def test_organisation_only_evicts_its_own_keys(self):
        other = self.issue_number('p/b')
        first = self.issue_number()
        for _ in range(4):
            self.issue_number()
        self.assertRaises(KeyEvicted, self.table.find, first, 'p/a')
        self.table.find(other, 'p/b')
        for _ in range(3):
            self.issue_number('p/c')
        self.assertRaises(KeyEvicted, self.table.find, other, 'p/b')
        self.assertEqual(6, self.table.dump()['remembered'])

    def test_old_bodies_are_evicted_but_not_their_outcomes(self):
        entries = [
            self.table.find(self.issue_number(), 'p/a') for _ in range(3)
        ]
        for entry in entries:
            answer = records.ClaimAnswer(200, (), b'x' * 40)
            self.table.set_claim(
                entry,
                records.ClaimRecord(
                    'h', 'vm.x.1', 0, entry.nonce, 'r', 1, 'ran', answer=answer
                ),
            )
        bodies = [entry.record.answer.body for entry in entries]
        self.assertEqual([None, b'x' * 40, b'x' * 40], bodies)
        self.assertEqual('ran', entries[0].record.state)
        self.assertEqual(80, self.table.dump()['answer_bytes'])
