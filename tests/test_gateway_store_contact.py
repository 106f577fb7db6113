"""
tests.test_gateway_store_contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against store reads that appear newer than they are.
"""

import random
from zlib import crc32

import testtools
import trio

from eelgrassfork.gateway.heartbeats import StoreRead
from eelgrassfork.gateway.store_contact import StoreContact

from .mock_clock import run


class StoreContactTests(testtools.TestCase):
    def test_relayed_read_ages_in_real_time(self):
        # Three routers repeatedly gossip a store read over slow links.
        async def main():
            source = random.Random(5)
            contacts = [StoreContact(f'n{number}') for number in range(3)]
            contacts[0].record_own_read(trio.current_time())
            for _ in range(100):
                sender, receiver = source.sample(contacts, 2)
                sent_read = sender.newest()
                await trio.sleep(0.1)
                receiver.merge(sent_read)
            return [contact.age_ms for contact in contacts]

        ages_ms = run(main)
        self.assertAlmostEqual(10_000, ages_ms[0], delta=1)
        # Only the transit time of the first messages is not included.
        self.assertGreater(min(ages_ms), 9500)

    def test_newest_read_of_any_router_is_kept(self):
        async def main():
            contact = StoreContact('n0')
            contact.merge(StoreRead(1, 4, 900))
            contact.merge(StoreRead(2, 1, 300))
            contact.merge(StoreRead(1, 5, 100))
            return contact.newest()

        self.assertEqual(StoreRead(1, 5, 100), run(main))

    def test_older_read_does_not_replace_a_newer_one(self):
        async def main():
            contact = StoreContact('n0')
            contact.merge(StoreRead(1, 5, 100))
            contact.merge(StoreRead(2, 9, 500))
            contact.record_own_read(trio.current_time() - 1)
            return contact.newest(), contact.own_age_ms

        self.assertEqual((StoreRead(1, 5, 100), 1000), run(main))

    def test_own_read_relayed_by_a_peer_is_ignored(self):
        async def main():
            contact = StoreContact('n0', 7)
            contact.record_own_read(trio.current_time())
            contact.merge(StoreRead(crc32(b'n0'), 99, 0))
            await trio.sleep(1)
            return contact.newest(), contact.peers_read_at

        self.assertEqual(
            (StoreRead(crc32(b'n0'), 8, 1000), float('-inf')), run(main)
        )

    def test_reads_of_a_restarted_router_are_accepted(self):
        async def main():
            before, after = StoreContact('n1', 1000), StoreContact('n1', 9000)
            contact = StoreContact('n0')
            for reader in (before, after):
                reader.record_own_read(trio.current_time())
                contact.merge(reader.newest())
                await trio.sleep(1)
            return contact.age_ms

        self.assertEqual(1000, run(main))

    def test_negative_age_counts_as_zero(self):
        async def main():
            contact = StoreContact('n0')
            contact.merge(None)
            contact.merge(StoreRead(1, 5, -60_000))
            return contact.age_ms

        self.assertEqual(0, run(main))
