"""
tests.credit_world
~~~~~~~~~~~~~~~~~~

Simulated routers with accounts, loans and reclaiming on one in-memory
platform.
"""

import math

import trio
import trio.testing

from eelgrassfork import ledger
from eelgrassfork.borrowing import LoanClient
from eelgrassfork.bundle_types import Fleet
from eelgrassfork.credit import CreditAccounts, CreditError
from eelgrassfork.credit_book import CreditHooks, ledger_key
from eelgrassfork.credit_policy import CreditSettings
from eelgrassfork.errors import EelgrassError
from eelgrassfork.lending import LendingSettings, LoanServer
from eelgrassfork.membership import PeerRecord
from eelgrassfork.peering import PeerRefused, PeerUnreachable
from eelgrassfork.platform_types import AnswerLost, PlatformError
from eelgrassfork.reclaim import Reclaimer, ReclaimInputs, ReclaimSettings
from eelgrassfork.spend_records import RecordsMissing, SpendRecord, spent_on
from standins.fake_platform import FakePlatform

FLEET = Fleet('pazlen', ledger_shards=1, draw_fraction=0.25)
BUDGETS = ('pazlen/atelier/main', 'pazlen/mladost/main')
KEY = ledger_key(BUDGETS[0], FLEET)
VMS = ('vm-a', 'vm-b', 'vm-c')


class Gate:
    """Blocks the calls of a paused process."""

    def __init__(self):
        self._open = trio.Event()
        self._open.set()

    @property
    def is_open(self):
        return self._open.is_set()

    def shut(self):
        self._open = trio.Event()

    def open(self):
        self._open.set()

    async def passed(self):
        await self._open.wait()


class PausablePlatform:
    """Platform client of a node; a delayed write may take effect later."""

    def __init__(self, world, node):
        self._world = world
        self._inner = world.platform.for_client(node.vm)
        self._gate = node.gate

    async def get(self, key):
        return await self._gated(self._inner.get, key)

    async def put(self, key, body, expected_version):
        if self._world.writes_to_delay:
            self._world.writes_to_delay -= 1
            self._world.nursery.start_soon(
                self._put_delayed, key, body, expected_version
            )
            raise AnswerLost('answer_lost', 'the write is delayed')
        return await self._gated(self._inner.put, key, body, expected_version)

    async def _put_delayed(self, key, body, expected_version):
        await trio.sleep(0.2)
        try:
            await self._inner.put(key, body, expected_version)
        except PlatformError:
            pass

    async def _gated(self, call, *args):
        await self._gate.passed()
        try:
            return await call(*args)
        finally:
            with trio.CancelScope(shield=not self._gate.is_open):
                await self._gate.passed()


class FakePeers:
    """In-memory replacement of ``Peering`` between the nodes of a world."""

    def __init__(self, world, node):
        self._world = world
        self._node = node
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, vm, kind, payload):
        await trio.lowlevel.checkpoint()
        target = self._world.nodes_by_vm[vm]
        cut = self._world.cut_vms & {vm, self._node.vm}
        if cut or kind not in target.peers.handlers:
            raise PeerUnreachable('cut', sent=False)
        if not target.gate.is_open:
            self._world.nursery.start_soon(self._deliver, target, kind, payload)
            raise PeerUnreachable('paused', sent=True)
        answer = await self._handle(target, kind, payload)
        if self._world.peer_answers_to_lose:
            self._world.peer_answers_to_lose -= 1
            raise PeerUnreachable('answer lost', sent=True)
        return answer

    async def _deliver(self, target, kind, payload):
        await target.gate.passed()
        if target.is_running:
            try:
                await self._handle(target, kind, payload)
            except PeerRefused:
                pass

    async def _handle(self, target, kind, payload):
        try:
            return await target.peers.handlers[kind](self._node.holder, payload)
        except EelgrassError as error:
            raise PeerRefused(error.code, error.message) from None


