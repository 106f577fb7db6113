"""
tests.test_gateway_limit_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against limits of servers that are lost, outdated or kept for too long.
"""

import testtools
import trio

from eelgrassfork.gateway.heartbeats import LimitNotice
from eelgrassfork.gateway.limit_table import LimitTable
from eelgrassfork.gateway.records import NamedLimit, ServerEntry

from .mock_clock import run

ENTRY = ServerEntry('s1', 'svc', '10.0.0.1:80', 'd0', 6, 100, 5)
NONE = NamedLimit()


def make_table(servers=None):
    """Create a table of a router that knows all servers, or the given ones."""
    return LimitTable(
        lambda: None, lambda name: servers is None or name in servers
    )


def rate(table, entry=ENTRY):
    known = table.limit_of(entry)
    return None if known is None else known.per_s


class ObserveTests(testtools.TestCase):
    def observe(self, *answers):
        """Apply answers as pairs of sending time and limit; return limits."""

        async def main():
            table = make_table()
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
            table = make_table()
            table.observe(ENTRY, NamedLimit(2), 0)
            restarted = ENTRY._replace(incarnation=200)
            return rate(table), rate(table, restarted)

        self.assertEqual((2, None), run(main))

    def test_answers_of_an_older_incarnation_are_ignored(self):
        async def main():
            table = make_table()
            table.observe(ENTRY, NamedLimit(2), 0)
            former = ENTRY._replace(incarnation=50)
            await trio.sleep(1)
            table.observe(former, NamedLimit(9), trio.current_time())
            return rate(table)

        self.assertEqual(2, run(main))


class MergeTests(testtools.TestCase):
    def merge(self, *notices, learned=NamedLimit(2)):
        async def main():
            table = make_table()
            if learned is not None:
                table.observe(ENTRY, learned, trio.current_time())
            for version, per_s in notices:
                notice = LimitNotice('s1', 100, version, per_s, 0)
                table.merge((notice,), 'n1')
            return rate(table)

        return run(main)

    def test_newest_change_counts_whatever_the_order(self):
        self.assertEqual(5, self.merge((3, 5), (2, 1)))
        self.assertIsNone(self.merge((3, None), (2, 1)))

    def test_of_concurrent_changes_the_lower_limit_counts(self):
        self.assertEqual(1, self.merge((1, 1), (1, None), (1, 4)))

    def test_withdrawn_limit_of_an_unknown_server_is_ignored(self):
        self.assertIsNone(self.merge((9, None), learned=None))
        self.assertEqual(3, self.merge((9, None), (1, 3), learned=None))

    def test_own_change_supersedes_what_peers_reported(self):
        async def main():
            table = make_table()
            table.merge((LimitNotice('s1', 100, 8, 2, 0),), 'n1')
            await trio.sleep(1)
            table.observe(ENTRY, NamedLimit(3), trio.current_time())
            return table.notices()[0][:4]

        self.assertEqual(('s1', 100, 9, 3), run(main))

    def test_invalid_limits_of_peers_are_ignored(self):
        for per_s in (-1, float('nan'), float('inf')):
            self.assertEqual(2, self.merge((5, per_s)))
        self.assertEqual(2, self.merge((2**63, 1), (0, 1)))

    def test_reports_are_bounded_and_favour_changes(self):
        async def main():
            table = make_table()
            for number in range(900):
                entry = ENTRY._replace(id=f'old{number}')
                table.observe(entry, NamedLimit(2), 0)
            await trio.sleep(5)
            table.observe(ENTRY, NamedLimit(2), 0)
            notices = table.notices()
            return len(notices), notices[0].server_id

        self.assertEqual((5, 's1'), run(main))

    def test_limits_of_servers_that_are_gone_are_not_passed_around(self):
        async def main():
            servers = {'s1'}
            tables = make_table(servers), make_table(servers)
            tables[0].observe(ENTRY, NamedLimit(2), 0)
            tables[1].merge(tables[0].notices(), 'n0')
            counts = [tables[1].count]
            servers.clear()
            for _ in range(3):
                tables[0].discard_expired()
                tables[0].merge(tables[1].notices(), 'n1')
            counts.append(tables[0].count)
            return counts

        self.assertEqual([1, 0], run(main))

    def test_withdrawn_limits_are_dropped_however_often_they_are_reported(self):
        async def main():
            tables = make_table(), make_table()
            for limit in (NamedLimit(2), NONE):
                tables[0].observe(ENTRY, limit, trio.current_time())
                tables[1].merge(tables[0].notices(), 'n0')
                await trio.sleep(1)
            for _ in range(62):
                await trio.sleep(1)
                for one, other in (tables, tables[::-1]):
                    one.discard_expired()
                    other.merge(one.notices(), 'n')
            return [table.notices() for table in tables]

        self.assertEqual([(), ()], run(main))


class DumpTests(testtools.TestCase):
    def test_operators_see_limit_and_age(self):
        async def main():
            table = make_table()
            table.observe(ENTRY, NamedLimit(2), trio.current_time())
            await trio.sleep(1.5)
            return table.dump(), table.count

        expected = {
            'server': 's1',
            'per_s': 2,
            'version': 1,
            'age_s': 1.5,
            'unchanged_s': 1.5,
        }
        self.assertEqual(([expected], 1), run(main))
