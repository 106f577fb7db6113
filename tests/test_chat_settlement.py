"""
tests.test_chat_settlement
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that are billed twice, wrongly or never.
"""

import random

import testtools
import trio

from tests.chat_setting import with_setting

KEY = ('idempotency-key', 'k1')


class InterruptionTests(testtools.TestCase):
    async def leave_after(self, setting, delay_s, **fields):
        with trio.move_on_after(delay_s):
            await setting.ask(**fields)

    @with_setting
    async def test_gone_caller_pays_what_was_generated(self, setting):
        for stream in (True, False):
            with self.subTest(stream=stream):
                await self.leave_after(setting, 0.3, words=45, stream=stream)
                bill = (await setting.settled())[-1]
                record = setting.generations()[-1]
                self.assertEqual('cancelled', record['state'])
                self.assertLess(record['completion_tokens'], 30)
                self.assertEqual(3 + record['completion_tokens'], bill)

    @with_setting
    async def test_gone_caller_with_a_key_lets_it_finish(self, setting):
        for number, stream in enumerate((True, False)):
            with self.subTest(stream=stream):
                headers = [('idempotency-key', f'key-{number}')]
                ask = {'words': 45, 'stream': stream, 'headers': headers}
                await self.leave_after(setting, 0.3, **ask)
                self.assertEqual(3 + 45, (await setting.settled())[-1])
                answer = await setting.ask(**ask)
                self.assertEqual(200, answer.status)
                self.assertEqual(0, (await setting.settled())[-1])

    @with_setting
    async def test_closing_settles_open_bills(self, setting):
        headers = [KEY]
        await self.leave_after(setting, 0.3, words=45, headers=headers)
        await trio.sleep(0.1)
        self.assertEqual(1, setting.router.chat.open_bills)
        await setting.router.chat.close()
        self.assertEqual([0], setting.router.accounts.bills)


class KeyedTests(testtools.TestCase):
    @with_setting
    async def test_retry_elsewhere_attaches_and_only_the_first_pays(
        self, setting
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await setting.ask(**ask)
        setting.network.kill('router')
        answer = await setting.ask(router=setting.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([0], await setting.settled(setting.other_router))
        self.assertEqual(1, len(setting.generations()))

    @with_setting
    async def test_bill_waits_for_an_unreachable_engine(self, setting):
        # Guards against an answer that a retry fetches but nobody pays.
        def cut_working_engine():
            for host in setting.working_hosts():
                setting.network.cut('router', host)

        listed = setting.records()
        for bill, still_listed in ((3 + 45, listed), (0, [])):
            with self.subTest(bill=bill):
                headers = [('idempotency-key', f'key-{bill}')]
                await setting.at(0.3, cut_working_engine)
                answer = await setting.ask(words=45, headers=headers)
                self.assertTrue(answer.cut)
                await trio.sleep(5)
                self.assertEqual(1, setting.router.chat.open_bills)
                setting.router.backends.update(still_listed)
                setting.network.heal()
                self.assertEqual(bill, (await setting.settled())[-1])

    @with_setting
    async def test_failover_past_an_unreachable_engine_is_paid_once(
        self, setting
    ):
        ask = {'words': 45, 'headers': [KEY]}
        with trio.move_on_after(0.3):
            await setting.ask(**ask)
        (host,) = setting.working_hosts()
        setting.network.cut('other', host)
        answer = await setting.ask(router=setting.other_router, **ask)
        self.assertEqual(45, len(answer.words))
        self.assertEqual([3 + 45], await setting.settled())
        self.assertEqual(1, setting.other_router.chat.open_bills)
        setting.network.heal()
        self.assertEqual([0], await setting.settled(setting.other_router))


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
    """Guards against orders of faults that no other test thinks of."""

    async def disturb(self, setting, source):
        for _ in range(6):
            await trio.sleep(source.random() * 0.6)
            number = source.randrange(len(setting.engines))
            router = source.choice(('router', 'other'))
            source.choice(
                (
                    lambda: setting.engines[number].set_faults(
                        **source.choice(FAULTS)
                    ),
                    lambda: setting.engines[number].set_faults(**NO_FAULTS),
                    lambda: setting.network.cut(router, f'engine-{number}'),
                    lambda: setting.network.silence(router, f'engine-{number}'),
                    setting.network.heal,
                )
            )()

    async def ask_four_times(self, setting, source, headers):
        whole = 0
        for _ in range(4):
            router = source.choice((setting.router, setting.other_router))
            with trio.move_on_after(source.choice((0.05, 0.4, 60))):
                answer = await setting.ask(30, router=router, headers=headers)
                if answer.status == 200 and not answer.cut:
                    whole += 1
                    self.assertEqual(30, len(answer.words))
                elif answer.cut:
                    self.assertTrue(answer.error)
            await trio.sleep(source.random())
        return whole

    def check_seed(self, seed, headers):
        source = random.Random(seed)

        @with_setting
        async def check(self, setting):
            setting.nursery.start_soon(self.disturb, setting, source)
            whole = await self.ask_four_times(setting, source, headers)
            for engine in setting.engines:
                engine.set_faults(**NO_FAULTS)
            setting.network.heal()
            bills = [
                *await setting.settled(),
                *await setting.settled(setting.other_router),
            ]
            paid = sum(bill > 0 for bill in bills)
            self.assertGreaterEqual(paid, whole if not headers else whole > 0)
            self.assertLessEqual(paid, 1 if headers else 4)

        check(self)

    def test_a_key_is_paid_once_however_often_it_is_tried(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.check_seed(seed, [KEY])

    def test_each_request_without_a_key_is_settled_once(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.check_seed(seed, [])
