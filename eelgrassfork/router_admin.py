"""
eelgrassfork.router_admin
~~~~~~~~~~~~~~~~~~~~~~~~~

Calls of the routers' operator ports.
"""

from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar

import msgspec
import trio

from .errors import EelgrassError
from .http_client import ClientRequest, HttpClient, HttpClientError
from .options import OptionsError, Problem
from .vm_list import VmRecord

__all__ = (
    'RouterCall',
    'RouterError',
    'call_router',
    'find_operator_address',
    'query_routers',
    'read_operator_key',
)

Answer = TypeVar('Answer')

_MAX_CALLS: Final = 32


class RouterError(EelgrassError):
    """A router did not do what it was asked to."""


class RouterCall(NamedTuple):
    """
    A call of an operator port.

    :param address: ``ip:port`` of the port.
    :param operator_key: the operators' key.
    :param body: what to send.
    """

    address: str
    method: str
    path: str
    operator_key: str
    body: bytes = b''


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


def find_operator_address(vms: Iterable[VmRecord], vm: str) -> str:
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
    request = ClientRequest(
        call.address, call.method, call.path, headers, call.body
    )
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


async def query_routers(
    routers: Iterable[VmRecord],
    ask: Callable[[VmRecord], Awaitable[Answer]],
) -> dict[str, Answer]:
    """
    Ask several routers at once.

    :param routers: their records.
    :param ask: asks one.
    :returns: answers by VM.
    """
    answers_by_vm: dict[str, Answer] = {}
    limiter = trio.CapacityLimiter(_MAX_CALLS)

    async def ask_one(record: VmRecord) -> None:
        async with limiter:
            answers_by_vm[record.vm] = await ask(record)

    async with trio.open_nursery() as nursery:
        for router in routers:
            nursery.start_soon(ask_one, router)
    return answers_by_vm
