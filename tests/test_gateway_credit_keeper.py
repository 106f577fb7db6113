"""
tests.test_gateway_credit_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against false refusals, and against requests that wait for credit that
they can't get.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.credit_keeper import CreditKeeper, CreditKeeperParts
from eelgrassfork.gateway.ledger import sum_by_organisation
from eelgrassfork.gateway.lending import CreditRequest, Loan
from eelgrassfork.gateway.standby import FleetTime

from .memory_store import MemoryStore

EPOCH_MS = 1_700_000_000_000


class Fleet:
    """Routers that share one store and lend credit to each other."""

    def __init__(self, prepaid=100_000, shares_calls=False):
        self.store = MemoryStore()
        self.shares_calls = shares_calls
        self.prepaid = prepaid
        self.keepers_by_node = {}
        self.cut = False
        self.lend_calls = 0

    def fleet_time(self):
        now_ms = EPOCH_MS + int(trio.current_time() * 1000)
        return FleetTime(now_ms, 9)

    async def add(self, nursery, node, is_keeper=True):
        async def borrow(request):
            await trio.sleep(0.001)
            lent = {}
            ledger = None
            for other, keeper in self.keepers_by_node.items():
                if other == node or self.cut:
                    continue
                urgent = {
                    name: amount - lent.get(name, 0)
                    for name, amount in request.urgent_by_organisation.items()
                }
                answer = await keeper.lender.lend(
                    request._replace(urgent_by_organisation=urgent)
                )
                self.lend_calls += 1
                lent = sum_by_organisation(lent, answer.lent_by_organisation)
                ledger = ledger or answer.ledger
                request = request._replace(
                    extra_by_organisation={}, spent_by_organisation={}
                )
            return Loan(lent, ledger)

        async def deposit(request):
            await trio.sleep(0.001)
            for other, keeper in self.keepers_by_node.items():
                if other != node and not self.cut:
                    await keeper.lender.lend(request)
                    return True
            return False

        def may_lend(name, tokens):
            return tokens <= sum(
                keeper.held.free(name)
                for other, keeper in self.keepers_by_node.items()
                if other != node and not self.cut
            )

        parts = CreditKeeperParts(
            lambda: {'a': self.prepaid},
            lambda: max(2, len(self.keepers_by_node)),
            lambda: 2,
            lambda: is_keeper,
            'd0',
            borrow,
            deposit,
            may_lend,
            self.fleet_time,
            shares_calls=self.shares_calls,
        )
        keeper = CreditKeeper(self.store, node, 1, parts)
        self.keepers_by_node[node] = keeper
        await keeper.start(nursery)
        return keeper


async def reserve(keeper, amount):
    try:
        await keeper.reserve('a', amount)
    except RequestError as error:
        return error.code
    return 'reserved'


def run(scenario, **options):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(**options)
            result = await scenario(fleet, nursery)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class CreditKeeperTests(testtools.TestCase):
    def test_large_request_is_reserved_without_delay(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            started_at = trio.current_time()
            outcome = await reserve(keeper, 90_000)
            return outcome, trio.current_time() - started_at

        outcome, waited_s = run(scenario)
        self.assertEqual('reserved', outcome)
        self.assertLess(waited_s, 0.2)

    def test_last_credit_is_found_wherever_it_is_held(self):
        async def scenario(fleet, nursery):
            first = await fleet.add(nursery, 'n1')
            second = await fleet.add(nursery, 'n2', is_keeper=False)
            await trio.sleep(3)
            first_outcome = await reserve(first, 60_000)
            return first_outcome, await reserve(second, 30_000)

        self.assertEqual(('reserved', 'reserved'), run(scenario))

    def test_exhausted_budget_differs_from_credit_held_elsewhere(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            await reserve(keeper, 95_000)
            in_use = await reserve(keeper, 50_000)
            keeper.held.settle('a', 95_000, 95_000)
            return in_use, await reserve(keeper, 50_000)

        self.assertEqual(
            ('credit_held_elsewhere', 'budget_exhausted'), run(scenario)
        )

    def test_outage_of_eight_seconds_is_served_from_held_credit(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')

            async def use(seconds):
                outcomes = []
                for _ in range(seconds * 10):
                    outcomes.append(await reserve(keeper, 100))
                    await trio.sleep(0.1)
                return outcomes

            await use(15)
            fleet.store.down = True
            return await use(8)

        outcomes = run(scenario, prepaid=1_000_000)
        self.assertEqual({'reserved'}, set(outcomes))

    def test_unreachable_credit_is_refused_without_waiting(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            await trio.sleep(2)
            fleet.store.down = True
            await trio.sleep(3)
            started_at = trio.current_time()
            outcome = await reserve(keeper, 99_000)
            return outcome, trio.current_time() - started_at

        outcome, waited_s = run(scenario)
        self.assertEqual('credit_unreachable', outcome)
        self.assertLess(waited_s, 0.05)

    def test_close_returns_all_free_credit(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            await trio.sleep(4)
            await reserve(keeper, 1000)
            keeper.held.settle('a', 1000, 400)
            await keeper.close(1)
            stored = await fleet.store.get('eelgrassfork-credit', 'ledger')
            return stored.content

        self.assertIn(b'"granted":{"a":400}', run(scenario))

    def test_power_cut_of_all_routers_keeps_standby_credit(self):
        async def scenario(fleet, nursery):
            async with trio.open_nursery() as first_process:
                keeper = await fleet.add(first_process, 'n1')
                for _ in range(100):
                    await reserve(keeper, 500)
                    keeper.held.settle('a', 500, 500)
                    await trio.sleep(0.1)
                standby = keeper.dump()['standby_by_organisation']['a']
                first_process.cancel_scope.cancel()
            await trio.sleep(1.5)
            fleet.keepers_by_node.clear()
            restarted = await fleet.add(nursery, 'n1')
            await trio.sleep(2)
            return standby, restarted.dump()['standby_by_organisation']['a']

        before, after = run(scenario, prepaid=1_000_000)
        self.assertGreater(before, 20_000)
        self.assertGreaterEqual(after, before)

    def test_top_up_while_two_routers_compete_is_never_exceeded(self):
        async def scenario(fleet, nursery):
            keepers = [
                await fleet.add(nursery, f'n{number}') for number in range(3)
            ]
            reserved = 0
            for round_number in range(60):
                if round_number == 30:
                    fleet.prepaid *= 2
                if round_number % 20 == 5:
                    fleet.store.lose = 2
                for keeper in keepers:
                    if await reserve(keeper, 4000) == 'reserved':
                        reserved += 4000
                await trio.sleep(0.2)
            return reserved, fleet.prepaid

        reserved, prepaid = run(scenario)
        self.assertLessEqual(reserved, prepaid)
        self.assertGreater(reserved, prepaid * 0.9)


class FirstTrafficTests(testtools.TestCase):
    """
    Many routers without credit receive their first requests at once.

    The load is that of the first second of traffic on ninety routers, each
    with requests of organisations for which it holds no credit.
    """

    def test_routers_of_a_failure_domain_draw_through_their_keeper(self):
        async def scenario(fleet, nursery):
            await fleet.add(nursery, 'n0')
            others = [
                await fleet.add(nursery, f'n{number}', is_keeper=False)
                for number in range(1, 18)
            ]
            await trio.sleep(2)
            fleet.store.latency_s = 0.004
            writes = fleet.store.writes_by_kind
            before = writes['eelgrassfork-credit']
            outcomes = []

            async def first_requests(keeper):
                for _ in range(5):
                    outcomes.append(await reserve(keeper, 4000))
                    await trio.sleep(0.05)

            async with trio.open_nursery() as requests:
                for keeper in others:
                    requests.start_soon(first_requests, keeper)
            return outcomes, writes['eelgrassfork-credit'] - before

        outcomes, writes = run(scenario, prepaid=2_000_000)
        self.assertEqual({'reserved'}, set(outcomes))
        # One write per round of simultaneous requests, and one per tick.
        self.assertLessEqual(writes, 7)

    def test_request_during_a_write_gets_credit_of_the_next_one(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            await trio.sleep(2)
            fleet.store.latency_s = 0.004
            outcomes = []

            async def request(delay_s):
                await trio.sleep(delay_s)
                outcomes.append(await reserve(keeper, 9000))

            async with trio.open_nursery() as requests:
                for number in range(6):
                    requests.start_soon(request, number * 0.0007)
            return outcomes

        self.assertEqual(['reserved'] * 6, run(scenario))

    def test_exhausted_budget_is_detected_without_calling_the_store(self):
        async def scenario(fleet, nursery):
            await fleet.add(nursery, 'n0')
            other = await fleet.add(nursery, 'n1', is_keeper=False)
            await reserve(other, 95_000)
            other.held.settle('a', 95_000, 95_000)
            await trio.sleep(1.2)
            calls_before = fleet.store.calls
            return await reserve(other, 50_000), fleet.store.calls, calls_before

        outcome, calls, calls_before = run(scenario)
        self.assertEqual('budget_exhausted', outcome)
        self.assertLessEqual(calls - calls_before, 2)

    def test_credit_that_is_not_lent_does_not_count_as_demand(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n0')
            await trio.sleep(2)
            await reserve(keeper, 95_000)
            request = CreditRequest('n1', 'd0', {}, {'a': 4000})
            before = keeper.held.rate('a', trio.current_time())
            for _ in range(20):
                await keeper.lender.lend(request)
            return before, keeper.held.rate('a', trio.current_time())

        before, after = run(scenario)
        self.assertLess(after, before + 1000)

    def test_power_cut_near_the_end_of_a_budget_loses_little(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            while fleet.prepaid - keeper.held.unflushed('a') > 60_000:
                await reserve(keeper, 500)
                keeper.held.settle('a', 500, 500)
                await trio.sleep(0.1)
                if (
                    keeper.dump()['ledger']['granted_by_organisation'].get(
                        'a', 0
                    )
                    >= fleet.prepaid * 0.95
                ):
                    break
            await trio.sleep(2)
            return (
                keeper.held.free('a'),
                keeper.dump()['standby_by_organisation']['a'],
            )

        held, standby = run(scenario, prepaid=400_000)
        # At a use of 5,000 tokens/s, 2.5 s of it are held.
        self.assertLess(held, 15_000)
        self.assertGreater(standby, 20_000)

    def test_standby_credit_is_used_up_where_the_ledger_is_empty(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            served = 0
            for _ in range(900):
                if await reserve(keeper, 500) == 'reserved':
                    keeper.held.settle('a', 500, 500)
                    served += 500
                await trio.sleep(0.1)
            return served

        self.assertGreater(run(scenario, prepaid=400_000), 390_000)

    def test_routers_cut_off_from_each_other_write_rarely(self):
        async def scenario(fleet, nursery):
            fleet.store.latency_s = 0.004
            await fleet.add(nursery, 'n0')
            routers = [
                await fleet.add(nursery, f'n{number}', is_keeper=False)
                for number in range(1, 31)
            ]

            async def requests(keeper, outcomes):
                for _ in range(25):
                    outcomes.append(await reserve(keeper, 4000))
                    keeper.held.settle('a', 4000, 4000)
                    await trio.sleep(0.2)

            async def play():
                outcomes = []
                async with trio.open_nursery() as callers:
                    for keeper in routers:
                        callers.start_soon(requests, keeper, outcomes)
                return outcomes

            await play()
            fleet.cut = True
            before = fleet.store.writes_by_kind['eelgrassfork-credit']
            outcomes = await play()
            writes = fleet.store.writes_by_kind['eelgrassfork-credit']
            return outcomes, writes - before

        outcomes, writes = run(scenario, prepaid=50_000_000)
        self.assertGreater(outcomes.count('reserved'), 0.95 * len(outcomes))
        # One write per request would be as many as outcomes.
        self.assertLess(writes, len(outcomes) / 2)

    def test_credit_drawn_in_isolation_goes_back_to_the_keeper(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n0')
            other = await fleet.add(nursery, 'n1', is_keeper=False)
            await trio.sleep(2)
            fleet.cut = True
            other.held.add('a', 50_000)
            await trio.sleep(5)
            kept = other.held.free('a')
            fleet.cut = False
            before = keeper.held.free('a')
            await trio.sleep(5)
            return kept, other.held.free('a'), keeper.held.free('a') - before

        self.assertEqual((50_000, 0, 50_000), run(scenario))

    def test_close_while_the_store_is_silent_deposits_credit_with_peers(self):
        async def scenario(fleet, nursery):
            stays = await fleet.add(nursery, 'n0')
            leaves = await fleet.add(nursery, 'n1')
            await trio.sleep(4)
            fleet.store.silent = True
            both = stays.held.free('a') + leaves.held.free('a')
            await leaves.close(0.6)
            return both, stays.held.free('a'), leaves.held.free('a')

        both, stays, leaves = run(scenario)
        self.assertEqual((both, 0), (stays, leaves))
        self.assertGreater(both, 0)

    def test_close_while_the_store_refuses_gives_the_credit_up(self):
        """The error of the store ended the process during its stop."""

        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n0')
            await trio.sleep(4)
            fleet.store.down = True
            await keeper.close(0.6)
            return keeper.held.free('a')

        self.assertGreater(run(scenario), 0)

    def test_close_after_its_timeout_starts_no_further_call(self):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n0')
            other = await fleet.add(nursery, 'n1', is_keeper=False)
            other.held.add('a', 5000)
            started_at = trio.current_time()
            with trio.CancelScope() as scope:
                scope.cancel()
                await other.close(0.5)
            return (
                trio.current_time() - started_at,
                other.held.free('a'),
                keeper.held.free('a') > 5000,
            )

        duration_s, kept, _ = run(scenario)
        self.assertEqual((0, 5000), (duration_s, kept))

    def test_router_draws_again_after_an_outage(self):
        async def scenario(fleet, nursery):
            fleet.cut = True
            router = await fleet.add(nursery, 'n1', is_keeper=False)
            fleet.store.down = True
            during = await reserve(router, 4000)
            await trio.sleep(1)
            fleet.store.down = False
            await trio.sleep(3)
            return during, await reserve(router, 4000)

        self.assertEqual(('credit_unreachable', 'reserved'), run(scenario))


class ContendedCreditTests(testtools.TestCase):
    """
    Organisations that use up their budget while callers compete for it.

    The load is a burst in one failure domain, whose keeper has put credit on
    standby by the time at which the ledger has none left.
    """

    def use_up(self, **options):
        async def scenario(fleet, nursery):
            keeper = await fleet.add(nursery, 'n1')
            outcomes = []

            async def request():
                outcomes.append(await reserve(keeper, 2000))
                await trio.sleep(1)
                if outcomes[-1] == 'reserved':
                    keeper.held.settle('a', 2000, 2000)

            while set(outcomes) <= {'reserved'}:
                for _ in range(20):
                    nursery.start_soon(request)
                await trio.sleep(0.2)
            return outcomes.count('reserved') * 2000

        return run(scenario, prepaid=1_000_000, **options)

    def test_standby_credit_is_used_before_a_request_is_refused(self):

        self.assertGreaterEqual(self.use_up(shares_calls=True), 990_000)

    def test_standby_of_another_keeper_is_lent_before_a_refusal(self):
        async def scenario(fleet, nursery):
            first = await fleet.add(nursery, 'n1')
            second = await fleet.add(nursery, 'n2', is_keeper=False)
            for _ in range(60):
                await reserve(first, 1000)
                first.held.settle('a', 1000, 1000)
                await trio.sleep(0.1)
            standby = first.dump()['standby_by_organisation']['a']
            outcome = ''
            used = 0
            while outcome in {'', 'reserved'}:
                outcome = await reserve(second, 3000)
                used += 3000 * (outcome == 'reserved')
            return standby, used

        standby, used = run(scenario, prepaid=200_000, shares_calls=True)
        self.assertGreater(standby, 20_000)
        self.assertGreaterEqual(used, 200_000 - 60_000 - 3000)

    def test_competing_routers_never_exceed_the_limit(self):
        async def scenario(fleet, nursery):
            keepers = [
                await fleet.add(nursery, f'n{number}', number < 2)
                for number in range(4)
            ]
            outcomes = []

            async def request(keeper):
                outcomes.append(await reserve(keeper, 3000))

            for round_number in range(40):
                if round_number == 20:
                    fleet.prepaid *= 2
                if round_number % 10 == 5:
                    fleet.store.lose = 2
                async with trio.open_nursery() as requests:
                    for keeper in keepers:
                        requests.start_soon(request, keeper)
                        requests.start_soon(request, keeper)
                await trio.sleep(0.2)
            return outcomes.count('reserved') * 3000, fleet.prepaid

        reserved, prepaid = run(scenario, prepaid=200_000, shares_calls=True)
        self.assertLessEqual(reserved, prepaid)
        self.assertGreater(reserved, prepaid * 0.9)
