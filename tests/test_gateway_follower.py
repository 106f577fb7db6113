"""
tests.test_gateway_follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against store views that lag behind the store, or revert to old state.
"""

import random

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork.gateway.follower import (
    Decoders,
    StoreFollower,
    StoreView,
    WatchRoles,
)
from eelgrassfork.gateway.roster import FleetView
from eelgrassfork.gateway.server_records import ServerRecord
from eelgrassfork.gateway.watch_role import WatchPolicy
from eelgrassfork.platform.config_decoder import decode_configuration
from eelgrassfork.platform.server_entries import decode_entry

from .gateway_world import configuration
from .memory_store import MemoryStore
from .test_gateway_watch_role import make_role, receive_store_read

# Within this time an accepted configuration has to be active on all routers.
CONFIG_BOUND_S = 2

DECODERS = Decoders(
    'config',
    'main',
    'servers',
    decode_configuration,
    decode_entry,
    'evacuations',
)
ENTRY = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'd0',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'sequence': 3,
    'born': 5,
}


def make_roles(node, fleet, **options):
    return WatchRoles(
        make_role(node, fleet, **options), make_role(node, fleet, **options)
    )


class Harness:
    def __init__(self, nursery):
        self.store = MemoryStore()
        self.changes = 0
        self.store_view = StoreView(DECODERS, self.note_change)
        self.nodes = {'d0': [f'n{number}' for number in range(9)]}
        self.roles = make_roles('n1', self.fleet)
        self.role = self.roles.configuration
        self.follower = StoreFollower(
            self.store, self.store_view, DECODERS, self.roles
        )
        self.nursery = nursery

    def fleet(self):
        same_domain = tuple(self.nodes['d0'])
        return FleetView(len(same_domain), same_domain)

    def receive_store_read(self):
        for role in self.roles:
            receive_store_read(role)

    def note_change(self):
        self.changes += 1

    def put_version(self, version):
        self.store.put('config', 'main', configuration(version))

    @property
    def version(self):
        return self.store_view.configuration.version

    @property
    def usable(self):
        return [one.entry.id for one in self.store_view.servers.usable('svc')]


