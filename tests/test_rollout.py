"""
tests.test_rollout
~~~~~~~~~~~~~~~~~~

Guards against bundles that are rolled back, forged or not distributed.
"""

import functools

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork.bundle import BundleError

from . import bundles
from .rollout_net import Net


def run_net(test):
    @functools.wraps(test)
    def wrapper(self):
        clock = trio.testing.MockClock(autojump_threshold=0)

        async def main():
            async with trio.open_nursery() as nursery:
                self.clock = clock
                await test(self, Net(), nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)

    return wrapper


class AcceptedTests(testtools.TestCase):
    @run_net
    async def test_in_force_everywhere_within_seconds(self, net, nursery):
        await net.accept(1)
        for number in range(6):
            await net.add(nursery, f'vm-{number}', watches=number < 2)
        await trio.sleep(5)
        for version in (2, 3):
            await net.accept(version, organisations=('atelier', f'o{version}'))
            await trio.sleep(4)
            self.assertEqual([version] * 6, net.versions())

    @run_net
    async def test_only_watchers_watch(self, net, nursery):
        await net.accept(1)
        for number in range(6):
            await net.add(nursery, f'vm-{number}', watches=number < 2)
        await trio.sleep(5)
        before = net.platform.core.calls_by_kind['watch']
        await trio.sleep(50)
        watches = net.platform.core.calls_by_kind['watch'] - before
        self.assertTrue(0 < watches <= 22, watches)

    @run_net
    async def test_router_without_live_peers_watches(self, net, nursery):
        await net.accept(1)
        await net.add(nursery, 'vm-1', watches=True)
        isolated = await net.add(nursery, 'vm-2')
        await trio.sleep(3)
        isolated.is_partitioned = True
        await net.accept(2)
        await trio.sleep(3)
        self.assertEqual([2, 2], net.versions())

    @run_net
    async def test_domain_without_platform_gets_bundles_from_peers(
        self, net, nursery
    ):
        await net.accept(1)
        await net.add(nursery, 'vm-1', watches=True)
        await net.add(nursery, 'vm-2', watches=True, domain='pazlen/x')
        await trio.sleep(3)
        net.platform.set_faults(cut=('vm-2',))
        await net.accept(2)
        await trio.sleep(4)
        self.assertEqual([2, 2], net.versions())

    @run_net
    async def test_peers_hold_it_before_it_is_in_force(self, net, nursery):
        await net.accept(1)
        first = await net.add(nursery, 'vm-1', watches=True)
        second = await net.add(nursery, 'vm-2')
        await trio.sleep(3)
        await net.accept(2)
        while first.rollout.version < 2:
            self.assertEqual(1, first.rollout.version)
            await trio.sleep(0.0005)
        self.assertEqual(2, second.rollout.held_version)

    @run_net
    async def test_unresponsive_peer_delays_two_seconds_at_most(
        self, net, nursery
    ):
        await net.accept(1)
        first = await net.add(nursery, 'vm-1', watches=True)
        unresponsive = await net.add(nursery, 'vm-2')
        await trio.sleep(3)
        unresponsive.is_unresponsive = True
        await net.accept(2)
        await trio.sleep(1.9)
        self.assertEqual(1, first.rollout.version)
        await trio.sleep(0.2)
        self.assertEqual(2, first.rollout.version)


