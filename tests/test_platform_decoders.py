"""
tests.test_platform_decoders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against malformed stored objects that crash routers or are taken for valid
ones.
"""

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.platform.config_decoder import (
    BadConfiguration,
    decode_configuration,
)
from eelgrassfork.platform.server_entries import decode_entry

from .gateway_world import configuration

ENTRY = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'd0',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldRemainingMs': 1500,
    'sequence': 3,
    'born': 1700000000000,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def encoded(**changes):
    return msgspec.json.encode({**ENTRY, **changes})


class ServerEntryTests(testtools.TestCase):
    def test_decodes_server_entry(self):
        entry = decode_entry('i-1', encoded())
        self.assertEqual(
            ('i-1', 'svc', 6), (entry.id, entry.service, entry.slots)
        )
        self.assertEqual(1.5, entry.cold_s)
        self.assertFalse(entry.leaving)
        self.assertTrue(decode_entry('i-1', encoded(state='draining')).leaving)

    def test_invalid_entries_are_rejected(self):
        for changes in (
            {'state': 'best'},
            {'state': None},
            {'slots': '6'},
            {'slots': True},
            {'slots': 0},
            {'address': 'example.org:80'},
            {'address': '10.0.0.1'},
            {'service': ''},
            {'sequence': -1},
            {'born': 1.5},
            {'born': 'x'},
            {'zone': 3},
        ):
            self.assertIsNone(decode_entry('i-1', encoded(**changes)), changes)

    def test_truncated_entries_are_rejected(self):
        complete = encoded()
        for length in range(len(complete)):
            self.assertIsNone(decode_entry('i-1', complete[:length]))
        self.assertIsNone(decode_entry('i-1', b'\xff\xfe'))

    @settings(derandomize=True, max_examples=100)
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_any_field_of_any_form_is_survived(self, name, anything):
        decode_entry('i-1', encoded(**{name: anything}))


class ConfigurationTests(testtools.TestCase):
    def test_decodes_configuration(self):
        wire = configuration(7)
        wire['routes'][0]['trafficSplit'] = [
            {'service': 'plain', 'weight': 90},
            {'service': 'model', 'weight': 10},
        ]
        wire['tenants'][0]['priority'] = 99
        decoded = decode_configuration(msgspec.json.encode(wire))
        routes = {
            route.name: route
            for route in decoded.routes_by_host['shop.example']
        }
        self.assertEqual(7, decoded.version)
        self.assertEqual(
            [90, 10], [service.weight for service in routes['look'].services]
        )
        self.assertEqual(0.3, routes['look'].objective_s)
        self.assertTrue(routes['match'].repeatable)
        self.assertFalse(routes['reply'].repeatable)
        self.assertFalse(routes['order'].repeatable)
        self.assertEqual('acme', decoded.organisation_names_by_key['key'])
        self.assertEqual(9, decoded.organisations_by_name['acme'].priority)
        self.assertEqual(
            1000, decoded.organisations_by_name['acme'].prepaid_tokens
        )
        self.assertEqual(
            4, decoded.services_by_name['model'].engine.tokens_per_event
        )

    def test_no_key_is_needed_without_organisations(self):
        wire = configuration()
        wire.pop('tenants')
        decoded = decode_configuration(msgspec.json.encode(wire))
        self.assertFalse(decoded.keys_needed)

    def test_routes_are_sorted_by_longest_prefix(self):
        wire = configuration()
        wire['routes'].append(
            {**wire['routes'][0], 'pathPrefix': '/look/deep/'}
        )
        decoded = decode_configuration(msgspec.json.encode(wire))
        first = decoded.routes_by_host['shop.example'][0]
        self.assertEqual('/look/deep/', first.prefix)

    def test_invalid_configuration_raises(self):
        for wire in ({}, {'version': 'x'}, {'version': 1, 'routes': [{}]}, []):
            self.assertRaises(
                BadConfiguration,
                decode_configuration,
                msgspec.json.encode(wire),
            )
        self.assertRaises(BadConfiguration, decode_configuration, b'{"ver')
