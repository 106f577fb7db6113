"""
tests.fault_bundles
~~~~~~~~~~~~~~~~~~~

Plays cells in which an operator submits a bundle while callers see, by an
error that names it, which version each router serves.
"""

import re
from collections.abc import Iterator
from typing import NamedTuple

import trio

from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.bundle_submit import submit
from eelgrassfork.errors import EelgrassError
from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from tests.bundles import TRUSTED
from tests.fault_scene import Scene
from tests.fault_world import World, make_bundle

__all__ = ('play_bundle', 'submit_next')

LOOK_EVERY_S = 0.5
SUBMIT_AFTER_S = 2
# "Within seconds": a peer that can be reached follows in this time.
IN_FORCE_S = 10


class Seen(NamedTuple):
    """A router served a version to a caller."""

    vm: str
    version: int
    asked_at: float
    told_at: float


async def play_bundle(scene: Scene, cell) -> list[str]:
    """
    Submit version 2 while all routers are asked which one they serve.

    :param scene: where it is played.
    :param cell: the cell.
    :returns: what was wrong.
    """
    scene.writer = 'operator'
    platform_works = not any(
        blow.fault.startswith('platform') for blow in cell.blows
    )
    seen: list[Seen] = []
    scene.subject = scene.new_request('stream', 'subject')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_look_forever, scene.world, seen)
        await trio.sleep(SUBMIT_AFTER_S)
        nursery.start_soon(scene.send_until_final, 'a1')
        await submit_next(scene)
        accepted_at = trio.current_time()
        await _wait_done(scene)
        await scene.wait_mended()
        await trio.sleep(IN_FORCE_S + LOOK_EVERY_S)
        nursery.cancel_scope.cancel()
    problems = [*_went_back(seen), *_came_late(scene, seen, accepted_at)]
    if platform_works:
        problems += _came_late_elsewhere(seen, accepted_at)
    return problems


async def _wait_done(scene: Scene) -> None:
    with trio.move_on_after(IN_FORCE_S):
        while not scene.probes.is_done:
            await trio.sleep(LOOK_EVERY_S)


async def submit_next(scene: Scene) -> None:
    """
    Submit version 2 until it is accepted.

    :param scene: where it is played.
    """
    held = make_bundle(2)
    store = BundleStore(scene.world.client('operator'), TRUSTED)
    while True:
        try:
            await submit(store, held, await store.accepted())
        except EelgrassError:
            # An operator repeats the command until it succeeds.
            await trio.sleep(1)
        else:
            return


async def _look_forever(world: World, seen: list[Seen]) -> None:
    http = HttpClient(
        ClientTimeouts(1, 60, 60), transport=world.network.transport('caller')
    )
    async with trio.open_nursery() as nursery:
        while True:
            for vm in world.routers():
                nursery.start_soon(_look, world, http, vm, seen)
            await trio.sleep(LOOK_EVERY_S)


async def _look(world: World, http: HttpClient, vm: str, seen) -> None:
    asked_at = trio.current_time()
    headers = (('authorization', 'Bearer others'),)
    address = world.callers_address(vm)
    target = '/services/no-such-service/'
    request = ClientRequest(address, 'GET', target, headers, fresh=True)
    try:
        _, body = await http.fetch(request)
    except HttpClientError:
        return
    found = re.search(rb'bundle version (\d+) has', body)
    if found is None:
        return
    version = int(found[1])
    seen.append(Seen(vm, version, asked_at, trio.current_time()))


def _went_back(seen: list[Seen]) -> Iterator[str]:
    for later in seen:
        for earlier in seen:
            lag_s = later.asked_at - earlier.told_at
            if lag_s <= 0 or later.version >= earlier.version:
                continue
            is_first = not any(
                each.vm == later.vm and each.told_at < later.asked_at
                for each in seen
            )
            same_domain = later.vm[0] == earlier.vm[0]
            if later.vm == earlier.vm or (
                same_domain and (is_first or lag_s > IN_FORCE_S)
            ):
                yield (
                    f'{later.vm} served version {later.version} {lag_s:.1f} s '
                    f'after {earlier.vm} served {earlier.version}'
                )
                return


def _came_late(
    scene: Scene, seen: list[Seen], accepted_at: float
) -> Iterator[str]:
    mended_at = max(accepted_at, scene.mended_at)
    for vm in scene.world.routers():
        last = max(
            (each for each in seen if each.vm == vm),
            key=lambda each: each.told_at,
            default=Seen(vm, 0, 0, 0),
        )
        if last.version != 2:
            yield f'{vm} still serves version {last.version}'
    for each in seen:
        if each.version < 2 and each.asked_at > mended_at + IN_FORCE_S:
            yield f'{each.vm} served version 1 long after all was mended'
            return


def _came_late_elsewhere(seen: list[Seen], accepted_at: float) -> Iterator[str]:
    # Faults of routers strike the failure domain a only.
    for each in seen:
        late_s = each.asked_at - accepted_at
        if each.vm[0] == 'b' and each.version < 2 and late_s > IN_FORCE_S:
            yield f'{each.vm} served version 1 {late_s:.1f} s after acceptance'
            return
