"""
tests.test_gateway_ledger
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against granting more credit than an organisation has paid for.
"""

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.gateway.ledger import (
    EMPTY,
    Operation,
    Transfer,
    apply_transfer,
    decode_ledger,
    encode_ledger,
    has_applied,
    remaining,
    sum_by_organisation,
)

AMOUNTS = st.integers(0, 2000)


class LedgerTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.tuples(AMOUNTS, AMOUNTS), max_size=12))
    def test_draws_never_exceed_what_was_paid(self, wishes):
        ledger = EMPTY
        held = 0
        for number, (drawn, returned) in enumerate(wishes):
            given_back = min(returned, held)
            transfer = Transfer({'a': drawn}, {'a': given_back}, {})
            ledger, got = apply_transfer(
                ledger, transfer, {'a': 3000}, 'n', Operation(1, number)
            )
            held += got['a'] - given_back
            self.assertLessEqual(held, 3000)
            self.assertEqual(3000 - held, remaining(ledger, 'a', 3000))

    def test_nothing_is_granted_beyond_a_lowered_limit(self):
        ledger, _ = apply_transfer(
            EMPTY,
            Transfer({'a': 500}, {}, {}),
            {'a': 500},
            'n',
            Operation(1, 1),
        )
        _, got = apply_transfer(
            ledger,
            Transfer({'a': 50}, {}, {}),
            {'a': 100},
            'n',
            Operation(1, 2),
        )
        self.assertEqual({'a': 0}, got)

    def test_unknown_organisation_gets_nothing(self):
        _, got = apply_transfer(
            EMPTY, Transfer({'a': 5}, {}, {}), {}, 'n', Operation(1, 1)
        )
        self.assertEqual({'a': 0}, got)

    def test_write_is_identified_by_number_and_incarnation(self):
        ledger, _ = apply_transfer(
            EMPTY, Transfer({}, {}, {'a': 1}), {}, 'n', Operation(7, 1)
        )
        self.assertTrue(has_applied(ledger, 'n', Operation(7, 1)))
        self.assertFalse(has_applied(ledger, 'n', Operation(7, 2)))
        self.assertFalse(has_applied(ledger, 'n', Operation(8, 1)))

    def test_encoded_ledger_decodes_to_the_same(self):
        ledger, _ = apply_transfer(
            EMPTY,
            Transfer({'a': 9}, {}, {'b': 4}),
            {'a': 20},
            'n',
            Operation(7, 1),
        )
        encoded = msgspec.json.encode(encode_ledger(ledger))
        self.assertEqual(ledger, decode_ledger(encoded))

    def test_malformed_ledger_is_rejected(self):
        self.assertRaises(msgspec.DecodeError, decode_ledger, b'{"granted":3}')

    def test_sums_by_organisation(self):
        self.assertEqual(
            {'a': 3, 'b': 1}, sum_by_organisation({'a': 1}, {'a': 2, 'b': 1})
        )
