"""
eelgrassfork.plain_request
~~~~~~~~~~~~~~~~~~~~~~~~~~

Validates plain calls, and determines whether they are idempotent.
"""

import hashlib
import math
import re
from collections.abc import Mapping
from typing import Final, NamedTuple
from urllib.parse import unquote

import trio

from .access import check_permission
from .bundle_lookup import find_service
from .bundle_types import Bundle, Caller, Service
from .claim_records import refusal, refusal_outcome
from .errors import RequestError
from .http_server import HOP_BY_HOP, Call
from .names import qualify

__all__ = (
    'PlainRequest',
    'end_to_end_headers',
    'parse_plain_request',
)

_SERVICES_PREFIX: Final = '/services/'
_MAX_KEY_CHARACTERS: Final = 255
_MS: Final = 1000
_TIMEOUT_MS: Final = re.compile('[0-9]{1,9}')
_UNSUPPORTED_METHODS: Final = frozenset(('CONNECT', 'TRACE'))
# The router sets these headers itself, or is their only recipient. Method
# overrides are removed because a server must only see the checked method.
_REMOVED_HEADERS: Final = frozenset(
    (
        'authorization',
        'content-length',
        'expect',
        'host',
        'x-http-method',
        'x-http-method-override',
        'x-method-override',
        'x-request-id',
    ),
)


class PlainRequest(NamedTuple):
    """
    A validated plain call.

    :param target: path and query at the backend server.
    :param headers: headers to forward.
    :param is_idempotent: whether the call is idempotent.
    :param key: idempotency key, empty if there is none.
    :param body_hash: hash of service, method, target and body.
    :param first_attempt: whether no earlier attempt can exist.
    :param deadline: time on the clock of trio after which the call is no
        longer sent.
    """

    caller: Caller
    service: Service
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    is_idempotent: bool
    key: str
    body_hash: str
    first_attempt: bool
    deadline: float


class _Destination(NamedTuple):
    service: Service
    qualified_name: str
    target: str


def parse_plain_request(
    call: Call, caller: Caller, bundle: Bundle
) -> PlainRequest:
    """
    Validate a plain call.

    :param call: the request as it arrived.
    :param caller: authenticated sender.
    :param bundle: configuration in force.
    :returns: the validated call.
    :raises RequestError: if it is invalid or not permitted.
    """
    destination = _find_service(call.target, caller, bundle)
    service = destination.service
    headers = call.headers_by_name
    if call.method in _UNSUPPORTED_METHODS:
        raise _invalid(f'method {call.method} is not supported', headers)
    is_idempotent = _is_idempotent(service, call.method, destination.target)
    return PlainRequest(
        caller=caller,
        service=service,
        method=call.method,
        target=destination.target,
        headers=tuple(end_to_end_headers(headers).items()),
        body=call.body,
        request_id=call.request_id,
        is_idempotent=is_idempotent,
        key=_checked_key(headers, is_idempotent),
        body_hash=_body_hash(destination, call),
        first_attempt=refusal_outcome(headers) == 'not_run',
        deadline=_deadline(headers, service, is_idempotent),
    )


def end_to_end_headers(headers_by_name: Mapping[str, str]) -> dict[str, str]:
    """
    Remove hop-by-hop headers and those meant for this router.

    :param headers_by_name: all headers by lower-case name.
    :returns: the headers to forward.
    """
    qualified_name = headers_by_name.get('connection', '').lower().split(',')
    left_out = (
        HOP_BY_HOP
        | _REMOVED_HEADERS
        | {name.strip() for name in qualified_name}
    )
    return {
        name: text
        for name, text in headers_by_name.items()
        if name not in left_out
    }


def _find_service(target: str, caller: Caller, bundle: Bundle) -> _Destination:
    path, question, query = target.partition('?')
    first, slash, rest = path.removeprefix(_SERVICES_PREFIX).partition('/')
    second, second_slash, rest_after_second = rest.partition('/')
    # Services of the caller's fleet take precedence, so that a merger with a
    # fleet of the same name changes no calls. "fleet%2Fname" is always
    # qualified by the fleet.
    candidates = (
        (unquote(first), slash + rest),
        (
            f'{unquote(first)}/{unquote(second)}',
            second_slash + rest_after_second,
        ),
    )
    service = None
    for name, service_path in candidates:
        service = _plain_service(name, caller, bundle)
        if service is not None:
            _check_path(service_path)
            check_permission(bundle, caller, service, name)
            qualified_name = str(qualify(name, caller.fleet))
            target = f'{service_path or "/"}{question}{query}'
            return _Destination(service, qualified_name, target)
    raise RequestError(
        'unknown_service',
        f'bundle version {bundle.version} has no plain service at {path!r}',
    )


def _plain_service(name: str, caller: Caller, bundle: Bundle) -> Service | None:
    service = find_service(bundle, name, caller.fleet)
    return service if service and service.kind == 'plain' else None


def _check_path(path: str) -> None:
    # A server that resolves "stock/../orders" would run an order under a path
    # that is listed as idempotent.
    decoded = unquote(path).replace('\\', '/')
    if {'.', '..'} & set(decoded.split('/')):
        raise RequestError(
            'invalid_request', 'the path contains a "." or ".." segment'
        )


def _is_idempotent(service: Service, method: str, target: str) -> bool:
    if method in service.idempotent_methods:
        return True
    path = target.partition('?')[0]
    return any(
        f'{path}/'.startswith(f'/{prefix.strip("/")}/'.replace('//', '/'))
        for prefix in service.idempotent_paths
    )


def _checked_key(headers: Mapping[str, str], is_idempotent: bool) -> str:
    key = headers.get('idempotency-key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise _invalid('the Idempotency-Key header is too long', headers)
    if not key and not is_idempotent:
        raise RequestError(
            'idempotency_key_required',
            'a call that is not idempotent requires an Idempotency-Key header',
        )
    return key


def _body_hash(destination: _Destination, call: Call) -> str:
    # The hash uses the service name given by the caller, so that a retry
    # after the service was renamed is still recognised as the same call.
    hashed = hashlib.sha256()
    for part in (destination.qualified_name, call.method, destination.target):
        hashed.update(f'{part}\n'.encode('utf-8', 'surrogateescape'))
    hashed.update(call.body)
    return hashed.hexdigest()


def _deadline(
    headers: Mapping[str, str], service: Service, is_idempotent: bool
) -> float:
    timeout = headers.get('x-request-timeout-ms')
    if timeout is None:
        # An order must not start after its router was paused for a long time.
        bound_s = service.first_byte_ms / _MS
        return math.inf if is_idempotent else trio.current_time() + bound_s
    if not _TIMEOUT_MS.fullmatch(timeout):
        raise _invalid(
            'X-Request-Timeout-Ms is not a non-negative integer', headers
        )
    return trio.current_time() + int(timeout) / _MS


def _invalid(message: str, headers: Mapping[str, str]) -> RequestError:
    return refusal('invalid_request', message, headers)
