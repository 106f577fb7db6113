"""
tests.test_gateway_registry
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that do not discover each other after a start.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.gateway.registry import Registry
from eelgrassfork.platform import boot_file

from .memory_store import MemoryStore
from .test_platform_boot_file import TEXT

KIND = 'eelgrassfork-routers'


class FakeGossip:
    def __init__(self):
        self.ips = set()
        self.is_watcher = False
        self.roster = self
        self.is_settled = True
        self.peers = self
        self.recent_peers = []

    def add_seeds(self, ips):
        self.ips.update(ips)

    def with_recent_heartbeat(self):
        return self.recent_peers


def run(scenario):
    async def main():
        store, gossip = MemoryStore(), FakeGossip()
        settings = boot_file.parse_settings(TEXT)
        async with trio.open_nursery() as nursery:
            registry = Registry(
                store, gossip, settings, 7, lambda: gossip.is_watcher
            )
            result = await scenario(store, gossip, registry, nursery)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class RegistryTests(testtools.TestCase):
    def test_discovers_routers_that_start_later(self):
        async def scenario(store, gossip, registry, nursery):
            nursery.start_soon(registry.run)
            await trio.sleep(0.5)
            store.put(KIND, 'n2', {'ip': '10.1.0.20', 'incarnation': 3})
            await trio.sleep(6)
            return gossip.ips

        self.assertEqual({'10.1.0.19', '10.1.0.20'}, run(scenario))

    def test_restart_replaces_the_entry(self):
        async def scenario(store, gossip, registry, nursery):
            store.put(KIND, 'edge-1', {'ip': '10.9.9.9', 'incarnation': 1})
            nursery.start_soon(registry.run)
            await trio.sleep(0.5)
            return (await store.get(KIND, 'edge-1')).content

        self.assertEqual(b'{"ip":"10.1.0.19","incarnation":7}', run(scenario))

    def test_unavailable_store_is_retried(self):
        async def scenario(store, gossip, registry, nursery):
            store.down = True
            nursery.start_soon(registry.run)
            await trio.sleep(3)
            store.down = False
            store.put(KIND, 'bad', b'{"ip":3}')
            await trio.sleep(2)
            return gossip.ips

        self.assertEqual({'10.1.0.19'}, run(scenario))

    def test_connected_router_registers_only_if_it_watches(self):
        async def scenario(store, gossip, registry, nursery):
            gossip.recent_peers = ['n2']
            nursery.start_soon(registry.run)
            await trio.sleep(8)
            before = store.calls
            gossip.is_watcher = True
            await trio.sleep(8)
            return before, store.calls, await store.get(KIND, 'edge-1')

        before, after, entry = run(scenario)
        self.assertEqual((0, 1), (before, after))
        self.assertIsNotNone(entry)

    def test_entry_that_a_restore_undid_is_written_again(self):
        async def scenario(store, gossip, registry, nursery):
            gossip.is_watcher = True
            store.era.observe(1, 'store')
            state = store.copy_state()
            nursery.start_soon(registry.run)
            await trio.sleep(8)
            store.restore(state)
            lost = await store.get(KIND, 'edge-1')
            store.era.observe(2, 'store')
            await trio.sleep(8)
            return lost, (await store.get(KIND, 'edge-1')) is not None

        self.assertEqual((None, True), run(scenario))
