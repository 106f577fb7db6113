"""
tests.test_gateway_ledger_history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against forgetting what routers wrote to the ledger, and against keeping
it for good.
"""

import testtools
import trio

from eelgrassfork.gateway.ledger import LedgerPosition, LedgerWrite
from eelgrassfork.gateway.ledger_history import (
    MAX_REPORTED_ORGANISATIONS,
    LedgerHistory,
)

from .mock_clock import run


def write(serial, granted=None):
    return LedgerWrite(LedgerPosition(1, serial), granted or {'a': 1}, {})


def large_write(serial):
    names = [
        f'o{number:04}' for number in range(2 * MAX_REPORTED_ORGANISATIONS)
    ]
    return write(serial, dict.fromkeys(names, 7))


class HistoryTests(testtools.TestCase):
    def test_large_write_that_comes_in_parts_is_whole_again(self):
        async def main():
            sender, receiver = LedgerHistory(), LedgerHistory()
            sender.record(large_write(3))
            parts = sender.recent_own()
            for part in reversed(parts):
                receiver.merge([part])
            return len(parts), receiver.writes()

        self.assertEqual((2, [large_write(3)]), run(main))

    def test_only_own_writes_are_reported_and_only_at_first(self):
        async def main():
            history = LedgerHistory()
            history.record(write(1))
            history.merge([write(2)])
            first = history.recent_own()
            await trio.sleep(1)
            return first, history.recent_own(), history.newest.serial

        self.assertEqual(((write(1),), (), 2), run(main))

    def test_old_writes_are_dropped(self):
        async def main():
            history = LedgerHistory()
            history.record(write(1))
            await trio.sleep(50)
            history.merge([write(2)])
            await trio.sleep(20)
            history.discard_expired()
            return history.writes(), history.has_own

        self.assertEqual(([write(2)], False), run(main))

    def test_number_of_writes_is_bounded(self):
        async def main():
            history = LedgerHistory()
            history.merge(map(write, range(5000)))
            history.discard_expired()
            return len(history.writes()), history.newest.serial

        self.assertEqual((4096, 4999), run(main))
