"""
tests.test_credit
~~~~~~~~~~~~~~~~~

Guards against overspend and lost credit under any order of faults.
"""

import queue
import threading

import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.credit_world import BUDGETS, FAULTS, VMS, World

vms = st.sampled_from(VMS)
budgets = st.sampled_from(BUDGETS)
tasks = st.lists(
    st.tuples(
        st.sampled_from(VMS),
        st.sampled_from(('reserve', 'reserve', 'send', 'settle', 'release')),
        st.sampled_from(BUDGETS),
        st.integers(1, 60),
        st.sampled_from((0, 0.3, 1)),
    ),
    min_size=3,
    max_size=9,
)


class CreditMachine(RuleBasedStateMachine):
    """
    Routers reserve, run and settle while everything around them fails.

    Trio runs in a thread of its own, which is idle between two rules.
    """

    def __init__(self):
        super().__init__()
        self._world = World()
        self._top_ups = 0
        ready = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=trio.run,
            args=(self._main, ready),
            kwargs={'clock': self._world.clock},
        )
        self._thread.start()
        self._token, self._stop = ready.get()

    async def _main(self, ready):
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await self._world.start(nursery)
            ready.put((trio.lowlevel.current_trio_token(), stop))
            await stop.wait()
            for node in self._world.nodes_by_vm.values():
                node.kill()
            nursery.cancel_scope.cancel()

    def _do(self, function, *args):
        async def run():
            outcome = function(*args)
            if hasattr(outcome, '__await__'):
                await outcome
            await trio.testing.wait_all_tasks_blocked()

        trio.from_thread.run(run, trio_token=self._token)

    @initialize(first=st.integers(1, 3000), second=st.integers(1, 200))
    def grant(self, first, second):
        self.top_up(BUDGETS[0], first)
        self.top_up(BUDGETS[1], second)

    @rule(budget=budgets, amount=st.integers(1, 500))
    def top_up(self, budget, amount):
        self._top_ups += 1
        operation_id = f'op-{self._top_ups}'
        for _ in range(2):
            self._do(self._world.top_up, budget, operation_id, amount)

    @rule(tasks=tasks)
    def work(self, tasks):
        for vm, kind, budget, amount, share in tasks:
            node = self._world.nodes_by_vm[vm]
            if node.gate.is_open:
                self._work(node, kind, budget, amount, share)

    @rule(tasks=tasks, seconds=st.sampled_from((0.01, 0.3, 2.5, 7, 45)))
    def work_over_time(self, tasks, seconds):
        self.work(tasks)
        self._do(self._world.advance, seconds)

    def _work(self, node, kind, budget, amount, share):
        if kind == 'reserve':
            self._do(node.nursery.start_soon, node.reserve, budget, amount)
            self.spend_is_within_the_grant()
        elif kind == 'send' and node.reserved:
            reservation = node.reserved[0]
            self._do(node.send, reservation, int(reservation.amount * share))
        elif kind == 'settle' and node.ran:
            place = int(share * (len(node.ran) - 1))
            self._do(node.settle, *node.ran[place])
        elif kind == 'release' and node.reserved:
            self._do(node.settle, node.reserved[-1], None)

    @rule(vm=vms, fault=st.sampled_from(sorted(FAULTS)))
    def disturb(self, vm, fault):
        self._do(FAULTS[fault], self._world, vm)

    @rule()
    def mend(self):
        self._do(self._world.mend)

    @rule(vm=vms)
    def reclaim(self, vm):
        if self._world.nodes_by_vm[vm].gate.is_open:
            reclaimer = self._world.reclaimer(vm)
            self._do(self._world.nursery.start_soon, reclaimer.scan)
            self._do(self._world.advance, 0.1)

    @invariant()
    def spend_is_within_the_grant(self):
        world = self._world
        for budget in BUDGETS:
            record = world.shard()['budgets'].get(budget, {'granted': 0})
            used = world.spent(budget) + world.may_be_spent(budget)
            assert used <= record['granted'], (budget, used, record)

    @invariant()
    def usable_credit_is_set_aside(self):
        self._world.note_credit_without_entry()
        assert not self._world.violations, self._world.violations[0]

    @invariant()
    def nobody_is_fenced(self):
        for node in self._world.nodes_by_vm.values():
            assert not node.fenced, node.holder

    def teardown(self):
        try:
            self._recover()
            self._check_every_unit()
        finally:
            self._token.run_sync_soon(self._stop.set)
            self._thread.join()

    def _recover(self):
        world = self._world
        nodes = list(world.nodes_by_vm.values())
        self.mend()
        self._do(world.advance, 30)
        for node in nodes:
            self._do(node.nursery.start_soon, node.credit.close)
        for node in nodes:
            self._do(node.settle_all)
        self._do(world.advance, 30)
        self._do(world.reclaimer(VMS[0]).scan)

    def _check_every_unit(self):
        for budget in BUDGETS:
            record = self._world.shard()['budgets'].get(budget)
            if record:
                assert not record['holders'], record
                assert record['closed_spent'] == self._world.spent(budget), (
                    record,
                    self._world.engine_records,
                )


CreditMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
CreditStateTests = CreditMachine.TestCase
