"""
tests.fault_leases
~~~~~~~~~~~~~~~~~~

Runs cells in which routers contend for the lease on the engines' orders.
"""

from collections.abc import Iterator

import msgspec
import trio

from standins.engine import EngineStandin
from tests.fault_bundles import submit_next
from tests.fault_scene import Scene
from tests.fault_world import adapter_of

__all__ = ('LEASE_S', 'play_lease')

# Default of the settings.
LEASE_S = 10
SUBMIT_AFTER_S = 2
# Covers the expiry of a lease, the contender's extra wait of half a lease, and
# the time to read the engines and to send them orders.
LOAD_TIMEOUT_S = 60


async def play_lease(scene: Scene, cell) -> list[str]:
    """
    Submit a bundle with a new adapter, which the lease holder must order.

    :param scene: scene of the cell.
    :param cell: the cell.
    :returns: one message for each problem.
    """
    await trio.sleep(SUBMIT_AFTER_S)
    await submit_next(scene)
    with trio.move_on_after(LOAD_TIMEOUT_S):
        while not scene.probes.is_done:
            await trio.sleep(1)
    await scene.wait_repaired()
    with trio.move_on_after(LOAD_TIMEOUT_S):
        while list(_unloaded(scene)):
            await trio.sleep(1)
    return [
        *_unloaded(scene),
        *_fencing_regressions(scene),
        *_premature_takeovers(scene),
    ]


def _engines(scene: Scene) -> dict[str, EngineStandin]:
    return {
        host.vm: host.part
        for host in scene.world.servers
        if isinstance(host.part, EngineStandin)
    }


def _unloaded(scene: Scene) -> Iterator[str]:
    stopped = scene.world.gone_vms | scene.left_at_by_server.keys()
    for vm, engine in _engines(scene).items():
        if vm not in stopped and adapter_of(2) not in engine.orders.models:
            yield f'{vm} has not loaded the adapter of version 2'


def _fencing_regressions(scene: Scene) -> Iterator[str]:
    for vm, engine in _engines(scene).items():
        numbers = [
            order['fencing_number'] for order in engine.orders.carried_out
        ]
        if numbers != sorted(numbers):
            yield f'{vm} carried out orders of the leases {numbers}'


def _premature_takeovers(scene: Scene) -> Iterator[str]:
    last_at_s: float = 0
    last = {'holder': '', 'fencing_number': 0, 'released': True}
    for at_s, _, body in scene.records.lease_writes:
        lease = msgspec.msgpack.decode(body)
        if lease['fencing_number'] < last['fencing_number']:
            yield f'the fencing number went back: {last}, {lease}'
        changed = lease['holder'] != last['holder']
        if changed and not last['released'] and at_s < last_at_s + LEASE_S:
            yield (
                f'{lease["holder"]} took the lease {at_s - last_at_s:.1f} s '
                f'after {last["holder"]} renewed it'
            )
        last_at_s, last = at_s, lease
