"""
tests.test_memory_policy
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against limits that refuse ordinary callers, or admit too much.
"""

from typing import NamedTuple

import testtools

from eelgrassfork.memory_policy import (
    body_deadline_s,
    derive_limits,
    find_idle,
    fits,
    order_stalled,
)

MIB = 1024 * 1024
LARGEST_BODY = 4 * MIB
TIMEOUT_S = 30


class Holder(NamedTuple):
    held: int
    progressed_at: float


class Idle(NamedTuple):
    idle_since: float | None


class LimitTests(testtools.TestCase):
    def test_limits_of_the_smallest_machine_leave_room_for_the_process(self):
        """The sum of all shares exceeded the memory of a small machine."""
        limits = derive_limits(160, 1638)
        self.assertEqual(40 * MIB, limits.held_bytes)
        self.assertEqual(647, limits.caller_connections)
        self.assertEqual(43, limits.system_connections)

    def test_missing_settings_have_defaults(self):
        """Without settings nothing was bounded."""
        self.assertEqual(derive_limits(512, 4096), derive_limits(0, 0))

    def test_few_descriptors_leave_some_connections(self):
        """A limit below the reserve for files refused all connections."""
        self.assertEqual(16, derive_limits(160, 100).caller_connections)

    def test_memory_bounds_connections_as_well(self):
        """Many descriptors on a small machine filled its memory."""
        self.assertEqual(1536, derive_limits(160, 100_000).caller_connections)


class FitTests(testtools.TestCase):
    def test_single_holder_is_served_beyond_the_limit(self):
        """A body within its own limit was refused by an idle process."""
        self.assertTrue(fits(100, total=0, own=0, size=200))
        self.assertTrue(fits(100, total=90, own=90, size=200))
        self.assertFalse(fits(100, total=90, own=80, size=20))
        self.assertTrue(fits(100, total=90, own=0, size=10))


class VictimTests(testtools.TestCase):
    def test_largest_holder_without_progress_comes_first(self):
        """Holders that made progress were ended before stalled ones."""
        holders = (Holder(5, 0), Holder(9, 9.5), Holder(7, 1), Holder(6, 7.9))
        self.assertEqual(
            [Holder(7, 1), Holder(6, 7.9), Holder(5, 0)],
            order_stalled(holders, 10),
        )

    def test_connection_idle_longest_comes_first(self):
        """Connections with a request, or just accepted, were closed."""
        connections = [Idle(3), Idle(None), Idle(1), Idle(9.9)]
        self.assertEqual([Idle(1), Idle(3)], find_idle(connections, 10))


class BodyRateTests(testtools.TestCase):
    def test_clients_within_the_limits_have_the_whole_timeout(self):
        """A steady client inside the body time-out was closed as too slow."""
        for size in (1, 9, 1000, 65536, LARGEST_BODY):
            for tenth in range(1, 11):
                received = int(size * tenth / 10)
                reached_s = TIMEOUT_S * tenth / 10
                with self.subTest(size=size, received=received):
                    self.assertTrue(
                        body_deadline_s(received, size, TIMEOUT_S) >= reached_s
                    )

    def test_trickle_is_closed_before_the_timeout(self):
        """A byte now and then kept a body open for the whole time-out."""
        self.assertEqual(15, body_deadline_s(0, LARGEST_BODY, TIMEOUT_S))
        self.assertTrue(body_deadline_s(15, None, TIMEOUT_S) < 16)
        self.assertTrue(body_deadline_s(15, LARGEST_BODY, TIMEOUT_S) < 16)

    def test_no_body_has_more_than_the_timeout(self):
        """A body that was nearly complete had no time-out."""
        self.assertEqual(
            TIMEOUT_S,
            body_deadline_s(LARGEST_BODY - 1, LARGEST_BODY, TIMEOUT_S),
        )
