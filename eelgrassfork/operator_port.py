"""
eelgrassfork.operator_port
~~~~~~~~~~~~~~~~~~~~~~~~~~

Operator API: health, readiness, state dump, drain and bundle trial.
"""

import hashlib
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple

import logbook
import msgspec

from .access import bearer_key
from .errors import RequestError
from .http_server import Call

__all__ = ('OperatorParts', 'operator_handler')

_log = logbook.Logger('operator')

_OK: Final = 200
_ACCEPTED: Final = 202
_UNAVAILABLE: Final = 503

_TRIAL: Final = ('POST', '/bundle/trial')

_Response = tuple[int, object]
_DumpQuery = Callable[[], Mapping[str, Any]]


class OperatorParts(NamedTuple):
    """
    Dependencies of the operator API.

    :param key_hash: SHA-256 of the operators' key in hexadecimal.
    :param unready: returns why this router should get no new requests, or
        an empty string; not empty from the beginning of a drain.
    :param dumps_by_part: functions that dump the state of each component.
    :param drain: begins a drain; repeated calls have no effect.
    :param try_bundle: validates a signed manifest and returns a report, or
        ``None`` if bundle trials are not available.
    """

    key_hash: str
    unready: Callable[[], str]
    dumps_by_part: Mapping[str, _DumpQuery]
    drain: Callable[[], None]
    try_bundle: Callable[[bytes], Awaitable[object]] | None = None


def operator_handler(parts: OperatorParts) -> Callable[[Call], Awaitable[None]]:
    """
    Create the request handler of the operator listener.

    All calls except health and readiness require the operators' key.

    :param parts: dependencies of the handler.
    :returns: handler of a request; raises
        :class:`~eelgrassfork.errors.RequestError`.
    """

    def health() -> _Response:
        return _OK, {}

    def readiness() -> _Response:
        reason = parts.unready()
        status = _UNAVAILABLE if reason else _OK
        return status, {'ready': not reason, 'reason': reason}

    def state() -> _Response:
        return _OK, {
            part: _encode_dump(part, query)
            for part, query in parts.dumps_by_part.items()
        }

    def drain() -> _Response:
        _log.notice('operator: drain requested')
        parts.drain()
        return _ACCEPTED, {'state': 'draining'}

    public = {('GET', '/healthz'): health, ('GET', '/readyz'): readiness}
    private = {('GET', '/state'): state, ('POST', '/drain'): drain}

    async def serve(call: Call) -> None:
        route = (call.method, call.path)
        handler = public.get(route)
        if handler is None:
            _check_key(parts.key_hash, call)
            handler = private.get(route)
        if handler is None:
            status, body = await _try_bundle(parts, call)
        else:
            status, body = handler()
        await call.respond(status, msgspec.json.encode(body))

    return serve


async def _try_bundle(parts: OperatorParts, call: Call) -> _Response:
    if (call.method, call.path) != _TRIAL or parts.try_bundle is None:
        raise RequestError('invalid_request', 'no such operator call')
    return _OK, await parts.try_bundle(call.body)


def _check_key(key_hash: str, call: Call) -> None:
    key = bearer_key(call.headers_by_name)
    given = hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()
    if not key or not hmac.compare_digest(given, key_hash.lower()):
        raise RequestError('unknown_key', "missing or wrong operators' key")


def _encode_dump(part: str, query: _DumpQuery) -> msgspec.Raw:
    # A component whose dump fails must not hide the state of the others.
    try:
        return msgspec.Raw(msgspec.json.encode(query(), enc_hook=str))
    except Exception as error:
        _log.exception('operator: the state dump of {} failed', part)
        return msgspec.Raw(msgspec.json.encode({'error': repr(error)}))
