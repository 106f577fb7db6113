"""
tests.test_chat_meter
~~~~~~~~~~~~~~~~~~~~~

Guards against tokens beyond the cap and invalid stream events.
"""

import msgspec
import testtools

from eelgrassfork import chat_meter
from eelgrassfork.chat_meter import StreamMeter, Usage
from eelgrassfork.engine_types import EngineError
from eelgrassfork.sse import make_event

ROLE = {'role': 'assistant', 'content': ''}
DONE = make_event(b'[DONE]')


def chunk(delta) -> bytes:
    choices = [{'index': 0, 'delta': delta}]
    fields = {'choices': choices}
    return make_event(msgspec.json.encode(fields))


def word(text: str = 'a') -> bytes:
    return chunk({'content': text})


def usage(completion: int) -> bytes:
    fields = {'prompt_tokens': 3, 'completion_tokens': completion}
    text = msgspec.json.encode({'choices': [], 'usage': fields})
    return make_event(text)


class StreamMeterTests(testtools.TestCase):
    def test_only_events_with_content_count(self):
        calls = chunk({'tool_calls': [{'index': 0}]})
        events = [b': ping\n\n', chunk(ROLE), word(), calls, chunk({})]
        meter = StreamMeter(9, include_usage=False)
        self.assertEqual(events, meter.process([*events, DONE]))
        self.assertEqual((2, 5), (meter.tokens, meter.next_event))
        self.assertEqual(DONE, meter.done_event)

    def test_usage_event_is_forwarded_only_if_requested(self):
        for asked in (False, True):
            with self.subTest(asked=asked):
                meter = StreamMeter(9, include_usage=asked)
                forwarded = meter.process([word(), usage(4)])
                self.assertEqual(asked, usage(4) in forwarded)
                self.assertEqual(Usage(3, 4), meter.usage)
                self.assertEqual(4, meter.tokens)

    def test_nothing_beyond_the_cap_is_forwarded(self):
        cases = (
            ([word('a'), word('b'), word('c'), DONE], 2, True),
            ([word('a'), word('b'), DONE], 2, False),
            ([word('a'), usage(3), DONE], 1, True),
        )
        for events, count, overrun in cases:
            with self.subTest(count=count, overrun=overrun):
                meter = StreamMeter(2, include_usage=True)
                self.assertEqual(events[:count], meter.process(events))
                self.assertEqual(overrun, meter.overrun)
                self.assertEqual(not overrun, bool(meter.done_event))

    def test_invalid_events_are_rejected(self):
        cases = (
            (b'not json', 'bad_answer'),
            (b'{"choices": 5}', 'bad_answer'),
            (b'{"error": {"message": "out of memory"}}', 'engine_failed'),
        )
        for text, code in cases:
            with self.subTest(text=text):
                meter = StreamMeter(2, include_usage=True)
                error = self.assertRaises(
                    EngineError, meter.process, [make_event(text)]
                )
                self.assertEqual(code, error.code)


class BillTests(testtools.TestCase):
    def test_bill_never_exceeds_cap_or_reservation(self):
        cases = (
            (Usage(3, 4), 10, 99, 7),
            (Usage(3, 40), 10, 99, 13),
            (Usage(300, 4), 10, 99, 99),
        )
        for reported, cap, reserved, expected in cases:
            with self.subTest(reported=reported):
                found = chat_meter.billable_tokens(reported, cap, reserved)
                self.assertEqual(expected, found)

    def test_answer_without_usage_is_rejected(self):
        for body in (b'{}', b'{"choices": []}', b'half'):
            with self.subTest(body=body):
                self.assertRaises(EngineError, chat_meter.answer_usage, body)
