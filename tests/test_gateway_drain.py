"""
tests.test_gateway_drain
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a drain that outlasts the grace time, and against a stop that is
not complete.
"""

import logbook
import testtools
import trio

from eelgrassfork.http_client import HttpClientError

from .gateway_world import run_world

# The settings of the world; SIGKILL follows.
GRACE_S = 3


class DrainTests(testtools.TestCase):
    def play(self, grace_s=GRACE_S, elapsed_s=0, script='ok', prepare=None):
        """Drain with one request in progress; returns time and log records."""

        async def scenario(world, nursery):
            if prepare is not None:
                prepare(world)
            bounds = world.settings.bounds._replace(grace_s=grace_s)
            world.node.reload(world.settings._replace(bounds=bounds), 'test')
            with logbook.TestHandler().applicationbound() as handler:
                nursery.start_soon(call, world)
                await trio.sleep(0.2)
                started_at = trio.current_time()
                await world.node.drain(elapsed_s)
                took_s = trio.current_time() - started_at
                await world.node.close()
                await trio.sleep(0.2)
                return took_s, handler.records

        async def call(world):
            try:
                await world.call('/order/x')
            except HttpClientError:
                return

        return run_world(scenario, plain=[[script]], model=[[script]])

    def test_time_since_the_stop_signal_counts(self):
        """A drain that began late was still running when SIGKILL came."""
        took_s, _ = self.play(elapsed_s=1, script='hang')
        self.assertLess(took_s, GRACE_S - 1)

    def test_grace_time_shorter_than_the_removal_bounds_the_drain(self):
        """The wait for the load balancer was longer than the grace time."""
        took_s, records = self.play(grace_s=1.5)
        self.assertLess(took_s, 1.5)
        self.assertIn('stopped', [record.message for record in records])

    def test_log_names_the_requests_that_were_cut(self):
        """Requests cut at a stop were logged as if their callers had gone."""
        _, records = self.play(grace_s=1.5, script='hang')
        by_message = {record.message: record.extra for record in records}
        self.assertEqual(1, by_message['stopped']['cut_off'])
        ended = by_message['request ended']
        self.assertEqual('cut_at_stop', ended['outcome'])
        self.assertTrue(ended['why'])

    def test_error_in_the_return_of_credit_skips_no_other_step(self):
        """An unexpected error left the drain, and the process ended with it."""

        async def fail(timeout_s):
            raise ValueError('unexpected')

        def prepare(world):
            world.node._credit.close = fail

        _, records = self.play(grace_s=1.5, prepare=prepare)
        messages = [record.message for record in records]
        self.assertIn('step return credit of the stop failed', messages)
        self.assertIn('stopped', messages)
