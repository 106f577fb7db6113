"""
tests.test_gateway_ledger_recovery
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against writes of the ledger that are repeated twice, or not at all,
after a restore of the store.
"""

import msgspec
import testtools

from eelgrassfork.gateway.ledger import (
    EMPTY,
    LedgerPosition,
    LedgerWrite,
    decode_ledger,
    encode_ledger,
    includes,
)
from eelgrassfork.gateway.ledger_recovery import (
    assume_undone_draws,
    complete_ledger,
    knows_undone_writes,
)

COPY = EMPTY._replace(
    granted_by_organisation={'a': 100, 'b': 50},
    spent_by_organisation={'a': 10},
    position=LedgerPosition(1, 7),
)


def write(serial, granted, era=1):
    return LedgerWrite(LedgerPosition(era, serial), granted, {})


WRITES = [write(6, {'a': 9}), write(8, {'a': 30}), write(10, {'b': -20})]


class CompleteTests(testtools.TestCase):
    def test_writes_that_the_copy_lacks_are_added(self):
        completed = complete_ledger(COPY, EMPTY, WRITES, 2)
        self.assertEqual({'a': 130, 'b': 30}, completed.granted_by_organisation)
        self.assertEqual(LedgerPosition(2, 10), completed.position)
        self.assertFalse(completed.is_settled)

    def test_completed_ledger_lacks_nothing_more(self):
        completed = complete_ledger(COPY, EMPTY, WRITES, 2)
        self.assertIs(completed, complete_ledger(completed, EMPTY, WRITES, 2))

    def test_late_router_adds_its_writes_only(self):
        completed = complete_ledger(COPY, EMPTY, WRITES, 2)
        late = complete_ledger(
            completed, EMPTY, [*WRITES, write(9, {'a': 4})], 2
        )
        self.assertEqual({'a': 134, 'b': 30}, late.granted_by_organisation)
        self.assertEqual({1: (10,)}, late.serials_by_era)

    def test_newer_known_ledger_replaces_the_copy(self):
        known = COPY._replace(
            granted_by_organisation={'a': 400}, position=LedgerPosition(1, 9)
        )
        completed = complete_ledger(COPY, known, WRITES, 2)
        self.assertEqual(
            {'a': 400, 'b': -20}, completed.granted_by_organisation
        )

    def test_late_write_of_an_earlier_era_does_not_undo_the_recovery(self):
        known = complete_ledger(COPY, EMPTY, WRITES, 2)
        newer = [*WRITES, write(11, {'a': 1}, era=2)]
        completed = complete_ledger(COPY, known, newer, 2)
        self.assertEqual({'a': 131, 'b': 30}, completed.granted_by_organisation)

    def test_second_restore_to_the_same_copy_keeps_both_eras(self):
        known = complete_ledger(COPY, EMPTY, WRITES, 2)
        newer = [*WRITES, write(11, {'a': 1}, era=2)]
        completed = complete_ledger(COPY, known, newer, 3)
        self.assertEqual({'a': 131, 'b': 30}, completed.granted_by_organisation)
        for position in (LedgerPosition(1, 8), LedgerPosition(2, 11)):
            self.assertTrue(includes(completed, position))

    def test_newer_write_of_the_present_era_is_not_added_to_an_old_read(self):
        self.assertIs(COPY, complete_ledger(COPY, EMPTY, WRITES, 1))

    def test_ledger_of_a_former_build_is_adopted(self):
        unnumbered = COPY._replace(position=EMPTY.position)
        completed = complete_ledger(unnumbered, EMPTY, [], 1)
        self.assertEqual({'a': 100, 'b': 50}, completed.granted_by_organisation)
        self.assertTrue(completed.is_settled)

    def test_ledger_that_the_copy_lacks_is_made_again(self):
        completed = complete_ledger(EMPTY, COPY, WRITES, 2)
        self.assertEqual({'a': 130, 'b': 30}, completed.granted_by_organisation)
        self.assertFalse(completed.is_settled)

    def test_stored_form_keeps_the_position(self):
        completed = complete_ledger(COPY, EMPTY, WRITES, 2)
        content = msgspec.json.encode(encode_ledger(completed))
        self.assertEqual(completed, decode_ledger(content))


class UndoneTests(testtools.TestCase):
    def knows(self, known, *serials):
        writes = [write(serial, {'a': 1}) for serial in serials]
        return knows_undone_writes(COPY, known, writes)

    def test_router_that_knows_as_much_as_the_copy_can_recover_it(self):
        self.assertTrue(self.knows(COPY))
        self.assertTrue(self.knows(EMPTY, 7))
        self.assertTrue(self.knows(EMPTY, 8, 9))
        self.assertFalse(self.knows(EMPTY, 6))
        self.assertFalse(self.knows(EMPTY))

    def test_router_that_missed_a_write_can_not(self):
        self.assertFalse(self.knows(EMPTY, 9))
        self.assertFalse(self.knows(COPY, 8, 10))
        newer = COPY._replace(position=LedgerPosition(1, 9))
        self.assertTrue(self.knows(newer, 8, 10))

    def test_writes_of_a_later_era_follow_those_before(self):
        later = [write(8, {'a': 1}), write(9, {'a': 1}, era=2)]
        self.assertTrue(knows_undone_writes(COPY, EMPTY, later))
        self.assertFalse(knows_undone_writes(COPY, EMPTY, later[1:]))


class AssumptionTests(testtools.TestCase):
    def test_assumed_draws_grow_with_the_rate_and_the_time(self):
        copy = COPY._replace(started_ms=10_000, written_ms=20_000)
        for now_ms, expected in (
            (20_000, {'a': 200, 'b': 56, 'c': 4}),
            (24_000, {'a': 260, 'b': 60, 'c': 4}),
            (99_000, {'a': 1000, 'b': 60, 'c': 4}),
        ):
            changed = assume_undone_draws(
                copy, {'a': 1000, 'b': 60, 'c': 40}, now_ms
            )
            self.assertEqual(expected, changed.granted_by_organisation)
