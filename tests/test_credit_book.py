"""
tests.test_credit_book
~~~~~~~~~~~~~~~~~~~~~~

Guards against false refusals and delays while the platform is unreachable.
"""

import testtools
import trio
import trio.testing

from eelgrassfork import ledger
from eelgrassfork.credit import CreditError, Reservation
from eelgrassfork.names import PayerTag
from tests.test_ledger_writer import (
    BUDGET,
    code_of,
    draw_and_report,
    with_accounts,
)


class FakeLender:
    """Fake lender that lends up to a limit and records settlements."""

    def __init__(self, limit=0, is_preferred=False):
        self.limit = limit
        self.calls = 0
        self.settled = []
        self._is_first = is_preferred

    def is_preferred(self, budget):
        return self._is_first

    async def borrow(self, budget, amount):
        await trio.lowlevel.checkpoint()
        self.calls += 1
        if amount > self.limit:
            return None
        return Reservation(PayerTag('vm-b.1', budget, 1), amount, 'vm-b')

    def settle(self, reservation, spent):
        self.settled.append((reservation.payer.holder, spent))


def set_lender(accounts, lender):
    accounts._lender = lender
    return lender


class PlatformDownTests(testtools.TestCase):
    @with_accounts
    async def test_own_credit_is_reserved_without_a_platform_call(
        self, platform, accounts, _
    ):
        await draw_and_report(accounts)
        platform.set_faults(down=True)
        calls = platform.core.calls_by_kind.total()
        for _ in range(3):
            await accounts.reserve(BUDGET, 100)
        self.assertEqual(calls, platform.core.calls_by_kind.total())

    @with_accounts
    async def test_only_the_first_refusal_waits_for_a_slow_platform(
        self, platform, accounts, _
    ):
        platform.set_faults(delay_s=60)
        waits = []
        for _ in range(3):
            started_at = trio.current_time()
            self.assertEqual('credit_unreachable', await code_of(accounts, 1))
            waits.append(trio.current_time() - started_at)
        self.assertEqual([1, 0, 0], waits)

    @with_accounts
    async def test_all_waiters_are_refused_once_the_platform_is_down(
        self, platform, accounts, _
    ):
        platform.set_faults(down=True, delay_s=0.5)
        async with trio.open_nursery() as nursery:
            for amount in range(1, 9):
                nursery.start_soon(code_of, accounts, amount)
        self.assertEqual(0.5, trio.current_time())

    @with_accounts
    async def test_platform_is_used_again_soon_after_recovery(
        self, platform, accounts, _
    ):
        platform.set_faults(down=True)
        self.assertEqual('credit_unreachable', await code_of(accounts, 1))
        await trio.sleep(60)
        platform.set_faults(down=False)
        await trio.sleep(4)
        self.assertEqual('', await code_of(accounts, 1))

    @with_accounts
    async def test_peers_are_asked_before_a_refusal(
        self, platform, accounts, _
    ):
        lender = set_lender(accounts, FakeLender(limit=50))
        platform.set_faults(down=True)
        reservation = await accounts.reserve(BUDGET, 50)
        accounts.settle(reservation, 30)
        self.assertEqual([('vm-b.1', 30)], lender.settled)
        self.assertEqual('credit_unreachable', await code_of(accounts, 51))

    @with_accounts
    async def test_home_router_is_asked_before_the_platform(
        self, platform, accounts, _
    ):
        set_lender(accounts, FakeLender(limit=50, is_preferred=True))
        await accounts.reserve(BUDGET, 50)
        self.assertEqual(0, platform.core.calls_by_kind.total())
        await accounts.reserve(BUDGET, 51)
        self.assertGreaterEqual(platform.entry()['drawn'], 51)


class RefusalTests(testtools.TestCase):
    @with_accounts
    async def test_refusal_code_tells_exhausted_from_held_elsewhere(
        self, platform, accounts, _
    ):
        lender = set_lender(accounts, FakeLender())
        entry = {'drawn': 900, 'spent': 400, 'through': 0, 'beyond': ()}
        platform.store(
            ledger.put_holder_entry(platform.shard(), BUDGET, 'vm-b.1', entry)
        )
        cases = (
            (601, 'budget_exhausted', 0),
            (600, 'credit_held_elsewhere', 1),
            (101, 'credit_held_elsewhere', 2),
            (100, '', 2),
        )
        for amount, code, calls in cases:
            with self.subTest(amount=amount):
                self.assertEqual(code, await code_of(accounts, amount))
                self.assertEqual(calls, lender.calls)

    @with_accounts
    async def test_refused_and_cancelled_numbers_are_settled(
        self, platform, accounts, _
    ):
        with trio.move_on_after(0.1):
            platform.set_faults(delay_s=0.5)
            await accounts.reserve(BUDGET, 10)
        platform.set_faults(delay_s=0)
        await code_of(accounts, 5000)
        payer = accounts.allocate(BUDGET)
        unused = accounts.allocate(BUDGET)
        accounts.abandon(unused)
        reservation = await accounts.reserve(BUDGET, 10, payer)
        self.assertEqual((payer, 3), (reservation.payer, payer.number))
        accounts.settle(reservation, 10)
        await trio.sleep(3)
        self.assertEqual(4, platform.entry()['through'])

    @with_accounts
    async def test_spend_above_the_reservation_is_not_billed(
        self, platform, accounts, _
    ):
        reservation = await accounts.reserve(BUDGET, 10)
        accounts.settle(reservation, 11)
        accounts.settle(reservation, 11)
        await trio.sleep(3)
        self.assertEqual(10, platform.entry()['spent'])


class ShutdownTests(testtools.TestCase):
    @with_accounts
    async def test_fenced_holder_stops_at_once(self, platform, accounts, _):
        reservation = await accounts.reserve(BUDGET, 300)
        platform.store(ledger.close_holder(platform.shard(), BUDGET, 'vm-a.1'))
        accounts.settle(reservation, 100)
        await trio.sleep(3)
        self.assertEqual([1], self.fenced)
        self.assertEqual('credit_unreachable', await code_of(accounts, 1))
        await trio.sleep(60)
        self.assertIsNone(platform.entry())

    @with_accounts
    async def test_close_returns_free_credit_and_waits_for_reservations(
        self, platform, accounts, nursery
    ):
        accounts.settle(await accounts.reserve(BUDGET, 300), 100)
        reservation = await accounts.reserve(BUDGET, 50)
        nursery.start_soon(accounts.close)
        await trio.sleep(10)
        self.assertEqual(150, platform.entry()['drawn'])
        accounts.settle(reservation, 20)
        await trio.testing.wait_all_tasks_blocked()
        self.assertIsNone(platform.entry())
        record = platform.shard()['budgets'][BUDGET]
        self.assertEqual(120, record['closed_spent'])

    @with_accounts
    async def test_cancelled_close_leaves_open_reservations(
        self, platform, accounts, _
    ):
        await accounts.reserve(BUDGET, 50)
        with trio.move_on_after(7) as scope:
            await accounts.close()
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual(50, platform.entry()['drawn'])
        with testtools.ExpectedException(CreditError):
            await accounts.reserve('pazlen/other/main', 1)
