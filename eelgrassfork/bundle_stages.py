"""
eelgrassfork.bundle_stages
~~~~~~~~~~~~~~~~~~~~~~~~~~

Staged trials of a bundle before acceptance, and monitoring after it.

Stages precede acceptance: once accepted, a bundle is in force at every place
within seconds and is never rolled back, so a later stage could stop nothing.
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
    """A check of a stage failed; the bundle was not accepted."""


class RouterTrial(NamedTuple):
    """
    Result of a bundle's trial at one router.

    :param failure_domain: qualified name of the router's place.
    :param vm: the router's VM.
    :param problems: reasons why the bundle must not be accepted.
    :param notices: effects that an operator should check before acceptance.
    :param took_ms: duration of the trial in milliseconds, or ``None`` if the
        router is unreachable.
    """

    failure_domain: str
    vm: str
    problems: tuple[str, ...] = ()
    notices: tuple[str, ...] = ()
    took_ms: float | None = None


class StageInputs(NamedTuple):
    """
    Dependencies and options of staged trials.

    :param http: HTTP client for the routers' operator interface.
    :param store: bundles at the platform.
    :param read_vms: reads the VM list.
    :param operator_key: key that authenticates operators at routers.
    :param wait_s: delay between a stage's trials and the health check of its
        routers, in seconds.
    :param report_line: called with each line of progress output.
    """

    http: HttpClient
    store: BundleStore
    read_vms: ReadVms
    operator_key: str
    wait_s: float
    report_line: Callable[[str], None]


def default_stages(vms: Iterable[VmRecord]) -> list[list[str]]:
    """
    Create one stage for each place that has routers.

    :param vms: the VM list.
    :returns: stages, each a list of qualified names of places.
    """
    places = {each.failure_domain for each in vms if each.role == 'router'}
    return [[place] for place in sorted(places)]


async def run_stages(
    inputs: StageInputs, new: HeldBundle, stages: Iterable[Sequence[str]]
) -> None:
    """
    Run the trials of a bundle stage by stage, up to the first failed check.

    :param inputs: dependencies and options.
    :param new: the bundle, whose parts are written to the platform.
    :param stages: qualified names of the places of each stage.
    :raises RolloutStopped: ``rollout_stopped``, with all failed checks of the
        stage.
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
        inputs.report_line(f'stage {number}: {", ".join(places)}')
        trials = await try_stage(inputs, routers, new.signed.envelope)
        for trial in trials:
            inputs.report_line(_trial_line(trial))
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
    Run the trial of a bundle at several routers concurrently.

    :param inputs: dependencies and options.
    :param routers: VM records of the routers.
    :param envelope: signed manifest, whose parts are stored at the platform.
    :returns: results in the order of the routers.
    """

    async def run_trial(record: VmRecord) -> RouterTrial:
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
            tuple(
                report.get(
                    'problems', ('the trial report has no list of problems',)
                )
            ),
            tuple(report.get('notices', ())),
            report.get('took_ms', 0),
        )

    trials_by_vm = await query_routers(routers, run_trial)
    return [trials_by_vm[record.vm] for record in routers]


async def watch_statuses(
    read: ReadStatuses,
    version: int,
    timeout_s: float,
    report_line: Callable[[str], None],
) -> list[RouterStatus]:
    """
    Poll the routers until all reachable ones have a bundle in force.

    :param read: reads the statuses of all routers.
    :param version: version of the bundle; higher ones count as well.
    :param timeout_s: time-out in seconds.
    :param report_line: called once with the status line of each router that
        has the version.
    :returns: statuses of the routers that lack it or are unreachable.
    """
    reported: set[str] = set()
    deadline = trio.current_time() + timeout_s
    while True:
        statuses = await read()
        behind = [each for each in statuses if not _has_version(each, version)]
        for status in statuses:
            if _has_version(status, version) and status.vm not in reported:
                reported.add(status.vm)
                report_line(status_line(status))
        reachable = [each for each in behind if each.state != UNREACHABLE]
        if not reachable or trio.current_time() >= deadline:
            return behind
        await trio.sleep(_POLL_S)


def _has_version(status: RouterStatus, version: int) -> bool:
    is_reached = status.state != UNREACHABLE
    return is_reached and (status.version or 0) >= version


def _trial_line(trial: RouterTrial) -> str:
    columns = [trial.failure_domain, trial.vm]
    if trial.took_ms is None:
        columns.append('can not be reached')
    else:
        columns.append('refuses it' if trial.problems else 'would take it')
        columns.append(f'after {trial.took_ms} ms')
    columns.extend(f'problem: {each}' for each in trial.problems)
    columns.extend(f'notice: {each}' for each in trial.notices)
    return '  '.join(columns)


def _check_trials(places: Sequence[str], trials: list[RouterTrial]) -> None:
    answered = {
        trial.failure_domain for trial in trials if trial.took_ms is not None
    }
    reasons = [
        f'no router of {place} answers; leave the place out of --stages to '
        'accept the bundle while the place is unreachable'
        for place in places
        if place not in answered
    ]
    reasons.extend(
        f'{trial.vm}: {problem}'
        for trial in trials
        for problem in trial.problems
    )
    _raise_if_any(reasons)


def _check_health(
    trials: Iterable[RouterTrial], statuses: Iterable[RouterStatus]
) -> None:
    answered = {trial.vm for trial in trials if trial.took_ms is not None}
    _raise_if_any(
        [
            f'{status.vm} is {status.state} and not ready after the trial'
            for status in statuses
            if status.vm in answered and not status.ready
        ]
    )


def _raise_if_any(reasons: Sequence[str]) -> None:
    if reasons:
        lines = ('the bundle was not accepted', *reasons)
        raise RolloutStopped('rollout_stopped', '\n'.join(lines))
