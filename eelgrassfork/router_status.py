"""
eelgrassfork.router_status
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads which bundle is in force at each router, from it or from its peers.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from .http_client import HttpClient
from .router_admin import RouterCall, RouterError, call_router, query_routers
from .vm_list import VmRecord

__all__ = ('UNREACHABLE', 'RouterStatus', 'read_statuses', 'status_line')

UNREACHABLE: Final = 'unreachable'


class RouterStatus(NamedTuple):
    """
    Status of the bundle at one router.

    :param state: state in the VM list, or ``unreachable``.
    :param version: version in force or last known, or ``None``.
    :param ready: whether the router serves requests.
    :param in_force_s: seconds since the version came into force, if known.
    :param heard_s_ago: for an unreachable router, seconds since a peer last
        received a heartbeat from it, if one did.
    :param reported_by: that peer's VM, or empty.
    :param problem: why a newer bundle was rejected or is missing, or empty.
    """

    failure_domain: str
    vm: str
    state: str
    version: int | None
    ready: bool = False
    in_force_s: float | None = None
    heard_s_ago: float | None = None
    reported_by: str = ''
    problem: str = ''


class _PeerReport(NamedTuple):
    age_s: float
    reporter: str
    version: int


async def read_statuses(
    http: HttpClient, vms: Iterable[VmRecord], operator_key: str
) -> list[RouterStatus]:
    """
    Query all routers for the bundle in force.

    :param http: HTTP client.
    :param vms: the VM list.
    :param operator_key: the operators' key.
    :returns: a status for each router, ordered by failure domain and VM; for
        a router that does not respond, the latest report of its peers.
    """
    routers = [record for record in vms if record.role == 'router']
    routers.sort(key=lambda record: (record.failure_domain, record.vm))

    async def query(record: VmRecord) -> Mapping[str, Any] | None:
        address = record.operator_address
        call = RouterCall(address, 'GET', '/state', operator_key)
        try:
            dump = await call_router(http, call)
        except RouterError:
            return None
        return dump if isinstance(dump, dict) else None

    dumps_by_vm = await query_routers(routers, query)
    return [_status(record, dumps_by_vm) for record in routers]


def status_line(status: RouterStatus) -> str:
    """
    Format a status as one line.

    :param status: the status.
    :returns: failure domain, VM, state, version, age and problem.
    """
    version = 'unknown' if status.version is None else status.version
    notes = []
    if status.in_force_s is not None:
        notes.append(f'for {status.in_force_s} s')
    if status.heard_s_ago is not None:
        notes.append(
            f'as its peers last reported: {status.reported_by}, '
            f'{status.heard_s_ago} s ago'
        )
    if status.problem:
        notes.append(status.problem)
    columns = (
        status.failure_domain,
        status.vm,
        status.state,
        f'version {version}',
        '; '.join(notes),
    )
    return '  '.join(column for column in columns if column)


def _status(
    record: VmRecord, dumps_by_vm: Mapping[str, Mapping[str, Any] | None]
) -> RouterStatus:
    identity = (record.failure_domain, record.vm)
    dump = dumps_by_vm.get(record.vm)
    if dump is None:
        report = _latest_peer_report(record.vm, dumps_by_vm)
        if report is None:
            return RouterStatus(*identity, UNREACHABLE, None)
        return RouterStatus(
            *identity,
            UNREACHABLE,
            report.version,
            heard_s_ago=report.age_s,
            reported_by=report.reporter,
        )
    rollout = dump.get('rollout') or {}
    return RouterStatus(
        *identity,
        record.state,
        rollout.get('version'),
        ready=bool(rollout.get('ready')),
        in_force_s=rollout.get('in_force_for_s'),
        problem=str(rollout.get('last_problem') or ''),
    )


def _latest_peer_report(
    vm: str, dumps_by_vm: Mapping[str, Mapping[str, Any] | None]
) -> _PeerReport | None:
    reports = [
        _PeerReport(
            peer.get('heard_s_ago', 0), reporter, peer.get('bundle_version', 0)
        )
        for reporter, dump in dumps_by_vm.items()
        for peer in ((dump or {}).get('membership') or {}).get('peers', [])
        if peer.get('vm') == vm
    ]
    return min(reports, default=None)
