"""
tests.test_key_rollout
~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that accept a bundle signed by a revoked key.
"""

import testtools
import trio

from eelgrassfork.key_list import KeyList, new_grant

from . import bundles
from .test_rollout import run_net

OLD, NEW = bundles.KEY, bundles.OTHER_KEY
GRANTED = KeyList((new_grant(NEW.public_key, OLD),))
REVOKED = GRANTED._replace(revoked=(OLD.key_id,))


def signed_by(version, key, keys=KeyList(), name='o'):
    kinds = {
        'fleets': {'pazlen': {}},
        'organisations': {
            f'pazlen/{name}': {'budgets_by_key_hash': {}, 'services': []}
        },
    }
    return bundles.held_bundle(version, kinds, key=key, keys=keys)


async def accept(net, held):
    """Overwrite the current bundle without checks, as an attacker could."""
    parts = held.parts_by_hash.items()
    await net.put_parts({key: part.body for key, part in parts})
    await net.put_current(held.signed.envelope)


class RotationTests(testtools.TestCase):
    async def rotate(self, net, nursery, routers=3):
        """Roll routers that are configured with the old key out to version 3."""
        await accept(net, signed_by(1, OLD))
        for number in range(routers):
            await net.add(nursery, f'vm-{number}', watches=number < 2)
        await trio.sleep(4)
        await accept(net, signed_by(2, NEW, GRANTED))
        await trio.sleep(4)
        self.assertEqual([2] * routers, net.versions())
        await accept(net, signed_by(3, NEW, REVOKED))
        await trio.sleep(4)
        self.assertEqual([3] * routers, net.versions())

    @run_net
    async def test_revoked_key_is_refused_everywhere(self, net, nursery):
        await self.rotate(net, nursery)
        for stolen in (
            signed_by(9, OLD, name='x'),
            signed_by(9, OLD, KeyList((), (NEW.key_id,)), name='y'),
            signed_by(9, OLD, GRANTED, name='z'),
        ):
            await accept(net, stolen)
            await trio.sleep(10)
            self.assertEqual([3, 3, 3], net.versions())
        problem = net.routers['vm-0'].rollout.dump()['last_problem']
        self.assertIn('revoked', problem)
        await accept(net, signed_by(10, NEW, REVOKED, name='w'))
        await trio.sleep(5)
        self.assertEqual([10, 10, 10], net.versions())

    @run_net
    async def test_started_router_gets_revocation_from_peers(
        self, net, nursery
    ):
        await self.rotate(net, nursery)
        await accept(net, signed_by(9, OLD, name='x'))
        started = await net.add(nursery, 'vm-new', watches=True)
        seen = set()
        for _ in range(200):
            await trio.sleep(0.1)
            seen.add(started.rollout.version)
        self.assertEqual({3}, seen - {0})
        dump = started.rollout.dump()
        self.assertEqual([OLD.key_id], dump['revoked_key_ids'])
        self.assertEqual([NEW.key_id], dump['trusted_key_ids'])

    @run_net
    async def test_mutually_revoking_bundles_prevent_a_start(
        self, net, nursery
    ):
        await self.rotate(net, nursery)
        await accept(net, signed_by(9, OLD, KeyList((), (NEW.key_id,)), 'x'))
        started = await net.add(nursery, 'vm-new', watches=True)
        await trio.sleep(20)
        self.assertFalse(started.rollout.is_ready())
        self.assertEqual([3, 3, 3, 0], net.versions())

    @run_net
    async def test_router_partitioned_during_rotation_follows(
        self, net, nursery
    ):
        await accept(net, signed_by(1, OLD))
        disconnected = await net.add(nursery, 'vm-late', watches=True)
        await trio.sleep(4)
        disconnected.is_partitioned = True
        net.platform.set_faults(cut=('vm-late',))
        await self.rotate_rest(net, nursery)
        disconnected.is_partitioned = False
        net.platform.set_faults(cut=())
        await trio.sleep(5)
        self.assertEqual(3, disconnected.rollout.version)

    async def rotate_rest(self, net, nursery):
        await net.add(nursery, 'vm-other', watches=True)
        await trio.sleep(4)
        for held in (signed_by(2, NEW, GRANTED), signed_by(3, NEW, REVOKED)):
            await accept(net, held)
            await trio.sleep(4)
        self.assertEqual([1, 3], net.versions())

    @run_net
    async def test_slow_bundle_of_a_key_revoked_meanwhile(self, net, nursery):
        await accept(net, signed_by(1, OLD))
        router = await net.add(nursery, 'vm-1')
        await net.add(nursery, 'vm-2', watches=True)
        slow = await net.add(nursery, 'vm-3')
        await trio.sleep(4)
        stolen = signed_by(9, OLD, name='x')

        async def slow_fetch(sender, payload):
            await trio.sleep(5 if payload['parts'] else 0)
            parts = stolen.parts_by_hash.items()
            return {
                'version': 9,
                'ready': True,
                'manifest': stolen.signed.envelope,
                'parts': {key: part.body for key, part in parts},
            }

        slow.handlers['fetch_bundle'] = slow_fetch
        router.rollout.note_peer_version(9, 'vm-3')
        await trio.sleep(1)
        for held in (signed_by(2, NEW, GRANTED), signed_by(3, NEW, REVOKED)):
            await accept(net, held)
            await trio.sleep(1.5)
        self.assertEqual(3, router.rollout.version)
        await trio.sleep(10)
        self.assertEqual(3, router.rollout.held_version)
