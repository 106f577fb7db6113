"""
tests.test_chat_lookup
~~~~~~~~~~~~~~~~~~~~~~

Guards against a second run of a request with a key elsewhere.
"""

import testtools
import trio

from eelgrassfork.chat_lookup import find_earlier_attempt
from tests.chat_setting import SERVICE, with_setting

KEY = ('idempotency-key', 'k1')


class LookupTests(testtools.TestCase):
    @with_setting
    async def test_retry_attaches_at_a_server_that_routing_avoids(
        self, setting
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await setting.ask(**ask)
        (host,) = setting.working_hosts()
        setting.other_router.backends.failed(host, silent=True)
        answer = await setting.ask(router=setting.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([host], setting.working_hosts())

    @with_setting
    async def test_silence_is_bounded_and_told(self, setting):
        for engine in setting.engines[1:]:
            engine.set_faults(silent=True)
        parts = setting.router.chat._parts
        servers = setting.router.backends.servers(SERVICE.name)
        found = await find_earlier_attempt(parts.engines, servers, 'key-x')
        self.assertIsNone(found.server)
        silent = {server.vm for server in found.unreachable}
        self.assertEqual({'engine-1', 'engine-2'}, silent)
        self.assertLess(trio.current_time(), 0.6)
