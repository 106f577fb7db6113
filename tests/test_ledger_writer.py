"""
tests.test_ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against using credit twice when the outcome of a write is unknown.
"""

import functools

import testtools
import trio
import trio.testing

from eelgrassfork import ledger
from eelgrassfork.bundle_types import Fleet
from eelgrassfork.credit import CreditAccounts, CreditError
from eelgrassfork.credit_book import CreditHooks, ledger_key
from eelgrassfork.credit_policy import CreditSettings
from eelgrassfork.platform_types import (
    AnswerLost,
    Conflict,
    PlatformUnavailable,
)
from standins.fake_platform import FakePlatform

BUDGET = 'pazlen/atelier/main'
FLEET = Fleet('pazlen', ledger_shards=1, draw_fraction=0.5)
KEY = ledger_key(BUDGET, FLEET)


class HookedPlatform(FakePlatform):
    """Fake platform with hooks before writes and after reads."""

    def __init__(self):
        super().__init__()
        self.puts = 0
        self.before_put = None
        self.after_get = None

    async def get(self, key):
        stored = await super().get(key)
        if self.after_get is not None:
            await self.after_get()
        return stored

    async def put(self, key, body, expected_version):
        self.puts += 1
        if self.before_put is not None:
            await self.before_put(body, expected_version)
        return await super().put(key, body, expected_version)

    def shard(self):
        return ledger.decode_shard(self.core.objects.get(KEY).body)

    def store(self, shard):
        stored = self.core.objects.get(KEY)
        version = stored.version if stored else None
        self.core.objects.put(KEY, ledger.encode_shard(shard), version)

    def entry(self, holder='vm-a.1', budget=BUDGET):
        return self.shard()['budgets'][budget]['holders'].get(holder)


