"""
tests.rollout_net
~~~~~~~~~~~~~~~~~

Harness: rollouts of several routers, in-memory platform, fake peering.
"""

import msgspec
import trio

from eelgrassfork.bundle import CURRENT_KEY, part_key
from eelgrassfork.bundle_fetch import BundleSources
from eelgrassfork.errors import EelgrassError
from eelgrassfork.membership import PeerRecord
from eelgrassfork.rollout import Rollout, RolloutSettings
from standins.fake_platform import FakePlatform

from . import bundles

__all__ = ('Net', 'Router')

DOMAIN = 'pazlen/haskovo'


class Router:
    """The rollout of one router, with fake peering and membership."""

    def __init__(self, net, vm, watches=False, domain=DOMAIN):
        self.net = net
        self.vm = vm
        self.domain = domain
        self.handlers = {}
        self.is_partitioned = False
        self.is_unresponsive = False
        self.rollout = Rollout(
            RolloutSettings(domain, bundles.TRUSTED),
            BundleSources(net.platform.for_client(vm), self, self),
            lambda: watches,
        )

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, vm, kind, payload):
        await trio.sleep(0.001)
        peer = self.net.routers.get(vm)
        if peer is None or self.is_partitioned or peer.is_partitioned:
            raise EelgrassError('peer_unreachable', 'partitioned')
        if peer.is_unresponsive:
            await trio.sleep(60)
        encoded = msgspec.msgpack.encode(payload)
        sent = msgspec.msgpack.decode(encoded)
        answer = await peer.handlers[kind](f'{self.vm}.0', sent)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer))

    def peers(self):
        return [
            PeerRecord(
                peer.vm,
                f'{peer.vm}.0',
                peer.domain,
                '',
                self.net.reported_state
                or ('ready' if peer.rollout.current else 'starting'),
                peer.rollout.version,
                suspect=self.is_partitioned or peer.is_partitioned,
            )
            for peer in self.net.routers.values()
            if peer is not self
        ]

    async def start(self, nursery):
        await self.rollout.start(nursery)
        nursery.start_soon(self._send_heartbeats)

    async def _send_heartbeats(self):
        while True:
            for peer in self.peers():
                if not peer.suspect and peer.bundle_version:
                    self.rollout.note_peer_version(peer.bundle_version, peer.vm)
            await trio.sleep(1)


class Net:
    """Platform and routers of one test."""

    def __init__(self):
        self.platform = FakePlatform()
        self.routers = {}
        self.reported_state = ''

    async def add(self, nursery, vm, **options):
        router = Router(self, vm, **options)
        self.routers[vm] = router
        await router.start(nursery)
        return router

    async def put_parts(self, bodies):
        for part_hash, body in bodies.items():
            key = part_key(part_hash)
            if await self.platform.get(key) is None:
                await self.platform.put(key, body, None)

    async def accept(self, version, **options):
        envelope, bodies = bundles.signed_bundle(version, **options)
        await self.put_parts(bodies)
        await self.put_current(envelope)

    async def put_current(self, envelope):
        stored = await self.platform.get(CURRENT_KEY)
        await self.platform.put(
            CURRENT_KEY, envelope, stored.version if stored else None
        )

    def versions(self):
        return [router.rollout.version for router in self.routers.values()]
