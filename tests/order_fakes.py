"""
tests.order_fakes
~~~~~~~~~~~~~~~~~

Routers with claims and issued keys, on a fake platform with fake peers.
"""

import functools
from typing import NamedTuple

import msgspec
import trio
import trio.testing

from eelgrassfork.claims import Claims, ClaimsIdentity
from eelgrassfork.errors import RequestError
from eelgrassfork.issued_key_use import IssuedKeyUse
from eelgrassfork.issued_keys import IssuedKeys
from eelgrassfork.names import PayerTag, vm_of_holder
from eelgrassfork.peering import PeerRefused, PeerUnreachable
from standins.fake_platform import FakePlatform


class Reservation(NamedTuple):
    payer: PayerTag
    amount: int
    lender_vm: str | None = None


class FakeCredit:
    """Accounts without a ledger; settling a reservation twice is an error."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.code = ''
        self.lender = ''
        self.last_number = 0
        self.spent_by_payer = {}
        self.open_payers = set()

    def allocate(self, budget):
        self.last_number += 1
        return PayerTag(self.holder, budget, self.last_number)

    def abandon(self, payer):
        assert str(payer) not in self.open_payers

    async def reserve(self, budget, amount, payer=None):
        await trio.lowlevel.checkpoint()
        if self.code:
            raise RequestError(self.code, 'refused')
        payer = payer or self.allocate(budget)
        if self.lender:
            payer = payer._replace(holder=self.lender)
        self.open_payers.add(str(payer))
        return Reservation(payer, amount, self.lender or None)

    def settle(self, reservation, spent):
        payer = str(reservation.payer)
        self.open_payers.remove(payer)
        self.spent_by_payer[payer] = spent

    @property
    def spent(self) -> int:
        return sum(self.spent_by_payer.values())


class FakePeers:
    """
    Peer calls of one router.

    :ivar fault: ``down`` (not sent), ``lost`` (executed, answer lost),
        ``late`` (executed after the caller timed out), or empty.
    """

    def __init__(self, world: 'World', holder: str) -> None:
        self.world = world
        self.holder = holder
        self.handlers = {}
        self.fault = ''

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, vm, kind, payload):
        await trio.lowlevel.checkpoint()
        target = self.world.peers_by_vm.get(vm)
        if target is None or self.fault == 'down' or vm in self.world.cut:
            raise PeerUnreachable(f'{vm} is cut off', sent=False)
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(payload))
        handle = functools.partial(target.handlers[kind], self.holder, sent)
        if self.fault == 'late':
            self.world.nursery.start_soon(self.deliver_late, handle)
            await trio.sleep(1)
            raise PeerUnreachable(f'{vm} is silent', sent=True)
        answer = await handle()
        if self.fault == 'lost':
            raise PeerUnreachable(f'{vm} gave no answer', sent=True)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer))

    async def deliver_late(self, handle):
        await trio.sleep(60)
        try:
            await handle()
        except PeerRefused:
            return


class Router:
    """Claims and keys of one router; its tasks run until it is killed."""

    def __init__(self, world: 'World', vm: str, incarnation: int) -> None:
        self.holder = f'{vm}.{incarnation}'
        self.scope = trio.CancelScope()
        identity = ClaimsIdentity(self.holder, lambda: 1, world.is_dead)
        self.claims = Claims(world.platform.for_client(vm), identity)
        self.credit = FakeCredit(self.holder)
        self.peers = FakePeers(world, self.holder)
        self.keys = IssuedKeys(self.claims, self.credit)
        self.use = IssuedKeyUse(self.keys, self.claims, self.peers)

    async def run(self, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                for part in (self.claims, self.keys, self.use):
                    await part.start(nursery)
                task_status.started()
                await trio.sleep_forever()


class World:
    """Peers by VM, and the holders that are proven dead."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.platform = FakePlatform()
        self.peers_by_vm = {}
        self.cut = set()
        self.dead = set()

    async def router(self, vm: str, incarnation: int = 1) -> Router:
        router = Router(self, vm, incarnation)
        self.peers_by_vm[vm] = router.peers
        await self.nursery.start(router.run)
        return router

    def kill(self, router: Router, proven: bool = True) -> None:
        router.scope.cancel()
        vm = vm_of_holder(router.holder)
        if self.peers_by_vm.get(vm) is router.peers:
            self.peers_by_vm.pop(vm)
        if proven:
            self.dead.add(router.holder)

    def is_dead(self, holder: str, listed_at: int) -> bool:
        return holder in self.dead


def run_world(test):
    """Run an async test with a world, on an auto-jumping mock clock."""

    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, World(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper
