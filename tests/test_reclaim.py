"""
tests.test_reclaim
~~~~~~~~~~~~~~~~~~

Guards against spend of a dead holder being lost or counted twice.
"""

import testtools
import trio

from eelgrassfork import ledger
from eelgrassfork.names import PayerTag
from eelgrassfork.platform_types import AnswerLost
from eelgrassfork.reclaim_plan import (
    Evidence,
    reclaim_rank,
    unreported_spend,
)
from eelgrassfork.spend_records import SpendRecord
from tests.credit_world import BUDGETS, KEY
from tests.test_lending import BUDGET, borrow, with_world

LIVE = {'near': ['vm-1', 'vm-2', 'vm-3'], 'far': ['vm-4', 'vm-5']}


def tag(number, budget=BUDGET):
    return PayerTag('vm-a.1', budget, number)


def record(request_id, number, tokens, budget=BUDGET):
    return SpendRecord(request_id, tag(number, budget), tokens)


# (case, records, settled by borrowers, unreported tokens); reservations 1, 2
# and 4 are settled.
SPENDS = (
    ('open request', [record('r', 3, 7)], {}, 7),
    ('settled requests', [record('r', 2, 7), record('s', 4, 7)], {}, 0),
    ('other budget', [record('r', 3, 7, BUDGETS[1])], {}, 0),
    ('two attempts', [record('r', 3, 7), record('r', 3, 9)], {}, 9),
    ('two requests', [record('r', 3, 7), record('s', 5, 9)], {}, 16),
    (
        'borrower takes precedence over records',
        [record('r', 3, 7)],
        {tag(3): 5},
        5,
    ),
    ('borrower and lender both settled', [], {tag(4): 5}, 0),
)


class ReclaimPlanTests(testtools.TestCase):
    def test_each_request_counts_once(self):
        entry = {'drawn': 99, 'spent': 9, 'through': 2, 'beyond': ((4, 4),)}
        for case, records, settled, tokens in SPENDS:
            with self.subTest(case):
                evidence = Evidence(records, settled)
                self.assertEqual(
                    tokens, unreported_spend(evidence, BUDGET, entry), case
                )

    def test_exactly_two_live_routers_are_ranked(self):
        for domain, expected in (('near', LIVE['near']), ('gone', None)):
            vms = [vm for vms in LIVE.values() for vm in vms]
            ranks = {
                vm: reclaim_rank(vm, 'ledger/pazlen/0', domain, LIVE)
                for vm in vms
            }
            starters = sorted(
                (rank, vm) for vm, rank in ranks.items() if rank is not None
            )
            self.assertEqual([0, 1], [rank for rank, _ in starters])
            for _, vm in starters:
                self.assertIn(vm, expected or vms)


