"""
tests.test_peer_choice
~~~~~~~~~~~~~~~~~~~~~~

Guards against control traffic per router that grows with the fleet.
"""

import testtools

from eelgrassfork.peer_choice import choose_peers, is_poller
from eelgrassfork.vm_list import VmRecord


def fleet(count: int, domains: int) -> list[VmRecord]:
    return [
        VmRecord(
            f'vm-{number}',
            'router',
            'live',
            'pazlen',
            '',
            f'pazlen/domain-{number % domains}',
            'bg-south',
            '',
        )
        for number in range(count)
    ]


class PeerChoiceTests(testtools.TestCase):
    def test_small_fleet_is_a_full_mesh(self):
        routers = fleet(9, 4)
        chosen = choose_peers('vm-0', 'pazlen/domain-0', routers)
        self.assertEqual(8, len(chosen))

    def test_number_of_peers_is_constant_in_larger_fleets(self):
        for count in (48, 480, 2800):
            routers = fleet(count, 6)
            chosen = choose_peers('vm-0', 'pazlen/domain-0', routers)
            self.assertEqual(3 + 5, len(chosen))
            domains = {record.failure_domain for record in chosen}
            self.assertEqual(6, len(domains))

    def test_every_router_of_a_domain_is_reached_by_gossip(self):
        routers = fleet(480, 6)
        domain = 'pazlen/domain-0'
        reached, frontier = {'vm-0'}, ['vm-0']
        while frontier:
            vm = frontier.pop()
            for record in choose_peers(vm, domain, routers):
                new = record.failure_domain == domain
                if new and record.vm not in reached:
                    reached.add(record.vm)
                    frontier.append(record.vm)
        self.assertEqual(80, len(reached))

    def test_two_routers_of_a_domain_poll(self):
        routers = fleet(48, 6)
        pollers = [
            record.vm
            for record in routers
            if is_poller(record.vm, record.failure_domain, routers)
        ]
        self.assertEqual(2 * 6, len(pollers))
        self.assertTrue(is_poller('vm-new', 'pazlen/domain-0', routers))
