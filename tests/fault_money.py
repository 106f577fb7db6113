"""
tests.fault_money
~~~~~~~~~~~~~~~~~

Runs cells in which two failure domains exhaust a small budget while an
operator tops it up.
"""

import trio

from eelgrassfork.errors import EelgrassError
from tests.fault_scene import Scene

__all__ = ('SMALL_GRANT', 'play_top_up')

# A chat costs 11 tokens and reserves 38, so the budget is exhausted within the
# cell.
SMALL_GRANT = 110
TOP_UP = 220
TOP_UP_AFTER_S = 3
SPEND_S = 25
PAUSE_S = 0.3
SPENDERS = ('a1', 'a2', 'b1')


async def play_top_up(scene: Scene, cell) -> list[str]:
    """
    Spend at several routers, and top up the budget meanwhile.

    :param scene: scene of the cell.
    :param cell: the cell.
    :returns: one message for each problem.
    """
    scene.writer = 'operator'
    ends_at = trio.current_time() + SPEND_S
    async with trio.open_nursery() as nursery:
        for vm in SPENDERS:
            nursery.start_soon(_spend, scene, vm, ends_at)
        await trio.sleep(TOP_UP_AFTER_S)
        await _top_up(scene)
    await scene.wait_repaired()
    granted = scene.records.budget('subject')['granted']
    if granted == SMALL_GRANT + TOP_UP:
        return []
    return [f'top-ups of {SMALL_GRANT} and {TOP_UP} granted {granted}']


async def _spend(scene: Scene, vm: str, ends_at: float) -> None:
    while trio.current_time() < ends_at:
        await trio.sleep(PAUSE_S)
        if vm in scene.world.routers():
            request = scene.new_request('chat', 'subject')
            result = await scene.callers.send(vm, request)
            await trio.sleep(result.retry_after_s or 0)


async def _top_up(scene: Scene) -> None:
    # Operators repeat the command until it succeeds.
    while True:
        try:
            return await scene.world.top_up('subject', TOP_UP)
        except EelgrassError:
            await trio.sleep(1)