class ReclaimTests(testtools.TestCase):
    async def reclaim(self, world, vm='vm-c'):
        reclaimer = world.reclaimer(vm)
        await reclaimer.scan()
        return world.shard()['budgets'][BUDGET], reclaimer.dump()

    @with_world
    async def test_unreachable_holder_keeps_its_credit(self, world, lender, _):
        lender.gate.shut()
        await world.advance(600)
        found, _ = await self.reclaim(world)
        self.assertEqual(100, found['holders'][lender.holder]['drawn'])

    @with_world
    async def test_dead_holder_is_closed_with_recorded_spend(
        self, world, lender, _
    ):
        await lender.reserve(BUDGET, 60)
        lender.send(lender.reserved[0], 45)
        await world.restart('vm-a')
        found, _ = await self.reclaim(world)
        self.assertEqual((45, {}), (found['closed_spent'], found['holders']))

    @with_world
    async def test_credit_is_kept_until_all_records_are_available(
        self, world, lender, _
    ):
        await lender.reserve(BUDGET, 60)
        lender.send(lender.reserved[0], 45)
        await world.restart('vm-a')
        running = world.engine_records[0]._replace(is_final=False)
        for inject_fault in (
            lambda: setattr(world, 'engines_are_cut', True),
            lambda: world.engine_records.append(running),
            lambda: world.cut_vms.add('vm-b'),
        ):
            inject_fault()
            found, waits = await self.reclaim(world)
            self.assertIn(lender.holder, found['holders'])
            self.assertIn(lender.holder, waits['waits_by_holder'])
            world.engines_are_cut = False
            world.cut_vms.clear()
            del world.engine_records[1:]
        found, _ = await self.reclaim(world)
        self.assertEqual(45, found['closed_spent'])

    @with_world
    async def test_lent_credit_is_kept_while_the_borrower_may_spend_it(
        self, world, lender, borrower
    ):
        reservation = await borrow(world, borrower)
        await world.restart('vm-a')
        world.platform.set_faults(cut=())
        found, _ = await self.reclaim(world)
        self.assertIn(lender.holder, found['holders'])
        borrower.send(reservation, 30)
        borrower.settle_all()
        # An engine recorded an attempt that the borrower has not relayed.
        world.engine_records.append(
            SpendRecord('cancelled', reservation.payer, 12)
        )
        await world.advance(1)
        found, _ = await self.reclaim(world)
        self.assertEqual((30, {}), (found['closed_spent'], found['holders']))

    @with_world
    async def test_late_report_of_dead_holder_is_not_counted_again(
        self, world, lender, _
    ):
        await lender.reserve(BUDGET, 60)
        lender.send(lender.reserved[0], 45)
        lender.settle_all()
        await world.restart('vm-a')
        reclaimer = world.reclaimer('vm-c')
        # Reservation 3 was also settled; its server and record no longer exist.
        late_entry = {'drawn': 100, 'spent': 50, 'through': 3, 'beyond': ()}
        inner = reclaimer._platform.put

        async def put_after_late_report(key, body, version):
            reclaimer._platform.put = inner
            stored = world.platform.core.objects.get(KEY)
            late = ledger.put_holder_entry(
                world.shard(), BUDGET, lender.holder, late_entry
            )
            world.platform.core.objects.put(
                KEY, ledger.encode_shard(late), stored.version
            )
            return await inner(key, body, version)

        reclaimer._platform.put = put_after_late_report
        world.nursery.start_soon(reclaimer.scan)
        await world.advance(1)
        found = world.shard()['budgets'][BUDGET]
        self.assertEqual((50, {}), (found['closed_spent'], found['holders']))

    @with_world
    async def test_holder_is_closed_once_despite_lost_answer(
        self, world, lender, _
    ):
        await lender.reserve(BUDGET, 60)
        lender.send(lender.reserved[0], 45)
        await world.restart('vm-a')
        world.platform.set_faults(lose_answers=1)
        world.nursery.start_soon(world.reclaimer('vm-c').scan)
        await world.advance(1)
        found = world.shard()['budgets'][BUDGET]
        self.assertEqual((45, {}), (found['closed_spent'], found['holders']))

    @with_world
    async def test_dead_holders_of_a_shard_are_closed_in_one_write(
        self, world, lender, borrower
    ):
        for budget in BUDGETS:
            world.top_up(budget, 'op-9', 1000)
            await lender.reserve(budget, 10)
            await borrower.reserve(budget, 10)
        await world.restart('vm-a')
        await world.restart('vm-b')
        version = world.platform.core.objects.get(KEY).version
        await self.reclaim(world)
        stored = world.platform.core.objects.get(KEY)
        self.assertEqual(version + 1, stored.version)
        for found in world.shard()['budgets'].values():
            self.assertEqual({}, found['holders'])

    @with_world
    async def test_second_router_takes_over_after_delay(self, world, lender, _):
        vms = ['vm-b', 'vm-c']
        second = max(vms, key=lambda vm: reclaim_rank(vm, KEY, '', {'': vms}))
        await world.restart('vm-a')
        reclaimer = world.reclaimer(second, live=vms, takeover_s=30)
        await reclaimer.start(world.nursery)
        await world.advance(31)
        self.assertIn(
            lender.holder, world.shard()['budgets'][BUDGET]['holders']
        )
        await world.advance(20)
        self.assertEqual({}, world.shard()['budgets'][BUDGET]['holders'])
        await reclaimer.close()

    @with_world
    async def test_retries_of_lost_writes_are_limited(self, world, lender, _):
        await world.restart('vm-a')
        reclaimer = world.reclaimer('vm-c')
        puts = []

        async def lose(key, body, version):
            puts.append(version)
            raise AnswerLost('answer_lost', 'dropped')

        reclaimer._platform.put = lose
        world.nursery.start_soon(reclaimer.scan)
        await world.advance(30)
        self.assertEqual(8, len(puts))
        await trio.lowlevel.checkpoint()
