"""
tests.test_chat_run
~~~~~~~~~~~~~~~~~~~

Guards against a caller that stops reading and occupies its slot forever.
"""

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.chat_run import CallerSink
from eelgrassfork.errors import RequestError
from eelgrassfork.http_server import CallerDisconnected


class StalledCall:
    request_id = 'req-1'
    started = True
    aborted = False

    async def send(self, chunk):
        await trio.sleep_forever()

    async def abort(self):
        await trio.lowlevel.checkpoint()
        self.aborted = True


class CallerSinkTests(testtools.TestCase):
    def test_stalled_caller_is_treated_as_disconnected(self):
        call = StalledCall()
        sink = CallerSink(call)
        codes = []

        async def main():
            try:
                await sink.send([b'data: x\n\n'])
            except CallerDisconnected:
                codes.append('gone')
            await sink.abort(RequestError('server_failed', 'cut', 'ran'))

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual((['gone'], True), (codes, call.aborted))
