"""
tests.test_gateway_restored_servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests to servers that left, and against dropping servers that
are there, after the store came back from an older copy.
"""

import testtools
import trio

from eelgrassfork.gateway.follower import StoreFollower
from eelgrassfork.gateway.records import ServerEntry
from eelgrassfork.gateway.servers import ServerSet

from .memory_store import MemoryStoreClient
from .mock_clock import run
from .test_gateway_follower import DECODERS, ENTRY, Harness

ANNOUNCED = ServerEntry('s1', 'svc', '10.0.0.1:80', 'd0', 6, 100, 5)
DRAINING = {**ENTRY, 'state': 'draining', 'sequence': 9}


def follow(scenario):
    """Follow a store with version 3 and server s1, and run the scenario."""

    async def main():
        async with trio.open_nursery() as nursery:
            harness = Harness(nursery)
            client = MemoryStoreClient(harness.store)
            harness.follower = StoreFollower(
                client, harness.store_view, DECODERS, harness.roles
            )
            client.era.subscribe(harness.store_view.servers.record_restore)
            harness.put_version(3)
            harness.store.put('servers', 's1', ENTRY)
            await harness.follower.start(nursery)
            await trio.sleep(0.1)
            found = await scenario(harness)
            nursery.cancel_scope.cancel()
        return found

    return run(main)


async def restore(harness, state):
    harness.store.down = True
    harness.store.compact()
    await trio.sleep(1)
    harness.store.restore(state)
    harness.store.down = False


class FollowerTests(testtools.TestCase):
    def test_server_that_registers_again_and_leaves_gets_no_requests(self):
        # Its entry had a lower revision than the newest one known.
        async def scenario(harness):
            state = harness.store.copy_state()
            harness.store.remove('servers', 's1')
            for number in range(20):
                harness.store.put('servers', 's2', {**ENTRY, 'slots': number})
            await trio.sleep(0.1)
            await restore(harness, state)
            await trio.sleep(0.5)
            harness.store.put('servers', 's1', {**ENTRY, 'sequence': 8})
            await trio.sleep(2)
            back = 's1' in harness.usable
            harness.store.put('servers', 's1', DRAINING)
            await trio.sleep(2)
            return back, 's1' in harness.usable

        self.assertEqual((True, False), follow(scenario))

    def test_change_is_seen_though_the_revision_was_passed_again(self):
        async def scenario(harness):
            state = harness.store.copy_state()
            harness.store.put('servers', 's2', ENTRY)
            await trio.sleep(0.1)
            harness.store.stalled_through = harness.store.calls
            harness.store.restore(state)
            harness.store.put('servers', 's1', DRAINING)
            for number in range(5):
                harness.store.put('servers', 's3', {**ENTRY, 'slots': number})
            harness.store.oldest_revision = 0
            await trio.sleep(2)
            return 's1' in harness.usable

        self.assertFalse(follow(scenario))

    def test_server_that_the_copy_lacks_is_used_until_it_is_written_again(self):
        async def scenario(harness):
            state = harness.store.copy_state()
            harness.store.put('servers', 's2', ENTRY)
            await trio.sleep(0.1)
            await restore(harness, state)
            usable = []
            for _ in range(15):
                await trio.sleep(0.1)
                usable.append('s2' in harness.usable)
            harness.store.put('servers', 's2', {**ENTRY, 'sequence': 4})
            await trio.sleep(3)
            return [*usable, 's2' in harness.usable]

        self.assertEqual([True] * 16, follow(scenario))

    def test_server_that_the_copy_lacks_for_good_is_dropped(self):
        async def scenario(harness):
            state = harness.store.copy_state()
            harness.store.put('servers', 's2', ENTRY)
            await trio.sleep(0.1)
            await restore(harness, state)
            await trio.sleep(5)
            return harness.usable

        self.assertEqual(['s1'], follow(scenario))

    def test_server_that_had_left_is_not_used_because_of_the_copy(self):
        async def scenario(harness):
            state = harness.store.copy_state()
            harness.store.put('servers', 's1', DRAINING)
            await trio.sleep(0.5)
            harness.store.remove('servers', 's1')
            await trio.sleep(3)
            harness.store_view.servers.discard_expired()
            await restore(harness, state)
            usable = []
            for _ in range(30):
                await trio.sleep(0.1)
                usable.append('s1' in harness.usable)
            harness.store.remove('servers', 's1')
            await trio.sleep(20)
            return any(usable), harness.usable

        self.assertEqual((False, []), follow(scenario))


class FormerEraTests(testtools.TestCase):
    def test_store_that_answers_from_a_former_era_is_not_asked_at_once(self):
        # A replica of the store that lags behind, or a wrong era from a peer.
        async def scenario(harness):
            await trio.sleep(1)
            harness.follower._store.era.observe(3, 'n2')
            calls = harness.store.calls
            await trio.sleep(5)
            return harness.store.calls - calls

        self.assertLess(follow(scenario), 60)


class ServerSetTests(testtools.TestCase):
    def is_used(self, entry, after_s):
        """Check whether a removed server is used for an entry of the copy."""

        async def main():
            servers = ServerSet()
            servers.apply_entry(ANNOUNCED)
            servers.mark_removed('s1')
            await trio.sleep(3)
            servers.discard_expired()
            servers.record_restore()
            servers.apply_entry(entry)
            await trio.sleep(after_s)
            servers.discard_expired()
            return bool(servers.usable('svc'))

        return run(main)

    def test_entry_that_was_known_before_the_removal_proves_nothing(self):
        self.assertFalse(self.is_used(ANNOUNCED, 5))
        self.assertFalse(self.is_used(ANNOUNCED._replace(sequence=4), 5))

    def test_newer_entry_proves_that_the_server_is_back(self):
        self.assertTrue(self.is_used(ANNOUNCED._replace(sequence=6), 0))
        newer = ANNOUNCED._replace(incarnation=101, sequence=1)
        self.assertTrue(self.is_used(newer, 0))

    def test_entry_that_the_store_keeps_is_used_after_all(self):
        # Entries of silent servers would have expired by then.
        self.assertTrue(self.is_used(ANNOUNCED, 15))
