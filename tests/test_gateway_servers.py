"""
tests.test_gateway_servers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests to servers that shut down, and against dropping
servers that are still running.
"""

import random

import testtools
import trio

from eelgrassfork.gateway.records import ServerEntry, ServerLoad
from eelgrassfork.gateway.servers import Server, ServerSet

from .mock_clock import run

ENTRY = ServerEntry('s1', 'svc', '10.0.0.1:80', 'd0', 6, 100, 5)
RNG = random.Random(3)


def usable(servers):
    return [server.entry.id for server in servers.usable('svc')]


class ServerSetTests(testtools.TestCase):
    def test_leaving_server_stays_unused_whatever_entries_arrive_late(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.apply_entry(ENTRY._replace(sequence=6, leaving=True))
            servers.apply_entry(ENTRY._replace(sequence=4))
            servers.apply_entry(ENTRY._replace(sequence=9))
            return usable(servers)

        self.assertEqual([], run(main))

    def test_new_incarnation_with_the_same_id_is_a_new_server(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY._replace(leaving=True))
            servers.apply_entry(ENTRY._replace(incarnation=200, sequence=1))
            return usable(servers)

        self.assertEqual(['s1'], run(main))

    def test_older_incarnation_is_ignored(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.apply_entry(
                ENTRY._replace(incarnation=50, address='10.9.9.9:1')
            )
            return servers.usable('svc')[0].entry.address

        self.assertEqual(ENTRY.address, run(main))

    def test_server_with_a_removed_entry_is_unused_after_the_hold(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.mark_removed('s1')
            await trio.sleep(0.6)
            return usable(servers)

        self.assertEqual([], run(main))

    def test_entry_that_expired_in_an_outage_is_used_during_recovery(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.record_store_contact(reachable=False)
            await trio.sleep(5)
            servers.record_store_contact(reachable=True)
            servers.mark_removed('s1')
            await trio.sleep(1.9)
            held = usable(servers)
            await trio.sleep(0.2)
            return held, usable(servers)

        self.assertEqual((['s1'], []), run(main))

    def test_short_outage_does_not_extend_the_hold(self):
        # Routers with intermittent contact to the store used to keep servers
        # that had shut down.
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.record_store_contact(reachable=False)
            await trio.sleep(1)
            servers.record_store_contact(reachable=True)
            servers.record_store_contact(reachable=False)
            await trio.sleep(1.5)
            servers.mark_removed('s1')
            await trio.sleep(0.6)
            return usable(servers)

        self.assertEqual([], run(main))

    def test_pause_is_never_shortened(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            (server,) = servers.usable(ENTRY.service)
            found = []
            for pause_s in (3, 1):
                server.pause(pause_s, trio.current_time())
                found.append(servers.pause_left_s(ENTRY.service))
            await trio.sleep(3)
            return found, usable(servers), servers.pause_left_s(ENTRY.service)

        self.assertEqual(([3, 3], ['s1'], 0), run(main))

    def test_server_with_a_republished_entry_stays_usable(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.mark_removed('s1')
            servers.apply_entry(ENTRY._replace(sequence=8))
            await trio.sleep(3)
            return usable(servers)

        self.assertEqual(['s1'], run(main))

    def test_misdirected_server_is_unused_immediately(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            servers.mark_misdirected(servers.usable('svc')[0])
            return usable(servers)

        self.assertEqual([], run(main))

    def test_expired_servers_are_discarded_after_their_last_request(self):
        async def main():
            servers = ServerSet()
            servers.apply_entry(ENTRY)
            server = servers.usable('svc')[0]
            server.in_flight = 1
            servers.mark_misdirected(server)
            await trio.sleep(1)
            servers.discard_expired()
            kept = len(servers.dump())
            server.in_flight = 0
            servers.discard_expired()
            return kept, len(servers.dump())

        self.assertEqual((1, 0), run(main))


class ServerTests(testtools.TestCase):
    def test_load_combines_own_requests_with_the_last_report(self):
        server = Server(ENTRY)
        server.in_flight = 2
        server.update_load(ServerLoad(5, 1, 6), 10)
        self.assertEqual(6, server.load(10))
        server.in_flight = 0
        self.assertEqual(4, server.load(10))
        self.assertLess(server.load(13), 2)

    def test_unreachable_server_is_ejected_and_probed_later(self):
        server = Server(ENTRY)
        server.record_failure(0, True, RNG)
        self.assertTrue(server.health.ejected)
        self.assertFalse(server.is_due(0.1))
        self.assertTrue(server.is_due(2))

    def test_failed_probe_ejects_for_longer(self):
        server = Server(ENTRY)
        server.record_failure(0, True, RNG)
        first = server.health.probe_at
        server.record_failure(first, True, RNG)
        self.assertGreater(server.health.probe_at, first)

    def test_failures_decay_with_time_and_success(self):
        server = Server(ENTRY)
        server.record_failure(0, False, RNG)
        self.assertEqual(1, server.failures(0))
        self.assertAlmostEqual(0.5, server.failures(4))
        server.record_success(0.1, 4)
        self.assertLess(server.failures(4), 0.5)
