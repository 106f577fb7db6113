"""
tests.test_gateway_quarantine_record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against losing the quarantine in a restart of all routers, and against a
record in the store that brings back a part or ends its readers.
"""

from types import SimpleNamespace

import msgspec
import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.gateway.part_quarantine import PartQuarantine
from eelgrassfork.gateway.quarantine_record import QuarantineRecord
from eelgrassfork.gateway.records import PromptPart, ServerEntry
from eelgrassfork.gateway.sending import Attempt
from eelgrassfork.gateway.servers import Server
from eelgrassfork.gateway.suspect_ids import suspect_ids

from .memory_store import MemoryStore, MemoryStoreClient

KIND = 'eelgrassfork-quarantine'
PARTS = (PromptPart('x', 10), PromptPart('own', 10))


class Router:
    """Quarantine of one router process and its record."""

    def __init__(self, store, is_keeper=True, is_seed=True):
        self.quarantine = PartQuarantine(lambda service: 6, lambda: None)
        self.roster = SimpleNamespace(is_settled=True, is_keeper=is_keeper)
        self.record = QuarantineRecord(
            store, self.quarantine, self.roster, is_seed
        )

    def end_servers(self, parts=PARTS):
        for number in range(2):
            entry = ServerEntry(
                f'{parts[0].id}-{number}', 'model', 'a:1', 'd0', 8, 1, 1
            )
            attempt = Attempt(Server(entry), 'least_load', 0, 10)
            self.quarantine.record_crash(
                attempt, suspect_ids(parts, f'request-{number}')
            )

    @property
    def part_ids(self):
        return {part_id for _, part_id in self.quarantine.crash_ids_by_part()}


def run(scenario):
    async def main():
        async with trio.open_nursery() as nursery:

            async def start(router):
                nursery.start_soon(router.record.run)
                await trio.sleep(1)
                return router

            outcome = await scenario(MemoryStore(), start)
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class RecordTests(testtools.TestCase):
    def test_part_is_known_after_a_restart(self):
        async def scenario(store, start):
            first = await start(Router(store))
            first.end_servers()
            await trio.sleep(2)
            fresh = await start(Router(store, is_keeper=False))
            return fresh.part_ids, store.writes_by_kind[KIND]

        self.assertEqual(({'x'}, 1), run(scenario))

    def test_part_is_written_once_the_store_is_back(self):
        async def scenario(store, start):
            first = await start(Router(store))
            store.down = True
            first.end_servers()
            await trio.sleep(5)
            store.down = False
            await trio.sleep(3)
            return (await start(Router(store))).part_ids

        self.assertEqual({'x'}, run(scenario))

    def test_writes_of_several_keepers_are_merged(self):
        async def scenario(store, start):
            routers = [await start(Router(store)) for _ in range(3)]
            for router, part_id in zip(routers, 'xyz', strict=True):
                # Crashes close together would speak less for each part.
                await trio.sleep(40)
                router.roster.is_keeper = False
                router.end_servers((PromptPart(part_id, 10), PARTS[-1]))
            for router in routers:
                router.roster.is_keeper = True
            await trio.sleep(6)
            return (await start(Router(store))).part_ids

        self.assertEqual({'x', 'y', 'z'}, run(scenario))

    def test_lifted_part_does_not_come_back(self):
        async def scenario(store, start):
            first = await start(Router(store))
            first.end_servers()
            await trio.sleep(2)
            first.quarantine.lift('model', 'x')
            await trio.sleep(2)
            return first.part_ids, (await start(Router(store))).part_ids

        self.assertEqual((set(), set()), run(scenario))

    def test_part_that_a_restore_undid_is_written_again(self):
        async def scenario(store, start):
            state = store.copy_state()
            first = await start(Router(MemoryStoreClient(store)))
            first.end_servers()
            await trio.sleep(2)
            store.restore(state)
            first.record._store.era.observe(2, 'n2')
            await trio.sleep(2)
            fresh = await start(Router(MemoryStoreClient(store)))
            return fresh.part_ids

        self.assertEqual({'x'}, run(scenario))

    def test_lifted_part_does_not_come_back_with_a_restored_copy(self):
        async def scenario(store, start):
            first = await start(Router(MemoryStoreClient(store)))
            first.end_servers()
            await trio.sleep(2)
            state = store.copy_state()
            first.quarantine.lift('model', 'x')
            await trio.sleep(2)
            store.restore(state)
            first.record._store.era.observe(2, 'n2')
            await trio.sleep(2)
            fresh = await start(Router(MemoryStoreClient(store)))
            return first.part_ids, fresh.part_ids

        self.assertEqual((set(), set()), run(scenario))

    def test_router_that_is_no_keeper_writes_nothing(self):
        async def scenario(store, start):
            router = await start(Router(store, is_keeper=False))
            router.end_servers()
            await trio.sleep(3)
            return store.writes_by_kind[KIND], store.calls

        self.assertEqual((0, 1), run(scenario))

    def test_invalid_record_is_replaced(self):
        for content in (b'{', b'[]', b'{"parts":[{"service":1}]}', b'\xff'):

            async def scenario(store, start, content=content):
                store.put(KIND, 'parts', content)
                router = await start(Router(store))
                router.end_servers()
                await trio.sleep(2)
                return (await start(Router(store))).part_ids

            self.assertEqual({'x'}, run(scenario), content)

    def test_crashes_of_the_future_count_from_now_on(self):
        async def scenario(store, start):
            crashes = [
                {'crash_id': number, 'unix_ms': 2**62, 'servers': 6}
                for number in range(2)
            ]
            part = {'service': 'model', 'part_id': 'x', 'crashes': crashes}
            store.put(KIND, 'parts', msgspec.json.encode({'parts': [part]}))
            return (await start(Router(store))).part_ids

        self.assertEqual({'x'}, run(scenario))
