"""
tests.test_gateway_ledger_copy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against drawing from a ledger that a restore of the store has set back,
and against waiting for good for routers that could complete it.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.ledger import (
    EMPTY,
    LedgerPosition,
    LedgerWrite,
    encode_ledger,
    includes,
)
from eelgrassfork.gateway.ledger_copy import LedgerCopy
from eelgrassfork.gateway.ledger_history import LedgerHistory
from eelgrassfork.gateway.store import StoredObject
from eelgrassfork.gateway.store_era import StoreEra, join_revision

from .mock_clock import run


def stored(era, ledger_era, serial, granted=100):
    ledger = EMPTY._replace(
        granted_by_organisation={'a': granted},
        position=LedgerPosition(ledger_era, serial),
    )
    return StoredObject(
        'ledger',
        join_revision(era, serial),
        msgspec.json.encode(encode_ledger(ledger)),
    )


class Copies:
    """A router's copy of the ledger, and the writes reported to it."""

    def __init__(self):
        self.era = StoreEra()
        self.history = LedgerHistory()
        self.copy = LedgerCopy(
            self.era, self.history, lambda: {'a': 1000}, lambda: 0
        )

    def adopt(self, *arguments):
        self.copy.adopt(stored(*arguments))
        return self.copy.ledger.granted_by_organisation.get('a')


class LedgerCopyTests(testtools.TestCase):
    def test_nobody_draws_for_a_second_after_a_restore(self):
        async def main():
            router = Copies()
            router.adopt(1, 1, 9, 700)
            granted = router.adopt(2, 1, 5, 100)
            may_draw = [router.copy.may_draw]
            for _ in range(2):
                await trio.sleep(0.6)
                may_draw.append(router.copy.may_draw)
            return granted, router.copy.is_incomplete, may_draw

        self.assertEqual((700, True, [False, False, True]), run(main))

    def test_router_that_knows_nothing_leaves_the_recovery_to_others(self):
        async def main():
            router = Copies()
            router.adopt(2, 1, 5, 100)
            abstained = router.copy.is_abstaining
            await trio.sleep(1)
            granted = router.adopt(2, 2, 12, 700)
            return abstained, granted, router.copy.is_abstaining

        self.assertEqual((True, 700, False), run(main))

    def test_draws_that_nobody_remembers_are_assumed(self):
        async def main():
            router = Copies()
            router.adopt(2, 1, 5, 100)
            await trio.sleep(2)
            return router.adopt(2, 1, 5, 100), router.copy.is_incomplete

        self.assertEqual((200, True), run(main))

    def test_router_that_was_told_of_all_writes_recovers_at_once(self):
        async def main():
            router = Copies()
            position = LedgerPosition(1, 6)
            router.history.merge([LedgerWrite(position, {'a': 40}, {})])
            return router.adopt(2, 1, 5, 100), router.copy.is_abstaining

        self.assertEqual((140, False), run(main))

    def test_ledger_has_to_be_read_again_once_a_restore_is_known(self):
        async def main():
            router = Copies()
            router.adopt(1, 1, 9)
            before = router.copy.must_read
            router.era.observe(1, 'store')
            router.era.observe(2, 'n2')
            return before, router.copy.must_read

        self.assertEqual((False, True), run(main))

    def test_ledger_that_a_restore_removed_is_written_at_once(self):
        async def main():
            router = Copies()
            router.adopt(1, 1, 9, 700)
            router.era.observe(1, 'store')
            router.era.observe(2, 'store')
            router.copy.adopt(None)
            granted = router.copy.ledger.granted_by_organisation
            return granted, router.copy.is_incomplete, router.copy.may_draw

        self.assertEqual(({'a': 700}, True, False), run(main))

    def test_first_ledger_and_that_of_a_former_build_need_no_recovery(self):
        async def main():
            states = []
            for content in (None, b'{"granted": {"a": 40}, "spent": {}}'):
                router = Copies()
                found = content and StoredObject('ledger', 7, content)
                router.copy.adopt(found)
                states.append((router.copy.is_incomplete, router.copy.may_draw))
            return states

        self.assertEqual([(False, True)] * 2, run(main))

    def test_router_that_knows_only_some_of_the_lost_writes_waits(self):
        # It had started shortly before the restore.
        async def main():
            router = Copies()
            for serial in (6, 9):
                position = LedgerPosition(1, serial)
                router.history.merge([LedgerWrite(position, {'a': 40}, {})])
            router.copy.adopt(stored(2, 1, 5, 100))
            return router.copy.is_abstaining

        self.assertTrue(run(main))

    def test_late_write_of_an_earlier_era_does_not_mislead_a_new_router(self):
        # It replaced a ledger of the present era, and the router knows only
        # a write after that one.
        async def main():
            router = Copies()
            position = LedgerPosition(2, 14)
            router.history.merge([LedgerWrite(position, {'a': 40}, {})])
            router.copy.adopt(stored(2, 1, 6, 100))
            return router.copy.is_abstaining

        self.assertTrue(run(main))

    def test_new_router_waits_before_it_makes_a_ledger_in_a_later_era(self):
        # The copy may be from before the first ledger, and others know more.
        async def main():
            router = Copies()
            router.era.observe(2, 'store')
            router.copy.adopt(None)
            abstained = router.copy.is_abstaining
            await trio.sleep(2)
            router.copy.adopt(None)
            lost = LedgerPosition(1, 1)
            return (
                abstained,
                router.copy.is_abstaining,
                router.copy.may_draw,
                includes(router.copy.ledger, lost),
            )

        self.assertEqual((True, False, False, False), run(main))
