"""
eelgrassfork.cli_rollout
~~~~~~~~~~~~~~~~~~~~~~~~

Bundle rollout and status commands.
"""

from collections.abc import Sequence
from typing import Final

from .bundle_stages import (
    RolloutStopped,
    StageInputs,
    default_stages,
    run_stages,
    watch_statuses,
)
from .bundle_submit import submit
from .cli_common import Session, print_line, run_session
from .router_admin import read_operator_key
from .router_status import RouterStatus, read_statuses, status_line
from .settings import load_settings
from .signed_file import read_signed_file
from .vm_list import VmRecord

__all__ = ('bundle_rollout', 'bundle_status')

# An accepted bundle has to be in force at all routers within 10 s.
_WATCH_S: Final = 30


def bundle_rollout(
    file: str,
    *,
    settings: str,
    operator_key_file: str,
    stages: list[str] | None = None,
    wait_s: float = 0,
    dry_run: bool = False,
    watch: bool = False,
) -> None:
    """
    Try a bundle at the routers in stages, then submit it for acceptance.

    The bundle is not in force at any router until the last stage has passed;
    it is then in force at all routers within seconds. Before that, the first
    problem or Ctrl-C stops the rollout.

    :param file: file of the signed bundle.
    :param settings: settings file of any router of the fleet.
    :param operator_key_file: file with the operator key.
    :param stages: comma-separated places of each stage; defaults to one stage
        per place.
    :param wait_s: seconds between the trial of a stage and its check.
    :param dry_run: stop before acceptance.
    :param watch: wait until the bundle is in force at all reachable routers.
    """
    key = read_operator_key(operator_key_file)
    held = read_signed_file(file, load_settings(settings).trusted_keys)
    version = held.bundle.version
    envelope = held.signed.envelope

    async def action(session: Session) -> None:
        inputs = StageInputs(
            session.http,
            session.bundles,
            session.read_vms,
            key,
            wait_s,
            print_line,
        )
        accepted = (await session.bundles.accepted(held)).held
        is_new = not accepted or accepted.signed.envelope != envelope
        if is_new:
            chosen = [each.split(',') for each in stages or ()]
            places = chosen or default_stages(await session.read_vms())
            await run_stages(inputs, held, places)
        if dry_run:
            print_line(f'version {version} passed, and is not accepted')
            return
        now = await session.bundles.accepted(held)
        await submit(session.bundles, held, now)
        print_line(f'version {version} is accepted')
        if watch:
            await _watch(session, key, version)

    run_session(settings, action)


def bundle_status(
    *, settings: str, operator_key_file: str, watch: bool = False
) -> None:
    """
    Show the version in force at each router and place, and for how long.

    :param settings: settings file of any router of the fleet.
    :param operator_key_file: file with the operator key.
    :param watch: wait until the accepted bundle is in force at all reachable
        routers.
    """
    key = read_operator_key(operator_key_file)

    async def action(session: Session) -> None:
        held = (await session.bundles.accepted()).held
        version = held.bundle.version if held else 0
        print_line(f'version {version} is accepted')
        if watch:
            await _watch(session, key, version)
            return
        vms = await session.read_vms()
        for status in await read_statuses(session.http, vms, key):
            print_line(status_line(status))
        places = held.bundle.places_by_name if held else {}
        for place in sorted(places.keys() - _router_places(vms)):
            print_line(f'{place}  no router is listed')

    run_session(settings, action)


async def _watch(session: Session, key: str, version: int) -> None:
    async def read() -> list[RouterStatus]:
        vms = await session.read_vms()
        return await read_statuses(session.http, vms, key)

    lagging = await watch_statuses(read, version, _WATCH_S, print_line)
    if lagging:
        lines = [
            f'version {version} is accepted, but not confirmed in force at:',
            *map(status_line, lagging),
        ]
        raise RolloutStopped('routers_behind', '\n'.join(lines))
    print_line(f'version {version} is in force at all routers')


def _router_places(vms: Sequence[VmRecord]) -> set[str]:
    return {each.failure_domain for each in vms if each.role == 'router'}
