"""
tests.test_gateway_suspect_parts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against one crash that counts twice, news that looks newer than it is,
and callers or peers that fill the memory of a router.
"""

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.gateway.heartbeats import CrashMention, PartNotice
from eelgrassfork.gateway.records import ServerEntry
from eelgrassfork.gateway.suspect_parts import (
    RETENTION_S,
    SuspectParts,
)

SERVICE = 'model'


def entry(number=0, incarnation=1):
    return ServerEntry(
        f'i-{number}', SERVICE, '10.0.0.1:80', 'd0', 8, incarnation, 1
    )


def run(scenario):
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def crash(table, number, *part_ids):
    return table.record_crash(entry(number), part_ids, 6)


def exchange(*tables):
    """Let each table merge what the others report."""
    for source in tables:
        for notice in source.notices():
            for target in tables:
                if target is not source:
                    target.merge(notice)


def crash_count(table, part_id):
    suspect = table.by_service.get(SERVICE, {}).get(part_id)
    return 0 if suspect is None else len(suspect.crashes_by_id)


class MergeTests(testtools.TestCase):
    def test_crash_seen_by_many_routers_counts_once(self):
        async def scenario():
            tables = [SuspectParts() for _ in range(4)]
            for table in tables[:3]:
                crash(table, 0, 'x')
                await trio.sleep(0.01)
            exchange(*tables)
            return [crash_count(table, 'x') for table in tables]

        self.assertEqual([1, 1, 1, 1], run(scenario))

    def test_incarnations_of_a_server_are_different_crashes(self):
        async def scenario():
            table = SuspectParts()
            for incarnation in (1, 2):
                table.record_crash(entry(0, incarnation), ('x',), 6)
            return crash_count(table, 'x')

        self.assertEqual(2, run(scenario))

    def test_router_that_saw_no_crash_knows_the_part_as_well(self):
        async def scenario():
            one, other, third = (SuspectParts() for _ in range(3))
            crash(one, 0, 'x')
            crash(other, 1, 'x')
            exchange(one, other, third)
            return set(third.find_likely(SERVICE))

        self.assertEqual({'x'}, run(scenario))

    def test_answer_at_any_router_clears_the_part_at_all(self):
        async def scenario():
            one, other = SuspectParts(), SuspectParts()
            for number in range(2):
                crash(one, number, 'x')
            exchange(one, other)
            await trio.sleep(1)
            other.record_answer(SERVICE, ('x',))
            exchange(one, other)
            exchange(one, other)
            return [table.find_likely(SERVICE) for table in (one, other)]

        self.assertEqual([{}, {}], run(scenario))

    def test_late_report_of_a_crash_before_the_answer_changes_nothing(self):
        async def scenario():
            one, other = SuspectParts(), SuspectParts()
            crash(one, 0, 'x')
            crash(other, 0, 'x')
            late = one.notices()
            await trio.sleep(0.1)
            other.record_answer(SERVICE, ('x',))
            await trio.sleep(0.2)
            changed = [other.merge(notice) for notice in late]
            return changed, crash_count(other, 'x')

        self.assertEqual(([False], 0), run(scenario))

    def test_answer_before_the_crash_makes_the_part_less_likely(self):
        async def scenario():
            one, other = SuspectParts(), SuspectParts()
            other.record_answer(SERVICE, ('x',))
            await trio.sleep(2)
            for number in range(2):
                crash(one, number, 'x')
            before = set(one.find_likely(SERVICE))
            exchange(one, other)
            exchange(one, other)
            return before, one.find_likely(SERVICE)

        self.assertEqual(({'x'}, {}), run(scenario))


class BoundTests(testtools.TestCase):
    def test_old_crashes_are_forgotten_and_not_brought_back(self):
        async def scenario():
            table = SuspectParts()
            for number in range(2):
                crash(table, number, 'x')
            await trio.sleep(RETENTION_S - 1)
            old = table.make_notice(SERVICE, 'x')
            table.discard_expired()
            kept = crash_count(table, 'x')
            await trio.sleep(2)
            table.discard_expired()
            age_ms = int(RETENTION_S * 1000) + 1000
            table.merge(
                old._replace(
                    crashes=tuple(
                        mention._replace(age_ms=age_ms)
                        for mention in old.crashes
                    )
                )
            )
            return kept, crash_count(table, 'x')

        self.assertEqual((2, 0), run(scenario))

    def test_refused_requests_keep_the_part_quarantined(self):
        async def scenario():
            table = SuspectParts()
            for number in range(2):
                crash(table, number, 'x')
            for _ in range(3):
                await trio.sleep(RETENTION_S / 2)
                table.by_service[SERVICE]['x'].record_seen()
                table.discard_expired()
            return set(table.find_likely(SERVICE))

        self.assertEqual({'x'}, run(scenario))

    def test_router_that_has_just_started_learns_of_an_old_quarantine(self):
        # Its crashes are older than the retention; refused requests keep it.
        async def scenario():
            old, fresh = SuspectParts(), SuspectParts()
            for number in range(2):
                crash(old, number, 'x')
            for _ in range(3):
                await trio.sleep(RETENTION_S / 2)
                old.by_service[SERVICE]['x'].record_seen()
                old.discard_expired()
            exchange(old, fresh)
            return set(old.find_likely(SERVICE)), set(
                fresh.find_likely(SERVICE)
            )

        self.assertEqual(({'x'}, {'x'}), run(scenario))

    def test_callers_with_new_parts_do_not_fill_the_memory(self):
        async def scenario():
            table = SuspectParts()
            for number in range(6000):
                table.record_answer(SERVICE, (f'answered-{number}',))
                crash(table, 0, f'suspect-{number}')
            table.discard_expired()
            return len(table.by_service[SERVICE]), len(table._answered_at)

        suspects, answered = run(scenario)
        self.assertLessEqual(suspects, 1024)
        self.assertLessEqual(answered, 4096)

    def test_part_in_frequent_use_outlasts_many_new_ones(self):
        async def scenario():
            table = SuspectParts()
            for number in range(6000):
                table.record_answer(SERVICE, (f'answered-{number}',))
                if not number % 1000:
                    table.record_answer(SERVICE, ('x',))
            await trio.sleep(1)
            for number in range(4):
                crash(table, number, 'x')
            return table.find_likely(SERVICE)

        self.assertEqual({}, run(scenario))

    def test_report_with_many_crashes_stays_small(self):
        async def scenario():
            table = SuspectParts()
            for number in range(40):
                crash(table, number, *(f'{part}' * 64 for part in range(10)))
            return table.notices()

        notices = run(scenario)
        self.assertLessEqual(len(notices), 12)
        self.assertLessEqual(max(len(one.crashes) for one in notices), 16)

    def test_negative_ages_of_a_peer_count_as_none(self):
        async def scenario():
            table = SuspectParts()
            mention = CrashMention(1, -5000, 6)
            table.merge(PartNotice(SERVICE, 'x', (mention,), None, -5000))
            suspect = table.by_service[SERVICE]['x']
            return suspect.seen_at <= trio.current_time()

        self.assertTrue(run(scenario))
