"""
tests.test_platform_store_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against store calls whose outcome is misclassified, such as a lost response
that is treated as a rejected write.
"""

import testtools
import trio

from eelgrassfork.gateway.store import (
    HistoryGone,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRestored,
    StoreUnavailable,
)
from eelgrassfork.gateway.store_era import join_revision
from eelgrassfork.http_client import HttpClient
from eelgrassfork.platform.store_client import StoreClient
from standins.metadata_store import MetadataStore


def run_with_store(scenario, page_size=500):
    async def main():
        store = MetadataStore(page_size)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await store.start(nursery, '127.0.0.1', 0)
                client = StoreClient(HttpClient(), store.address, [].append)
                result = await scenario(store, client)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


async def error_of(call):
    try:
        await call
    except StoreError as error:
        return error
    return None


class StoreClientTests(testtools.TestCase):
    def test_reads_and_conditional_writes(self):
        async def scenario(store, client):
            missing = await client.get('k', 'a')
            created = await client.create('k', 'a', {'x': 1})
            duplicate = await error_of(client.create('k', 'a', {'x': 2}))
            replaced = await client.replace(
                'k', 'a', {'x': 3}, created.revision
            )
            stale = await error_of(
                client.replace('k', 'a', {'x': 4}, created.revision)
            )
            return missing, duplicate, replaced, stale

        missing, duplicate, replaced, stale = run_with_store(scenario)
        self.assertIsNone(missing)
        self.assertIsInstance(duplicate, StoreConflict)
        self.assertEqual(b'{"x":3}', replaced.content)
        self.assertIsInstance(stale, StoreConflict)
        self.assertEqual(replaced, stale.current)

    def test_replacing_a_missing_object_is_a_conflict(self):
        async def scenario(store, client):
            return await error_of(client.replace('k', 'a', 1, 4))

        error = run_with_store(scenario)
        self.assertIsInstance(error, StoreConflict)
        self.assertIsNone(error.current)

    def test_lists_all_pages_and_skips_invalid_objects(self):
        async def scenario(store, client):
            for number in range(7):
                store.put('k', f'n{number}', number)
            store.faults = store.faults._replace(torn=True)
            listing = await client.list_all('k')
            return [stored.content for stored in listing.objects]

        self.assertEqual(
            [b'%d' % number for number in range(7)],
            run_with_store(scenario, page_size=3),
        )

    def test_watch_continues_from_listing_without_gap(self):
        async def scenario(store, client):
            store.put('k', 'a', 1)
            listing = await client.list_all('k')
            store.put('k', 'b', 2)
            store.put('other', 'c', 3)
            store.remove('k', 'a')
            changes, revision = await client.watch('k', listing.revision, 1)
            idle_changes, after = await client.watch('k', revision, 0.05)
            return [
                (change.stored.name, change.deleted) for change in changes
            ], idle_changes

        self.assertEqual(
            ([('b', False), ('a', True)], []), run_with_store(scenario)
        )

    def test_compacted_history_raises_history_gone(self):
        async def scenario(store, client):
            store.put('k', 'a', 1)
            store.compact()
            return await error_of(client.watch('k', 1, 1))

        self.assertIsInstance(run_with_store(scenario), HistoryGone)

    def test_rejected_write_is_reported_as_unavailable(self):
        async def scenario(store, client):
            errors = []
            for status in (429, 503):
                store.faults = store.faults._replace(refuse=status)
                errors.append(await error_of(client.create('k', 'a', 1)))
            return errors

        for error in run_with_store(scenario):
            self.assertIsInstance(error, StoreUnavailable)

    def test_write_without_response_is_unknown_and_not_retried(self):
        async def scenario(store, client):
            await client.create('k', 'warm', 1)
            store.faults = store.faults._replace(lose=1)
            error = await error_of(client.create('k', 'a', 1))
            return error, len(store.calls)

        error, calls = run_with_store(scenario)
        self.assertIsInstance(error, StoreAnswerLost)
        self.assertEqual(2, calls)

    def test_unresponsive_store_times_out(self):
        async def scenario(store, client):
            store.faults = store.faults._replace(silent=True)
            started_at = trio.current_time()
            error = await error_of(client.get('k', 'a'))
            return error, trio.current_time() - started_at

        error, seconds = run_with_store(scenario)
        self.assertIsInstance(error, StoreAnswerLost)
        self.assertLess(seconds, 1.5)

    def test_each_answer_tells_the_era(self):
        async def scenario(store, client):
            state = store.copy_state()
            await client.get('k', 'a')
            eras = [client.era.current]
            for call in (
                lambda: client.get('k', 'a'),
                lambda: client.list_all('k'),
                lambda: client.watch(
                    'k', join_revision(client.era.current, 99), 1
                ),
                lambda: client.replace('k', 'a', {}, None),
            ):
                store.restore(state)
                await error_of(call())
                eras.append(client.era.current)
            store.restore(state)
            store.faults = store.faults._replace(refuse=503)
            await error_of(client.get('k', 'a'))
            return [*eras, client.era.current]

        self.assertEqual([1, 2, 3, 4, 5, 6], run_with_store(scenario))

    def test_revision_of_an_earlier_era_is_no_condition(self):
        # The same number stands for other content after the restore.
        async def scenario(store, client):
            state = store.copy_state()
            store.put('k', 'a', 1)
            read = await client.get('k', 'a')
            store.restore(state)
            store.put('k', 'a', 2)
            errors = [
                await error_of(client.replace('k', 'a', 3, read.revision))
            ]
            await client.get('k', 'a')
            calls = len(store.calls)
            errors.append(
                await error_of(client.replace('k', 'a', 4, read.revision))
            )
            return errors, len(store.calls) - calls

        errors, sent_calls = run_with_store(scenario)
        self.assertEqual([StoreRestored] * 2, list(map(type, errors)))
        self.assertEqual(0, sent_calls)

    def test_answer_from_before_a_known_restore_is_dropped(self):
        async def scenario(store, client):
            store.put('k', 'a', 1)
            client.era.observe(1, 'store')
            client.era.observe(2, 'n2')
            return await error_of(client.get('k', 'a'))

        self.assertEqual(StoreRestored, type(run_with_store(scenario)))

    def test_listing_with_pages_of_two_eras_is_dropped(self):
        async def scenario(store, client):
            for name in 'abc':
                store.put('k', name, {})
            state = store.copy_state()

            def restore_after_first_page(outcome):
                if len(store.calls) == 1:
                    store.restore(state)

            client._on_call = restore_after_first_page
            error = await error_of(client.list_all('k'))
            listing = await client.list_all('k')
            return type(error), len(listing.objects)

        found = run_with_store(scenario, page_size=2)
        self.assertEqual((StoreRestored, 3), found)

    def test_watch_from_an_earlier_era_misses_nothing_silently(self):
        # The store has passed the watched revision again.
        async def scenario(store, client):
            state = store.copy_state()
            store.put('k', 'a', 1)
            listing = await client.list_all('k')
            store.restore(state)
            for number in range(5):
                store.put('k', f'b{number}', number)
            store._compacted_revision = 0
            return await error_of(client.watch('k', listing.revision, 1))

        self.assertEqual(StoreRestored, type(run_with_store(scenario)))

    def test_revisions_of_a_later_era_are_newer(self):
        async def scenario(store, client):
            state = store.copy_state()
            store.put('k', 'a', 1)
            before = (await client.get('k', 'a')).revision
            store.restore(state)
            store.put('k', 'a', 2)
            after = (await client.get('k', 'a')).revision
            store.restore(state)
            return before, after, (await client.list_all('k')).revision

        before, after, listed = run_with_store(scenario)
        self.assertLess(before, after)
        self.assertLess(after, listed)
