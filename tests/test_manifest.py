"""
tests.test_manifest
~~~~~~~~~~~~~~~~~~~

Guards against accepted bundles that no router can fetch completely as the
platform fails right after the acceptance.
"""

import msgspec
import testtools
import trio

from eelgrassfork import bundle_submit
from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.manifest import attach_parts, detach_parts

from . import bundles
from .test_rollout import run_net


class AttachedPartsTests(testtools.TestCase):
    def test_attached_parts_are_detached_again(self):
        envelope, bodies = bundles.signed_bundle(3)
        stored = attach_parts(envelope, bodies)
        self.assertEqual((envelope, bodies), detach_parts(stored))
        self.assertEqual((envelope, {}), detach_parts(envelope))
        self.assertEqual(envelope, attach_parts(envelope, {}))
        for garbage in (b'', b'x', msgspec.msgpack.encode({'parts': 3})):
            self.assertEqual((garbage, {}), detach_parts(garbage))

    def test_parts_above_the_size_limit_are_not_attached(self):
        envelope, _ = bundles.signed_bundle(3)
        for size, is_attached in ((65_536, True), (65_537, False)):
            stored = attach_parts(envelope, {'a': bytes(size)})
            self.assertEqual(is_attached, stored != envelope)


class FailingPlatformTests(testtools.TestCase):
    async def accept(self, net, version, names):
        store = BundleStore(net.platform, bundles.TRUSTED)
        kinds = {
            'fleets': {'pazlen': {}},
            'organisations': {
                f'pazlen/{name}': {'budgets_by_key_hash': {}, 'services': []}
                for name in names
            },
        }
        held = bundles.held_bundle(version, kinds)
        await bundle_submit.submit(store, held, await store.accepted(held))

    @run_net
    async def test_bundle_accepted_just_before_a_failure_reaches_all_routers(
        self, net, nursery
    ):
        net.platform.set_faults(delay_s=0.005)
        await self.accept(net, 1, ['a'])
        for number in range(4):
            await net.add(nursery, f'vm-{number}', watches=number < 2)
        await trio.sleep(5)
        await self.accept(net, 2, ['a', 'b'])
        await trio.sleep(0.001)
        net.platform.set_faults(down=True)
        await trio.sleep(3)
        self.assertEqual([2] * 4, net.versions())
        # Offers to peers contain only the manifest; peers fetch the parts.
        held = net.routers['vm-3'].rollout._holder.held
        self.assertEqual(
            (held.signed.envelope, {}), detach_parts(held.signed.envelope)
        )

    @run_net
    async def test_altered_attached_parts_are_rejected(self, net, nursery):
        await self.accept(net, 1, ['a'])
        router = await net.add(nursery, 'vm-1', watches=True)
        await trio.sleep(5)
        envelope, bodies = bundles.signed_bundle(2, ('a', 'b'))
        altered = {part_hash: b'other' for part_hash in bodies}
        await net.put_current(attach_parts(envelope, altered))
        await trio.sleep(5)
        self.assertEqual(1, router.rollout.version)
        await net.put_parts(bodies)
        await net.put_current(attach_parts(envelope, {}))
        await trio.sleep(5)
        self.assertEqual(2, router.rollout.version)
