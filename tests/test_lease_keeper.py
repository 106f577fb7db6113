"""
tests.test_lease_keeper
~~~~~~~~~~~~~~~~~~~~~~~

Guards against work that continues after its lease is lost.
"""

import functools

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.lease_keeper import LeaseKeeper
from eelgrassfork.leases import Leases
from standins.fake_platform import FakePlatform

LEASE_S = 10


class Contender:
    """A process that records when its work ran and its fencing number."""

    def __init__(self, platform, vm: str) -> None:
        self.version = 1
        self.spans = []
        self.keeper = LeaseKeeper(
            Leases(platform.for_client(vm), f'{vm}.0', LEASE_S),
            'p/matcher',
            LEASE_S,
            lambda: self.version,
        )

    async def work(self) -> None:
        started_at = trio.current_time()
        number = self.keeper.lease.fencing_number
        try:
            await trio.sleep_forever()
        finally:
            self.spans.append((number, started_at, trio.current_time()))

    @property
    def number(self):
        lease = self.keeper.lease
        return lease and lease.fencing_number


def with_two_contenders(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            platform = FakePlatform()
            first = Contender(platform, 'vm-1')
            second = Contender(platform, 'vm-2')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.keeper.run, first.work)
                await trio.sleep(1)
                nursery.start_soon(second.keeper.run, second.work)
                await trio.sleep(30)
                self.assertEqual((1, None), (first.number, second.number))
                await test(self, platform, first, second)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return wrapper


class KeeperTests(testtools.TestCase):
    @with_two_contenders
    async def test_disconnected_holder_stops_before_the_next_starts(
        self, platform, first, second
    ):
        cut_at = trio.current_time()
        platform.set_faults(cut=('vm-1',))
        await trio.sleep(30)
        self.assertEqual((None, 2), (first.number, second.number))
        number, _, ended_at = first.spans[0]
        self.assertEqual(1, number)
        self.assertTrue(ended_at <= cut_at + LEASE_S)
        platform.set_faults(cut=())
        second.keeper.reacquire()
        await trio.sleep(0.1)
        _, started_at, _ = second.spans[0]
        self.assertTrue(ended_at < started_at <= cut_at + 2 * LEASE_S)

    @with_two_contenders
    async def test_short_outage_does_not_stop_the_work(
        self, platform, first, second
    ):
        platform.set_faults(down=True)
        await trio.sleep(LEASE_S / 2)
        platform.set_faults(down=False)
        await trio.sleep(30)
        self.assertEqual(([], 1), (first.spans, first.number))

    @with_two_contenders
    async def test_reacquired_lease_has_a_higher_fencing_number(
        self, platform, first, second
    ):
        first.keeper.reacquire()
        await trio.sleep(5)
        self.assertEqual((2, None), (first.number, second.number))

    @with_two_contenders
    async def test_newer_bundle_version_is_reported_only_after_renewal(
        self, platform, first, second
    ):
        first.version = 7
        self.assertEqual(1, first.keeper.lease.bundle_version)
        await trio.sleep(1.5)
        self.assertEqual(7, first.keeper.lease.bundle_version)

    def test_cancelled_keeper_releases_the_lease_immediately(self):
        async def main():
            platform = FakePlatform()
            first = Contender(platform, 'vm-1')
            second = Contender(platform, 'vm-2')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.keeper.run, first.work)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            with trio.move_on_after(0.5):
                await second.keeper.run(second.work)
            self.assertEqual([2], [span[0] for span in second.spans])

        trio.run(main, clock=MockClock(autojump_threshold=0))
