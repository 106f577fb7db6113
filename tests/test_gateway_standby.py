"""
tests.test_gateway_standby
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against standby credit that is both used by its holder and reclaimed
after a restart.
"""

import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.gateway import standby as standby_module
from eelgrassfork.gateway.standby import (
    ACTIVATION_S,
    RECLAIM_S,
    RELEASE_S,
    FleetTime,
    Standby,
    StandbyRecord,
    reclaimable_fraction,
)
from eelgrassfork.gateway.store import StoreError

from .memory_store import MemoryStore, MemoryStoreClient
from .mock_clock import run

EPOCH_MS = 1_700_000_000_000


class Process:
    """One incarnation of a router, with the renewal loop of the daemon."""

    def __init__(self, store, incarnation, clocks=9):
        self.used = 0
        self.clocks = clocks
        self.scope = trio.CancelScope()
        self.standby = Standby(
            store, 'n1', incarnation, self.fleet_time, self.use
        )

    def fleet_time(self):
        now_ms = EPOCH_MS + int(trio.current_time() * 1000)
        return FleetTime(now_ms, self.clocks)

    def use(self, tokens):
        # Worst case: released credit is used at once.
        self.used += sum(tokens.values())

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch)
                while True:
                    await trio.sleep(standby_module.RENEWAL_S)
                    await self.standby.renew({'a': 10_000}, free=False)

    async def _watch(self):
        while True:
            await trio.sleep(0.1)
            self.standby.release_if_due()


def restart_after_restore(copy_age_s, downtime_s=1):
    """Kill a process after a restore, and return the credit of the next one."""

    async def main():
        store = MemoryStore()
        first = Process(MemoryStoreClient(store), 1)
        async with trio.open_nursery() as nursery:
            await first.standby.put({'a': 100})
            nursery.start_soon(first.run)
            await trio.sleep(5 - copy_age_s)
            state = store.copy_state()
            await trio.sleep(copy_age_s)
            await first.standby.renew({'a': 40}, free=False)
            store.restore(state)
            first.scope.cancel()
            await trio.sleep(downtime_s)
            second = Process(MemoryStoreClient(store), 2)
            await second.standby.recover()
            nursery.cancel_scope.cancel()
        reclaimed = second.standby.tokens_by_organisation.get('a', 0)
        return first.used, reclaimed

    return run(main)


class RuleTests(testtools.TestCase):
    def test_reclaims_only_before_any_use_is_possible(self):
        record = StandbyRecord(1, EPOCH_MS, {'a': 5})
        for elapsed_s, expected in (
            (0.1, 1),
            (RECLAIM_S, 1),
            (RECLAIM_S + RELEASE_S / 4, 0.75),
            (RECLAIM_S + RELEASE_S, 0),
            (RECLAIM_S + 2 * RELEASE_S, 0),
        ):
            started = FleetTime(EPOCH_MS + int(elapsed_s * 1000), 9)
            self.assertEqual(expected, reclaimable_fraction(record, started))

    def test_reclaims_nothing_with_few_clocks_or_backward_time(self):
        record = StandbyRecord(1, EPOCH_MS, {'a': 5})
        for offset_ms, clocks in ((100, 2), (-100, 9)):
            started = FleetTime(EPOCH_MS + offset_ms, clocks)
            self.assertEqual(0, reclaimable_fraction(record, started))

    def test_activation_comes_after_the_reclaim_period(self):
        self.assertGreater(ACTIVATION_S, RECLAIM_S)


