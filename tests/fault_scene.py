"""
tests.fault_scene
~~~~~~~~~~~~~~~~~

A world with its callers, records and probes, in which one cell is played.
"""

import contextvars
import itertools
from collections.abc import Awaitable, Callable, Iterable

import trio

from eelgrassfork.router import Router
from standins.engine import EngineStandin
from tests.fault_callers import KEYED, KINDS, Callers, Request, Told
from tests.fault_probes import Probes
from tests.fault_records import Records
from tests.fault_world import World

__all__ = ('GRANTED', 'Scene')

GRANTED = 20_000
RETRIES = 12
# Steps of an operator's write, by the beginning of its key.
_OPERATOR_STEPS = {
    'ledger/': ('topping_up', 'topped_up'),
    'bundle/current': ('accepting', 'accepted'),
}
_FINAL_CODES = frozenset(('outcome_unknown', 'budget_exhausted'))


class Scene:
    """
    What faults and checks see of a cell.

    :param nursery: where everything runs.
    :param seed: decides on jitter.
    :ivar subject: the request that the cell is about.
    :ivar write_prefix: keys of the writes that lost answers and lost races
        are about.
    :ivar writer: host whose writes these are, if not the struck router's.
    :ivar mended_at: when the last part was mended.
    :ivar left_at_by_server: when backend servers began to leave.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.world = World(nursery, seed)
        self.records = Records(self.world)
        self.callers = Callers(
            self.world, self.records.effects, self.records.rest
        )
        self.probes = Probes()
        self.subject = Request('chat', 'subject', 'subject')
        self.write_prefix = ''
        self.writer = ''
        self.mended_at: float = 0
        self.world.on_start = self._watch
        self.left_at_by_server: dict[str, float] = {}
        self._hooks: list[tuple[str, str, Callable]] = []
        self._hook_writes()
        self._context = contextvars.copy_context()
        self._mends = 0
        self._all_mended = trio.Event()
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
        Run a task that belongs to no host, also when a host's task asks.

        :param task: async function.
        :param arguments: of the function.
        """
        self._context.run(self.nursery.start_soon, task, *arguments)

    def later(
        self, delay_s: float, action: Callable[[], Awaitable[None] | None]
    ) -> None:
        """
        Do a part of the mending after a while.

        :param delay_s: seconds from now.
        :param action: a function, plain or async.
        """
        self._mends += 1
        self.spawn(self._mend, delay_s, action)

    async def wait_mended(self) -> None:
        """Wait until nothing is left to be mended."""
        while self._mends:
            self._all_mended = trio.Event()
            await self._all_mended.wait()

    def new_request(self, kind: str, organisation: str = 'others') -> Request:
        """
        Make a request that no other is like.

        :param kind: of :data:`~tests.fault_callers.KINDS`.
        :param organisation: who pays.
        :returns: the request.
        """
        name = f'{organisation}{next(self._names)}'
        key = f'key-{name}' if kind in KEYED else ''
        return Request(kind, name, organisation, key)

    async def choose_subject(self, kind: str) -> None:
        """
        Make the request that the cell is about.

        :param kind: of requests.
        """
        self.subject = self.new_request(kind, 'subject')
        issuer = {'issued_here': 'a1', 'issued_there': 'b2'}.get(kind)
        if issuer is not None:
            key = await self.callers.issued_key(issuer)
            self.subject = self.subject._replace(key=key)

    async def send_round(
        self, vms: Iterable[str], kinds: Iterable[str] = KINDS
    ) -> list[Told]:
        """
        Send requests of others to routers, all at once.

        :param vms: the routers.
        :param kinds: one request of each to each router.
        :returns: what the callers were told.
        """
        told: list[Told] = []

        async def send(vm: str, kind: str) -> None:
            told.append(await self.callers.send(vm, self.new_request(kind)))

        async with trio.open_nursery() as nursery:
            for vm, kind in itertools.product(list(vms), list(kinds)):
                nursery.start_soon(send, vm, kind)
        return told

    async def send_until_final(self, first_vm: str) -> None:
        """
        Attempt the subject, elsewhere too, until the answer is final.

        :param first_vm: router of the first attempt.
        """
        told = await self.callers.send(first_vm, self.subject)
        for number in range(RETRIES):
            if told.whole or told.code in _FINAL_CODES:
                return
            await trio.sleep(told.retry_after_s or 1)
            vms = [vm for vm in self.world.routers() if vm != first_vm]
            told = await self.callers.send(vms[number % len(vms)], self.subject)

    async def delist(self) -> None:
        """Let the platform's list drop the VMs that are gone."""
        self.world.publish_vms()
        await trio.lowlevel.checkpoint()

    async def replace_router(self, vm: str) -> None:
        """
        Start another router in the failure domain of one.

        :param vm: the router's VM.
        """
        number = 3
        while f'{vm[0]}{number}' in self.world.hosts_by_vm:
            number += 1
        await self.world.start_router(f'{vm[0]}{number}')
        self.world.publish_vms()

    async def replace_server(self, vm: str) -> None:
        """
        Start another backend server like one that is gone.

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
        Do something when the platform has received a write.

        :param vm: who writes.
        :param hook: given the call before it takes effect.
        """
        self._hooks.append((self.writer or vm, self.write_prefix, hook))

    def frozen_s(self, vm: str) -> float:
        """
        Tell for how long a router was frozen.

        :param vm: its VM.
        :returns: seconds in total.
        """
        return self.world.frozen_s_by_vm.get(vm, 0)

    def leave_server(self, vm: str) -> None:
        """
        Let a backend server leave.

        :param vm: its VM.
        """
        self.left_at_by_server.setdefault(vm, trio.current_time())
        self.world.publish_vms(**{vm.replace('-', '_'): 'leaving'})

    def _hook_writes(self) -> None:
        answerers = self.world.platform._object_handlers
        original = answerers['PUT']

        async def put(call) -> None:
            source = call._connection._stream.incoming.source
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

    async def _mend(self, delay_s, action) -> None:
        await trio.sleep(delay_s)
        done = action()
        if done is not None:
            await done
        self._mends -= 1
        self.mended_at = trio.current_time()
        if not self._mends:
            self._all_mended.set()

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
