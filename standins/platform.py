"""
standins.platform
~~~~~~~~~~~~~~~~~

Stand-in for the platform's HTTP API.
"""

import argparse
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec

from eelgrassfork.http_server import Call
from eelgrassfork.platform_types import (
    AnswerLost,
    Conflict,
    PlatformError,
    PlatformRefused,
    StoredObject,
)
from eelgrassfork.process_signals import ProcessSignals
from eelgrassfork.transport import TCP, Transport
from eelgrassfork.vm_list import VmRecord

from .platform_core import PlatformCore, RateLimits
from .serving import (
    HttpStandin,
    InvalidAdminRequest,
    admin_fields,
    respond_error,
    respond_json,
    serve_until_stopped,
)

__all__ = ('PlatformStandin',)

_RequestHandler = Callable[[Call], Awaitable[None]]

_OBJECTS: Final = '/v1/objects/'
_WEIGHTS: Final = '/v1/weights/'
_BINARY: Final = (('content-type', 'application/octet-stream'),)
_STATUS_BY_CODE: Final = {
    'rate_limited': 429,
    'platform_down': 503,
    'client_cut': 503,
    'too_large': 413,
    'not_found': 404,
    'precondition_required': 428,
}


class _FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    down: bool | msgspec.UnsetType = msgspec.UNSET
    slow_ms: float | msgspec.UnsetType = msgspec.UNSET
    lose_answers: int | msgspec.UnsetType = msgspec.UNSET
    drop_writes: int | msgspec.UnsetType = msgspec.UNSET
    stale_vms: bool | msgspec.UnsetType = msgspec.UNSET
    cut: list[str] | msgspec.UnsetType = msgspec.UNSET


