"""
tests.test_chat_relay
~~~~~~~~~~~~~~~~~~~~~

Guards against wrong bills and truncated answers that appear complete.
"""

from typing import NamedTuple

import testtools
import trio

from tests.chat_setting import with_chat_fixture

ALL = (0, 1, 2)
WHOLE_BILL = 3 + 6


class Fault(NamedTuple):
    """
    A fault and the expected result of a stream of six words.

    :param engines: numbers of the faulty engines.
    :param bill: billed tokens; those of the engine's record if ``None``.
    :param words: minimum number of words in the answer.
    :param ask: fields of the request.
    """

    name: str
    faults: dict
    engines: tuple = (0,)
    code: str = ''
    outcome: str = ''
    bill: int | None = WHOLE_BILL
    words: int = 6
    ask: dict = {}


# Formatted by hand to keep the columns aligned.
# fmt: off
FAULTS = (
    Fault('none', {}),
    Fault('500', {'fail': True}),
    Fault('500 everywhere', {'fail': True}, ALL, 'server_failed', 'unknown', 0),
    Fault('silent', {'silent': True}),
    Fault('silent everywhere', {'silent': True}, ALL,
          'server_failed', 'unknown', 0),
    Fault('late', {'late_ms': 2500}),
    Fault('too late', {'late_ms': 9000}),
    Fault('wrong identity', {'wrong_identity': True}),
    Fault('wrong identity everywhere', {'wrong_identity': True}, ALL,
          'server_failed', 'unknown', 0),
    Fault('one break in mid-stream', {'cut_after_events': 4}),
    Fault('one silence in mid-stream', {'silent_after_events': 4}),
    Fault('breaks go on', {'cut_after_events': 2}, (0,),
          'server_failed', 'ran', None, 8, {'words': 40}),
    Fault('silence goes on', {'silent_after_events': 2}, (0,),
          'server_failed', 'ran', None, 8, {'words': 40}),
    Fault('break before the first event', {'cut_after_events': 0}),
    Fault('overrun', {'ignore_cap': True}, (0,),
          'server_failed', 'ran', 3 + 6, 6, {'words': 40, 'max_tokens': 6}),
)
# fmt: on


class FaultTableTests(testtools.TestCase):
    def check_fault(self, fault, stream):
        @with_chat_fixture
        async def check(self, fixture):
            for number in fault.engines:
                fixture.engines[number].set_faults(**fault.faults)
            answer = await fixture.ask(stream=stream, **fault.ask)
            bills = await fixture.settled_bills()
            self.assertEqual(fault.code, answer.error.get('code', ''))
            self.assertEqual(fault.outcome, answer.error.get('outcome', ''))
            bill = fault.bill
            if bill is None:
                record = fixture.generations()[0]
                bill = record['prompt_tokens'] + record['completion_tokens']
            self.assertEqual([bill], bills)
            self.check_answer(fault, stream, answer)
            # Abandoned generations are cancelled at the engines.
            await trio.sleep(20)
            states = [record['state'] for record in fixture.generations()]
            self.assertNotIn('running', states)

        check(self)

    def check_answer(self, fault, stream, answer):
        started = answer.status == 200
        self.assertEqual(bool(started and fault.code), answer.truncated)
        if stream and started:
            self.assertGreaterEqual(len(answer.words), fault.words)
            self.assertEqual(not fault.code, answer.events[-1] == b'[DONE]')

    def test_streams(self):
        for fault in FAULTS:
            with self.subTest(fault=fault.name):
                self.check_fault(fault, stream=True)

    def test_unstreamed_answers(self):
        for fault in FAULTS:
            if not any('after_events' in name for name in fault.faults):
                with self.subTest(fault=fault.name):
                    self.check_fault(fault, stream=False)


class SilencedConnectionTests(testtools.TestCase):
    @with_chat_fixture
    async def test_pooled_connection_is_replaced_at_the_same_server(
        self, fixture
    ):
        await fixture.ask()
        fixture.network.silence('router', 'engine-0')
        answer = await fixture.ask()
        self.assertEqual(6, len(answer.words))
        self.assertEqual(2, len(fixture.engines[0].records()))
        self.assertEqual([WHOLE_BILL] * 2, await fixture.settled_bills())

    @with_chat_fixture
    async def test_stream_is_resumed_on_a_new_connection(self, fixture):
        await fixture.run_after(
            0.2, fixture.network.silence, 'router', 'engine-0'
        )
        answer = await fixture.ask(words=40)
        whole = await fixture.ask(words=40)
        self.assertFalse(answer.truncated)
        self.assertEqual(whole.words, answer.words)
        self.assertEqual([3 + 40] * 2, await fixture.settled_bills())
        self.assertEqual(1, fixture.router.chat.dump()['resumed'])
