"""
tests.test_chat_metrics
~~~~~~~~~~~~~~~~~~~~~~~

Guards against uncounted retries, truncated answers and billed tokens.
"""

import testtools

from tests.chat_setting import with_chat_fixture

ALL = (0, 1, 2)
BILL = {('chat_tokens',): 3 + 6}
FAULTS = (
    ('none', {}, (), BILL),
    ('retried', {'fail': True}, (0,), {('chat_retries',): 1, **BILL}),
    (
        'refused',
        {'fail': True},
        ALL,
        {('chat_retries',): 2, ('chat_refusals', 'server_failed'): 1},
    ),
    ('resumed', {'cut_after_events': 4}, (0,), {('chat_resumes',): 1, **BILL}),
    (
        'cut',
        {'cut_after_events': 1},
        (0,),
        {('chat_resumes',): 3, ('chat_cut', 'server_failed'): 1},
    ),
)


class ChatMetricsTests(testtools.TestCase):
    def check_fault(self, faults, engines, expected):
        @with_chat_fixture
        async def check(self, fixture):
            for number in engines:
                fixture.engines[number].set_faults(**faults)
            answer = await fixture.ask()
            bills = await fixture.settled_bills()
            found = fixture.router.metrics.counts
            wanted = {
                (name, 'p', 'p/matcher', *labels): amount
                for (name, *labels), amount in expected.items()
            }
            if answer.truncated:
                wanted['chat_tokens', 'p', 'p/matcher'] = bills[0]
            self.assertEqual(wanted, found)

        check(self)

    def test_each_fault_is_counted_in_its_own_metric(self):
        for name, faults, engines, expected in FAULTS:
            with self.subTest(name=name):
                self.check_fault(faults, engines, expected)

    @with_chat_fixture
    async def test_first_token_of_a_stream_is_timed(self, fixture):
        fixture.engines[0].set_faults(late_ms=400)
        await fixture.ask()
        await fixture.ask(stream=False)
        times = fixture.router.metrics.times_ms
        key = ('chat_first_token_ms', 'p', 'p/matcher')
        self.assertEqual([key], list(times))
        self.assertEqual(1, len(times[key]))
        self.assertTrue(400 <= times[key][0] < 600, times)