class _VmsBody(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[dict[str, str]] | msgspec.UnsetType = msgspec.UNSET
    patch: dict[str, dict[str, str] | None] | msgspec.UnsetType = msgspec.UNSET
    lag_ms: float | msgspec.UnsetType = msgspec.UNSET


class PlatformStandin(HttpStandin):
    """
    The platform in this process.

    :param limits: enforced rate limits.
    :param transport: transport that accepts connections.
    :ivar core: state of the platform, for inspection by tests.
    """

    def __init__(
        self, limits: RateLimits | None = None, transport: Transport = TCP
    ) -> None:
        super().__init__(self._serve, transport)
        self.core = PlatformCore(limits)
        self._handlers_by_route: dict[tuple[str, str], _RequestHandler] = {
            ('GET', '/v1/objects'): self._list,
            ('GET', '/v1/watch'): self._watch,
            ('GET', '/v1/vms'): self._vms,
            ('POST', '/admin/faults'): self._admin_faults,
            ('POST', '/admin/vms'): self._admin_vms,
            ('GET', '/admin/counters'): self._admin_counters,
        }
        self._object_handlers: dict[str, _RequestHandler] = {
            'GET': self._get,
            'PUT': self._put,
            'DELETE': self._delete,
        }

    def set_faults(self, **changes: Any) -> None:
        """
        Update active faults.

        :param changes: new values of fields of
            :class:`~standins.platform_core.Faults`.
        """
        self.core.change_faults(**changes)

    def set_vms(self, *vms: VmRecord) -> None:
        """
        Replace the VM list at the next revision.

        :param vms: all VMs.
        """
        self.core.vm_lists.replace(vms)

    async def _serve(self, call: Call) -> None:
        try:
            await self._find_handler(call)(call)
        except AnswerLost:
            await call.abort()
        except PlatformError as error:
            await _respond_platform_error(call, error)
        except (InvalidAdminRequest, ValueError) as error:
            await respond_error(call, 400, 'bad_call', str(error))

    def _find_handler(self, call: Call) -> _RequestHandler:
        if call.path.startswith(_OBJECTS):
            handlers = self._object_handlers
            return handlers.get(call.method, _not_found)
        if call.path.startswith(_WEIGHTS):
            return self._weight
        return self._handlers_by_route.get((call.method, call.path), _not_found)

    async def _get(self, call: Call) -> None:
        key = call.path.removeprefix(_OBJECTS)
        stored = await self.core.read(
            _client(call), 'get', lambda: self.core.objects.get(key)
        )
        if stored is None:
            await _not_found(call)
        else:
            headers = (*_BINARY, _etag(stored.version))
            await call.respond(200, stored.body, headers)

    async def _put(self, call: Call) -> None:
        key = call.path.removeprefix(_OBJECTS)
        expected = _precondition(call)
        version = await self.core.write(
            _client(call),
            'put',
            lambda: self.core.objects.put(key, call.body, expected),
        )
        await call.respond(200, b'', (_etag(version),))

    async def _delete(self, call: Call) -> None:
        key = call.path.removeprefix(_OBJECTS)
        expected = _precondition(call)
        if expected is None:
            raise PlatformRefused(
                'precondition_required', 'no If-Match version given'
            )
        await self.core.write(
            _client(call),
            'delete',
            lambda: self.core.objects.delete(key, expected),
        )
        await call.respond(200, b'', ())

    async def _list(self, call: Call) -> None:
        prefix = call.query_by_name.get('prefix', '')
        listed: list[StoredObject] = await self.core.read(
            _client(call),
            'list',
            lambda: self.core.objects.list_objects(prefix),
        )
        await call.respond(200, msgspec.msgpack.encode(listed), _BINARY)

    async def _watch(self, call: Call) -> None:
        query = call.query_by_name
        wait_s = float(query.get('wait_ms', '0')) / 1000
        seen = await self.core.watch(
            _client(call),
            query.get('prefix', ''),
            int(query.get('after', '0')),
            wait_s,
        )
        await call.respond(200, msgspec.msgpack.encode(seen), _BINARY)

    async def _vms(self, call: Call) -> None:
        listed = await self.core.read(
            _client(call), 'vms', self.core.vm_lists.visible
        )
        vms = [vm._asdict() for vm in listed.vms]
        await respond_json(call, {'revision': listed.revision, 'vms': vms})

    async def _weight(self, call: Call) -> None:
        name = call.path.removeprefix(_WEIGHTS)
        weight = await self.core.read(
            _client(call),
            'weight',
            lambda: self.core.weights_by_name.get(name),
        )
        if weight is None:
            await _not_found(call)
        else:
            await call.respond(200, weight, _BINARY)

    async def _admin_faults(self, call: Call) -> None:
        changes = admin_fields(call.body, _FaultsBody)
        slow_ms = changes.pop('slow_ms', None)
        if slow_ms is not None:
            changes['delay_s'] = slow_ms / 1000
        self.core.change_faults(**changes)
        await respond_json(call, {})

    async def _admin_vms(self, call: Call) -> None:
        changes = admin_fields(call.body, _VmsBody)
        lists = self.core.vm_lists
        lists.lag_s = changes.get('lag_ms', lists.lag_s * 1000) / 1000
        vms = changes.get('vms')
        if vms is not None:
            lists.replace(tuple(_record({}, row) for row in vms))
        rows = {vm.vm: vm._asdict() for vm in lists.latest().vms}
        patch = {
            vm: row and _record(rows.get(vm, {'vm': vm}), row)
            for vm, row in changes.get('patch', {}).items()
        }
        if patch:
            lists.patch(patch)
        await respond_json(call, {'revision': lists.latest().revision})

    async def _admin_counters(self, call: Call) -> None:
        counters = {
            'calls_by_kind': self.core.calls_by_kind,
            'refused_by_code': self.core.refused_by_code,
            'revision': self.core.objects.revision,
        }
        await respond_json(call, counters)


async def _not_found(call: Call) -> None:
    await respond_error(call, 404, 'not_found', f'no resource at {call.path}')


async def _respond_platform_error(call: Call, error: PlatformError) -> None:
    if not isinstance(error, Conflict):
        status = _STATUS_BY_CODE[error.code]
        await respond_error(call, status, error.code, error.message)
    elif error.current_version is None:
        await call.respond(412, b'', ())
    else:
        await call.respond(412, b'', (_etag(error.current_version),))


def _client(call: Call) -> str:
    return call.headers_by_name.get('x-client', '')


def _etag(version: int) -> tuple[str, str]:
    return ('etag', f'"{version}"')


def _precondition(call: Call) -> int | None:
    if call.headers_by_name.get('if-none-match') == '*':
        return None
    version = call.headers_by_name.get('if-match', '').strip('"')
    if not version.isdecimal():
        raise PlatformRefused(
            'precondition_required', 'no If-Match version given'
        )
    return int(version)


def _record(known: dict[str, str], changes: dict[str, str]) -> VmRecord:
    fields = {**known, **changes}
    try:
        record = VmRecord(**fields)  # type: ignore[arg-type]
        return msgspec.convert(list(record), VmRecord)
    except (TypeError, msgspec.ValidationError) as error:
        raise InvalidAdminRequest(str(error)) from None


def run(signals: ProcessSignals) -> int:
    """
    Run the platform until it is stopped.

    :param signals: signals received by this process.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(description='Stand-in for the platform.')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--vm-lag-ms', type=float, default=0)
    options = parser.parse_args(sys.argv[2:])
    standin = PlatformStandin()
    standin.core.vm_lists.lag_s = options.vm_lag_ms / 1000
    return serve_until_stopped(standin, options.host, options.port, signals)
