"""
eelgrassfork.access
~~~~~~~~~~~~~~~~~~~

Authenticates callers and checks which services they may call.
"""

import hashlib
from collections.abc import Mapping

from .bundle_lookup import find_caller
from .bundle_types import Bundle, Caller, Service
from .claim_records import refusal
from .errors import RequestError

__all__ = ('authenticate', 'bearer_key', 'check_permission')


def bearer_key(headers_by_name: Mapping[str, str]) -> str:
    """
    Extract the key of an ``Authorization: Bearer`` header.

    :param headers_by_name: the request's headers by lower-case name.
    :returns: the key, or an empty string if there is none.
    """
    scheme, _, key = headers_by_name.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def authenticate(
    bundle: Bundle, headers_by_name: Mapping[str, str], fleet: str
) -> Caller:
    """
    Authenticate the caller of a request.

    :param bundle: current configuration.
    :param headers_by_name: the request's headers by lower-case name.
    :param fleet: the router's fleet.
    :returns: the caller.
    :raises RequestError: ``unknown_key``, with the bundle version in the
        message.
    """
    key = bearer_key(headers_by_name)
    # Only hashes are compared, so the look-up time reveals nothing of the key.
    digest = hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()
    caller = find_caller(bundle, digest, fleet) if key else None
    if caller is None:
        raise refusal(
            'unknown_key',
            f'bundle version {bundle.version} has no such key',
            headers_by_name,
        )
    return caller


def check_permission(
    bundle: Bundle, caller: Caller, service: Service | None, name: str
) -> Service:
    """
    Check that a caller may call a service.

    :param bundle: current configuration.
    :param caller: the authenticated caller.
    :param service: the service, or ``None`` if the bundle has none of that
        name.
    :param name: name of the service as given by the caller.
    :returns: the service.
    :raises RequestError: ``unknown_service`` or ``service_forbidden``, with
        the bundle version in the message.
    """
    version = f'bundle version {bundle.version}'
    if service is None:
        raise RequestError(
            'unknown_service', f'{version} has no service {name!r}'
        )
    if service.name not in caller.organisation.services:
        raise RequestError(
            'service_forbidden',
            f'{version} does not allow {caller.organisation.name} to call '
            f'{service.name}',
        )
    return service
