"""
tests.test_ledger
~~~~~~~~~~~~~~~~~

Guards against ledger operations that create or lose credit.
"""

import copy

import testtools

from eelgrassfork import ledger

BUDGET = 'pazlen/atelier/main'


def entry(drawn, spent, through=0, beyond=()):
    return {
        'drawn': drawn,
        'spent': spent,
        'through': through,
        'beyond': beyond,
    }


def shard(granted=100, closed_spent=10, **entries):
    record = {
        'granted': granted,
        'top_ups': {'op-1': granted},
        'closed_spent': closed_spent,
        'holders': entries,
    }
    return {'budgets': {BUDGET: record}}


# (case, operation on a shard, expected error code)
REFUSED = (
    (
        'draw exceeds unreserved credit',
        lambda one: ledger.put_holder_entry(one, BUDGET, 'b', entry(41, 0)),
        'credit_held_elsewhere',
    ),
    (
        'spent exceeds drawn',
        lambda one: ledger.put_holder_entry(one, BUDGET, 'b', entry(5, 6)),
        'bad_entry',
    ),
    (
        'entry of unknown budget',
        lambda one: ledger.put_holder_entry(one, 'x/y/z', 'b', entry(1, 0)),
        'unknown_budget',
    ),
    (
        'holder closed twice',
        lambda one: ledger.close_holder(
            ledger.close_holder(one, BUDGET, 'a'), BUDGET, 'a'
        ),
        'unknown_entry',
    ),
    (
        'negative top-up',
        lambda one: ledger.top_up(one, BUDGET, 'op-2', -1),
        'bad_amount',
    ),
    (
        'operation id reused with another amount',
        lambda one: ledger.top_up(one, BUDGET, 'op-1', 7),
        'operation_id_reused',
    ),
    (
        'view of unknown budget',
        lambda one: ledger.view_budget(one, 'x/y/z'),
        'unknown_budget',
    ),
)


class RefusalTests(testtools.TestCase):
    def test_invalid_change_is_refused_and_leaves_shard_unchanged(self):
        for name, change, code in REFUSED:
            with self.subTest(name):
                before = shard(a=entry(50, 20))
                kept = copy.deepcopy(before)
                refusal = change(before)
                self.assertIsInstance(refusal, ledger.Refusal)
                self.assertEqual(code, refusal.code)
                self.assertEqual(kept, before)


class ChangeTests(testtools.TestCase):
    def test_repeated_top_up_grants_once(self):
        once = ledger.top_up(ledger.empty_shard(), BUDGET, 'op-1', 100)
        twice = ledger.top_up(once, BUDGET, 'op-1', 100)
        self.assertEqual(100, once['budgets'][BUDGET]['granted'])
        self.assertEqual(once, twice)

    def test_drawing_all_unreserved_credit_is_allowed(self):
        after = ledger.put_holder_entry(
            shard(a=entry(50, 20)), BUDGET, 'b', entry(40, 0)
        )
        self.assertEqual(0, ledger.unreserved(after['budgets'][BUDGET]))

    def test_close_returns_unspent_credit(self):
        before = shard(a=entry(50, 20), b=entry(5, 5))
        record = ledger.close_holder(before, BUDGET, 'a', 7)['budgets'][BUDGET]
        self.assertEqual(37, record['closed_spent'])
        self.assertEqual(['b'], list(record['holders']))
        self.assertEqual(58, ledger.unreserved(record))

    def test_unreported_spend_is_capped_at_drawn_credit(self):
        record = ledger.close_holder(shard(a=entry(50, 20)), BUDGET, 'a', 99)[
            'budgets'
        ][BUDGET]
        self.assertEqual(60, record['closed_spent'])

    def test_shard_round_trips_and_malformed_content_is_rejected(self):
        before = shard(a=entry(50, 20, 3, ((5, 6), (9, 9))))
        body = ledger.encode_shard(before)
        self.assertEqual(before, ledger.decode_shard(body))
        for malformed in (b'', b'{}', body.replace(b'50', b'"50"')):
            with self.subTest(malformed=malformed):
                error = self.assertRaises(
                    ledger.LedgerError, ledger.decode_shard, malformed
                )
                self.assertEqual('bad_ledger', error.code)

    def test_view_amounts_sum_to_granted(self):
        view = ledger.view_budget(shard(a=entry(50, 20), b=entry(5, 5)), BUDGET)
        self.assertEqual({'a': 30, 'b': 0}, view.held_by_holder)
        self.assertEqual((35, 30, 35), (view.spent, view.held, view.unreserved))
        self.assertEqual(view.granted, view.spent + view.held + view.unreserved)
