"""
tests.test_gateway_targets
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that wait long to hear of others.
"""

import testtools

from eelgrassfork.gateway.targets import NEAR_TARGETS, Targets


class TargetsTests(testtools.TestCase):
    def test_every_near_router_gets_its_turn(self):
        ips = {f'10.0.0.{number}' for number in range(33)}
        targets = Targets('d0')
        heard = []
        for _ in range(len(ips) // NEAR_TARGETS):
            heard += targets.choose({'d0': ips})['d0']
        self.assertEqual(ips, set(heard))
        self.assertEqual(len(ips), len(heard))

    def test_one_far_router_hears_of_each_heartbeat(self):
        targets = Targets('d0')
        known = {'d0': {'a', 'b'}, 'd1': {'c', 'd'}, 'd2': {'e'}, '': set()}
        seen = set()
        for _ in range(60):
            chosen = targets.choose(known)
            self.assertEqual({'a', 'b'}, set(chosen.pop('d0')))
            (far,) = chosen.values()
            self.assertEqual(1, len(far))
            seen.update(far)
        self.assertEqual({'c', 'd', 'e'}, seen)

    def test_router_alone_in_its_domain_speaks_to_others(self):
        chosen = Targets('d0').choose({'d1': {'c'}})
        self.assertEqual({'d0': (), 'd1': ('c',)}, chosen)