def with_accounts(test):
    """Run a test with accounts and a platform with 1,000 granted tokens."""

    @functools.wraps(test)
    def wrapper(self):
        async def main():
            platform = HookedPlatform()
            platform.store(
                ledger.top_up(ledger.empty_shard(), BUDGET, 'op-1', 1000)
            )
            self.fenced = []
            accounts = CreditAccounts(
                platform,
                'vm-a.1',
                lambda budget: FLEET,
                None,
                CreditSettings(),
                CreditHooks(on_fenced=lambda: self.fenced.append(1)),
            )
            async with trio.open_nursery() as nursery:
                await accounts.start(nursery)
                await test(self, platform, accounts, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


async def code_of(accounts, amount, budget=BUDGET):
    try:
        await accounts.reserve(budget, amount)
    except CreditError as error:
        return error.code
    return ''


async def draw_and_report(accounts):
    """Draw 300 tokens, leave them unspent, and wait for the report."""
    accounts.settle(await accounts.reserve(BUDGET, 300), 0)
    await trio.sleep(5)


class UnknownOutcomeTests(testtools.TestCase):
    @with_accounts
    async def test_draw_with_lost_answer_counts_once(
        self, platform, accounts, _
    ):
        platform.set_faults(lose_answers=1)
        await accounts.reserve(BUDGET, 300)
        self.assertEqual(300, platform.entry()['drawn'])

    @with_accounts
    async def test_dropped_draw_is_retried(self, platform, accounts, _):
        platform.set_faults(drop_writes=1)
        await accounts.reserve(BUDGET, 300)
        self.assertEqual(300, platform.entry()['drawn'])

    @with_accounts
    async def test_credit_of_a_delayed_return_is_not_used(
        self, platform, accounts, nursery
    ):
        await draw_and_report(accounts)
        delayed_writes = []
        reserved = []

        async def delay_first_write(body, version):
            if not delayed_writes:
                delayed_writes.append((body, version))
                platform.after_get = reserve_during_call
                raise AnswerLost('answer_lost', 'comes late')

        async def reserve_during_call():
            platform.after_get = None
            nursery.start_soon(reserve_and_apply_delayed_write)
            await trio.testing.wait_all_tasks_blocked()

        async def reserve_and_apply_delayed_write():
            reserved.append(await accounts.reserve(BUDGET, 200))
            try:
                platform.core.objects.put(KEY, *delayed_writes[0])
            except Conflict:
                pass

        platform.before_put = delay_first_write
        await trio.sleep(60)
        self.assertEqual(1, len(delayed_writes))
        self.assertEqual(200, reserved[0].amount)
        self.assertGreaterEqual(platform.entry()['drawn'], 200)

    @with_accounts
    async def test_credit_being_returned_is_not_used(
        self, platform, accounts, nursery
    ):
        await draw_and_report(accounts)
        drawn_when_reserved = []

        async def reserve_during_call(body, version):
            platform.before_put = None
            nursery.start_soon(reserve)
            await trio.testing.wait_all_tasks_blocked()

        async def reserve():
            await accounts.reserve(BUDGET, 200)
            drawn_when_reserved.append(platform.entry()['drawn'])

        platform.before_put = reserve_during_call
        await trio.sleep(31)
        self.assertEqual([200], drawn_when_reserved)

    @with_accounts
    async def test_rejected_write_does_not_resolve_a_delayed_return(
        self, platform, accounts, _
    ):
        await draw_and_report(accounts)

        async def lose_then_refuse(body, version):
            platform.before_put = refuse
            raise AnswerLost('answer_lost', 'comes late')

        async def refuse(body, version):
            raise PlatformUnavailable('rate_limited', 'no effect')

        platform.before_put = lose_then_refuse
        await trio.sleep(40)
        self.assertEqual(300, platform.entry()['drawn'])
        self.assertEqual('credit_unreachable', await code_of(accounts, 200))

    @with_accounts
    async def test_credit_is_usable_again_after_failed_return(
        self, platform, accounts, _
    ):
        await draw_and_report(accounts)

        async def go_down(body, version):
            platform.set_faults(down=True)

        platform.before_put = go_down
        await trio.sleep(40)
        self.assertEqual('', await code_of(accounts, 300))
        self.assertEqual(300, platform.entry()['drawn'])

    @with_accounts
    async def test_close_fences_a_delayed_draw(self, platform, accounts, _):
        delayed_writes = []

        async def delay_write(body, version):
            delayed_writes.append((body, version))
            raise AnswerLost('answer_lost', 'comes late')

        platform.before_put = delay_write
        self.assertEqual('credit_unreachable', await code_of(accounts, 300))
        platform.before_put = None
        await accounts.close()
        for write in delayed_writes:
            self.assertRaises(Conflict, platform.core.objects.put, KEY, *write)


class GroupCommitTests(testtools.TestCase):
    @with_accounts
    async def test_waiting_draws_share_one_write(self, platform, accounts, _):
        shard = platform.shard()
        budgets = [f'pazlen/shop-{number}/main' for number in range(20)]
        for budget in budgets:
            shard = ledger.top_up(shard, budget, 'op-1', 100)
        platform.store(shard)
        async with trio.open_nursery() as nursery:
            for budget in budgets * 2:
                nursery.start_soon(accounts.reserve, budget, 10)
        self.assertLessEqual(platform.puts, 2)

    @with_accounts
    async def test_settlements_are_written_at_the_report_interval(
        self, platform, accounts, _
    ):
        reservation = await accounts.reserve(BUDGET, 10)
        puts = platform.puts
        accounts.settle(reservation, 7)
        await trio.sleep(1)
        self.assertEqual(puts, platform.puts)
        await trio.sleep(2)
        self.assertEqual(
            (7, 1), (platform.entry()['spent'], platform.entry()['through'])
        )

    @with_accounts
    async def test_conflicting_write_is_retried_on_the_new_version(
        self, platform, accounts, _
    ):
        async def top_up(body, version):
            platform.before_put = None
            platform.store(ledger.top_up(platform.shard(), BUDGET, 'op-2', 500))

        platform.before_put = top_up
        await accounts.reserve(BUDGET, 900)
        record = platform.shard()['budgets'][BUDGET]
        self.assertEqual(1500, record['granted'])
        self.assertEqual(900, record['holders']['vm-a.1']['drawn'])

    @with_accounts
    async def test_reservation_is_refused_only_after_a_fresh_read(
        self, platform, accounts, _
    ):
        await accounts.reserve(BUDGET, 900)
        platform.store(ledger.top_up(platform.shard(), BUDGET, 'op-2', 500))
        self.assertEqual('', await code_of(accounts, 600))
        self.assertEqual('budget_exhausted', await code_of(accounts, 1501))
