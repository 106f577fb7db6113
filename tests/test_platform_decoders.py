"""
tests.test_platform_decoders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against stored objects of any form that stop routers or mislead them.
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
    def test_decodes_what_servers_write(self):
        entry = decode_entry('i-1', encoded())
        self.assertEqual(
            ('i-1', 'svc', 6), (entry.id, entry.service, entry.slots)
        )
        self.assertEqual(1.5, entry.cold_s)
        self.assertFalse(entry.leaving)
        self.assertTrue(decode_entry('i-1', encoded(state='draining')).leaving)

    def test_forged_entries_name_no_server(self):
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

    def test_torn_bytes_name_no_server(self):
        whole = encoded()
        for length in range(len(whole)):
            self.assertIsNone(decode_entry('i-1', whole[:length]))
        self.assertIsNone(decode_entry('i-1', b'\xff\xfe'))

    @settings(derandomize=True, max_examples=100)
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_any_field_of_any_form_is_survived(self, name, anything):
        decode_entry('i-1', encoded(**{name: anything}))


class ConfigurationTests(testtools.TestCase):
    def test_decodes_what_operators_write(self):
        wire = configuration(7)
        wire['routes'][0]['trafficSplit'] = [
            {'service': 'plain', 'weight': 90},
            {'service': 'model', 'weight': 10},
        ]
        wire['tenants'][0]['priority'] = 99
        known = decode_configuration(msgspec.json.encode(wire))
        routes = {
            route.name: route for route in known.routes_by_host['shop.example']
        }
        self.assertEqual(7, known.version)
        self.assertEqual(
            [90, 10], [one.weight for one in routes['look'].services]
        )
        self.assertEqual(0.3, routes['look'].objective_s)
        self.assertTrue(routes['match'].repeatable)
        self.assertFalse(routes['reply'].repeatable)
        self.assertFalse(routes['order'].repeatable)
        self.assertEqual('acme', known.organisation_names_by_key['key'])
        self.assertEqual(9, known.organisations_by_name['acme'].priority)
        self.assertEqual(
            1000, known.organisations_by_name['acme'].prepaid_tokens
        )
        self.assertEqual(
            4, known.services_by_name['model'].engine.tokens_per_event
        )

    def test_without_organisations_no_key_is_needed(self):
        wire = configuration()
        wire.pop('tenants')
        known = decode_configuration(msgspec.json.encode(wire))
        self.assertFalse(known.keys_needed)

    def test_longest_prefix_comes_first(self):
        wire = configuration()
        wire['routes'].append(
            {**wire['routes'][0], 'pathPrefix': '/look/deep/'}
        )
        known = decode_configuration(msgspec.json.encode(wire))
        first = known.routes_by_host['shop.example'][0]
        self.assertEqual('/look/deep/', first.prefix)

    def test_bad_configuration_is_an_error(self):
        for wire in ({}, {'version': 'x'}, {'version': 1, 'routes': [{}]}, []):
            self.assertRaises(
                BadConfiguration,
                decode_configuration,
                msgspec.json.encode(wire),
            )
        self.assertRaises(BadConfiguration, decode_configuration, b'{"ver')
