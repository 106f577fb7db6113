"""
tests.test_gateway_packing
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against bytes from peers that crash a router or exhaust its memory.
"""

import zlib

import msgspec
import testtools

from eelgrassfork.gateway.packing import BadPacking, pack, unpack

from .gateway_world import configuration


class PackingTests(testtools.TestCase):
    def test_round_trip_preserves_the_configuration(self):
        content = msgspec.json.encode(configuration(7))
        self.assertEqual(content, unpack(pack(content)))

    def test_corrupt_or_truncated_bytes_are_rejected(self):
        packed = pack(msgspec.json.encode(configuration(7)))
        for corrupt in (b'', b'{}', packed[:-5], b'\x00' + packed):
            self.assertRaises(BadPacking, unpack, corrupt)

    def test_decompression_bomb_is_rejected(self):
        self.assertRaises(BadPacking, unpack, zlib.compress(bytes(2**25)))
