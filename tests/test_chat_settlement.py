"""
tests.test_chat_settlement
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that are billed twice, incorrectly or not at all.
"""

import random

import testtools
import trio

from tests.chat_setting import with_chat_fixture

KEY = ('idempotency-key', 'k1')


class InterruptionTests(testtools.TestCase):
    async def disconnect_after(self, fixture, delay_s, **fields):
        with trio.move_on_after(delay_s):
            await fixture.ask(**fields)

    @with_chat_fixture
    async def test_disconnected_caller_is_billed_the_generated_tokens(
        self, fixture
    ):
        for stream in (True, False):
            with self.subTest(stream=stream):
                await self.disconnect_after(
                    fixture, 0.3, words=45, stream=stream
                )
                bill = (await fixture.settled_bills())[-1]
                record = fixture.generations()[-1]
                self.assertEqual('cancelled', record['state'])
                self.assertLess(record['completion_tokens'], 30)
                self.assertEqual(3 + record['completion_tokens'], bill)

    @with_chat_fixture
    async def test_generation_with_a_key_finishes_after_a_disconnect(
        self, fixture
    ):
        for number, stream in enumerate((True, False)):
            with self.subTest(stream=stream):
                headers = [('idempotency-key', f'key-{number}')]
                ask = {'words': 45, 'stream': stream, 'headers': headers}
                await self.disconnect_after(fixture, 0.3, **ask)
                self.assertEqual(3 + 45, (await fixture.settled_bills())[-1])
                answer = await fixture.ask(**ask)
                self.assertEqual(200, answer.status)
                self.assertEqual(0, (await fixture.settled_bills())[-1])

    @with_chat_fixture
    async def test_closing_settles_open_bills(self, fixture):
        headers = [KEY]
        await self.disconnect_after(fixture, 0.3, words=45, headers=headers)
        await trio.sleep(0.1)
        self.assertEqual(1, fixture.router.chat.open_bills)
        await fixture.router.chat.close()
        self.assertEqual([0], fixture.router.accounts.bills)


class KeyedTests(testtools.TestCase):
    @with_chat_fixture
    async def test_retry_at_another_router_attaches_and_is_not_billed(
        self, fixture
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await fixture.ask(**ask)
        fixture.network.kill('router')
        answer = await fixture.ask(router=fixture.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([0], await fixture.settled_bills(fixture.other_router))
        self.assertEqual(1, len(fixture.generations()))

    @with_chat_fixture
    async def test_bill_waits_for_an_unreachable_engine(self, fixture):
        # Otherwise a retry could fetch an answer that is never billed.
        def cut_working_engine():
            for host in fixture.hosts_with_records():
                fixture.network.cut('router', host)

        listed = fixture.records()
        for bill, still_listed in ((3 + 45, listed), (0, [])):
            with self.subTest(bill=bill):
                headers = [('idempotency-key', f'key-{bill}')]
                await fixture.run_after(0.3, cut_working_engine)
                answer = await fixture.ask(words=45, headers=headers)
                self.assertTrue(answer.truncated)
                await trio.sleep(5)
                self.assertEqual(1, fixture.router.chat.open_bills)
                fixture.router.backends.update(still_listed)
                fixture.network.heal()
                self.assertEqual(bill, (await fixture.settled_bills())[-1])

    @with_chat_fixture
    async def test_failover_past_an_unreachable_engine_is_billed_once(
        self, fixture
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await fixture.ask(**ask)
        (host,) = fixture.hosts_with_records()
        fixture.network.cut('other', host)
        answer = await fixture.ask(router=fixture.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([3 + 45], await fixture.settled_bills())
        self.assertEqual(1, fixture.other_router.chat.open_bills)
        fixture.network.heal()
        self.assertEqual([0], await fixture.settled_bills(fixture.other_router))


FAULTS = (
    {'fail': True},
    {'silent': True},
    {'late_ms': 1500},
    {'wrong_identity': True},
    {'cut_after_events': 3},
    {'silent_after_events': 2},
    {'slow_factor': 30},
)
NO_FAULTS = {
    'fail': False,
    'silent': False,
    'late_ms': 0,
    'wrong_identity': False,
    'cut_after_events': None,
    'silent_after_events': None,
    'slow_factor': 1,
}


class RandomFaultsTests(testtools.TestCase):
    """Random sequences of faults, which the other tests don't cover."""

    async def disturb(self, fixture, source):
        for _ in range(6):
            await trio.sleep(source.random() * 0.6)
            number = source.randrange(len(fixture.engines))
            router = source.choice(('router', 'other'))
            source.choice(
                (
                    lambda: fixture.engines[number].set_faults(
                        **source.choice(FAULTS)
                    ),
                    lambda: fixture.engines[number].set_faults(**NO_FAULTS),
                    lambda: fixture.network.cut(router, f'engine-{number}'),
                    lambda: fixture.network.silence(router, f'engine-{number}'),
                    fixture.network.heal,
                )
            )()

    async def ask_four_times(self, fixture, source, headers):
        whole = 0
        for _ in range(4):
            router = source.choice((fixture.router, fixture.other_router))
            with trio.move_on_after(source.choice((0.05, 0.4, 60))):
                answer = await fixture.ask(30, router=router, headers=headers)
                if answer.status == 200 and not answer.truncated:
                    whole += 1
                    self.assertEqual(30, len(answer.words))
                elif answer.truncated:
                    self.assertTrue(answer.error)
            await trio.sleep(source.random())
        return whole

    def check_seed(self, seed, headers):
        source = random.Random(seed)

        @with_chat_fixture
        async def check(self, fixture):
            fixture.nursery.start_soon(self.disturb, fixture, source)
            whole = await self.ask_four_times(fixture, source, headers)
            for engine in fixture.engines:
                engine.set_faults(**NO_FAULTS)
            fixture.network.heal()
            bills = [
                *await fixture.settled_bills(),
                *await fixture.settled_bills(fixture.other_router),
            ]
            paid = sum(bill > 0 for bill in bills)
            self.assertGreaterEqual(paid, whole if not headers else whole > 0)
            self.assertLessEqual(paid, 1 if headers else 4)

        check(self)

    def test_retries_with_a_key_are_billed_once(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.check_seed(seed, [KEY])

    def test_each_request_without_a_key_is_settled_once(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.check_seed(seed, [])
