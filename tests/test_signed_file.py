"""
tests.test_signed_file
~~~~~~~~~~~~~~~~~~~~~~

Guards against altered or incomplete signed bundle files.
"""

import os
import tempfile

import msgspec
import testtools

from eelgrassfork import bundle, signed_file
from eelgrassfork.bundle_source import CompiledParts

from . import bundles


class SignedFileTests(testtools.TestCase):
    def test_altered_files_are_rejected(self):
        path = os.path.join(tempfile.mkdtemp(), 'bundle')
        _, bodies = bundles.signed_bundle(3)
        hashes = tuple(bodies)[1:]
        parts = CompiledParts(hashes, bodies)
        manifest = bundle.Manifest(3, (), 2, 'ann')
        signed_file.write_signed_file(path, manifest, parts, bundles.KEY)
        held = signed_file.read_signed_file(path, bundles.TRUSTED)
        self.assertEqual(3, held.bundle.version)
        self.assertEqual(manifest._replace(parts=hashes), held.signed.manifest)
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
                signed_file.read_signed_file,
                path,
                bundles.TRUSTED,
            )
