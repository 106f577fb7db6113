"""
tests.test_gateway_credit_supply
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a burst of one organisation at one router that is refused
although the organisation has credit, and against calls for each request.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.gateway.credit import HeldCredit
from eelgrassfork.gateway.credit_supply import (
    CreditSupply,
    SupplyParts,
    SupplyRequest,
    SupplyStep,
)

# Longer than the time-outs of single calls; a link whose queue is full.
SLOW_CALL_S = 0.3
WAIT_S = 0.5


class Source:
    """Lends credit up to a limit, in calls that take some time."""

    def __init__(self, held, tokens, call_s=SLOW_CALL_S):
        self.held = held
        self.tokens = tokens
        self.call_s = call_s
        self.calls = 0
        self.asked_at = []

    async def obtain(self, missing, wanted):
        self.calls += 1
        self.asked_at.append(trio.current_time())
        await trio.sleep(self.call_s)
        for name in {*missing, *wanted}:
            amount = missing.get(name, 0) + wanted.get(name, 0)
            lent = min(amount, self.tokens)
            self.tokens -= lent
            self.held.add(name, lent)


def run(
    scenario, tokens=100_000, target=0, call_s=SLOW_CALL_S, counts_free=bool
):
    async def main():
        held = HeldCredit(half_life_s=6)
        source = Source(held, tokens, call_s)
        supply = CreditSupply(
            SupplyParts(
                held,
                (SupplyStep(source.obtain, counts_free),),
                lambda name: target,
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supply.run)
            result = await scenario(supply, source)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


async def reserve_all(supply, requests):
    outcomes = []

    async def reserve(request):
        outcomes.append(await supply.reserve(request))

    async with trio.open_nursery() as nursery:
        for request in requests:
            nursery.start_soon(reserve, request)
    return outcomes


class CreditSupplyTests(testtools.TestCase):
    def test_burst_behind_a_slow_link_is_served_by_few_calls(self):
        async def scenario(supply, source):
            requests = [SupplyRequest('a', 500, 0, WAIT_S)] * 60
            outcomes = await reserve_all(supply, requests)
            return outcomes, source.calls

        outcomes, calls = run(scenario)
        self.assertEqual([True] * 60, outcomes)
        self.assertLessEqual(calls, 2)

    def test_credit_that_arrives_too_late_for_one_serves_the_next(self):
        async def scenario(supply, source):
            hasty = await supply.reserve(SupplyRequest('a', 500, 0, 0.1))
            await trio.sleep(SLOW_CALL_S)
            return hasty, await supply.reserve(SupplyRequest('a', 500, 0, 0))

        self.assertEqual((False, True), run(scenario))

    def test_returned_credit_of_running_requests_is_granted(self):
        async def scenario(supply, source):
            source.held.add('a', 1000)
            await supply.reserve(SupplyRequest('a', 1000, 0, 0))
            outcomes = []

            async def wait():
                outcomes.append(
                    await supply.reserve(SupplyRequest('a', 600, 0, WAIT_S))
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.sleep(0.05)
                source.held.settle('a', 1000, 400)
            return outcomes

        self.assertEqual([True], run(scenario, tokens=0))

    def test_shortage_refuses_at_once_until_credit_arrives(self):
        async def scenario(supply, source):
            first = await supply.reserve(SupplyRequest('a', 500, 0, WAIT_S))
            started_at = trio.current_time()
            second = await supply.reserve(SupplyRequest('a', 500, 0, WAIT_S))
            waited_s = trio.current_time() - started_at
            source.held.add('a', 500)
            third = await supply.reserve(SupplyRequest('a', 500, 0, WAIT_S))
            return first, second, waited_s, third

        self.assertEqual(
            (False, False, 0, True), run(scenario, tokens=0, call_s=0.01)
        )

    def test_shortage_of_one_organisation_does_not_keep_asking(self):
        async def scenario(supply, source):
            requests = [SupplyRequest('a', 500, 0, WAIT_S)] * 20
            for _ in range(50):
                await reserve_all(supply, requests)
                await trio.sleep(0.02)
            return source.calls, trio.current_time()

        calls, elapsed_s = run(scenario, tokens=0, call_s=0.01)
        self.assertLessEqual(calls, elapsed_s / 0.25 + 1)

    def test_last_credit_serves_small_requests_behind_a_large_one(self):
        async def scenario(supply, source):
            return await reserve_all(
                supply,
                [
                    SupplyRequest('a', 5000, 0, WAIT_S),
                    SupplyRequest('a', 500, 0, WAIT_S),
                ],
            )

        outcomes = run(scenario, tokens=700, call_s=0.01)
        self.assertEqual([False, True], sorted(outcomes))

    def test_credit_that_arrives_while_the_ledger_is_asked_is_granted(self):
        async def scenario(supply, source):
            outcomes = []

            async def wait():
                outcomes.append(
                    await supply.reserve(SupplyRequest('b', 500, 0, 2))
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    supply.reserve, SupplyRequest('a', 500, 0, WAIT_S)
                )
                await trio.sleep(0.1)
                nursery.start_soon(wait)
                await trio.sleep(0.1)
                source.held.add('b', 500)
            return outcomes

        outcomes = run(scenario, tokens=0, counts_free=lambda: True)
        self.assertEqual([True], outcomes)

    def test_cancelled_request_returns_what_was_granted_meanwhile(self):
        async def scenario(supply, source):
            with trio.CancelScope() as scope:
                source.held.on_free = _cancel_before(source.held.on_free, scope)
                await supply.reserve(SupplyRequest('a', 500, 0, WAIT_S))
            return scope.cancelled_caught, source.held.reserved('a')

        self.assertEqual((True, 0), run(scenario))

    def test_low_credit_is_refilled_before_it_is_used_up(self):
        async def scenario(supply, source):
            source.held.add('a', 10_000)
            request = SupplyRequest('a', 500, 0, 0)
            outcomes = []
            for _ in range(60):
                outcomes.append(await supply.reserve(request))
                await trio.sleep(0.05)
            return outcomes, source.calls

        outcomes, calls = run(scenario, target=10_000)
        self.assertEqual([True] * 60, outcomes)
        self.assertLess(calls, 12)


def _cancel_before(grant, scope):
    def call(organisation):
        scope.cancel()
        grant(organisation)

    return call
