"""
tests.fault_leases
~~~~~~~~~~~~~~~~~~

Plays cells in which two holders contend for a lease, and send orders with
its fencing number to an engine that checks it.
"""

from typing import NamedTuple

import trio

from eelgrassfork.engine_client import EngineClient
from eelgrassfork.engine_types import EngineError
from eelgrassfork.http_client import HttpClient
from eelgrassfork.leases import Lease, LeaseError, Leases
from tests.fault_scene import Scene
from tests.fault_schedule import HOST

__all__ = ('play_lease',)

NAME = 'orders'
DURATION_S = 6
RENEW_S = 2
PLAYED_S = 70
HOLDERS = ('a1', 'b1')


class Held(NamedTuple):
    """A time in which a holder trusted its lease."""

    vm: str
    fencing_number: int
    from_s: float
    until_s: float


async def play_lease(scene: Scene, cell) -> list[str]:
    """
    Let two holders contend for a lease.

    :param scene: where it is played.
    :param cell: the cell.
    :returns: what was wrong.
    """
    held: list[Held] = []
    with trio.move_on_after(PLAYED_S):
        async with trio.open_nursery() as nursery:
            for vm in HOLDERS:
                nursery.start_soon(_contend, scene, vm, held)
                await trio.sleep(1)
    await scene.wait_mended()
    problems = []
    for one in held:
        for other in held:
            overlap_s = min(one.until_s, other.until_s) - other.from_s
            if one.vm != other.vm and one.from_s <= other.from_s:
                if overlap_s > 0:
                    problems.append(f'{one} and {other} overlap')
    numbers = [
        order['fencing_number']
        for order in scene.world.hosts_by_vm[
            'engine-a1'
        ].part.orders.carried_out
    ]
    if numbers != sorted(numbers):
        problems.append(f'the engine carried out {numbers}')
    if not numbers:
        problems.append('no order was carried out')
    return problems


async def _contend(scene: Scene, vm: str, held: list[Held]) -> None:
    host = scene.world.hosts_by_vm[vm]
    # A killed or frozen host's tasks are held.
    HOST.set(host.incarnation)
    leases = Leases(scene.world.client(vm), host.part.holder, DURATION_S)
    transport = scene.world.network.transport(vm)
    engines = EngineClient(HttpClient(transport=transport))
    while True:
        try:
            lease = await leases.acquire(NAME)
        except LeaseError:
            await trio.sleep(1)
            continue
        scene.probes.reach(vm, 'lease_taken')
        try:
            await _keep(scene, vm, lease, leases, engines, held)
        except LeaseError:
            scene.probes.reach(vm, 'lease_lapsed')


async def _keep(scene, vm, lease: Lease, leases, engines, held) -> None:
    while True:
        now_s = trio.current_time()
        if now_s < lease.valid_until:
            held.append(
                Held(vm, lease.fencing_number, now_s, lease.valid_until)
            )
        await _order(scene, engines, lease)
        await trio.sleep(RENEW_S)
        scene.probes.reach(vm, 'lease_renewing')
        lease = await leases.renew(lease)
        scene.probes.reach(vm, 'lease_renewed')


async def _order(scene, engines: EngineClient, lease: Lease) -> None:
    address = scene.world.hosts_by_vm['engine-a1'].part.address
    try:
        await engines.order(address, 'change_role', 'both', lease)
    except EngineError:
        await trio.lowlevel.checkpoint()
