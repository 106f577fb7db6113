"""
tests.fault_play
~~~~~~~~~~~~~~~~

Runs a cell: injects its faults, waits for repair and settlement, and checks.
"""

from typing import NamedTuple

import trio

from tests.fault_bundles import play_bundle
from tests.fault_callers import ISSUED_KINDS, KEYED
from tests.fault_checks import billing_problems, find_problems
from tests.fault_drains import play_drain
from tests.fault_kinds import make_injector
from tests.fault_leases import play_lease
from tests.fault_money import SMALL_GRANT, play_top_up
from tests.fault_scene import GRANTED, Scene
from tests.fault_schedule import run_seeded

__all__ = ('Injection', 'Outcome', 'Cell', 'play')

CELL_TIMEOUT_S = 300
SETTLE_TIMEOUT_S = 120
# A router retries an unreachable platform after 4 s at most.
PLATFORM_RETRY_S = 5
CHECK_INTERVAL_S = 2
STEP_TIMEOUT_S = 40
REPORT_WAIT_S = 3


# Runners of operator and lease cells; all other kinds are requests.
PLAYERS = {
    'top_up': play_top_up,
    'bundle': play_bundle,
    'drain': play_drain,
    'lease': play_lease,
}
# Key prefixes of the writes that lost_answer and lost_race affect.
WRITES = {'bundle': 'bundle/current', 'lease': 'leases/'}


class Injection(NamedTuple):
    """A fault injected at a step of the subject, at one router."""

    step: str
    fault: str
    vm: str = 'a1'


class Cell(NamedTuple):
    """
    One cell of the matrix.

    :param kind: kind of request, or of operator or lease work.
    :param injections: the faults, in order.
    """

    kind: str
    injections: tuple[Injection, ...]

    @property
    def name(self) -> str:
        """Unique name in the matrix; the seed of the cell is derived from it."""
        injections = '+'.join(
            f'{injection.step}:{injection.fault}'
            + (f'@{injection.vm or "any"}' if injection.vm != 'a1' else '')
            for injection in self.injections
        )
        return f'{self.kind}/{injections}'


class Outcome(NamedTuple):
    """
    Result of a cell.

    :param problems: violated guarantees; empty if all held.
    :param refused: requests that were refused although the budget would
        have covered them.
    :param settled_s: time from the last repair until the billed tokens agreed
        with the records.
    """

    problems: list[str]
    refused: int
    settled_s: float
    results: list[str]


def play(cell, seed: int) -> Outcome:
    """
    Run a cell.

    :param cell: the cell; its ``kind`` selects the runner.
    :param seed: determines jitter and the order of tasks.
    :returns: the result.
    """

    async def main() -> Outcome:
        outcome = None
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, seed)
            small = cell.kind == 'top_up'
            await scene.start(SMALL_GRANT if small else GRANTED)
            problems = await _play_kind(scene, cell)
            settled_s = await _settle(scene, cell)
            problems += await _end_round(scene)
            problems += find_problems(scene)
            outcome = Outcome(
                problems,
                sum(each.false_refusal for each in scene.callers.results),
                settled_s,
                [_format_result(result) for result in scene.callers.results],
            )
            scene.world.end()
        return outcome

    return run_seeded(main, seed)


async def _play_kind(scene: Scene, cell: Cell) -> list[str]:
    scene.write_prefix = _write_prefix(cell)
    for injection in cell.injections:
        scene.probes.arm(
            injection.vm, injection.step, make_injector(scene, injection.fault)
        )
    problems = ['the cell came to no end']
    with trio.move_on_after(CELL_TIMEOUT_S):
        problems = await PLAYERS.get(cell.kind, _play_request)(scene, cell)
    if not scene.probes.is_done:
        problems.append('a step was not reached')
    return problems


def _write_prefix(cell: Cell) -> str:
    claim_steps = {'claiming', 'sent', 'first_byte', 'last_byte'}
    is_order = cell.kind in {'order', *ISSUED_KINDS}
    if is_order and cell.injections[0].step in claim_steps:
        return 'claims/'
    return WRITES.get(cell.kind, 'ledger/')


async def _play_request(scene: Scene, cell: Cell) -> list[str]:
    await scene.choose_subject(cell.kind)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            scene.send_round, scene.world.routers(), ('stream', 'order')
        )
        await scene.send_until_final('a1')
    if scene.subject.kind in KEYED:
        # Repeat the answered request at the other router too, for its faults.
        for vm in scene.probes.armed_vms('accepted'):
            await scene.send_until_final(vm)
    with trio.move_on_after(STEP_TIMEOUT_S):
        while not scene.probes.is_done:
            await trio.sleep(0.5)
    await scene.wait_repaired()
    return []


async def _settle(scene: Scene, cell: Cell) -> float:
    started_at = trio.current_time()
    was_unreachable = any(
        injection.fault.startswith(('platform', 'cut'))
        for injection in cell.injections
    )
    with trio.move_on_after(SETTLE_TIMEOUT_S):
        await trio.sleep(
            PLATFORM_RETRY_S if was_unreachable else CHECK_INTERVAL_S
        )
        while billing_problems(scene):
            await trio.sleep(CHECK_INTERVAL_S)
    return trio.current_time() - started_at


async def _end_round(scene: Scene) -> list[str]:
    kinds = ('keyed', 'look_up', 'order')
    results = await scene.send_round(scene.world.routers(), kinds)
    await trio.sleep(REPORT_WAIT_S)
    return [
        f'after all is mended, {each.request.kind} at {each.vm} '
        f'got {each.status} {each.code}'
        for each in results
        if not each.is_complete
    ]


def _format_result(result) -> str:
    request = result.request
    end = 'whole' if result.is_complete else f'{result.status} {result.code}'
    return (
        f'{result.started_at:7.3f}-{result.ended_at:7.3f} {result.vm} '
        f'{request.name} {request.kind} #{result.attempt}: {end} {result.outcome}'
    )