class RefusedTests(testtools.TestCase):
    def bad_bundles(self):
        good, bodies = bundles.signed_bundle(9, ('good',))
        decoded = msgspec.msgpack.decode(good)
        altered = decoded['manifest'].replace(b'version\x09', b'version\x0a')
        self.assertNotEqual(altered, decoded['manifest'])
        damaged, damaged_bodies = bundles.signed_bundle(9, ('damaged',))
        leaf = next(iter(damaged_bodies))
        other_leaf = next(iter(bodies.values()))
        partial, partial_bodies = bundles.signed_bundle(9, ('partial',))
        return {
            'older': bundles.signed_bundle(4, ('other',)),
            'same version': bundles.signed_bundle(5, ('other',)),
            'altered': (
                msgspec.msgpack.encode({**decoded, 'manifest': altered}),
                bodies,
            ),
            'unsigned': (
                msgspec.msgpack.encode({**decoded, 'signature': b''}),
                bodies,
            ),
            'other key': bundles.signed_bundle(9, key=bundles.OTHER_KEY),
            'altered part': (damaged, {**damaged_bodies, leaf: other_leaf}),
            'part missing': (partial, dict(list(partial_bodies.items())[1:])),
            'no bundle': (b'\0', {}),
        }

    @run_net
    async def test_not_taken_from_the_platform(self, net, nursery):
        await net.accept(5)
        router = await net.add(nursery, 'vm-1', watches=True)
        await trio.sleep(3)
        in_force = router.rollout.current
        for name, (envelope, bodies) in self.bad_bundles().items():
            with self.subTest(name=name):
                await net.put_parts(bodies)
                await net.put_current(envelope)
                await trio.sleep(10)
                self.assertIs(in_force, router.rollout.current)
                self.assertTrue(router.rollout.is_ready())

    @run_net
    async def test_not_taken_from_a_peer(self, net, nursery):
        await net.accept(5)
        router = await net.add(nursery, 'vm-1', watches=True)
        forger = await net.add(nursery, 'vm-2')
        await trio.sleep(3)
        in_force = router.rollout.current
        for name, (envelope, bodies) in self.bad_bundles().items():

            async def serve_forged(
                sender, payload, envelope=envelope, bodies=bodies
            ):
                await trio.lowlevel.checkpoint()
                return {
                    'version': 99,
                    'ready': True,
                    'manifest': envelope,
                    'parts': bodies,
                }

            with self.subTest(name=name):
                forger.handlers['fetch_bundle'] = serve_forged
                router.rollout.note_peer_version(99, 'vm-2')
                await trio.sleep(3)
                offer = {'manifest': envelope}
                if name in {'older', 'same version'}:
                    await forger.call('vm-1', 'offer_bundle', offer)
                else:
                    with testtools.ExpectedException(BundleError):
                        await forger.call('vm-1', 'offer_bundle', offer)
                await trio.sleep(3)
                self.assertIs(in_force, router.rollout.current)
                self.assertEqual(5, router.rollout.held_version)
        for payload in ({}, {'manifest': 3}, {'have_version': 'x'}):
            for kind in ('offer_bundle', 'fetch_bundle'):
                with testtools.ExpectedException(BundleError):
                    await forger.call('vm-1', kind, payload)

    @run_net
    async def test_slow_older_bundle_does_not_replace_newer(self, net, nursery):
        await net.accept(1)
        router = await net.add(nursery, 'vm-1')
        await net.add(nursery, 'vm-2', watches=True)
        behind = await net.add(nursery, 'vm-3')
        await trio.sleep(3)
        slow, slow_bodies = bundles.signed_bundle(2, ('slow',))

        async def slow_fetch(sender, payload):
            await trio.sleep(2 if payload['parts'] else 0)
            return {
                'version': 2,
                'ready': True,
                'manifest': slow,
                'parts': slow_bodies,
            }

        behind.handlers['fetch_bundle'] = slow_fetch
        router.rollout.note_peer_version(2, 'vm-3')
        await trio.sleep(1)
        await net.accept(3)
        await trio.sleep(1)
        self.assertEqual(3, router.rollout.version)
        for _ in range(500):
            await trio.sleep(0.01)
            self.assertEqual(3, router.rollout.held_version)


