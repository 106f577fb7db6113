"""
tests.test_gateway_targets
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that get heartbeats too rarely.
"""

import testtools

from eelgrassfork.gateway.targets import SAME_DOMAIN_TARGETS, TargetSelector


class TargetsTests(testtools.TestCase):
    def test_rotation_includes_every_router_of_the_domain(self):
        ips = {f'10.0.0.{number}' for number in range(33)}
        targets = TargetSelector('d0')
        selected = []
        for _ in range(len(ips) // SAME_DOMAIN_TARGETS):
            selected += targets.choose({'d0': ips})['d0']
        self.assertEqual(ips, set(selected))
        self.assertEqual(len(ips), len(selected))

    def test_each_heartbeat_goes_to_one_router_elsewhere(self):
        targets = TargetSelector('d0')
        known = {'d0': {'a', 'b'}, 'd1': {'c', 'd'}, 'd2': {'e'}, '': set()}
        selected = set()
        for _ in range(60):
            chosen = targets.choose(known)
            self.assertEqual({'a', 'b'}, set(chosen.pop('d0')))
            (other_domain,) = chosen.values()
            self.assertEqual(1, len(other_domain))
            selected.update(other_domain)
        self.assertEqual({'c', 'd', 'e'}, selected)

    def test_router_alone_in_its_domain_selects_others(self):
        chosen = TargetSelector('d0').choose({'d1': {'c'}})
        self.assertEqual({'d0': (), 'd1': ('c',)}, chosen)
