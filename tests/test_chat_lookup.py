"""
tests.test_chat_lookup
~~~~~~~~~~~~~~~~~~~~~~

Guards against a second generation of a keyed request at another server.
"""

import testtools
import trio

from eelgrassfork.chat_lookup import find_earlier_attempt
from tests.chat_setting import SERVICE, with_chat_fixture

KEY = ('idempotency-key', 'k1')


class LookupTests(testtools.TestCase):
    @with_chat_fixture
    async def test_retry_attaches_at_a_server_that_routing_avoids(
        self, fixture
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await fixture.ask(**ask)
        (host,) = fixture.hosts_with_records()
        fixture.other_router.backends.record_failure(host, silent=True)
        answer = await fixture.ask(router=fixture.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([host], fixture.hosts_with_records())

    @with_chat_fixture
    async def test_unanswered_queries_time_out_and_are_reported(self, fixture):
        for engine in fixture.engines[1:]:
            engine.set_faults(silent=True)
        parts = fixture.router.chat._parts
        servers = fixture.router.backends.servers(SERVICE.name)
        found = await find_earlier_attempt(parts.engines, servers, 'key-x')
        self.assertIsNone(found.server)
        silent = {server.vm for server in found.unreachable}
        self.assertEqual({'engine-1', 'engine-2'}, silent)
        self.assertLess(trio.current_time(), 0.6)
