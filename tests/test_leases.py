"""
tests.test_leases
~~~~~~~~~~~~~~~~~

Guards against two holders that both consider a lease valid.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.leases import LeaseError, Leases
from standins.fake_platform import FakePlatform

DURATION_S = 10


def in_trio(test):
    def wrapper(self):
        async def main():
            platform = FakePlatform()
            first = Leases(platform, 'vm-1.a', DURATION_S)
            second = Leases(platform, 'vm-2.b', DURATION_S)
            await test(self, platform, first, second)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


async def code_of(call) -> str:
    try:
        await call
    except LeaseError as error:
        return error.code
    return 'done'


class LeasesTests(testtools.TestCase):
    @in_trio
    async def test_lease_expires_for_holder_before_takeover(
        self, platform, first, second
    ):
        lease = await first.acquire('orders')
        taken = None
        while taken is None:
            try:
                taken = await second.acquire('orders')
            except LeaseError:
                await trio.sleep(0.5)
        self.assertGreater(trio.current_time(), lease.valid_until)
        self.assertGreater(taken.fencing_number, lease.fencing_number)
        self.assertEqual('lease_lost', await code_of(first.renew(lease)))

    @in_trio
    async def test_renewed_lease_is_not_taken_over(
        self, platform, first, second
    ):
        lease = await first.acquire('orders')
        for _ in range(20):
            await trio.sleep(DURATION_S / 2)
            lease = await first.renew(lease)
            self.assertEqual(
                'lease_held', await code_of(second.acquire('orders'))
            )
        self.assertEqual(1, lease.fencing_number)

    @in_trio
    async def test_fencing_number_grows_after_release_and_reacquisition(
        self, platform, first, second
    ):
        lease = await first.acquire('orders')
        await first.release(lease)
        numbers = [lease.fencing_number]
        for _ in range(2):
            lease = await second.acquire('orders')
            numbers.append(lease.fencing_number)
        self.assertEqual([1, 2, 3], numbers)

    @in_trio
    async def test_release_after_a_renewal_with_unknown_result(
        self, platform, first, second
    ):
        lease = await first.acquire('orders')
        await first.renew(lease)
        await first.release(lease)
        await second.acquire('orders')
        self.assertEqual('lease_lost', await code_of(first.release(lease)))

    @in_trio
    async def test_older_bundle_can_not_acquire_after_a_newer_one(
        self, platform, first, second
    ):
        lease = await first.acquire('orders', 3)
        lease = await first.renew(lease, 5)
        await first.release(await first.renew(lease, 4))
        for version, code in ((4, 'lease_ahead'), (5, 'done')):
            self.assertEqual(
                code, await code_of(second.acquire('orders', version))
            )

    @in_trio
    async def test_only_one_contender_acquires(self, platform, first, second):
        codes = []

        async def contend(leases):
            codes.append(await code_of(leases.acquire('orders')))

        platform.set_faults(delay_s=0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(contend, first)
            nursery.start_soon(contend, second)
        self.assertEqual(['done', 'lease_held'], sorted(codes))

    @in_trio
    async def test_lost_answer_is_resolved_by_reading(
        self, platform, first, second
    ):
        platform.set_faults(lose_answers=1)
        lease = await first.acquire('orders')
        for fault in ({'drop_writes': 1}, {'down': True}):
            with self.subTest(fault=fault):
                platform.set_faults(**fault)
                self.assertEqual(
                    'lease_unreachable', await code_of(first.renew(lease))
                )
        platform.set_faults(down=False)
        self.assertEqual(2, (await first.renew(lease)).version)
