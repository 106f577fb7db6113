"""
tests.test_gateway_packing
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against peers whose bytes end a router or fill its memory.
"""

import zlib

import msgspec
import testtools

from eelgrassfork.gateway.packing import BadPacking, pack, unpack

from .gateway_world import configuration


class PackingTests(testtools.TestCase):
    def test_configuration_comes_back_as_it_was(self):
        content = msgspec.json.encode(configuration(7))
        self.assertEqual(content, unpack(pack(content)))

    def test_damaged_or_cut_bytes_are_refused(self):
        packed = pack(msgspec.json.encode(configuration(7)))
        for corrupt in (b'', b'{}', packed[:-5], b'\x00' + packed):
            self.assertRaises(BadPacking, unpack, corrupt)

    def test_bytes_that_would_fill_the_memory_are_refused(self):
        self.assertRaises(BadPacking, unpack, zlib.compress(bytes(2**25)))
