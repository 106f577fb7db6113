"""
tests.test_gateway_limit_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against limits of servers that are lost, outdated or kept for too long.
"""

import testtools
import trio

from eelgrassfork.gateway.limit_table import LimitTable
from eelgrassfork.gateway.records import NamedLimit, ServerEntry

from .mock_clock import run

ENTRY = ServerEntry('s1', 'svc', '10.0.0.1:80', 'd0', 6, 100, 5)
NONE = NamedLimit()


def rate(table, entry=ENTRY):
    known = table.limit_of(entry)
    return None if known is None else known.per_s


class ObserveTests(testtools.TestCase):
    def observe(self, *answers):
        """Apply answers as pairs of sending time and limit; return limits."""

        async def main():
            table = LimitTable()
            limits = []
            start = trio.current_time()
            for sent_at, limit in answers:
                await trio.sleep(1)
                table.observe(ENTRY, limit, start + sent_at)
                limits.append(rate(table))
            return limits

        return run(main)

    def test_follows_a_limit_that_rises_falls_and_ends(self):
        answers = [(0, 2), (1, 4), (2, 1.5), (3, None), (4, 3)]
        limits = self.observe(
            *((sent_at, NamedLimit(per_s)) for sent_at, per_s in answers)
        )
        self.assertEqual([2, 4, 1.5, None, 3], limits)

    def test_late_answers_to_older_requests_do_not_loosen_a_limit(self):
        answers = [(0, NamedLimit(2)), (0.5, NONE), (0.5, NamedLimit(5))]
        self.assertEqual([2, 2, 2], self.observe(*answers))

    def test_late_answers_to_older_requests_tighten_a_limit(self):
        answers = [(0, NamedLimit(2)), (0.5, NamedLimit(1))]
        self.assertEqual([2, 1], self.observe(*answers))

    def test_limit_that_cannot_be_parsed_leaves_the_last_one(self):
        answers = [(0, NamedLimit(2)), (1, NamedLimit(None, False))]
        self.assertEqual([2, 2], self.observe(*answers))


class IncarnationTests(testtools.TestCase):
    def test_limit_ends_with_the_incarnation_that_named_it(self):
        async def main():
            table = LimitTable()
            table.observe(ENTRY, NamedLimit(2), 0)
            restarted = ENTRY._replace(incarnation=200)
            return rate(table), rate(table, restarted)

        self.assertEqual((2, None), run(main))

    def test_answers_of_an_older_incarnation_are_ignored(self):
        async def main():
            table = LimitTable()
            table.observe(ENTRY, NamedLimit(2), 0)
            former = ENTRY._replace(incarnation=50)
            await trio.sleep(1)
            table.observe(former, NamedLimit(9), trio.current_time())
            return rate(table)

        self.assertEqual(2, run(main))


class DumpTests(testtools.TestCase):
    def test_operators_see_limit_and_age(self):
        async def main():
            table = LimitTable()
            table.observe(ENTRY, NamedLimit(2), trio.current_time())
            await trio.sleep(1.5)
            return table.dump(), table.count

        expected = {
            'server': 's1',
            'per_s': 2,
            'age_s': 1.5,
            'unchanged_s': 1.5,
        }
        self.assertEqual(([expected], 1), run(main))
