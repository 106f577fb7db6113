"""
tests.test_settled_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against billing a reservation again after its holder's death.
"""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from eelgrassfork.settled_numbers import (
    SettledNumbers,
    is_settled,
    with_number,
)


class SettledNumbersTests(testtools.TestCase):
    @given(st.lists(st.integers(1, 12), max_size=24))
    def test_any_order_gives_the_same_set(self, numbers):
        settled = SettledNumbers()
        for number in numbers:
            settled = with_number(settled, number)
        members = {
            number for number in range(1, 14) if is_settled(settled, number)
        }
        self.assertEqual(set(numbers), members)

    @given(st.permutations(range(1, 11)))
    def test_ranges_join_so_that_the_entry_stays_small(self, numbers):
        settled = SettledNumbers()
        for number in numbers:
            settled = with_number(settled, number)
            gaps = max(numbers) - settled.through
            self.assertLessEqual(len(settled.beyond), (gaps + 1) // 2)
        self.assertEqual(SettledNumbers(10), settled)
