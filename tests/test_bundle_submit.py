"""
tests.test_bundle_submit
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against operators who overwrite each other, and lost answers.
"""

import os
import tempfile

import msgspec
import testtools
import trio
import trio.testing

from eelgrassfork import bundle, bundle_submit
from eelgrassfork.bundle_source import CompiledParts
from eelgrassfork.errors import EelgrassError
from eelgrassfork.platform_types import AnswerLost
from standins.fake_platform import FakePlatform

from . import bundles


def signed(version, *organisations, key=bundles.KEY, fleets=None):
    envelope, bodies = bundles.signed_bundle(version, organisations, key)
    if fleets is not None:
        part_hash, body = bundle.new_part('fleets', fleets)
        bodies = {part_hash: body}
        manifest = bundle.Manifest(version, (part_hash,))
        envelope = bundle.seal_manifest(manifest, key)
    opened = bundle.open_manifest(envelope, bundles.TRUSTED)
    parts = {
        part_hash: bundle.read_part(part_hash, body)
        for part_hash, body in bodies.items()
    }
    whole = bundle.assemble(opened.manifest, parts)
    return bundle_submit.HeldBundle(opened, parts, whole)


async def submit(platform, held):
    accepted = await bundle_submit.read_accepted(platform, bundles.TRUSTED)
    return await bundle_submit.submit(platform, held, accepted)


def run(test):
    return trio.run(
        test, FakePlatform(), clock=trio.testing.MockClock(autojump_threshold=0)
    )


class SubmitTests(testtools.TestCase):
    def test_accepted_bundle_can_be_read_back(self):
        async def main(platform):
            self.assertTrue(await submit(platform, signed(1, 'a')))
            self.assertTrue(await submit(platform, signed(2, 'a', 'b')))
            self.assertFalse(await submit(platform, signed(2, 'a', 'b')))
            accepted = await bundle_submit.read_accepted(
                platform, bundles.TRUSTED
            )
            self.assertEqual(2, accepted.version)
            self.assertIn(
                'pazlen/b', accepted.held.bundle.organisations_by_name
            )

        run(main)

    def test_second_operator_is_told_what_clashes(self):
        async def main(platform):
            await submit(platform, signed(1, 'a'))
            await submit(platform, signed(2, 'a', 'first'))
            late = signed(2, 'a', 'second')
            error = await self.refused(submit(platform, late))
            self.assertEqual('conflict', error.code)
            self.assertIn('organisations pazlen/first', error.message)
            self.assertIn('organisations pazlen/second', error.message)
            self.assertNotIn('pazlen/a', error.message)

        run(main)

    def test_race_between_read_and_write_is_a_conflict(self):
        async def main(platform):
            accepted = await bundle_submit.read_accepted(
                platform, bundles.TRUSTED
            )
            await submit(platform, signed(1, 'first'))
            error = await self.refused(
                bundle_submit.submit(platform, signed(1, 'second'), accepted)
            )
            self.assertEqual('conflict', error.code)
            now = await bundle_submit.read_accepted(platform, bundles.TRUSTED)
            self.assertIn('pazlen/first', now.held.bundle.organisations_by_name)

        run(main)

    def test_lost_answers_are_resolved_by_reading(self):
        async def main(platform):
            await submit(platform, signed(1, 'a'))
            platform.set_faults(lose_answers=20)
            self.assertTrue(await submit(platform, signed(2, 'b')))
            platform.set_faults(lose_answers=0, drop_writes=20)
            error = await self.refused(submit(platform, signed(3, 'c')))
            self.assertIsInstance(error, AnswerLost)
            accepted = await bundle_submit.read_accepted(
                platform, bundles.TRUSTED
            )
            self.assertEqual(2, accepted.version)

        run(main)

    def test_number_of_shards_cannot_change(self):
        async def main(platform):
            await submit(platform, signed(1, fleets={'f': {}}))
            error = await self.refused(
                submit(platform, signed(2, fleets={'f': {'ledger_shards': 8}}))
            )
            self.assertEqual('shards_changed', error.code)

        run(main)

    async def refused(self, submission):
        try:
            await submission
        except EelgrassError as error:
            return error
        self.fail('the submission was accepted')


class SignedFileTests(testtools.TestCase):
    def test_altered_files_are_refused(self):
        path = os.path.join(tempfile.mkdtemp(), 'bundle')
        _, bodies = bundles.signed_bundle(3)
        hashes = tuple(bodies)[1:]
        parts = CompiledParts(hashes, bodies)
        bundle_submit.write_signed_file(path, 3, parts, bundles.KEY)
        held = bundle_submit.read_signed_file(path, bundles.TRUSTED)
        self.assertEqual(3, held.bundle.version)
        with open(path, 'rb') as stream:
            good = stream.read()
        stored = msgspec.msgpack.decode(good)
        without = {**stored, 'parts': dict(list(bodies.items())[1:])}
        other = {
            **stored,
            'manifest': bundles.signed_bundle(3, key=bundles.OTHER_KEY)[0],
        }
        swapped = {**stored, 'parts': {**bodies, hashes[0]: bodies[hashes[1]]}}
        for content in (
            b'',
            good[:-1],
            *(msgspec.msgpack.encode(bad) for bad in (without, other, swapped)),
        ):
            with open(path, 'wb') as stream:
                stream.write(content)
            self.assertRaises(
                bundle.BundleError,
                bundle_submit.read_signed_file,
                path,
                bundles.TRUSTED,
            )