def run(scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            harness = Harness(nursery)
            harness.put_version(3)
            harness.store.put('servers', 's1', ENTRY)
            await harness.follower.start(nursery)
            await trio.sleep(0.1)
            found = await scenario(harness)
            nursery.cancel_scope.cancel()
        return found

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class FollowerTests(testtools.TestCase):
    def test_changes_are_applied_at_once(self):
        async def scenario(harness):
            first = harness.version, harness.usable
            harness.put_version(8)
            harness.store.put('servers', 's1', {**ENTRY, 'state': 'draining'})
            await trio.sleep(0.05)
            return first, (harness.version, harness.usable)

        self.assertEqual(((3, ['s1']), (8, [])), run(scenario))

    def test_catches_up_after_an_outage_with_expired_history(self):
        async def scenario(harness):
            harness.store.down = True
            await trio.sleep(5)
            lost = harness.follower.reachable
            harness.put_version(9)
            harness.store.put('servers', 's2', ENTRY)
            harness.store.compact()
            harness.store.down = False
            await trio.sleep(CONFIG_BOUND_S)
            return lost, harness.version, harness.usable

        self.assertEqual((False, 9, ['s1', 's2']), run(scenario))

    def test_silent_watch_is_renewed_within_seconds(self):
        async def scenario(harness):
            harness.store.silent = True
            await trio.sleep(2.9)
            harness.put_version(9)
            harness.store.silent = False
            await trio.sleep(1.6)
            return harness.version

        self.assertEqual(9, run(scenario))

    def test_stalled_watch_is_cancelled_once_no_router_reads_the_store(self):
        # Open connections stalled.  A router waited for the end of its watch
        # although new connections worked.
        async def scenario(harness):
            harness.follower._pick_watch_s = lambda: 6
            harness.put_version(4)
            await trio.sleep(0.1)
            harness.store.stalled_through = harness.store.calls
            await trio.sleep(1)
            harness.put_version(9)
            await trio.sleep(CONFIG_BOUND_S / 2)
            return harness.version

        self.assertEqual(9, run(scenario))

    def test_watch_durations_are_spread_after_a_change(self):
        # A change ends the watches of all ninety routers.  If the store is cut
        # off right after it, one of the routers must call it again soon.
        for watchers in (15, 90):
            nodes = [f'n{number}' for number in range(watchers)]
            policy = WatchPolicy(small_fleet_routers=watchers)
            fleet = FleetView(watchers, tuple(nodes))
            roles = make_roles('n1', lambda fleet=fleet: fleet, policy=policy)
            ends = []
            for seed in range(watchers):
                follower = StoreFollower(None, None, DECODERS, roles)
                follower._random = random.Random(seed)
                ends.append(follower._pick_watch_s())
            ends.sort()
            gaps = [late - early for early, late in zip([0, *ends], ends)]
            self.assertLess(max(gaps), CONFIG_BOUND_S)

    def test_most_routers_of_a_large_fleet_do_not_watch(self):
        async def scenario(harness):
            harness.nodes['d0'] = [f'n{number}' for number in range(9, 99)]
            harness.receive_store_read()
            calls = []
            for _ in range(40):
                harness.receive_store_read()
                harness.store.put('other', 'x', b'{}')
                await trio.sleep(0.25)
                calls.append(harness.store.calls)
            return harness.role.must_watch, calls[-1] - calls[20]

        self.assertEqual((False, 0), run(scenario))

    def test_loss_of_all_watchers_leads_to_probes_by_other_routers(self):
        # All watchers are lost before they pass on a change.  Another router
        # has to probe the store, but not all routers at once.
        async def scenario(harness):
            nodes = tuple(f'n{number}' for number in range(9, 99))
            fleet = FleetView(len(nodes), nodes)
            store = MemoryStore()
            store.put('config', 'main', configuration(3))
            roles = []
            store_views = []
            for number in range(90):
                own = make_roles(f'other{number}', lambda: fleet)
                for role in own:
                    receive_store_read(role)
                known = StoreView(DECODERS, lambda: None)
                follower = StoreFollower(store, known, DECODERS, own)
                await follower.start(harness.nursery)
                roles.append(own.configuration)
                store_views.append(known)
            store.put('config', 'main', configuration(9))
            await trio.sleep(roles[0]._policy.max_silence_s)
            before = store.calls
            await trio.sleep(CONFIG_BOUND_S)
            newest = max(one.configuration.version for one in store_views)
            return before, newest, store.calls

        before, newest, calls = run(scenario)
        self.assertEqual((0, 9), (before, newest))
        self.assertLess(calls, 45)

    def test_probe_after_expired_history_reads_the_configuration(self):
        # Routers that had not watched for long probed with a revision whose
        # history had expired, and did not list until their next probe.
        async def scenario(harness):
            fleet = FleetView(20, ('n1', 'n2'))
            roles = make_roles('other', lambda: fleet)
            known = StoreView(DECODERS, lambda: None)
            store = MemoryStore()
            store.put('config', 'main', configuration(3))
            follower = StoreFollower(store, known, DECODERS, roles)
            await follower.start(harness.nursery)
            await trio.sleep(0.5)
            store.put('config', 'main', configuration(9))
            store.compact()
            before = store.calls
            while known.configuration.version < 9:
                await trio.sleep(0.05)
            return store.calls - before

        self.assertEqual(1, run(scenario))

    def test_watcher_retries_soon_once_no_other_router_reaches_the_store(self):
        async def scenario(harness):
            harness.store.down = True
            for _ in range(40):
                await trio.sleep(0.25)
                harness.receive_store_read()
            harness.store.down = False
            harness.put_version(9)
            await trio.sleep(WatchPolicy().max_silence_s + 1.2)
            return harness.version

        for _ in range(20):
            self.assertEqual(9, run(scenario))

    def test_own_failed_calls_are_no_outage_while_others_reach_the_store(self):
        # Entries expire during an outage, so removed entries are kept for two
        # seconds after one.  Without an outage, a removed server was therefore
        # used for two more seconds.
        async def scenario(harness):
            harness.store.down = True
            for _ in range(12):
                await trio.sleep(0.25)
                harness.receive_store_read()
            (known,) = harness.store_view.records.export()
            removal = known._replace(removed=True, content=b'')
            harness.store_view.apply_server_records([removal], 'peer')
            await trio.sleep(1.2)
            return harness.usable

        self.assertEqual([], run(scenario))

    def test_start_is_not_reported_as_an_outage(self):
        # No store read of a peer has been received yet, and no call has failed.
        async def scenario(harness):
            roles = make_roles('other', harness.fleet)
            store_view = StoreView(DECODERS, lambda: None)
            follower = StoreFollower(harness.store, store_view, DECODERS, roles)
            transitions = []
            follower._set_reachable = lambda *transition: transitions.append(
                transition
            )
            follower._refresh_reachable()
            return transitions

        self.assertEqual([], run(scenario))

    def test_recovery_of_the_store_is_detected_by_store_reads_of_peers(self):
        async def scenario(harness):
            harness.store.down = True
            await trio.sleep(5)
            lost = harness.follower.reachable
            harness.nodes['d0'] = [f'n{number}' for number in range(9, 99)]
            harness.store.down = False
            harness.receive_store_read()
            await trio.sleep(1)
            return lost, harness.follower.reachable

        self.assertEqual((False, True), run(scenario))

    def test_invalid_configuration_leaves_the_old_one_active(self):
        async def scenario(harness):
            harness.store.put('config', 'main', b'{"version":9,"routes":[7]}')
            await trio.sleep(0.1)
            return harness.version

        self.assertEqual(3, run(scenario))

    def test_malformed_entry_is_ignored(self):
        async def scenario(harness):
            harness.store.put('servers', 's1', {**ENTRY, 'address': 7})
            harness.store.put('servers', 's9', b'\xff')
            await trio.sleep(0.1)
            return harness.usable

        self.assertEqual(['s1'], run(scenario))

    def test_removed_entry_is_not_restored_by_a_peer(self):
        async def scenario(harness):
            known = harness.store_view.records.export()
            harness.store.remove('servers', 's1')
            await trio.sleep(1)
            harness.store_view.apply_server_records(known, 'peer')
            return harness.usable

        self.assertEqual([], run(scenario))

    def test_listing_does_not_remove_servers_newer_than_itself(self):
        # A peer sent an entry while the listing was in transit.  The entry was
        # marked as removed until the server next updated it.
        async def scenario(harness):
            listing = await harness.store.list_all('servers')
            stored = harness.store.put('servers', 's2', ENTRY)
            newer = ServerRecord('s2', stored.revision, False, stored.content)
            harness.store_view.apply_server_records([newer], 'peer')
            harness.follower._apply_server_listing(listing)
            await trio.sleep(3)
            return harness.usable

        self.assertEqual(['s1', 's2'], run(scenario))

    def test_older_configuration_from_a_peer_is_ignored(self):
        async def scenario(harness):
            changes = harness.changes
            older = msgspec.json.encode(configuration(2))
            harness.store_view.apply_configuration(older, 'peer')
            return harness.version, harness.changes - changes

        self.assertEqual((3, 0), run(scenario))
