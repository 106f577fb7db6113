"""
tests.test_gateway_home_regions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that are sent to servers outside of their regions.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.home_regions import home_regions, is_home
from eelgrassfork.gateway.records import Organisation
from eelgrassfork.platform.config_decoder import (
    BadConfiguration,
    decode_configuration,
)

from . import gateway_world
from .gateway_world import configuration, run_world
from .simulated_callers import ROUTE

ZONES = 'zones.d0=eu\nzones.d1=us\nzones.d2=\n'


def with_regions(version, route=None, organisation=None):
    """Make a configuration with lists for a route and an organisation."""
    wire = configuration(version)
    if route is not None:
        wire['routes'][0]['allowedRegions'] = route
    if organisation is not None:
        wire['tenants'][0]['allowedRegions'] = organisation
    return wire


def as_frozen(regions):
    return None if regions is None else frozenset(regions)


class DecisionTests(testtools.TestCase):
    def test_region_has_to_be_in_both_lists(self):
        for route, organisation, expected in (
            (None, None, None),
            ({'eu'}, None, {'eu'}),
            (None, {'eu'}, {'eu'}),
            ({'eu', 'us'}, {'us', 'ap'}, {'us'}),
            ({'eu'}, {'us'}, set()),
            (set(), None, set()),
        ):
            found = home_regions(
                ROUTE._replace(allowed_regions=as_frozen(route)),
                Organisation('o', allowed_regions=as_frozen(organisation)),
            )
            self.assertEqual(expected, found)

    def test_domain_without_a_region_is_outside_of_every_list(self):
        for domain, expected in (('d0', True), ('d1', False), ('d9', False)):
            found = is_home(domain, frozenset({'eu'}), {'d0': 'eu', 'd1': 'us'})
            self.assertEqual(expected, found)


class ConfigurationTests(testtools.TestCase):
    def test_malformed_list_makes_the_configuration_invalid(self):
        for regions in ('eu', [1], {}, [None], 5):
            for changes in ({'route': regions}, {'organisation': regions}):
                content = msgspec.json.encode(with_regions(1, **changes))
                self.assertRaises(
                    BadConfiguration, decode_configuration, content
                )


class RequestTests(testtools.TestCase):
    def send(self, **changes):
        """Send four requests; return statuses, and runs by domain."""

        async def scenario(world, nursery):
            replica = world.replicas[1]
            world.register(replica, 'plain', zone='d1', sequence=2)
            store_view = world.node._store_view
            store_view.apply_configuration(
                msgspec.json.encode(with_regions(9, **changes)), 'test'
            )
            while store_view.servers.find('i-1').entry.sequence < 2:
                await trio.sleep(0.01)
            answers = [
                await world.call('/look/1', f'r{number}') for number in range(4)
            ]
            statuses = {answer.status for answer, _ in answers}
            runs = [bool(replica.runs) for replica in world.replicas]
            return statuses, runs, answers[0]

        settings = gateway_world.SETTINGS + ZONES
        self.patch(gateway_world, 'SETTINGS', settings)
        return run_world(scenario, plain=[['ok'], ['ok']])

    def test_requests_stay_in_the_regions_of_route_and_organisation(self):
        for changes, expected in (
            ({'route': ['eu']}, [True, False]),
            ({'organisation': ['us']}, [False, True]),
            ({'route': ['eu', 'us'], 'organisation': ['us']}, [False, True]),
        ):
            statuses, runs, _ = self.send(**changes)
            self.assertEqual(({200}, expected), (statuses, runs))

    def test_request_without_a_server_at_home_is_refused_at_once(self):
        for regions in (['ap'], []):
            statuses, runs, refusal = self.send(route=regions)
            self.assertEqual(({503}, [False, False]), (statuses, runs))
            self.assertIn(b'no_server', refusal[1])
            self.assertIn('retry-after', refusal[0].headers_by_name)
