"""
tests.test_bundle_submit
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against operators overwriting each other's changes, and against wrong
results after the platform's response was lost.
"""

import testtools
import trio
import trio.testing

from eelgrassfork import bundle, bundle_submit
from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.errors import EelgrassError
from eelgrassfork.held_bundle import HeldBundle
from eelgrassfork.key_list import KeyList
from eelgrassfork.platform_types import AnswerLost
from standins.fake_platform import FakePlatform

from . import bundles


def signed(version, *organisations, key=bundles.KEY, fleets=None):
    envelope, bodies = bundles.signed_bundle(version, organisations, key)
    if fleets is not None:
        part_hash, body = bundle.new_part('fleets', fleets)
        bodies = {part_hash: body}
        manifest = bundle.Manifest(version, (part_hash,), version - 1)
        envelope = bundle.seal_manifest(manifest, key)
    opened = bundle.open_manifest(envelope, bundles.TRUSTED)
    parts = {
        part_hash: bundle.read_part(part_hash, body)
        for part_hash, body in bodies.items()
    }
    assembled = bundle.assemble(opened.manifest, parts)
    return HeldBundle(opened, parts, assembled)


async def submit(platform, held):
    store = make_store(platform)
    return await bundle_submit.submit(store, held, await store.accepted())


def make_store(platform):
    return BundleStore(platform, bundles.TRUSTED)


def run(test):
    return trio.run(
        test, FakePlatform(), clock=trio.testing.MockClock(autojump_threshold=0)
    )


class SubmitTestCase(testtools.TestCase):
    async def assert_refused(self, submission):
        try:
            await submission
        except EelgrassError as error:
            return error
        self.fail('the submission was accepted')


class SubmitTests(SubmitTestCase):
    def test_accepted_bundle_can_be_read_back(self):
        async def main(platform):
            self.assertTrue(await submit(platform, signed(1, 'a')))
            self.assertTrue(await submit(platform, signed(2, 'a', 'b')))
            self.assertFalse(await submit(platform, signed(2, 'a', 'b')))
            accepted = await make_store(platform).accepted()
            self.assertEqual(2, accepted.version)
            self.assertIn(
                'pazlen/b', accepted.held.bundle.organisations_by_name
            )

        run(main)

    def test_conflict_lists_the_differing_records(self):
        async def main(platform):
            await submit(platform, signed(1, 'a'))
            await submit(platform, signed(2, 'a', 'first'))
            outdated = signed(2, 'a', 'second')
            error = await self.assert_refused(submit(platform, outdated))
            self.assertEqual('conflict', error.code)
            self.assertIn('organisations pazlen/first', error.message)
            self.assertIn('organisations pazlen/second', error.message)
            self.assertNotIn('pazlen/a', error.message)

        run(main)

    def test_race_between_read_and_write_is_a_conflict(self):
        async def main(platform):
            accepted = await make_store(platform).accepted()
            await submit(platform, signed(1, 'first'))
            error = await self.assert_refused(
                bundle_submit.submit(
                    make_store(platform), signed(1, 'second'), accepted
                )
            )
            self.assertEqual('conflict', error.code)
            now = await make_store(platform).accepted()
            self.assertIn('pazlen/first', now.held.bundle.organisations_by_name)

        run(main)

    def test_lost_answers_are_resolved_by_reading(self):
        async def main(platform):
            await submit(platform, signed(1, 'a'))
            platform.set_faults(lose_answers=20)
            self.assertTrue(await submit(platform, signed(2, 'b')))
            platform.set_faults(lose_answers=0, drop_writes=20)
            error = await self.assert_refused(submit(platform, signed(3, 'c')))
            self.assertIsInstance(error, AnswerLost)
            accepted = await make_store(platform).accepted()
            self.assertEqual(2, accepted.version)

        run(main)

    def test_number_of_shards_cannot_change(self):
        async def main(platform):
            await submit(platform, signed(1, fleets={'f': {}}))
            error = await self.assert_refused(
                submit(platform, signed(2, fleets={'f': {'ledger_shards': 8}}))
            )
            self.assertEqual('shards_changed', error.code)

        run(main)


def organisations(**fields_by_name):
    given = {
        f'pazlen/{name}': {
            'budgets_by_key_hash': {},
            'services': [],
            **fields,
        }
        for name, fields in fields_by_name.items()
    }
    return {'fleets': {'pazlen': {}}, 'organisations': given}


