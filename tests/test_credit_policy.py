"""
tests.test_credit_policy
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against unused credit kept by one holder and wrong refusal codes.
"""

import testtools

from eelgrassfork.credit_policy import (
    CreditNeed,
    draw_size,
    refusal_code,
    return_size,
    select_covered,
)

# (case, needed, free, demand, drawable, drawn)
DRAWS = (
    ('without demand only the shortfall', 10, 0, 0, 1000, 10),
    ('demand of one interval', 10, 0, 100, 1000, 100),
    ('free credit counts towards demand', 0, 60, 100, 1000, 40),
    ('enough free credit', 0, 200, 100, 1000, 0),
    ('in advance at most a quarter of the drawable', 0, 0, 100, 400, 100),
    ('near exhaustion only the shortfall', 10, 0, 100, 399, 10),
    ('near exhaustion nothing in advance', 0, 0, 100, 399, 0),
    ('all drawable credit if needed', 30, 0, 100, 30, 30),
    ('shortfall above the drawable credit', 31, 0, 100, 30, 0),
)

# (case, free, demand, drawable, idle seconds, returned)
RETURNS = (
    ('in use', 800, 100, 1000, 1, 0),
    ('far more than demand', 801, 100, 1000, 1, 601),
    ('nothing drawable for others', 101, 100, 0, 1, 1),
    ('nothing drawable, but needed here', 100, 100, 0, 1, 0),
    ('idle for less than the limit', 50, 0, 1000, 9, 0),
    ('idle for the limit', 50, 0, 1000, 10, 50),
)

# (case, granted, drawn, spent, amount, code)
REFUSALS = (
    (
        'other holders have enough unspent',
        100,
        100,
        40,
        60,
        'credit_held_elsewhere',
    ),
    (
        'short even if all unspent credit returns',
        100,
        100,
        40,
        61,
        'budget_exhausted',
    ),
    ('everything is spent', 100, 100, 100, 1, 'budget_exhausted'),
)


class CreditPolicyTests(testtools.TestCase):
    def test_advance_draw_is_limited_to_its_fraction(self):
        for case, needed, free, demand, drawable, drawn in DRAWS:
            with self.subTest(case):
                need = CreditNeed(needed, free, demand, drawable, 0.25)
                self.assertEqual(drawn, draw_size(need), case)

    def test_unneeded_credit_is_returned(self):
        for case, free, demand, drawable, idle_s, returned in RETURNS:
            with self.subTest(case):
                need = CreditNeed(0, free, demand, drawable, 0.25)
                self.assertEqual(returned, return_size(need, idle_s, 10), case)

    def test_final_refusal_only_when_no_return_would_help(self):
        for case, granted, drawn, spent, amount, code in REFUSALS:
            with self.subTest(case):
                entry = {'drawn': drawn, 'spent': spent}
                record = {
                    'granted': granted,
                    'closed_spent': 0,
                    'holders': {'a': entry},
                }
                self.assertEqual(code, refusal_code(record, amount), case)
        self.assertEqual('budget_exhausted', refusal_code(None, 1))

    def test_large_reservation_does_not_block_small_ones(self):
        self.assertEqual(
            [True, False, True, False], select_covered([40, 70, 50, 20], 100)
        )
