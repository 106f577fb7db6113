"""
tests.test_gateway_configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against reverting to older configurations, and against rejecting
requests for lack of a configuration.
"""

import testtools
import trio

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.configuration import (
    ConfigurationHolder,
    find_route,
    permit,
)
from eelgrassfork.gateway.records import (
    Configuration,
    ForwardHead,
    Organisation,
    Route,
    WeightedService,
)


def route(prefix, **changes):
    return Route(
        prefix, 'h', prefix, 'idempotent', (WeightedService('s', 1),), 1, 0.2
    )._replace(**changes)


def configuration(version=1, **changes):
    return Configuration(
        version,
        {'h': (route('/a/b/'), route('/a/', anonymous=True, priority=3))},
        {},
        {'acme': Organisation('acme', 1, 100)},
        {'key': 'acme'},
    )._replace(**changes)


def head(path='/a/b/x', key='key', host='h'):
    return ForwardHead(
        'id', 'GET', path, host, host, path, key, 1, 0, 0, (), '', ()
    )


class HolderTests(testtools.TestCase):
    def test_older_version_is_not_applied(self):
        async def main():
            holder = ConfigurationHolder()
            applied = [
                holder.apply_if_newer(configuration(version), b'%d' % version)
                for version in (5, 4, 5)
            ]
            return applied, holder.version, holder.packed

        self.assertEqual(([True, False, False], 5, b'5'), trio.run(main))


class PermitTests(testtools.TestCase):
    def rejection_code(self, known, requested):
        return self.assertRaises(RequestError, permit, known, requested).code

    def test_longest_prefix_wins(self):
        self.assertEqual(
            '/a/b/', find_route(configuration(), 'h', '/a/b/c').name
        )
        self.assertEqual('/a/', find_route(configuration(), 'h', '/a/c').name)

    def test_prefix_ends_at_a_slash(self):
        self.assertIsNone(find_route(configuration(), 'h', '/ab/'))

    def test_missing_configuration_is_reported_as_not_ready(self):
        self.assertEqual('not_ready', self.rejection_code(None, head()))

    def test_unknown_routes_and_keys_are_rejected(self):
        self.assertEqual(
            'unknown_route',
            self.rejection_code(configuration(), head(host='other')),
        )
        self.assertEqual(
            'unknown_key', self.rejection_code(configuration(), head(key='old'))
        )
        self.assertEqual(
            'unknown_key', self.rejection_code(configuration(), head(key=None))
        )

    def test_key_is_optional_on_an_anonymous_route(self):
        anonymous = permit(configuration(), head('/a/x', key=None))
        self.assertEqual('', anonymous.organisation.name)
        self.assertEqual(3, anonymous.priority)
        known = permit(configuration(), head('/a/x'))
        self.assertEqual('acme', known.organisation.name)

    def test_priority_of_the_organisation_overrides_the_route(self):
        self.assertEqual(1, permit(configuration(), head()).priority)
