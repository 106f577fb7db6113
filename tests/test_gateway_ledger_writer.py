"""
tests.test_gateway_ledger_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against transfers that are applied twice, or that are assumed to have
failed although they took effect.
"""

import testtools
import trio

from eelgrassfork.gateway.credit import HeldCredit
from eelgrassfork.gateway.ledger import Transfer
from eelgrassfork.gateway.ledger_writer import LedgerWriter
from eelgrassfork.gateway.store import StoreUnavailable

from .memory_store import MemoryStore
from .mock_clock import run


class Router:
    def __init__(self, store, node='n1'):
        self.held = HeldCredit(6)
        self.writer = LedgerWriter(
            store, node, 1, self.held, lambda: {'a': 1000}
        )

    async def draw(self, amount, reread=False):
        wanted = [amount]

        def plan():
            left = 1000 - self.granted
            return Transfer({'a': min(left, wanted[0])}, {}, {})

        await self.writer.transfer(plan, reread)

    @property
    def granted(self):
        return self.writer.ledger.granted_by_organisation.get('a', 0)


class LedgerWriterTests(testtools.TestCase):
    def test_routers_share_one_ledger(self):
        async def main():
            store = MemoryStore()
            first, second = Router(store), Router(store, 'n2')
            await first.draw(600)
            await second.draw(600)
            return first.held.free('a'), second.held.free('a')

        self.assertEqual((600, 400), run(main))

    def test_write_with_a_lost_answer_is_applied_once(self):
        async def main():
            store = MemoryStore()
            router = Router(store)
            await router.draw(100)
            store.lose = 1
            await router.draw(100)
            return router.held.free('a'), router.granted

        self.assertEqual((200, 200), run(main))

    def test_late_write_is_not_applied_after_its_retry(self):
        async def main():
            store = MemoryStore()
            router = Router(store)
            await router.draw(100)
            store.delay = 1
            await router.draw(100)
            store.release()
            await router.draw(0, reread=True)
            stored = await store.get('eelgrassfork-credit', 'ledger')
            return router.held.free('a'), stored.content

        free, content = run(main)
        self.assertEqual(200, free)
        self.assertIn(b'"a":200', content)

    def test_failed_write_restores_returned_credit(self):
        async def main():
            store = MemoryStore()
            router = Router(store)
            await router.draw(100)
            store.down = True
            try:
                await router.writer.transfer(
                    lambda: Transfer({}, {'a': 60}, {})
                )
            except StoreUnavailable:
                return router.held.free('a'), router.writer.is_unavailable

        self.assertEqual((100, True), run(main))

    def test_only_a_fresh_ledger_proves_that_no_credit_remains(self):
        async def main():
            store = MemoryStore()
            router = Router(store)
            await router.draw(1000)
            fresh = router.writer.is_known_insufficient('a', 1)
            await trio.sleep(2)
            return fresh, router.writer.is_known_insufficient('a', 1)

        self.assertEqual((True, False), run(main))

    def test_budget_is_exhausted_by_use_and_not_by_draws(self):
        async def main():
            router = Router(MemoryStore())
            await router.draw(1000)
            before = router.writer.is_exhausted('a', 1)
            router.held.reserve('a', 1000)
            router.held.settle('a', 1000, 1000)
            return before, router.writer.is_exhausted('a', 1)

        self.assertEqual((False, True), run(main))