class Node:
    """One holder with its accounts, as borrower and as lender."""

    def __init__(self, world, vm, incarnation):
        self.vm = vm
        self.holder = f'{vm}.{incarnation}'
        self.world = world
        self.gate = Gate()
        self.is_running = True
        self.reserved = []
        self.ran = []
        self.refusals = []
        self.fenced = 0
        self.peers = FakePeers(world, self)
        self._scope = trio.CancelScope()
        self.loans = LoanClient(
            self.holder,
            self.peers,
            lambda budget: world.lenders(vm),
            lambda budget: False,
            world.is_dead,
            LendingSettings(),
        )
        self.credit = CreditAccounts(
            PausablePlatform(world, self),
            self.holder,
            lambda budget: FLEET,
            self.loans,
            CreditSettings(),
            CreditHooks(on_fenced=self._note_fenced),
        )
        self.lending = LoanServer(
            self.holder,
            self.credit,
            lambda budget: False,
            world.is_dead,
            lambda payer: spent_on((world.records,), payer),
            LendingSettings(),
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await self.loans.start(nursery)
                await self.credit.start(nursery)
                await self.lending.start(nursery, self.peers)
                task_status.started()
                await trio.sleep_forever()

    def accounts(self):
        return self.credit.dump()['accounts_by_budget']

    async def reserve(self, budget, amount):
        try:
            self.reserved.append(await self.credit.reserve(budget, amount))
        except CreditError as error:
            self.refusals.append(error.code)

    def send(self, reservation, tokens):
        """Run the request of a reservation on an engine."""
        self.reserved.remove(reservation)
        self.ran.append((reservation, tokens))
        request_id = f'req-{len(self.world.engine_records)}'
        self.world.engine_records.append(
            SpendRecord(request_id, reservation.payer, tokens)
        )

    def settle(self, reservation, tokens):
        if tokens is None:
            self.reserved.remove(reservation)
        else:
            self.ran.remove((reservation, tokens))
        self.credit.settle(reservation, tokens or 0)
        # A second settlement must have no effect.
        self.credit.settle(reservation, 0)

    def settle_all(self):
        for reservation, tokens in list(self.ran):
            self.settle(reservation, tokens)
        for reservation in list(self.reserved):
            self.settle(reservation, None)

    def kill(self):
        self.is_running = False
        self.gate.open()
        self._scope.cancel()

    def _note_fenced(self):
        self.fenced += 1


class World:
    """All nodes on one mock clock; time passes only in :meth:`advance`."""

    def __init__(self):
        self.clock = trio.testing.MockClock()
        self.platform = FakePlatform()
        self.engine_records = []
        self.engines_are_cut = False
        self.cut_vms = set()
        self.peer_answers_to_lose = 0
        self.writes_to_delay = 0
        self.dead = set()
        self.nodes_by_vm = {}
        self.incarnations = 0
        self.violations = []

    async def start(self, nursery):
        self.nursery = nursery
        self._put = self.platform.core.objects.put
        self.platform.core.objects.put = self._checked_put
        await self.platform.put(
            KEY, ledger.encode_shard(ledger.empty_shard()), None
        )
        for vm in VMS:
            await self.start_node(vm)

    def _checked_put(self, key, body, expected_version):
        version = self._put(key, body, expected_version)
        self.note_credit_without_entry()
        return version

    def note_credit_without_entry(self):
        """Record accounts that could spend more than the ledger reserved."""
        for node in self.nodes_by_vm.values():
            for budget, account in node.accounts().items():
                record = self.shard()['budgets'].get(budget)
                entry = record['holders'].get(node.holder) if record else None
                drawn = entry['drawn'] if entry else account['spent']
                if account['limit'] > drawn:
                    self.violations.append(
                        (node.holder, budget, account, entry)
                    )

    async def start_node(self, vm):
        self.incarnations += 1
        node = Node(self, vm, self.incarnations)
        self.nodes_by_vm[vm] = node
        await self.nursery.start(node.run)

    async def restart(self, vm):
        old = self.nodes_by_vm[vm]
        old.kill()
        self.dead.add(old.holder)
        await self.start_node(vm)

    async def stop(self, vm):
        """Stop a node gracefully, with a time-out of one second."""
        node = self.nodes_by_vm[vm]
        node.gate.open()
        self.clock.autojump_threshold = 0
        with trio.move_on_after(1):
            await node.credit.close()
        self.clock.autojump_threshold = math.inf
        await self.restart(vm)

    def mend(self):
        self.engines_are_cut = False
        self.cut_vms = set()
        self.peer_answers_to_lose = 0
        self.writes_to_delay = 0
        self.platform.set_faults(
            down=False, delay_s=0, lose_answers=0, drop_writes=0, cut=()
        )
        for node in self.nodes_by_vm.values():
            node.gate.open()

    def is_dead(self, holder, listed_at=0):
        return holder in self.dead

    def lenders(self, own_vm):
        return [
            PeerRecord(vm, node.holder, '', '', 'ready', 1, False)
            for vm, node in self.nodes_by_vm.items()
            if vm != own_vm
        ]

    async def records(self, payer_prefix):
        await trio.lowlevel.checkpoint()
        if self.engines_are_cut:
            raise RecordsMissing('an engine is cut off')
        return [
            record
            for record in self.engine_records
            if str(record.payer).startswith(payer_prefix)
        ]

    async def advance(self, seconds):
        self.clock.autojump_threshold = 0
        await trio.sleep(seconds)
        self.clock.autojump_threshold = math.inf
        await trio.testing.wait_all_tasks_blocked()

    def shard(self):
        return ledger.decode_shard(self.platform.core.objects.get(KEY).body)

    def top_up(self, budget, operation_id, amount):
        stored = self.platform.core.objects.get(KEY)
        shard = ledger.top_up(
            ledger.decode_shard(stored.body), budget, operation_id, amount
        )
        self.platform.core.objects.put(
            KEY, ledger.encode_shard(shard), stored.version
        )

    def reclaimer(self, vm, live=None, takeover_s=0):
        node = self.nodes_by_vm[vm]
        others = [other for other in VMS if other != vm]
        inputs = ReclaimInputs(
            own_vm=vm,
            is_dead=self.is_dead,
            ledger_keys=lambda: [KEY],
            live_vms_by_domain=lambda: {'pazlen/haskovo': live or [vm]},
            domain_of=lambda any_vm: 'pazlen/haskovo',
            sources=(self.records,),
            survey=lambda holder: node.loans.survey(holder, others),
        )
        settings = ReclaimSettings(quiet_s=0, takeover_s=takeover_s)
        return Reclaimer(PausablePlatform(self, node), inputs, settings)

    def spent(self, budget):
        return sum(
            record.tokens
            for record in self.engine_records
            if record.payer.budget == budget
        )

    def may_be_spent(self, budget):
        """Sum the open reservations, whose requests may still be sent."""
        return sum(
            reservation.amount
            for node in self.nodes_by_vm.values()
            for reservation in node.reserved
            if reservation.payer.budget == budget
        )


def _platform_fault(**changes):
    return lambda world, vm: world.platform.set_faults(**changes)


def _world_fault(name, fault):
    return lambda world, vm: setattr(world, name, fault)


# Faults of a VM or its environment, by name. A call that takes 3 s exceeds the
# client's time-out and takes effect later.
FAULTS = {
    'crash': World.restart,
    'stop': World.stop,
    'pause': lambda world, vm: world.nodes_by_vm[vm].gate.shut(),
    'engines cut': _world_fault('engines_are_cut', True),
    'cut from peers': lambda world, vm: world.cut_vms.add(vm),
    'cut from platform': lambda world, vm: world.platform.set_faults(cut=(vm,)),
    'lost answers of peers': _world_fault('peer_answers_to_lose', 2),
    'late writes': _world_fault('writes_to_delay', 2),
    'platform down': _platform_fault(down=True),
    'slow platform': _platform_fault(delay_s=0.5),
    'very slow platform': _platform_fault(delay_s=3),
    'lost answer': _platform_fault(lose_answers=1),
    'lost answers': _platform_fault(lose_answers=3),
    'dropped write': _platform_fault(drop_writes=1),
}
