"""
tests.test_chat_attempts
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against missing retries and against superfluous attempts.
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
from tests.chat_setting import SERVICE, with_chat_fixture

ALL = (0, 1, 2)
WHOLE_BILL = 3 + 6


class KilledServerTests(testtools.TestCase):
    @with_chat_fixture
    async def test_before_the_request(self, fixture):
        fixture.network.kill('engine-0')
        answer = await fixture.ask()
        self.assertEqual(6, len(answer.words))
        self.assertEqual([WHOLE_BILL], await fixture.settled_bills())

    @with_chat_fixture
    async def test_before_the_first_byte(self, fixture):
        fixture.engines[0].set_faults(slow_factor=50)
        await fixture.run_after(0.3, fixture.network.kill, 'engine-0')
        answer = await fixture.ask()
        self.assertEqual(6, len(answer.words))
        self.assertEqual([WHOLE_BILL], await fixture.settled_bills())

    @with_chat_fixture
    async def test_in_mid_stream_aborts_and_bills_the_relayed_tokens(
        self, fixture
    ):
        await fixture.run_after(0.2, fixture.network.kill, 'engine-0')
        answer = await fixture.ask(words=40)
        self.assertTrue(answer.truncated)
        self.assertEqual('ran', answer.error['outcome'])
        self.assertEqual([len(answer.words)], await fixture.settled_bills())

    @with_chat_fixture
    async def test_all_servers_killed_reports_not_run(self, fixture):
        for number in ALL:
            fixture.network.kill(f'engine-{number}')
        answer = await fixture.ask()
        self.assertEqual('no_server', answer.error['code'])
        self.assertEqual('not_run', answer.error['outcome'])
        self.assertEqual([0], await fixture.settled_bills())


class RefusalTests(testtools.TestCase):
    @with_chat_fixture
    async def test_draining_server_receives_one_request_only(self, fixture):
        for engine in fixture.engines[:2]:
            engine.leave()
        fixture.router.retry_budget.take()
        for _ in range(3):
            self.assertEqual(6, len((await fixture.ask()).words))
        self.assertEqual(1, fixture.router.backends.count_usable('p/matcher'))
        self.assertEqual([WHOLE_BILL] * 3, await fixture.settled_bills())

    @with_chat_fixture
    async def test_refused_credit_sends_no_engine_request(self, fixture):
        fixture.router.accounts.limit = 10
        answer = await fixture.ask()
        self.assertEqual(402, answer.status)
        self.assertEqual('not_run', answer.error['outcome'])
        self.assertEqual([], fixture.generations())

    @with_chat_fixture
    async def test_engine_rejection_is_not_retried_or_billed(self, fixture):
        answer = await fixture.ask(metadata={'words': 'many'})
        self.assertEqual(400, answer.status)
        self.assertEqual([0], await fixture.settled_bills())
        self.assertEqual(3, fixture.router.backends.count_usable('p/matcher'))

    @with_chat_fixture
    async def test_retries_stop_when_the_retry_budget_is_exhausted(
        self, fixture
    ):
        budget = fixture.router.retry_budget
        while budget.take():
            await trio.lowlevel.checkpoint()
        fixture.engines[0].set_faults(fail=True)
        answer = await fixture.ask()
        self.assertEqual('server_failed', answer.error['code'])
        self.assertEqual([0], await fixture.settled_bills())

    @with_chat_fixture
    async def test_request_that_can_not_meet_its_deadline_is_shed_at_once(
        self, fixture
    ):
        async def ask_long():
            await fixture.ask(words=50)

        for engine in fixture.engines:
            engine.set_faults(slow_factor=30)
        for _ in range(6):
            fixture.nursery.start_soon(ask_long)
        await trio.sleep(0.2)
        timeout = [('x-request-timeout-ms', '100')]
        answer = await fixture.ask(headers=timeout)
        self.assertEqual('overloaded', answer.error['code'])
        self.assertLess(answer.finished_at_s, 0.25)
        self.assertEqual(0, fixture.router.accounts.bills[-1])


class KeyedChoiceTests(testtools.TestCase):
    def test_keyed_choice_considers_servers_outside_the_subset(self):
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
