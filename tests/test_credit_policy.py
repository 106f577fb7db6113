"""
tests.test_credit_policy
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against credit stranded at one holder and against wrong refusals.
"""

import testtools

from eelgrassfork.credit_policy import (
    CreditNeed,
    draw_size,
    refusal_code,
    return_size,
    select_covered,
)

# (case, needed, free, demand, rest, drawn)
DRAWS = (
    ('only what is needed without demand', 10, 0, 0, 1000, 10),
    ('demand of the interval', 10, 0, 100, 1000, 100),
    ('what is free counts towards demand', 0, 60, 100, 1000, 40),
    ('enough free', 0, 200, 100, 1000, 0),
    ('at most a quarter of the rest', 0, 0, 100, 400, 100),
    ('near exhaustion only what is needed', 10, 0, 100, 399, 10),
    ('near exhaustion nothing ahead', 0, 0, 100, 399, 0),
    ('the whole rest if needed', 30, 0, 100, 30, 30),
    ('more than the rest', 31, 0, 100, 30, 0),
)

# (case, free, demand, rest, idle for seconds, returned)
RETURNS = (
    ('in use', 800, 100, 1000, 1, 0),
    ('far more than demand', 801, 100, 1000, 1, 601),
    ('others lack it', 101, 100, 0, 1, 1),
    ('others lack it, but it is needed here', 100, 100, 0, 1, 0),
    ('pause', 50, 0, 1000, 9, 0),
    ('idle', 50, 0, 1000, 10, 50),
)

# (case, granted, drawn, spent, amount, code)
REFUSALS = (
    ('others hold enough', 100, 100, 40, 60, 'credit_held_elsewhere'),
    ('even returned credit is short', 100, 100, 40, 61, 'budget_exhausted'),
    ('all is spent', 100, 100, 100, 1, 'budget_exhausted'),
)


class CreditPolicyTests(testtools.TestCase):
    def test_advance_draw_is_limited_to_its_fraction(self):
        for case, needed, free, demand, rest, drawn in DRAWS:
            with self.subTest(case):
                need = CreditNeed(needed, free, demand, rest, 0.25)
                self.assertEqual(drawn, draw_size(need), case)

    def test_unneeded_credit_is_returned(self):
        for case, free, demand, rest, idle_s, returned in RETURNS:
            with self.subTest(case):
                need = CreditNeed(0, free, demand, rest, 0.25)
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
