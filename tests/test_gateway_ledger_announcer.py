"""
tests.test_gateway_ledger_announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a draw that only the router knows which made it.
"""

import testtools
import trio

from .fault_schedule import run_seeded
from .simulated_credit import PrepaidCallers
from .simulated_fleet import Shape, simulate

LARGE = Shape(domains=3, size=8)
PREPAID = {'a': 12_000, 'b': 9_000}


def known_writes(shape, loss):
    """Draw credit for 10 s, and return what each router knows of it."""
    found = []

    async def run(fleet):
        await callers[0].start(4)
        fleet.heartbeat_loss = loss
        await trio.sleep(10)
        # Writes in progress at the end are not reported yet.
        await trio.sleep(0.01)
        for router in fleet.routers:
            keeper = callers[0].keepers_by_member[router.member]
            history = router.member.ledger_history
            found.append(
                (
                    router.member.roster.is_keeper,
                    keeper.dump()['ledger']['position']['serial'],
                    {write.position.serial for write in history.writes()},
                )
            )

    callers = []

    def prepare(fleet):
        callers.append(PrepaidCallers(fleet, PREPAID))

    run_seeded(lambda: simulate(shape, 3, run, prepare), 3)
    return found


class AnnouncerTests(testtools.TestCase):
    def test_all_routers_of_a_small_fleet_know_all_writes(self):
        found = known_writes(Shape(domains=2, size=3), 0)
        serial = max(serial for _, serial, _ in found)
        expected = set(range(1, serial + 1))
        self.assertGreater(serial, 5)
        self.assertEqual([expected] * 6, [known for _, _, known in found])

    def test_keepers_of_a_large_fleet_know_all_writes(self):
        found = known_writes(LARGE, 0)
        serial = max(serial for _, serial, _ in found)
        keepers = [known for is_keeper, _, known in found if is_keeper]
        self.assertEqual([set(range(1, serial + 1))] * 3, keepers)
