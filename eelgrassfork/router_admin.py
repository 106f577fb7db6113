"""
eelgrassfork.router_admin
~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the routers' operator ports.
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

_MAX_CONCURRENT_CALLS: Final = 32


class RouterError(EelgrassError):
    """A call of an operator port failed."""


class RouterCall(NamedTuple):
    """
    A request to an operator port.

    :param address: ``ip:port`` of the operator port.
    :param operator_key: the operators' key.
    :param body: request body.
    """

    address: str
    method: str
    path: str
    operator_key: str
    body: bytes = b''


def read_operator_key(path: str) -> str:
    """
    Read the operators' key from a file.

    The key must not appear on a command line.

    :param path: file that contains only the key.
    :returns: the key.
    :raises OptionsError: if the file can't be read or is empty.
    """
    try:
        key = Path(path).read_text(encoding='ascii').strip()
    except (OSError, ValueError):
        raise OptionsError(Problem('cannot be read', file=path)) from None
    if not key.isprintable() or not key:
        raise OptionsError(
            Problem('does not contain a printable key', file=path)
        )
    return key


def find_operator_address(vms: Iterable[VmRecord], vm: str) -> str:
    """
    Look up the address of a router's operator port.

    :param vms: the VM list.
    :param vm: name of the VM.
    :returns: ``ip:port``.
    :raises RouterError: ``unknown_router`` if the VM list has no such router.
    """
    for record in vms:
        if record.vm == vm and record.operator_address:
            return record.operator_address
    raise RouterError('unknown_router', f'no router {vm!r} in the VM list')


async def call_router(http: HttpClient, call: RouterCall) -> Any:
    """
    Call a router's operator port.

    :param http: HTTP client.
    :param call: the request.
    :returns: the decoded response.
    :raises RouterError: ``router_unreachable`` if there is no response,
        ``router_refused`` if its status is 300 or above or it is not JSON.
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
        message = f'{call.address} responded with HTTP status {response.status}'
        raise RouterError('router_refused', message)
    try:
        return msgspec.json.decode(body) if body else {}
    except msgspec.DecodeError:
        message = f'{call.address}: the response is not valid JSON'
        raise RouterError('router_refused', message) from None


async def query_routers(
    routers: Iterable[VmRecord],
    query: Callable[[VmRecord], Awaitable[Answer]],
) -> dict[str, Answer]:
    """
    Query several routers concurrently.

    :param routers: records of the routers.
    :param query: queries one router.
    :returns: results by VM.
    """
    answers_by_vm: dict[str, Answer] = {}
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

    async def query_one(record: VmRecord) -> None:
        async with limiter:
            answers_by_vm[record.vm] = await query(record)

    async with trio.open_nursery() as nursery:
        for router in routers:
            nursery.start_soon(query_one, router)
    return answers_by_vm
