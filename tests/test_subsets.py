"""
tests.test_subsets
~~~~~~~~~~~~~~~~~~

Guards against servers that too few routers use, and against subsets that
change too much when a server or router is lost.
"""

from collections import Counter

import testtools

from eelgrassfork import subsets
from eelgrassfork.subsets import SubsetPolicy

DOMAINS = [f'p/{letter}' for letter in 'abcdef']
SERVERS = {f's-{n}': DOMAINS[n % 6] for n in range(720)}


def any_server(vm):
    return True


def pick(policy, routers, domains_by_vm=SERVERS, is_usable=any_server):
    order = subsets.order_servers(domains_by_vm, routers, policy)
    return subsets.pick_servers(order, is_usable)


def pick_all(routers, domains_by_vm=SERVERS):
    """Return the subset of each router in a fleet of this size."""
    picked = {}
    for domain in DOMAINS:
        number = DOMAINS.index(domain)
        vms = [f'r-{n}' for n in range(number, routers, 6)]
        for vm in vms:
            policy = SubsetPolicy(vm, domain)
            picked[vm] = pick(policy, vms, domains_by_vm)
    return picked


class SpreadTests(testtools.TestCase):
    def test_servers_are_used_by_similar_numbers_of_routers(self):
        for routers in (6, 60, 240):
            with self.subTest(routers=routers):
                near, far = Counter(), Counter()
                for vm, servers in pick_all(routers).items():
                    domain = DOMAINS[int(vm[2:]) % 6]
                    for server in servers:
                        is_near = SERVERS[server] == domain
                        (near if is_near else far)[server] += 1
                counts = [near[vm] for vm in SERVERS]
                self.assertTrue(min(counts) >= min(3, routers // 6))
                self.assertTrue(max(counts) - min(counts) <= 2)
                mean = far.total() / len(SERVERS)
                self.assertTrue(max(far.values()) <= mean + 5 * mean**0.5 + 3)

    def test_loss_of_server_or_router_changes_few_entries(self):
        before = pick_all(240)
        pairs = {(vm, each) for vm, vms in before.items() for each in vms}
        lost = before['r-0'][3]
        left = {vm: SERVERS[vm] for vm in SERVERS if vm != lost}
        # When another router of its failure domain stops, a router's start
        # moves by at most 120 / 40 servers on the ring of its own domain, and
        # by 600 / 40 on the ring of the others.
        for name, after, most in (
            ('server', pick_all(240, left), 2),
            ('router', pick_all(239), 3 + 6),
        ):
            with self.subTest(lost=name):
                kept = pairs & {
                    (vm, each) for vm, vms in after.items() for each in vms
                }
                self.assertTrue(len(kept) > 0.95 * len(pairs), len(kept))
                for vm, vms in after.items():
                    self.assertTrue(len(set(before[vm]) - set(vms)) <= most)


class PickTests(testtools.TestCase):
    ROUTERS = [f'r-{n}' for n in range(0, 240, 6)]
    POLICY = SubsetPolicy('r-0', 'p/a')

    def pick(self, is_usable):
        return pick(self.POLICY, self.ROUTERS, is_usable=is_usable)

    def test_unusable_server_is_replaced_by_one(self):
        before = self.pick(any_server)
        for lost in (before[0], before[-1]):
            after = self.pick(lambda vm, lost=lost: vm != lost)
            self.assertEqual({lost}, set(before) - set(after))
            self.assertEqual(24, len(set(after)))

    def test_own_failure_domain_is_preferred_and_others_replace_it(self):
        cases = (
            ('all', any_server, 18, 6),
            ('own domain lost', lambda vm: SERVERS[vm] != 'p/a', 0, 24),
            ('others lost', lambda vm: SERVERS[vm] == 'p/a', 24, 0),
            ('few', lambda vm: vm in {'s-0', 's-1', 's-6'}, 2, 1),
            ('none', lambda vm: False, 0, 0),
        )
        for name, is_usable, near, far in cases:
            with self.subTest(name=name):
                near_count = [
                    SERVERS[vm] == 'p/a' for vm in self.pick(is_usable)
                ]
                self.assertEqual(
                    (near, far),
                    (sum(near_count), len(near_count) - sum(near_count)),
                )

    def test_few_routers_use_larger_subsets(self):
        self.assertEqual(120 + 6, len(pick(self.POLICY, ['r-0'])))
        self.assertEqual(36 + 6, len(pick(self.POLICY, self.ROUTERS[:10])))
        no_server_near = SubsetPolicy('r-0', 'p/x')
        self.assertEqual(720, len(pick(no_server_near, ['r-0', 'r-9'])))
