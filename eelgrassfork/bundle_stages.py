"""
eelgrassfork.bundle_stages
~~~~~~~~~~~~~~~~~~~~~~~~~~

Trials of a bundle place by place, and a look at it after its acceptance.

Stages come before acceptance: once accepted, a bundle is in force at every
place within seconds and never goes back, so there is nothing left to stop.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Final, NamedTuple

import trio

from .bundle_conflict import explain_conflict
from .bundle_store import BundleStore
from .bundle_submit import put_parts
from .errors import EelgrassError
from .held_bundle import HeldBundle
from .http_client import HttpClient
from .router_admin import RouterCall, RouterError, call_router, query_routers
from .router_status import (
    UNREACHABLE,
    RouterStatus,
    read_statuses,
    status_line,
)
from .vm_list import VmRecord

__all__ = (
    'RolloutStopped',
    'RouterTrial',
    'StageInputs',
    'default_stages',
    'run_stages',
    'try_stage',
    'watch_statuses',
)

_POLL_S: Final = 0.5

ReadVms = Callable[[], Awaitable[Sequence[VmRecord]]]
ReadStatuses = Callable[[], Awaitable[list[RouterStatus]]]


class RolloutStopped(EelgrassError):
    """A check failed; the bundle was not accepted."""


class RouterTrial(NamedTuple):
    """
    The trial of a bundle at one router.

    :param problems: why the bundle must not be accepted.
    :param notices: what a person should know before.
    :param took_ms: time it took there in milliseconds, or ``None`` if the
        router can't be reached.
    """

    failure_domain: str
    vm: str
    problems: tuple[str, ...] = ()
    notices: tuple[str, ...] = ()
    took_ms: float | None = None


class StageInputs(NamedTuple):
    """
    Where and how a bundle is tried.

    :param http: connections to routers.
    :param store: bundles at the platform.
    :param read_vms: reads the VM list.
    :param operator_key: the operators' key.
    :param wait_s: time between a stage's trial and the check of its routers.
    :param say: told what happens, a line at a time.
    """

    http: HttpClient
    store: BundleStore
    read_vms: ReadVms
    operator_key: str
    wait_s: float
    say: Callable[[str], None]


def default_stages(vms: Iterable[VmRecord]) -> list[list[str]]:
    """
    Make a stage of each place that has routers.

    :param vms: the VM list.
    :returns: stages, each a list of qualified names of places.
    """
    places = {each.failure_domain for each in vms if each.role == 'router'}
    return [[place] for place in sorted(places)]


async def run_stages(
    inputs: StageInputs, new: HeldBundle, stages: Iterable[Sequence[str]]
) -> None:
    """
    Try a bundle stage by stage; the first check that fails ends it.

    :param inputs: where and how.
    :param new: the bundle, whose parts are written to the platform.
    :param stages: places of each stage.
    :raises RolloutStopped: ``rollout_stopped``, naming what is wrong.
    :raises SubmitConflict: ``conflict`` if another bundle was accepted.
    :raises EelgrassError: if the platform does not answer.
    """
    await put_parts(inputs.store, new, await inputs.store.accepted(new))
    for number, places in enumerate(stages, 1):
        accepted = await inputs.store.accepted(new)
        if new.signed.manifest.base != accepted.version:
            raise await explain_conflict(inputs.store, new, accepted)
        vms = await inputs.read_vms()
        routers = [
            record
            for record in vms
            if record.role == 'router' and record.failure_domain in places
        ]
        inputs.say(f'stage {number}: {", ".join(places)}')
        trials = await try_stage(inputs, routers, new.signed.envelope)
        for trial in trials:
            inputs.say(_trial_line(trial))
        _check_trials(places, trials)
        await trio.sleep(inputs.wait_s)
        statuses = await read_statuses(
            inputs.http, routers, inputs.operator_key
        )
        _check_health(trials, statuses)


async def try_stage(
    inputs: StageInputs, routers: Sequence[VmRecord], envelope: bytes
) -> list[RouterTrial]:
    """
    Try a bundle at routers, all at once.

    :param inputs: connections and key.
    :param routers: where to try it.
    :param envelope: signed manifest, whose parts stand at the platform.
    :returns: what each router found.
    """

    async def ask(record: VmRecord) -> RouterTrial:
        call = RouterCall(
            record.operator_address,
            'POST',
            '/bundle/trial',
            inputs.operator_key,
            envelope,
        )
        place = (record.failure_domain, record.vm)
        try:
            report = await call_router(inputs.http, call)
        except RouterError as error:
            if error.code == 'router_unreachable':
                return RouterTrial(*place)
            return RouterTrial(*place, (error.message,), (), 0)
        return RouterTrial(
            *place,
            tuple(report.get('problems', ('it gave no report',))),
            tuple(report.get('notices', ())),
            report.get('took_ms', 0),
        )

    trials_by_vm = await query_routers(routers, ask)
    return [trials_by_vm[record.vm] for record in routers]


async def watch_statuses(
    read: ReadStatuses,
    version: int,
    limit_s: float,
    say: Callable[[str], None],
) -> list[RouterStatus]:
    """
    Look at the routers until all that can be reached have a bundle.

    :param read: asks all routers.
    :param version: version of the bundle; a higher one will do.
    :param limit_s: longest time in seconds.
    :param say: told each router that has it.
    :returns: routers that don't have it or can't be reached.
    """
    seen: set[str] = set()
    deadline = trio.current_time() + limit_s
    while True:
        statuses = await read()
        behind = [each for each in statuses if not _has(each, version)]
        for status in statuses:
            if _has(status, version) and status.vm not in seen:
                seen.add(status.vm)
                say(status_line(status))
        reachable = [each for each in behind if each.state != UNREACHABLE]
        if not reachable or trio.current_time() >= deadline:
            return behind
        await trio.sleep(_POLL_S)


def _has(status: RouterStatus, version: int) -> bool:
    is_reached = status.state != UNREACHABLE
    return is_reached and (status.version or 0) >= version


def _trial_line(trial: RouterTrial) -> str:
    words = [trial.failure_domain, trial.vm]
    if trial.took_ms is None:
        words.append('can not be reached')
    else:
        words.append('refuses it' if trial.problems else 'would take it')
        words.append(f'after {trial.took_ms} ms')
    words.extend(f'problem: {each}' for each in trial.problems)
    words.extend(f'notice: {each}' for each in trial.notices)
    return '  '.join(words)


def _check_trials(places: Sequence[str], trials: list[RouterTrial]) -> None:
    answered = {
        trial.failure_domain for trial in trials if trial.took_ms is not None
    }
    reasons = [
        f'no router of {place} answers; without it in --stages the bundle '
        'can be accepted while the place is cut off'
        for place in places
        if place not in answered
    ]
    reasons.extend(
        f'{trial.vm}: {problem}'
        for trial in trials
        for problem in trial.problems
    )
    _stop(reasons)


def _check_health(
    trials: Iterable[RouterTrial], statuses: Iterable[RouterStatus]
) -> None:
    answered = {trial.vm for trial in trials if trial.took_ms is not None}
    _stop(
        [
            f'{status.vm} is {status.state} and not ready after the trial'
            for status in statuses
            if status.vm in answered and not status.ready
        ]
    )


def _stop(reasons: Sequence[str]) -> None:
    if reasons:
        lines = ('the bundle is not accepted', *reasons)
        raise RolloutStopped('rollout_stopped', '\n'.join(lines))
