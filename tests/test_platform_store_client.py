"""
tests.test_platform_store_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against store calls whose outcome is taken for another one.
"""

import testtools
import trio

from eelgrassfork.gateway.store import (
    HistoryGone,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from eelgrassfork.http_client import HttpClient
from eelgrassfork.platform.store_client import StoreClient
from standins.metadata_store import MetadataStore


def run_with_store(scenario, page=500):
    async def main():
        store = MetadataStore(page)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await store.start(nursery, '127.0.0.1', 0)
                client = StoreClient(HttpClient(), store.address, [].append)
                found = await scenario(store, client)
                nursery.cancel_scope.cancel()
        return found

    return trio.run(main)


async def error_of(call):
    try:
        await call
    except StoreError as error:
        return error
    return None


class StoreClientTests(testtools.TestCase):
    def test_reads_and_writes_under_conditions(self):
        async def scenario(store, client):
            missing = await client.get('k', 'a')
            made = await client.create('k', 'a', {'x': 1})
            again = await error_of(client.create('k', 'a', {'x': 2}))
            changed = await client.replace('k', 'a', {'x': 3}, made.revision)
            late = await error_of(
                client.replace('k', 'a', {'x': 4}, made.revision)
            )
            return missing, again, changed, late

        missing, again, changed, late = run_with_store(scenario)
        self.assertIsNone(missing)
        self.assertIsInstance(again, StoreConflict)
        self.assertEqual(b'{"x":3}', changed.content)
        self.assertIsInstance(late, StoreConflict)
        self.assertEqual(changed, late.current)

    def test_replacing_nothing_is_a_conflict(self):
        async def scenario(store, client):
            return await error_of(client.replace('k', 'a', 1, 4))

        error = run_with_store(scenario)
        self.assertIsInstance(error, StoreConflict)
        self.assertIsNone(error.current)

    def test_lists_all_pages_and_skips_what_can_not_be_read(self):
        async def scenario(store, client):
            for number in range(7):
                store.put('k', f'n{number}', number)
            store.faults = store.faults._replace(torn=True)
            listing = await client.list_all('k')
            return [one.content for one in listing.objects]

        self.assertEqual(
            [b'%d' % number for number in range(7)],
            run_with_store(scenario, page=3),
        )

    def test_watch_goes_on_without_a_gap(self):
        async def scenario(store, client):
            store.put('k', 'a', 1)
            listing = await client.list_all('k')
            store.put('k', 'b', 2)
            store.put('other', 'c', 3)
            store.remove('k', 'a')
            changes, revision = await client.watch('k', listing.revision, 1)
            quiet, after = await client.watch('k', revision, 0.05)
            return [
                (change.stored.name, change.deleted) for change in changes
            ], quiet

        self.assertEqual(
            ([('b', False), ('a', True)], []), run_with_store(scenario)
        )

    def test_lost_history_has_an_error_of_its_own(self):
        async def scenario(store, client):
            store.put('k', 'a', 1)
            store.compact()
            return await error_of(client.watch('k', 1, 1))

        self.assertIsInstance(run_with_store(scenario), HistoryGone)

    def test_refusal_means_that_nothing_was_done(self):
        async def scenario(store, client):
            errors = []
            for status in (429, 503):
                store.faults = store.faults._replace(refuse=status)
                errors.append(await error_of(client.create('k', 'a', 1)))
            return errors

        for error in run_with_store(scenario):
            self.assertIsInstance(error, StoreUnavailable)

    def test_write_without_an_answer_is_unknown_and_sent_once(self):
        async def scenario(store, client):
            await client.create('k', 'warm', 1)
            store.faults = store.faults._replace(lose=1)
            error = await error_of(client.create('k', 'a', 1))
            return error, len(store.calls)

        error, calls = run_with_store(scenario)
        self.assertIsInstance(error, StoreAnswerLost)
        self.assertEqual(2, calls)

    def test_silent_store_is_given_up(self):
        async def scenario(store, client):
            store.faults = store.faults._replace(silent=True)
            started_at = trio.current_time()
            error = await error_of(client.get('k', 'a'))
            return error, trio.current_time() - started_at

        error, seconds = run_with_store(scenario)
        self.assertIsInstance(error, StoreAnswerLost)
        self.assertLess(seconds, 1.5)
