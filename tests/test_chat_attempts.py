"""
tests.test_chat_attempts
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests given up too early or sent once too often.
"""

import random
from types import SimpleNamespace

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork.backends import Backends
from eelgrassfork.chat_attempts import Attempts
from eelgrassfork.retries import EjectionPolicy
from eelgrassfork.routing import RouteSnapshot, choose_keyed
from eelgrassfork.subsets import SubsetPolicy
from eelgrassfork.vm_list import VmRecord
from tests.chat_setting import SERVICE, with_setting

ALL = (0, 1, 2)
WHOLE_BILL = 3 + 6


class KilledServerTests(testtools.TestCase):
    @with_setting
    async def test_before_the_request(self, setting):
        setting.network.kill('engine-0')
        answer = await setting.ask()
        self.assertEqual(6, len(answer.words))
        self.assertEqual([WHOLE_BILL], await setting.settled())

    @with_setting
    async def test_before_the_first_byte(self, setting):
        setting.engines[0].set_faults(slow_factor=50)
        await setting.at(0.3, setting.network.kill, 'engine-0')
        answer = await setting.ask()
        self.assertEqual(6, len(answer.words))
        self.assertEqual([WHOLE_BILL], await setting.settled())

    @with_setting
    async def test_in_mid_stream_is_a_visible_cut_billed_as_relayed(
        self, setting
    ):
        await setting.at(0.2, setting.network.kill, 'engine-0')
        answer = await setting.ask(words=40)
        self.assertTrue(answer.cut)
        self.assertEqual('ran', answer.error['outcome'])
        self.assertEqual([len(answer.words)], await setting.settled())

    @with_setting
    async def test_all_dead_did_not_run(self, setting):
        for number in ALL:
            setting.network.kill(f'engine-{number}')
        answer = await setting.ask()
        self.assertEqual('no_server', answer.error['code'])
        self.assertEqual('not_run', answer.error['outcome'])
        self.assertEqual([0], await setting.settled())


class RefusalTests(testtools.TestCase):
    @with_setting
    async def test_draining_server_gets_one_request_only(self, setting):
        for engine in setting.engines[:2]:
            engine.leave()
        setting.router.retry_budget.take()
        for _ in range(3):
            self.assertEqual(6, len((await setting.ask()).words))
        self.assertEqual(1, setting.router.backends.count_usable('p/matcher'))
        self.assertEqual([WHOLE_BILL] * 3, await setting.settled())

    @with_setting
    async def test_refused_credit_sends_nothing(self, setting):
        setting.router.accounts.limit = 10
        answer = await setting.ask()
        self.assertEqual(402, answer.status)
        self.assertEqual('not_run', answer.error['outcome'])
        self.assertEqual([], setting.generations())

    @with_setting
    async def test_engine_refusal_is_final_and_free(self, setting):
        answer = await setting.ask(metadata={'words': 'many'})
        self.assertEqual(400, answer.status)
        self.assertEqual([0], await setting.settled())
        self.assertEqual(3, setting.router.backends.count_usable('p/matcher'))

    @with_setting
    async def test_retries_end_with_their_budget(self, setting):
        budget = setting.router.retry_budget
        while budget.take():
            await trio.lowlevel.checkpoint()
        setting.engines[0].set_faults(fail=True)
        answer = await setting.ask()
        self.assertEqual('server_failed', answer.error['code'])
        self.assertEqual([0], await setting.settled())

    @with_setting
    async def test_hopeless_wait_is_refused_at_once(self, setting):
        async def ask_long():
            await setting.ask(words=50)

        for engine in setting.engines:
            engine.set_faults(slow_factor=30)
        for _ in range(6):
            setting.nursery.start_soon(ask_long)
        await trio.sleep(0.2)
        timeout = [('x-request-timeout-ms', '100')]
        answer = await setting.ask(headers=timeout)
        self.assertEqual('overloaded', answer.error['code'])
        self.assertLess(answer.at_s, 0.25)
        self.assertEqual(0, setting.router.accounts.bills[-1])


class KeyedChoiceTests(testtools.TestCase):
    def test_choice_is_among_all_servers_whatever_the_router_uses(self):
        async def main():
            backends = Backends(
                EjectionPolicy(),
                random.Random(1),
                subset=SubsetPolicy('r-1', 'p/a', size=4),
            )
            backends.update(
                VmRecord(
                    f'vm-{n}', 'backend', 'live', 'p', SERVICE.name, 'p/a', 'r', ''
                )
                for n in range(40)
            )  # fmt: skip
            parts = SimpleNamespace(backends=backends, failure_domain='p/a')
            attempts = Attempts(parts, None)
            request = SimpleNamespace(service=SERVICE, identity='one')
            servers = tuple(backends.rank(SERVICE.name, 'one', 99))
            self.assertEqual(40, len(servers))
            for failures in (0, 1, 7, 8, 20, 39, 40):
                failed = frozenset(each.vm for each in servers[:failures])
                snapshot = RouteSnapshot(servers, 'p/a', excluded=failed)
                self.assertEqual(
                    choose_keyed(snapshot, 'one'),
                    attempts._choose_keyed(request, failed),
                )

        trio.run(main, clock=MockClock(autojump_threshold=0))