class StandbyTests(testtools.TestCase):
    def test_restart_in_time_reclaims_all(self):
        async def main():
            store = MemoryStore()
            first = Process(store, 1)
            await first.standby.put({'a': 700})
            await trio.sleep(1.5)
            second = Process(store, 2)
            await second.standby.recover()
            return second.standby.tokens_by_organisation

        self.assertEqual({'a': 700}, run(main))

    def test_late_restart_reclaims_nothing(self):
        async def main():
            store = MemoryStore()
            await Process(store, 1).standby.put({'a': 700})
            await trio.sleep(RECLAIM_S + RELEASE_S)
            second = Process(store, 2)
            await second.standby.recover()
            return second.standby.tokens_by_organisation

        self.assertEqual({}, run(main))

    def test_restart_after_activation_reclaims_the_unreleased_part(self):
        async def main():
            store = MemoryStore()
            await Process(store, 1).standby.put({'a': 800, 'b': 1})
            await trio.sleep(RECLAIM_S + RELEASE_S / 4)
            second = Process(store, 2)
            await second.standby.recover()
            return second.standby.tokens_by_organisation

        self.assertAlmostEqual(600, run(main)['a'], delta=1)

    def test_outage_releases_the_credit_gradually(self):
        async def main():
            store = MemoryStore()
            process = Process(store, 1)
            await process.standby.put({'a': 700})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.run)
                await trio.sleep(2)
                before = process.used
                store.down = True
                await trio.sleep(ACTIVATION_S + RELEASE_S / 2)
                half = process.used
                await trio.sleep(RELEASE_S / 2 + 1)
                nursery.cancel_scope.cancel()
            return before, half, process.used

        before, half, used = run(main)
        self.assertEqual((0, 700), (before, used))
        self.assertAlmostEqual(350, half, delta=100)

    def test_renewal_of_unknown_outcome_releases_the_credit_later(self):
        async def main():
            store = MemoryStore()
            process = Process(store, 1)
            await process.standby.put({'a': 700})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.run)
                store.lose = 1
                await trio.sleep(3)
                nursery.cancel_scope.cancel()
            return process.used, process.standby.tokens_by_organisation

        self.assertEqual((700, {}), run(main))

    def test_router_without_fleet_time_puts_nothing_on_standby(self):
        async def main():
            process = Process(MemoryStore(), 1, clocks=2)
            return await process.standby.put({'a': 700})

        self.assertFalse(run(main))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        fault=st.sampled_from(('down', 'silent', 'lose', 'delay', 'none')),
        fault_at=st.floats(0, 3),
        healed_after=st.floats(0, 14),
        dies_after=st.floats(0, 16),
        restarts_after=st.floats(0, 12),
        released_after=st.floats(0, 3),
    )
    def test_credit_is_never_used_and_taken_over(
        self,
        fault,
        fault_at,
        healed_after,
        dies_after,
        restarts_after,
        released_after,
    ):
        async def main():
            store = MemoryStore()
            first = Process(store, 1)
            await first.standby.put({'a': 700})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.run)
                nursery.start_soon(
                    _disturb, store, fault, fault_at, healed_after
                )
                await trio.sleep(dies_after)
                first.scope.cancel()
                await trio.sleep(restarts_after)
                second = Process(store, 2)
                store.down = store.silent = False
                store.release()
                await _recover(second)
                await trio.sleep(released_after)
                nursery.cancel_scope.cancel()
            held = sum(second.standby.tokens_by_organisation.values())
            return first.used + held

        self.assertLessEqual(run(main), 700)


async def _recover(process):
    while True:
        try:
            await process.standby.recover()
        except StoreError:
            await trio.sleep(0.3)
        else:
            return


async def _disturb(store, fault, fault_at, healed_after):
    await trio.sleep(fault_at)
    if fault in {'lose', 'delay'}:
        setattr(store, fault, 1)
        await trio.sleep(healed_after)
        store.release()
    elif fault != 'none':
        setattr(store, fault, True)
        await trio.sleep(healed_after)
        setattr(store, fault, False)


class RestoreTests(testtools.TestCase):
    def test_credit_that_was_released_after_the_copy_is_not_reclaimed(self):
        # The record of the copy claims credit that the process has used.
        used, reclaimed = restart_after_restore(copy_age_s=1)
        self.assertEqual((60, 0), (used, reclaimed))

    def test_record_is_written_again_after_a_restore(self):
        async def main():
            store = MemoryStore()
            client = MemoryStoreClient(store)
            state = store.copy_state()
            process = Process(client, 1)
            await process.standby.put({'a': 100})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.run)
                await trio.sleep(2)
                store.restore(state)
                await trio.sleep(3)
                await process.standby.put({'a': 80})
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            second = Process(MemoryStoreClient(store), 2)
            await second.standby.recover()
            return second.standby.tokens_by_organisation

        self.assertEqual({'a': 80}, run(main))
