"""
tests.fault_drains
~~~~~~~~~~~~~~~~~~

Runs cells in which a router drains with streams and an order in flight.
"""

import trio

from tests.fault_kinds import drain_router
from tests.fault_scene import Scene

__all__ = ('NON_DISRUPTIVE_FAULTS', 'play_drain')

IN_FLIGHT = ('stream', 'keyed', 'chat', 'order')
# Faults that interrupt neither the router nor a server of its streams.
NON_DISRUPTIVE_FAULTS = frozenset(
    (
        'none',
        'frozen_short',
        'cut_platform',
        'platform_down',
        'platform_slow',
        'platform_late',
        'lost_answer',
        'lost_race',
        'unlisted',
        'server_leaving',
        'server_slow',
        'caller_retries',
    ),
)
GRACE_S = 2
DRAIN_TIMEOUT_S = 60


async def play_drain(scene: Scene, cell) -> list[str]:
    """
    Drain a router while it serves requests.

    :param scene: scene of the cell.
    :param cell: the cell.
    :returns: one message for each problem.
    """
    scene.subject = scene.new_request('stream', 'subject')
    scene.probes.arm('a1', 'mid_stream', lambda vm: drain_router(scene, vm))
    in_flight = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.send_until_final, 'a1')
        in_flight = await scene.send_round(['a1'], IN_FLIGHT)
        await trio.sleep(GRACE_S / 2)
        await scene.send_round(['a1'], ('look_up', 'order'))
        await trio.sleep(GRACE_S)
        await scene.send_round(['a1'], ('look_up', 'order'))
    await _wait_done(scene)
    await scene.wait_repaired()
    subject = [
        each for each in scene.callers.results if each.request == scene.subject
    ]
    if cell.injections[0].fault not in NON_DISRUPTIVE_FAULTS:
        return []
    problems = [
        f'{each.request.kind} {each.request.name} was cut by the drain'
        for each in [*in_flight, subject[0]]
        if not each.is_complete
    ]
    if scene.world.left_by_vm.get('a1') != {}:
        left = scene.world.left_by_vm.get('a1')
        problems.append(f'the drained router left {left}')
    return problems


async def _wait_done(scene: Scene) -> None:
    with trio.move_on_after(DRAIN_TIMEOUT_S):
        while not scene.probes.is_done:
            await trio.sleep(1)
