"""
tests.test_claim_writer
~~~~~~~~~~~~~~~~~~~~~~~

Guards against outcomes that are lost or blocked while the platform is down.
"""

import testtools
import trio

from eelgrassfork import claim_records as records
from eelgrassfork.claim_writer import ClaimWriter
from eelgrassfork.platform_types import PlatformRefused
from standins.fake_platform import FakePlatform
from tests.order_fakes import run_world

MAX_BODY = records.MAX_STORED_BODY_BYTES


def claim_of(key, body=b'', state='ran', nonce='n'):
    return records.Claim(
        key,
        records.ClaimRecord(
            'h', 'a.1', 0, nonce, 'r', 1, state, answer=records.ClaimAnswer(200, (), body)
        ),
        None,
    )  # fmt: skip


class RefusingPlatform(FakePlatform):
    async def put(self, key, body, expected_version):
        if key == 'claims/bad':
            raise PlatformRefused('platform_refused', 'never')
        return await super().put(key, body, expected_version)


class WriterTests(testtools.TestCase):
    @run_world
    async def test_body_memory_is_bounded_and_all_outcomes_are_written(
        self, world
    ):
        writer = ClaimWriter(world.platform)
        for number in range(20):
            writer.add(claim_of(f'claims/{number}', b'x' * MAX_BODY))
        self.assertEqual(16 * MAX_BODY, writer.dump()['pending_body_bytes'])
        self.assertEqual(20, writer.pending)
        await writer.start(world.nursery)
        await trio.sleep(1)
        self.assertEqual((0, 0), (writer.pending, writer._body_bytes))
        last = records.decode_claim(
            world.platform.core.objects.get('claims/19').body
        )
        self.assertEqual(('ran', None), (last.state, last.answer.body))

    @run_world
    async def test_refused_record_does_not_block_others(self, world):
        writer = ClaimWriter(RefusingPlatform(world.platform.core))
        for key in ('bad', 'good', 'late'):
            writer.add(claim_of(f'claims/{key}'))
        await writer.start(world.nursery)
        await trio.sleep(30)
        self.assertEqual(1, writer.pending)

    @run_world
    async def test_caller_does_not_wait_for_an_unresponsive_platform(
        self, world
    ):
        writer = ClaimWriter(world.platform)
        await writer.start(world.nursery)
        world.platform.set_faults(delay_s=1000)
        before = trio.current_time()
        for number in range(10):
            await writer.write(claim_of(f'claims/{number}'))
        self.assertTrue(trio.current_time() - before < 5)
        world.platform.set_faults(delay_s=0)
        await trio.sleep(30)
        self.assertEqual(0, writer.pending)

    @run_world
    async def test_outcome_replaces_a_pending_record(self, world):
        writer = ClaimWriter(world.platform)
        writer.add(claim_of('claims/a', state='claimed'))
        writer.add(claim_of('claims/a', state='ran'))
        writer.add(claim_of('claims/a', state='released'))
        self.assertEqual('ran', writer.find('claims/a').state)
        self.assertEqual(1, writer.pending)
        await writer.close()
        self.assertEqual(0, writer.pending)
