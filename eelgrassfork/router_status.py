"""
eelgrassfork.router_status
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which bundle is in force at each router, as far as it can be reached.
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
    The bundle at one router.

    :param state: as listed, or ``unreachable``.
    :param version: version in force or last known, or ``None``.
    :param ready: whether it serves requests.
    :param in_force_s: seconds since it came into force, if known.
    :param heard_s_ago: of a router that can't be reached, seconds since a
        peer heard it last, if one did.
    :param heard_by: that peer's VM, or empty.
    :param problem: why a newer bundle is refused or missed, or empty.
    """

    failure_domain: str
    vm: str
    state: str
    version: int | None
    ready: bool = False
    in_force_s: float | None = None
    heard_s_ago: float | None = None
    heard_by: str = ''
    problem: str = ''


class _Heard(NamedTuple):
    s_ago: float
    by: str
    version: int


async def read_statuses(
    http: HttpClient, vms: Iterable[VmRecord], operator_key: str
) -> list[RouterStatus]:
    """
    Ask all routers which bundle is in force.

    :param http: connections.
    :param vms: the VM list.
    :param operator_key: the operators' key.
    :returns: a status for each router, by failure domain; of one that does
        not answer, what another one heard last.
    """
    routers = [record for record in vms if record.role == 'router']
    routers.sort(key=lambda record: (record.failure_domain, record.vm))

    async def ask(record: VmRecord) -> Mapping[str, Any] | None:
        address = record.operator_address
        call = RouterCall(address, 'GET', '/state', operator_key)
        try:
            dump = await call_router(http, call)
        except RouterError:
            return None
        return dump if isinstance(dump, dict) else None

    dumps_by_vm = await query_routers(routers, ask)
    return [_status(record, dumps_by_vm) for record in routers]


def status_line(status: RouterStatus) -> str:
    """
    Describe a status in one line.

    :param status: the status.
    :returns: place, VM, state, version, since when and trouble.
    """
    version = 'unknown' if status.version is None else status.version
    notes = []
    if status.in_force_s is not None:
        notes.append(f'for {status.in_force_s} s')
    if status.heard_s_ago is not None:
        notes.append(
            f'as its peers heard last: {status.heard_by}, '
            f'{status.heard_s_ago} s ago'
        )
    if status.problem:
        notes.append(status.problem)
    words = (
        status.failure_domain,
        status.vm,
        status.state,
        f'version {version}',
        '; '.join(notes),
    )
    return '  '.join(word for word in words if word)


def _status(
    record: VmRecord, dumps_by_vm: Mapping[str, Mapping[str, Any] | None]
) -> RouterStatus:
    place = (record.failure_domain, record.vm)
    dump = dumps_by_vm.get(record.vm)
    if dump is None:
        heard = _last_heard(record.vm, dumps_by_vm)
        if heard is None:
            return RouterStatus(*place, UNREACHABLE, None)
        return RouterStatus(
            *place,
            UNREACHABLE,
            heard.version,
            heard_s_ago=heard.s_ago,
            heard_by=heard.by,
        )
    rollout = dump.get('rollout') or {}
    return RouterStatus(
        *place,
        record.state,
        rollout.get('version'),
        ready=bool(rollout.get('ready')),
        in_force_s=rollout.get('in_force_for_s'),
        problem=str(rollout.get('last_problem') or ''),
    )


def _last_heard(
    vm: str, dumps_by_vm: Mapping[str, Mapping[str, Any] | None]
) -> _Heard | None:
    heard = [
        _Heard(peer.get('heard_s_ago', 0), by, peer.get('bundle_version', 0))
        for by, dump in dumps_by_vm.items()
        for peer in ((dump or {}).get('membership') or {}).get('peers', [])
        if peer.get('vm') == vm
    ]
    return min(heard, default=None)
