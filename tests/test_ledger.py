"""
tests.test_ledger
~~~~~~~~~~~~~~~~~

Guards against a ledger shard that grants or loses credit.
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


# (name, change of a shard, code of its refusal)
REFUSED = (
    (
        'draw over the rest',
        lambda one: ledger.put_holder_entry(one, BUDGET, 'b', entry(41, 0)),
        'credit_held_elsewhere',
    ),
    (
        'spent over drawn',
        lambda one: ledger.put_holder_entry(one, BUDGET, 'b', entry(5, 6)),
        'bad_entry',
    ),
    (
        'entry of no budget',
        lambda one: ledger.put_holder_entry(one, 'x/y/z', 'b', entry(1, 0)),
        'unknown_budget',
    ),
    (
        'closed twice',
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
        'operation id of another amount',
        lambda one: ledger.top_up(one, BUDGET, 'op-1', 7),
        'operation_id_reused',
    ),
    (
        'view of no budget',
        lambda one: ledger.view_budget(one, 'x/y/z'),
        'unknown_budget',
    ),
)


class RefusalTests(testtools.TestCase):
    def test_change_that_would_overspend_or_count_twice_is_refused(self):
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

    def test_draw_of_the_whole_rest_is_allowed(self):
        after = ledger.put_holder_entry(
            shard(a=entry(50, 20)), BUDGET, 'b', entry(40, 0)
        )
        self.assertEqual(0, ledger.unreserved(after['budgets'][BUDGET]))

    def test_close_gives_back_what_is_not_spent(self):
        before = shard(a=entry(50, 20), b=entry(5, 5))
        record = ledger.close_holder(before, BUDGET, 'a', 7)['budgets'][BUDGET]
        self.assertEqual(37, record['closed_spent'])
        self.assertEqual(['b'], list(record['holders']))
        self.assertEqual(58, ledger.unreserved(record))

    def test_unreported_spend_is_bounded_by_the_account(self):
        record = ledger.close_holder(shard(a=entry(50, 20)), BUDGET, 'a', 99)[
            'budgets'
        ][BUDGET]
        self.assertEqual(60, record['closed_spent'])

    def test_content_round_trips_and_bad_content_is_an_error(self):
        before = shard(a=entry(50, 20, 3, ((5, 6), (9, 9))))
        body = ledger.encode_shard(before)
        self.assertEqual(before, ledger.decode_shard(body))
        for bad in (b'', b'{}', body.replace(b'50', b'"50"')):
            with self.subTest(bad=bad):
                error = self.assertRaises(
                    ledger.LedgerError, ledger.decode_shard, bad
                )
                self.assertEqual('bad_ledger', error.code)

    def test_view_adds_up(self):
        view = ledger.view_budget(shard(a=entry(50, 20), b=entry(5, 5)), BUDGET)
        self.assertEqual({'a': 30, 'b': 0}, view.held_by_holder)
        self.assertEqual((35, 30, 35), (view.spent, view.held, view.unreserved))
        self.assertEqual(view.granted, view.spent + view.held + view.unreserved)
