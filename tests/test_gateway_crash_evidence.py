"""
tests.test_gateway_crash_evidence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against blaming a part of a prompt for servers that end by themselves,
or for what another part does.
"""

import random

import testtools

from eelgrassfork.gateway.crash_evidence import (
    CrashRate,
    PartHistory,
    find_cause,
    log_odds,
)

QUIET = CrashRate(0, 6)
# Eight servers, twelve crashes in 8 s.
STORM = CrashRate(11, 8)
CRASHES_PER_S = 12 / 8
# Time until an answer has begun, in seconds.
EXPOSURE_S = 0.3
MAX_FALSE = 1 / 500

# Parts at two or more of the first eight crashes of the day of the incident
# (seed 2): crashes since the last complete answer, and whether there was one.
BAD = 'fe6ee14d56a3'
NEIGHBOUR = '5bfb61ea71e7'
RECORDED = {
    BAD: PartHistory(frozenset(range(8)), False),
    NEIGHBOUR: PartHistory(frozenset(range(8)), False),
    '22353a84eead': PartHistory(frozenset({5, 6, 7}), True),
    '47a1520b1849': PartHistory(frozenset({5, 7}), False),
    '4d558426577c': PartHistory(frozenset({5, 7}), False),
    '53d092927ba3': PartHistory(frozenset({3, 4}), False),
    '5f36a8732530': PartHistory(frozenset({5, 6}), True),
    '631e95687af5': PartHistory(frozenset({5, 6}), True),
    '68a91a4e63db': PartHistory(frozenset({5, 7}), False),
    '729b4f123867': PartHistory(frozenset({2, 3}), True),
    '7a49c41a1aa2': PartHistory(frozenset({1, 6}), True),
    '8c4d644d99b6': PartHistory(frozenset({5, 7}), True),
    'c5a62d3f20c0': PartHistory(frozenset({4, 5}), True),
    'ec2f2c85a3e7': PartHistory(frozenset({5, 6}), True),
    'f497306763d3': PartHistory(frozenset({0, 5}), True),
}
FIRST = 'f5c19e8fb32f'


def history(crashes, was_answered=False):
    return PartHistory(frozenset(range(crashes)), was_answered)


def crashes_needed(rate, was_answered=False):
    return next(
        crashes
        for crashes in range(1, 100)
        if log_odds(history(crashes, was_answered), rate) > 0
    )


def likely(histories, rate):
    return {
        part_id: None
        for part_id, known in histories.items()
        if log_odds(known, rate) > 0
    }


def draw_crashes_in_a_row(source, crash_probability):
    """Draw the exposures of a part until its first complete answer."""
    crashes = 0
    while source.random() < crash_probability:
        crashes += 1
    return crashes


class LogOddsTests(testtools.TestCase):
    def test_two_crashes_of_a_new_part_are_enough_in_a_quiet_fleet(self):
        for servers in (2, 6, 100, 7200):
            self.assertEqual(2, crashes_needed(CrashRate(0, servers)), servers)

    def test_part_that_was_answered_needs_five_crashes(self):
        for servers in (6, 100, 7200):
            needed = crashes_needed(CrashRate(0, servers), was_answered=True)
            self.assertEqual(5, needed, servers)

    def test_more_crashes_are_needed_while_servers_end_by_themselves(self):
        self.assertEqual(3, crashes_needed(STORM))
        self.assertGreater(crashes_needed(CrashRate(50, 8)), 3)

    def test_crashes_of_all_servers_all_the_time_blame_no_part(self):
        self.assertLess(log_odds(history(16), CrashRate(500, 8)), 0)


class ErrorRateTests(testtools.TestCase):
    def test_few_new_parts_are_blamed_for_servers_that_end_by_themselves(self):
        source = random.Random(1)
        crash_probability = CRASHES_PER_S * EXPOSURE_S / STORM.servers
        drawn = 50_000
        false = sum(
            log_odds(
                history(draw_crashes_in_a_row(source, crash_probability)), STORM
            )
            > 0
            for _ in range(drawn)
        )
        self.assertLess(false / drawn, MAX_FALSE)

    def test_part_that_ends_servers_is_found_among_other_crashes(self):
        # Each request with the part ends a server; others end meanwhile.
        source = random.Random(2)
        for _ in range(1000):
            others = source.randrange(12)
            servers = source.randrange(6, 200)
            needed = crashes_needed(CrashRate(others, servers))
            self.assertLessEqual(needed, 3, (others, servers))


class CauseTests(testtools.TestCase):
    def find(self, *part_ids):
        return find_cause(part_ids, RECORDED, likely(RECORDED, QUIET))

    def test_recorded_requests_that_ended_servers_are_refused(self):
        self.assertEqual(BAD, self.find(FIRST, NEIGHBOUR, BAD))

    def test_recorded_sound_requests_are_sent(self):
        sound = [
            (FIRST, part_id)
            for part_id in RECORDED
            if part_id not in {BAD, NEIGHBOUR}
        ]
        for part_ids in (*sound, (FIRST, NEIGHBOUR)):
            self.assertIsNone(self.find(*part_ids), part_ids)

    def test_two_parts_of_one_crash_each_are_told_apart_later(self):
        # Two new requests were at both servers; one of them ends a third one.
        tied = {'x': history(2), 'y': history(2)}
        self.assertIsNone(find_cause(('x',), tied, likely(tied, QUIET)))
        known = {'x': history(3), 'y': history(2)}
        self.assertEqual('x', find_cause(('x',), known, likely(known, QUIET)))
        self.assertIsNone(find_cause(('y',), known, likely(known, QUIET)))

    def test_sound_request_beside_two_that_end_servers_is_sent(self):
        known = {
            'request:x': PartHistory(frozenset({1, 3}), False),
            'request:y': PartHistory(frozenset({2, 4}), False),
            'request:s': PartHistory(frozenset({1, 4}), False),
        }
        quarantined = likely(known, CrashRate(2, 6))
        causes = [find_cause((one,), known, quarantined) for one in known]
        self.assertEqual(['request:x', 'request:y', None], causes)

    def test_part_beside_a_request_that_ends_servers_is_sent(self):
        known = {'x': history(2), 'request:y': history(3)}
        quarantined = likely(known, QUIET)
        self.assertIsNone(find_cause(('request:z', 'x'), known, quarantined))

    def test_request_with_a_part_does_not_excuse_the_part(self):
        # Another request with the part would end the next server.
        known = {'x': history(2), 'request:y': history(2)}
        quarantined = likely(known, QUIET)
        self.assertEqual(
            'x', find_cause(('request:z', 'x'), known, quarantined)
        )

    def test_two_parts_that_end_servers_are_both_found(self):
        known = {
            'x': PartHistory(frozenset({1, 3}), False),
            'y': PartHistory(frozenset({2, 4}), False),
        }
        quarantined = likely(known, CrashRate(2, 6))
        for part_id in known:
            self.assertEqual(
                part_id, find_cause(('f', part_id), known, quarantined)
            )

    def test_part_that_all_requests_have_explains_nothing(self):
        known = {'f': history(5, was_answered=True), 'x': history(2)}
        self.assertEqual('x', find_cause(('x',), known, likely(known, QUIET)))
