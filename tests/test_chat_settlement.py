"""
tests.test_chat_settlement
~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that are billed twice, wrongly or never.
"""

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
            for number, engine in enumerate(setting.engines):
                if engine.records():
                    setting.network.cut('router', f'engine-{number}')

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
