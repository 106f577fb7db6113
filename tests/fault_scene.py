"""
tests.fault_scene
~~~~~~~~~~~~~~~~~

Combines the world, callers, records and probes of one cell.
"""

import contextvars
import itertools
from collections.abc import Awaitable, Callable, Iterable

import trio

from eelgrassfork.router import Router
from standins.engine import EngineStandin
from tests.fault_callers import KEYED, KINDS, AttemptResult, Callers, Request
from tests.fault_probes import Probes
from tests.fault_records import Records
from tests.fault_world import World

__all__ = ('GRANTED', 'Scene')

GRANTED = 20_000
RETRIES = 12
# Steps before and after an operator's write, by key prefix.
_OPERATOR_STEPS = {
    'ledger/': ('topping_up', 'topped_up'),
    'bundle/current': ('accepting', 'accepted'),
}
_FINAL_CODES = frozenset(('outcome_unknown', 'budget_exhausted'))


class Scene:
    """
    State of a running cell, as used by faults and checks.

    :param nursery: nursery of all tasks of the cell.
    :param seed: determines the routers' jitter.
    :ivar subject: the request that the cell is about.
    :ivar write_prefix: key prefix of the writes that lost_answer and
        lost_race affect.
    :ivar writer: host of these writes, if not the router with the fault.
    :ivar repaired_at: time of the last repair.
    :ivar left_at_by_server: time at which each backend server began to leave.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.world = World(nursery, seed)
        self.records = Records(self.world)
        self.callers = Callers(
            self.world, self.records.effects, self.records.remaining_tokens
        )
        self.probes = Probes()
        self.subject = Request('chat', 'subject', 'subject')
        self.write_prefix = ''
        self.writer = ''
        self.repaired_at: float = 0
        self.world.on_start = self._watch
        self.left_at_by_server: dict[str, float] = {}
        self._hooks: list[tuple[str, str, Callable]] = []
        self._hook_writes()
        self._context = contextvars.copy_context()
        self._pending_repairs = 0
        self._all_repaired = trio.Event()
        self._names = itertools.count(1)

    async def start(self, granted: int = GRANTED) -> None:
        """
        Start the world, grant tokens and open connections.

        :param granted: budget of the subject, in tokens.
        """
        await self.world.start()
        await self.world.top_up('subject', granted)
        await self.world.top_up('others', GRANTED)
        await self.send_round(self.world.routers(), ('chat', 'look_up'))

    def spawn(self, task: Callable[..., Awaitable], *arguments) -> None:
        """
        Run a task outside all hosts, even if a host's task starts it.

        :param task: async function.
        :param arguments: arguments of the function.
        """
        self._context.run(self.nursery.start_soon, task, *arguments)

    def schedule(
        self, delay_s: float, action: Callable[[], Awaitable[None] | None]
    ) -> None:
        """
        Schedule a repair action.

        :param delay_s: seconds from now.
        :param action: a function, plain or async.
        """
        self._pending_repairs += 1
        self.spawn(self._repair, delay_s, action)

    async def wait_repaired(self) -> None:
        """Wait until no repair action is pending."""
        while self._pending_repairs:
            self._all_repaired = trio.Event()
            await self._all_repaired.wait()

    def new_request(self, kind: str, organisation: str = 'others') -> Request:
        """
        Make a request with a unique name.

        :param kind: of :data:`~tests.fault_callers.KINDS`.
        :param organisation: unqualified name of the payer.
        :returns: the request.
        """
        name = f'{organisation}{next(self._names)}'
        key = f'key-{name}' if kind in KEYED else ''
        return Request(kind, name, organisation, key)

    async def choose_subject(self, kind: str) -> None:
        """
        Make the subject: the request that the cell injects faults into.

        :param kind: kind of request.
        """
        self.subject = self.new_request(kind, 'subject')
        issuer = {'issued_here': 'a1', 'issued_there': 'b2'}.get(kind)
        if issuer is not None:
            key = await self.callers.issued_key(issuer)
            self.subject = self.subject._replace(key=key)

    async def send_round(
        self, vms: Iterable[str], kinds: Iterable[str] = KINDS
    ) -> list[AttemptResult]:
        """
        Send requests of the organisation ``others`` concurrently.

        :param vms: the routers.
        :param kinds: kinds of requests; each router gets one of each.
        :returns: results of the attempts.
        """
        results: list[AttemptResult] = []

        async def send(vm: str, kind: str) -> None:
            results.append(await self.callers.send(vm, self.new_request(kind)))

        async with trio.open_nursery() as nursery:
            for vm, kind in itertools.product(list(vms), list(kinds)):
                nursery.start_soon(send, vm, kind)
        return results

    async def send_until_final(self, first_vm: str) -> None:
        """
        Send the subject, with retries at other routers, until a final answer.

        :param first_vm: router of the first attempt.
        """
        result = await self.callers.send(first_vm, self.subject)
        for number in range(RETRIES):
            if result.is_complete or result.code in _FINAL_CODES:
                return
            await trio.sleep(result.retry_after_s or 1)
            vms = [vm for vm in self.world.routers() if vm != first_vm]
            result = await self.callers.send(
                vms[number % len(vms)], self.subject
            )

    async def delist(self) -> None:
        """Remove the VMs that have ended from the platform's list."""
        self.world.publish_vms()
        await trio.lowlevel.checkpoint()

    async def replace_router(self, vm: str) -> None:
        """
        Start a replacement in the failure domain of a router.

        :param vm: the router's VM.
        """
        number = 3
        while f'{vm[0]}{number}' in self.world.hosts_by_vm:
            number += 1
        await self.world.start_router(f'{vm[0]}{number}')
        self.world.publish_vms()

    async def replace_server(self, vm: str) -> None:
        """
        Start a replacement for a backend server that has ended.

        :param vm: the server's VM.
        """
        kind, _, place = vm.partition('-')
        start = {
            'engine': self.world.start_engine,
            'desk': self.world.start_desk,
        }[kind]
        await start(f'{kind}-{place[0]}{int(place[1:]) + 1}', place[0])
        self.world.publish_vms()

    def before_next_write(
        self, vm: str, hook: Callable[..., Awaitable[None]]
    ) -> None:
        """
        Run a hook when the platform receives a write, before it takes effect.

        :param vm: host that writes.
        :param hook: async function, called with the platform's call.
        """
        self._hooks.append((self.writer or vm, self.write_prefix, hook))

    def frozen_s(self, vm: str) -> float:
        """
        Return the total time for which a router was frozen.

        :param vm: its VM.
        :returns: time in seconds.
        """
        return self.world.frozen_s_by_vm.get(vm, 0)

    def leave_server(self, vm: str) -> None:
        """
        List a backend server as leaving.

        :param vm: its VM.
        """
        self.left_at_by_server.setdefault(vm, trio.current_time())
        self.world.publish_vms(**{vm.replace('-', '_'): 'leaving'})

    def _hook_writes(self) -> None:
        answerers = self.world.platform._object_handlers
        original = answerers['PUT']

        async def put(call) -> None:
            source = call._connection.stream._stream.incoming.source
            key = call.path.removeprefix('/v1/objects/')
            steps = _operator_steps(source, key)
            if steps:
                self.probes.reach('a1', steps[0])
            for entry in list(self._hooks):
                vm, prefix, hook = entry
                if vm == source and key.startswith(prefix):
                    self._hooks.remove(entry)
                    await hook(call)
            await original(call)
            if steps:
                self.probes.reach('a1', steps[1])

        answerers['PUT'] = put

    async def _repair(self, delay_s, action) -> None:
        await trio.sleep(delay_s)
        done = action()
        if done is not None:
            await done
        self._pending_repairs -= 1
        self.repaired_at = trio.current_time()
        if not self._pending_repairs:
            self._all_repaired.set()

    def _watch(self, vm: str, part) -> None:
        if isinstance(part, Router):
            self.probes.attach(vm, part)
        elif isinstance(part, EngineStandin):
            self.records.watch_engine(vm, part)
        else:
            self.records.watch_desk(vm, part)


def _operator_steps(source: str, key: str) -> tuple[str, ...]:
    if source == 'operator':
        for prefix, steps in _OPERATOR_STEPS.items():
            if key.startswith(prefix):
                return steps
    return ()
