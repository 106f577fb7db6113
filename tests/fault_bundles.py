"""
tests.fault_bundles
~~~~~~~~~~~~~~~~~~~

Runs cells in which an operator submits a bundle. Callers observe the version
that each router serves in the text of an error.
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

OBSERVATION_INTERVAL_S = 0.5
SUBMIT_AFTER_S = 2
# Reachable peers must serve a new bundle "within seconds": in this time.
ROLLOUT_LIMIT_S = 10


class Observation(NamedTuple):
    """Bundle version that a router served to a caller."""

    vm: str
    version: int
    sent_at: float
    received_at: float


async def play_bundle(scene: Scene, cell) -> list[str]:
    """
    Submit version 2 while callers observe the version of all routers.

    :param scene: scene of the cell.
    :param cell: the cell.
    :returns: one message for each problem.
    """
    scene.writer = 'operator'
    platform_works = not any(
        injection.fault.startswith('platform') for injection in cell.injections
    )
    observations: list[Observation] = []
    scene.subject = scene.new_request('stream', 'subject')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_observe_forever, scene.world, observations)
        await trio.sleep(SUBMIT_AFTER_S)
        nursery.start_soon(scene.send_until_final, 'a1')
        await submit_next(scene)
        accepted_at = trio.current_time()
        await _wait_done(scene)
        await scene.wait_repaired()
        await trio.sleep(ROLLOUT_LIMIT_S + OBSERVATION_INTERVAL_S)
        nursery.cancel_scope.cancel()
    problems = [
        *_version_regressions(observations),
        *_outdated_versions(scene, observations, accepted_at),
    ]
    if platform_works:
        problems += _outdated_versions_in_other_domain(
            observations, accepted_at
        )
    return problems


async def _wait_done(scene: Scene) -> None:
    with trio.move_on_after(ROLLOUT_LIMIT_S):
        while not scene.probes.is_done:
            await trio.sleep(OBSERVATION_INTERVAL_S)


async def submit_next(scene: Scene) -> None:
    """
    Submit version 2 until it is accepted.

    :param scene: scene of the cell.
    """
    held = make_bundle(2)
    store = BundleStore(scene.world.client('operator'), TRUSTED)
    while True:
        try:
            await submit(store, held, await store.accepted())
        except EelgrassError:
            # Operators repeat the command until it succeeds.
            await trio.sleep(1)
        else:
            return


async def _observe_forever(
    world: World, observations: list[Observation]
) -> None:
    http = HttpClient(
        ClientTimeouts(1, 60, 60), transport=world.network.transport('caller')
    )
    async with trio.open_nursery() as nursery:
        while True:
            for vm in world.routers():
                nursery.start_soon(_observe, world, http, vm, observations)
            await trio.sleep(OBSERVATION_INTERVAL_S)


async def _observe(
    world: World, http: HttpClient, vm: str, observations
) -> None:
    sent_at = trio.current_time()
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
    observations.append(Observation(vm, version, sent_at, trio.current_time()))


def _version_regressions(observations: list[Observation]) -> Iterator[str]:
    for later in observations:
        for earlier in observations:
            lag_s = later.sent_at - earlier.received_at
            if lag_s <= 0 or later.version >= earlier.version:
                continue
            is_first = not any(
                each.vm == later.vm and each.received_at < later.sent_at
                for each in observations
            )
            same_domain = later.vm[0] == earlier.vm[0]
            if later.vm == earlier.vm or (
                same_domain and (is_first or lag_s > ROLLOUT_LIMIT_S)
            ):
                yield (
                    f'{later.vm} served version {later.version} {lag_s:.1f} s '
                    f'after {earlier.vm} served {earlier.version}'
                )
                return


def _outdated_versions(
    scene: Scene, observations: list[Observation], accepted_at: float
) -> Iterator[str]:
    repaired_at = max(accepted_at, scene.repaired_at)
    for vm in scene.world.routers():
        last = max(
            (each for each in observations if each.vm == vm),
            key=lambda each: each.received_at,
            default=Observation(vm, 0, 0, 0),
        )
        if last.version != 2:
            yield f'{vm} still serves version {last.version}'
    for each in observations:
        if each.version < 2 and each.sent_at > repaired_at + ROLLOUT_LIMIT_S:
            yield f'{each.vm} served version 1 long after all was mended'
            return


def _outdated_versions_in_other_domain(
    observations: list[Observation], accepted_at: float
) -> Iterator[str]:
    # Faults of routers are injected in the failure domain a only.
    for each in observations:
        late_s = each.sent_at - accepted_at
        if each.vm[0] == 'b' and each.version < 2 and late_s > ROLLOUT_LIMIT_S:
            yield f'{each.vm} served version 1 {late_s:.1f} s after acceptance'
            return
