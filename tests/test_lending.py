"""
tests.test_lending
~~~~~~~~~~~~~~~~~~

Guards against lent credit that is spent twice or never returned.
"""

import functools

import testtools
import trio

from eelgrassfork.credit import CreditError
from eelgrassfork.lender_choice import order_lenders
from eelgrassfork.lending import LendingRefused
from eelgrassfork.membership import PeerRecord
from tests.credit_world import BUDGETS, World

BUDGET = BUDGETS[0]


def with_world(test):
    """Run a test in a credit world whose vm-a has 100 free tokens."""

    @functools.wraps(test)
    def wrapper(self):
        world = World()

        async def main():
            async with trio.open_nursery() as nursery:
                await world.start(nursery)
                world.top_up(BUDGET, 'op-1', 1000)
                lender = world.nodes_by_vm['vm-a']
                await lender.reserve(BUDGET, 100)
                lender.settle_all()
                await world.advance(3)
                await test(self, world, lender, world.nodes_by_vm['vm-b'])
                nursery.cancel_scope.cancel()

        trio.run(main, clock=world.clock)

    return wrapper


def account_of(node):
    return node.credit.dump()['accounts_by_budget'][BUDGET]


async def borrow(world, borrower, amount=40):
    """Borrow for a router while the platform is unreachable from it."""
    world.platform.set_faults(cut=('vm-b', 'vm-c'))
    await borrower.reserve(BUDGET, amount)
    return borrower.reserved[-1] if borrower.reserved else None


class LendingTests(testtools.TestCase):
    @with_world
    async def test_lender_lends_only_its_free_credit(
        self, world, lender, borrower
    ):
        reservation = await borrow(world, borrower, 80)
        self.assertEqual('vm-a', reservation.lender_vm)
        self.assertEqual(lender.holder, reservation.payer.holder)
        self.assertEqual(20, account_of(lender)['free'])
        await borrow(world, borrower, 21)
        self.assertEqual(['credit_unreachable'], borrower.refusals)
        self.assertEqual(100, account_of(lender)['limit'])

    @with_world
    async def test_home_router_draws_for_its_peers(self, world, lender, _):
        for may_draw, limit in ((False, 100), (True, 300)):
            try:
                await lender.credit.reserve_for_peer(
                    BUDGET, 300, may_draw=may_draw
                )
            except CreditError as error:
                self.assertEqual('credit_held_elsewhere', error.code)
            self.assertEqual(limit, account_of(lender)['limit'])

    @with_world
    async def test_settlement_is_resent_until_confirmed(
        self, world, lender, borrower
    ):
        reservation = await borrow(world, borrower)
        borrower.send(reservation, 30)
        world.cut_vms = {'vm-a'}
        borrower.settle_all()
        await world.advance(20)
        self.assertEqual(40, account_of(lender)['reserved'])
        world.cut_vms = set()
        world.peer_answers_to_lose = 2
        await world.advance(20)
        self.assertEqual(30, account_of(lender)['spent'])
        self.assertEqual(0, account_of(lender)['reserved'])
        self.assertEqual(0, borrower.loans.dump()['unsent_settlements'])

    @with_world
    async def test_reservation_with_lost_response_is_released(
        self, world, lender, borrower
    ):
        world.peer_answers_to_lose = 2
        self.assertIsNone(await borrow(world, borrower))
        await world.advance(20)
        self.assertEqual(100, account_of(lender)['free'])

    @with_world
    async def test_cancelled_reservation_that_arrives_late_is_refused(
        self, world, lender, borrower
    ):
        reference = f'{borrower.holder}/1'
        settle = {'loans': [(reference, lender.holder, 0)]}
        reserve = {'reference': reference, 'budget': BUDGET, 'amount': 40}
        handlers = lender.peers.handlers
        await handlers['settle'](borrower.holder, settle)
        with testtools.ExpectedException(LendingRefused):
            await handlers['reserve'](borrower.holder, reserve)
        with testtools.ExpectedException(LendingRefused):
            await handlers['reserve']('vm-c.3', reserve)
        self.assertEqual(100, account_of(lender)['free'])

    @with_world
    async def test_loan_of_a_dead_borrower_is_settled_from_engine_records(
        self, world, lender, borrower
    ):
        borrower.send(await borrow(world, borrower), 30)
        await borrow(world, borrower)
        borrower.gate.shut()
        await world.advance(60)
        self.assertEqual(80, account_of(lender)['reserved'])
        await world.restart('vm-b')
        await world.advance(6)
        self.assertEqual(0, account_of(lender)['reserved'])
        self.assertEqual(30, account_of(lender)['spent'])

    @with_world
    async def test_loan_stays_open_while_its_record_can_not_be_read(
        self, world, lender, borrower
    ):
        await borrow(world, borrower)
        world.engines_are_cut = True
        await world.restart('vm-b')
        await world.advance(60)
        self.assertEqual(40, account_of(lender)['reserved'])
        world.engines_are_cut = False
        await world.advance(6)
        self.assertEqual(0, account_of(lender)['reserved'])

    @with_world
    async def test_settlement_for_a_dead_lender_is_kept_for_its_reclaimer(
        self, world, lender, borrower
    ):
        reservation = await borrow(world, borrower)
        await world.restart('vm-a')
        borrower.send(reservation, 30)
        borrower.settle_all()
        await world.advance(20)
        report = borrower.loans.report_loans(lender.holder)
        self.assertEqual({str(reservation.payer): 30}, report['settled'])
        self.assertEqual([], report['open'])

    @with_world
    async def test_lender_with_reported_loans_gets_no_new_ones(
        self, world, lender, borrower
    ):
        borrower.loans.report_loans(lender.holder)
        self.assertIsNone(await borrow(world, borrower))


class LenderChoiceTests(testtools.TestCase):
    def test_ready_peers_of_the_own_domain_are_asked_first(self):
        peers = [
            PeerRecord('vm-1', '', 'far', '', 'ready', 1, False),
            PeerRecord('vm-2', '', 'near', '', 'ready', 1, True),
            PeerRecord('vm-3', '', 'near', '', 'draining', 1, False),
            PeerRecord('vm-4', '', 'near', '', 'ready', 1, False),
        ]
        order = [peer.vm for peer in order_lenders(peers, 'near', BUDGET)]
        self.assertEqual(['vm-4', 'vm-1'], order)
