"""
eelgrassfork.router_admin
~~~~~~~~~~~~~~~~~~~~~~~~~

Calls of the routers' operator ports.
"""

from collections.abc import Iterable, Mapping
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
import trio

from .errors import EelgrassError
from .http_client import ClientRequest, HttpClient, HttpClientError
from .options import OptionsError, Problem
from .vm_list import VmRecord

__all__ = (
    'RouterCall',
    'RouterError',
    'RouterStatus',
    'call_router',
    'find_router',
    'read_operator_key',
    'read_statuses',
)

_MAX_CALLS: Final = 32


class RouterError(EelgrassError):
    """A router did not do what it was asked to."""


class RouterCall(NamedTuple):
    """
    A call of an operator port.

    :param address: ``ip:port`` of the port.
    :param operator_key: the operators' key.
    """

    address: str
    method: str
    path: str
    operator_key: str


class RouterStatus(NamedTuple):
    """
    The bundle at one router.

    :param state: as listed, or ``unreachable``.
    :param version: version in force or last known, or ``None``.
    :param note: age and trouble in words, or empty.
    """

    failure_domain: str
    vm: str
    state: str
    version: int | None
    note: str


def read_operator_key(path: str) -> str:
    """
    Read the operators' key, which must not stand on a command line.

    :param path: file that holds nothing else.
    :returns: the key.
    :raises OptionsError: if the file can't be read or is empty.
    """
    try:
        key = Path(path).read_text(encoding='ascii').strip()
    except (OSError, ValueError):
        raise OptionsError(Problem('can not be read', file=path)) from None
    if not key.isprintable() or not key:
        raise OptionsError(Problem('holds no key', file=path))
    return key


def find_router(vms: Iterable[VmRecord], vm: str) -> str:
    """
    Find a router's operator port.

    :param vms: the VM list.
    :param vm: name of the VM.
    :returns: ``ip:port``.
    :raises RouterError: ``unknown_router``.
    """
    for record in vms:
        if record.vm == vm and record.operator_address:
            return record.operator_address
    raise RouterError('unknown_router', f'the VM list has no router {vm!r}')


async def call_router(http: HttpClient, call: RouterCall) -> Any:
    """
    Call a router's operator port.

    :param http: connections.
    :param call: what to call.
    :returns: the decoded answer.
    :raises RouterError: ``router_unreachable`` or ``router_refused``.
    """
    headers = (('authorization', f'Bearer {call.operator_key}'),)
    request = ClientRequest(call.address, call.method, call.path, headers)
    try:
        response, body = await http.fetch(request)
    except HttpClientError as error:
        message = f'{call.address}: {error.message}'
        raise RouterError('router_unreachable', message) from None
    if response.status >= HTTPStatus.MULTIPLE_CHOICES:
        message = f'{call.address} answered {response.status}'
        raise RouterError('router_refused', message)
    try:
        return msgspec.json.decode(body) if body else {}
    except msgspec.DecodeError:
        message = f'{call.address}: the answer is not JSON'
        raise RouterError('router_refused', message) from None


async def read_statuses(
    http: HttpClient, vms: Iterable[VmRecord], operator_key: str
) -> list[RouterStatus]:
    """
    Ask all routers which bundle is in force.

    :param http: connections.
    :param vms: the VM list.
    :param operator_key: the operators' key.
    :returns: a status for each router; of one that does not answer, what
        another one heard last.
    """
    routers = [record for record in vms if record.role == 'router']
    dumps_by_vm: dict[str, Mapping[str, Any]] = {}
    limiter = trio.CapacityLimiter(_MAX_CALLS)

    async def ask(record: VmRecord) -> None:
        call = RouterCall(
            record.operator_address, 'GET', '/state', operator_key
        )
        async with limiter:
            try:
                dump = await call_router(http, call)
            except RouterError:
                return
        if isinstance(dump, dict):
            dumps_by_vm[record.vm] = dump

    async with trio.open_nursery() as nursery:
        for router in routers:
            nursery.start_soon(ask, router)
    routers.sort(key=lambda record: (record.failure_domain, record.vm))
    return [_status(record, dumps_by_vm) for record in routers]


def _status(
    record: VmRecord, dumps_by_vm: Mapping[str, Mapping[str, Any]]
) -> RouterStatus:
    dump = dumps_by_vm.get(record.vm)
    if dump is None:
        known = _last_known(record.vm, dumps_by_vm.values())
        note = '' if known is None else 'as its peers heard last'
        return RouterStatus(
            record.failure_domain, record.vm, 'unreachable', known, note
        )
    rollout = dump.get('rollout') or {}
    notes = []
    if rollout.get('in_force_for_s') is not None:
        notes.append(f'for {rollout["in_force_for_s"]} s')
    if rollout.get('last_problem'):
        notes.append(str(rollout['last_problem']))
    return RouterStatus(
        record.failure_domain,
        record.vm,
        record.state,
        rollout.get('version'),
        '; '.join(notes),
    )


def _last_known(vm: str, dumps: Iterable[Mapping[str, Any]]) -> int | None:
    versions = [
        peer.get('bundle_version', 0)
        for dump in dumps
        for peer in (dump.get('membership') or {}).get('peers', [])
        if peer.get('vm') == vm
    ]
    return max(versions, default=None)