class RaceTests(SubmitTestCase):
    async def race(self, platform, ours):
        """Submit versions 1 to 3 and return another bundle based on 1."""
        store = make_store(platform)
        for version, author, fields in (
            (1, 'ann', {'priority': 1}),
            (2, 'ben', {'priority': 0}),
            (3, 'cleo', {'priority': 0, 'max_in_flight': 9}),
        ):
            kinds = organisations(a=fields)
            await submit(
                platform, bundles.held_bundle(version, kinds, author=author)
            )
        kinds = organisations(**ours)
        outdated = bundles.held_bundle(2, kinds, author='dora')
        return store, outdated

    def test_conflict_lists_fields_values_and_author(self):
        async def main(platform):
            store, outdated = await self.race(
                platform, {'a': {'priority': 2, 'max_in_flight': 9}}
            )
            for attempt in (
                bundle_submit.submit(store, outdated, await store.accepted()),
                bundle_submit.submit_merged(store, outdated, bundles.KEY),
            ):
                try:
                    await attempt
                except EelgrassError as error:
                    self.assertEqual('conflict', error.code)
                    self.assertIn(
                        'organisations pazlen/a priority: yours 2, accepted 0, '
                        'before 1; version 2 by ben with key '
                        f'{bundles.KEY.key_id}',
                        error.message,
                    )
                    self.assertNotIn('max_in_flight', error.message)
                else:
                    self.fail('the bundle was accepted')
            self.assertEqual(3, (await store.accepted()).version)

        run(main)

    def test_disjoint_changes_are_merged(self):
        async def main(platform):
            store, outdated = await self.race(
                platform, {'a': {'priority': 1}, 'b': {'priority': 2}}
            )
            merged = await bundle_submit.submit_merged(
                store, outdated, bundles.KEY
            )
            self.assertEqual((4, True), merged[:2])
            self.assertEqual(('organisations pazlen/a',), merged.joined)
            held = (await store.accepted()).held
            found = held.bundle.organisations_by_name
            self.assertEqual(0, found['pazlen/a'].priority)
            self.assertEqual(9, found['pazlen/a'].max_in_flight)
            self.assertEqual(2, found['pazlen/b'].priority)
            self.assertEqual('dora', held.signed.manifest.author)
            again = await bundle_submit.submit_merged(
                store, outdated, bundles.KEY
            )
            self.assertEqual((4, False), again[:2])

        run(main)

    def test_revocation_is_not_lost_in_a_race(self):
        async def main(platform):
            store, _ = await self.race(platform, {})
            revoked = bundles.OTHER_KEY.key_id
            outdated = bundles.held_bundle(
                2,
                organisations(a={'priority': 1}),
                keys=KeyList((), (revoked,)),
            )
            merged = await bundle_submit.submit_merged(
                store, outdated, bundles.KEY
            )
            self.assertEqual((4, True), merged[:2])
            held = (await store.accepted()).held
            self.assertEqual({revoked}, held.signed.key_state.revoked)
            self.assertEqual(
                0, held.bundle.organisations_by_name['pazlen/a'].priority
            )
            without_revocation = bundles.held_bundle(5, organisations(a={}))
            error = await self.assert_refused(
                bundle_submit.submit(
                    store, without_revocation, await store.accepted()
                )
            )
            self.assertEqual('keys_refused', error.code)

        run(main)

    def test_eight_concurrent_operators_lose_no_change(self):
        async def main(platform):
            await submit(platform, bundles.held_bundle(1, organisations()))
            platform.set_faults(delay_s=0.01)

            async def submit_change(number):
                kinds = organisations(**{f'o{number}': {}})
                held = bundles.held_bundle(2, kinds)
                store = make_store(platform.for_client(f'operator-{number}'))
                await bundle_submit.submit_merged(store, held, bundles.KEY)

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(submit_change, number)
            held = (await make_store(platform).accepted()).held
            names = set(held.bundle.organisations_by_name)
            self.assertEqual({f'pazlen/o{n}' for n in range(8)}, names)
            self.assertEqual(9, held.bundle.version)

        run(main)

    def test_resubmission_of_a_replaced_bundle_is_recognised(self):
        async def main(platform):
            second = signed(2, 'a', 'b')
            await submit(platform, signed(1, 'a'))
            await submit(platform, second)
            await submit(platform, signed(3, 'a', 'b', 'c'))
            self.assertFalse(await submit(platform, second))

        run(main)

    def test_version_may_skip_numbers(self):
        async def main(platform):
            await submit(platform, signed(1, 'a'))
            kinds = organisations(a={})
            await submit(platform, bundles.held_bundle(40, kinds, base=1))
            self.assertEqual(
                40, (await make_store(platform).accepted()).version
            )

        run(main)