class RestartTests(testtools.TestCase):
    async def fleet(self, net, nursery):
        """Start a router that is partitioned at version 1, and one at 2."""
        await net.accept(1)
        old = await net.add(nursery, 'vm-1', watches=True)
        await trio.sleep(3)
        old.is_partitioned = True
        net.platform.set_faults(cut=('vm-1',))
        await net.accept(2)
        new = await net.add(nursery, 'vm-2', watches=True)
        await trio.sleep(3)
        net.platform.set_faults(down=True)
        old.is_partitioned = False
        self.assertEqual([1, 2], net.versions())
        return old, new

    @run_net
    async def test_newest_of_the_peers_is_taken(self, net, nursery):
        old, new = await self.fleet(net, nursery)
        started = await net.add(nursery, 'vm-3')
        seen = set()
        for _ in range(100):
            await trio.sleep(0.1)
            seen.add(started.rollout.version)
        self.assertEqual({0, 2}, seen)
        self.assertTrue(started.rollout.is_ready())

    @run_net
    async def test_not_ready_while_the_newest_cannot_be_fetched(
        self, net, nursery
    ):
        old, new = await self.fleet(net, nursery)
        fetch = new.handlers['fetch_bundle']

        async def without_parts(sender, payload):
            return {**await fetch(sender, payload), 'parts': {}}

        new.handlers['fetch_bundle'] = without_parts
        old.rollout.note_peer_version = lambda version, vm: None
        started = await net.add(nursery, 'vm-3')
        await trio.sleep(20)
        self.assertFalse(started.rollout.is_ready())
        new.handlers['fetch_bundle'] = fetch
        await trio.sleep(5)
        self.assertEqual(2, started.rollout.version)

    @run_net
    async def test_not_ready_without_a_ready_peer(self, net, nursery):
        net.platform.set_faults(down=True)
        first = await net.add(nursery, 'vm-1')
        second = await net.add(nursery, 'vm-2')
        await trio.sleep(60)
        self.assertFalse(first.rollout.is_ready())
        self.assertFalse(second.rollout.is_ready())
        # A bundle that is held but in force at no router, and heartbeats that
        # wrongly report ready, must not make a router ready.
        net.reported_state = 'ready'
        envelope, bodies = bundles.signed_bundle(3)
        offering = await net.add(nursery, 'vm-3')

        async def serve(sender, payload):
            await trio.lowlevel.checkpoint()
            return {
                'version': 3,
                'ready': False,
                'manifest': envelope,
                'parts': bodies,
            }

        offering.handlers['fetch_bundle'] = serve
        for vm in ('vm-1', 'vm-2'):
            await offering.call(vm, 'offer_bundle', {'manifest': envelope})
        await trio.sleep(20)
        self.assertEqual([0, 0, 0], net.versions())
        self.assertEqual(3, first.rollout.held_version)
        net.platform.set_faults(down=False)
        await net.accept(7)
        await trio.sleep(10)
        self.assertEqual([7, 7, 7], net.versions())


class FrozenTests(testtools.TestCase):
    @run_net
    async def test_bundle_is_caught_up_before_serving(self, net, nursery):
        await net.accept(1)
        frozen = await net.add(nursery, 'vm-1')
        await net.add(nursery, 'vm-2', watches=True)
        await trio.sleep(3)
        frozen.is_partitioned = True
        net.platform.set_faults(cut=('vm-1',))
        await net.accept(2)
        await trio.sleep(5)
        self.assertEqual([1, 2], net.versions())
        frozen.is_partitioned = False
        net.platform.set_faults(cut=())
        self.clock.jump(10)
        while frozen.rollout.version < 2:
            self.assertFalse(frozen.rollout.is_ready())
            await trio.sleep(0.0005)
        await trio.sleep(1)
        self.assertTrue(frozen.rollout.is_ready())

    @run_net
    async def test_serving_resumes_if_no_source_responds(self, net, nursery):
        await net.accept(1)
        frozen = await net.add(nursery, 'vm-1', watches=True)
        await trio.sleep(3)
        net.platform.set_faults(delay_s=60)
        self.clock.jump(10)
        self.assertFalse(frozen.rollout.is_ready())
        await trio.sleep(5.5)
        self.assertTrue(frozen.rollout.is_ready())
        self.assertEqual(1, frozen.rollout.version)
