"""
tests.test_holder_liveness
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against reclaiming credit from a holder that can still spend it.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.holder_liveness import HolderLiveness
from eelgrassfork.vm_list import VmList, VmRecord

OWN = 'vm-own.1'
OTHER = 'vm-a.1'


def vm_list(revision: int, *vms: str) -> VmList:
    records = [
        VmRecord(vm, 'router', 'live', 'pazlen', '', 'pazlen/haskovo', 'bg', '')
        for vm in vms
    ]
    return VmList(revision, tuple(records))


# (name, VM lists in order, listed_at, (responding holder, delay), is dead)
CASES = (
    ('never listed', [vm_list(3)], 0, None, False),
    ('still listed', [vm_list(3, 'vm-a')], 3, None, False),
    ('left the list', [vm_list(3, 'vm-a'), vm_list(4)], 0, None, True),
    ('recorded as listed', [vm_list(9)], 4, None, True),
    ('recorded in a newer list', [vm_list(3)], 4, None, False),
    ('same holder answered', [], 0, (OTHER, 1), False),
    ('new holder answered later', [], 0, ('vm-a.2', 1), True),
    ('new holder answered before', [], 0, ('vm-a.2', 0), False),
)


class HolderLivenessTests(testtools.TestCase):
    def test_holder_is_dead_only_with_proof(self):
        for name, lists, listed_at, answer, expected in CASES:
            with self.subTest(name):
                self.assertEqual(
                    expected, self.ask(lists, listed_at, answer), name
                )

    def ask(self, lists, listed_at, answer):
        async def main():
            liveness = HolderLiveness(OWN)
            for each in lists:
                liveness.update_vm_list(each)
            asked_at = trio.current_time()
            liveness.is_dead(OTHER, 0, None)
            if answer is None:
                return liveness.is_dead(OTHER, listed_at, None)
            answered = (answer[0], asked_at + answer[1])
            return liveness.is_dead(OTHER, listed_at, answered)

        return trio.run(main, clock=trio.testing.MockClock())

    def test_previous_holder_of_own_vm_is_dead(self):
        async def main():
            liveness = HolderLiveness(OWN)
            self.assertTrue(liveness.is_dead('vm-own.0', 0, None))
            self.assertFalse(liveness.is_dead(OWN, 0, None))

        trio.run(main)
