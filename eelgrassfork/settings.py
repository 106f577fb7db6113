"""
eelgrassfork.settings
~~~~~~~~~~~~~~~~~~~~~

Settings of a router, read from JSON with comments.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any, Final, Literal, NamedTuple

from msgspec import Meta

from .json_comments import Document, problems_of, read_document
from .names import BadName, qualify
from .options import Problems, read_record
from .signing import SigningError, check_trusted_key

__all__ = (
    'Endpoint',
    'RouterSettings',
    'check_settings',
    'load_settings',
    'public_settings',
)

_HASH: Final = re.compile('[0-9a-f]{64}')
_PORT: Final = re.compile('[0-9]{1,5}')
_SECRETS: Final = frozenset(('peer_key', 'operator_key_hash'))
_MAX_PORT: Final = 65535

_DAY_MS: Final = 86_400_000
_MIN_BYTES: Final = 1_024
_MAX_BYTES: Final = 1_073_741_824
_MIN_PEER_KEY: Final = 16
_LEAST_SERVERS: Final = 4
_LEAST_RATE: Final = 0.001
_MOST_RATE: Final = 10_000

_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_Ms = Annotated[int, Meta(ge=1, le=_DAY_MS)]
_Servers = Annotated[int, Meta(ge=_LEAST_SERVERS)]
_Rate = Annotated[float, Meta(ge=_LEAST_RATE, le=_MOST_RATE)]
_Bytes = Annotated[int, Meta(ge=_MIN_BYTES, le=_MAX_BYTES)]
_PeerKey = Annotated[str, Meta(min_length=_MIN_PEER_KEY)]
_Check = Callable[[Any], str]


class Endpoint(NamedTuple):
    """
    An IP address and a port.

    :param port: 0 lets a listener take any free port.
    """

    host: str
    port: _Port


class RouterSettings(NamedTuple):
    """
    Settings of one router.

    :param vm: name of the VM, unique for all time.
    :param fleet: the fleet it belongs to.
    :param failure_domain: qualified name of its place.
    :param callers: listener for callers.
    :param peers: listener for other routers.
    :param operators: listener for operators.
    :param platform: ``ip:port`` of the platform.
    :param peer_key: shared key of the routers.
    :param operator_key_hash: SHA-256 of the operators' key in hexadecimal.
    :param trusted_keys: public keys in base64 by key identifier.
    :param seed_peers: ``ip:port`` of peer listeners to ask at the start.
    :param statsd: where metrics go, or ``None``.
    :param heartbeat_ms: interval of exchanges with peers.
    :param report_interval_ms: interval of ledger writes.
    :param platform_timeout_ms: bound on one call of the platform.
    :param vm_list_ms: interval of reads of the VM list.
    :param watch_wait_ms: longest wait of a watch at the platform; bounds
        how long a watch whose connection went silent delays a bundle.
    :param offer_wait_ms: longest wait for peers to take an offered bundle.
    :param frozen_after_ms: lateness of the event loop after which the
        bundle is caught up before requests are served.
    :param lease_ms: how long a lease on the orders of a service lasts
        without renewal.
    :param engine_check_ms: shortest interval of reads of an engine's state
        by the router that gives its orders.
    :param engine_reads_per_s: such reads a second, for each service; with
        more engines than it reads in ``engine_check_ms``, that interval
        grows.
    :param weight_reads_per_s: orders a second that make engines read the
        weight store, of all services together.
    :param servers_per_service: backend servers of one service that the
        router uses, or more where there are few routers; a service with
        fewer is used as a whole.
    :param drain_grace_ms: time in which new requests are still served
        after a drain began.
    :param drain_limit_ms: longest drain.
    :param header_timeout_ms: longest time for a caller's headers.
    :param body_timeout_ms: longest time for a caller's body.
    :param idle_timeout_ms: longest idle time of a caller's connection.
    """

    vm: str
    fleet: str
    failure_domain: str
    region: str
    callers: Endpoint
    peers: Endpoint
    operators: Endpoint
    platform: str
    peer_key: _PeerKey
    operator_key_hash: str
    trusted_keys: dict[str, str]
    seed_peers: tuple[str, ...] = ()
    statsd: Endpoint | None = None
    log_format: Literal['text', 'json'] = 'text'
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    heartbeat_ms: _Ms = 1_000
    report_interval_ms: _Ms = 2_000
    platform_timeout_ms: _Ms = 1_000
    vm_list_ms: _Ms = 1_000
    watch_wait_ms: _Ms = 5_000
    offer_wait_ms: _Ms = 2_000
    frozen_after_ms: _Ms = 5_000
    lease_ms: _Ms = 10_000
    engine_check_ms: _Ms = 5_000
    engine_reads_per_s: _Rate = 4
    weight_reads_per_s: _Rate = 2
    servers_per_service: _Servers = 24
    drain_grace_ms: _Ms = 2_000
    drain_limit_ms: _Ms = 600_000
    max_header_bytes: _Bytes = 16_384
    max_body_bytes: _Bytes = 8_388_608
    header_timeout_ms: _Ms = 10_000
    body_timeout_ms: _Ms = 30_000
    idle_timeout_ms: _Ms = 75_000


def load_settings(path: str) -> RouterSettings:
    """
    Read and check a settings file.

    :param path: path of the file.
    :returns: the settings.
    :raises OptionsError: naming file, line and option of all that is wrong.
    """
    return check_settings(read_document(path))


def check_settings(document: Document) -> RouterSettings:
    """
    Check settings.

    :param document: the decoded file.
    :returns: the settings.
    :raises OptionsError: naming file, line and option of all that is wrong.
    """
    problems = problems_of(document)
    settings = read_record(RouterSettings, document.content, (), problems)
    if settings is not None:
        _check_values(settings, problems)
    problems.check()
    assert settings is not None
    return settings


def public_settings(settings: RouterSettings) -> dict[str, Any]:
    """
    List the settings for a state dump, without the secrets.

    :param settings: the settings.
    :returns: settings by name.
    """
    return {
        name: option
        for name, option in settings._asdict().items()
        if name not in _SECRETS
    }


def _check_values(settings: RouterSettings, problems: Problems) -> None:
    for name, check in _CHECKS.items():
        message = check(getattr(settings, name))
        if message:
            problems.add((name,), message)
    _check_domain(settings, problems)
    _check_listeners(settings, problems)
    for key_id, public_key in settings.trusted_keys.items():
        try:
            check_trusted_key(key_id, public_key)
        except SigningError as error:
            problems.add(('trusted_keys', key_id), error.message)


def _check_domain(settings: RouterSettings, problems: Problems) -> None:
    try:
        fleet = qualify(settings.failure_domain).fleet
    except BadName as error:
        problems.add(('failure_domain',), error.message)
        return
    if fleet != settings.fleet:
        problems.add(
            ('failure_domain',), f'is not of the fleet {settings.fleet!r}'
        )


def _check_listeners(settings: RouterSettings, problems: Problems) -> None:
    taken: dict[Endpoint, str] = {}
    for name in ('callers', 'peers', 'operators'):
        endpoint: Endpoint = getattr(settings, name)
        message = _bad_address(f'{endpoint.host}:{endpoint.port}')
        if message:
            problems.add((name,), message)
        if endpoint.port and endpoint in taken:
            problems.add((name,), f'has the address of {taken[endpoint]}')
        taken[endpoint] = name


def _bad_name(name: str) -> str:
    try:
        qualify(name, name)
    except BadName:
        return f'{name!r} is not a name of lower-case letters and digits'
    return 'must not be qualified' if '/' in name else ''


def _bad_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f'{address!r} does not start with an IP address'
    if _PORT.fullmatch(port) and int(port) <= _MAX_PORT:
        return ''
    return f'{address!r} does not end in a port'


def _bad_addresses(addresses: tuple[str, ...]) -> str:
    found = (_bad_address(address) for address in addresses)
    return '; '.join(message for message in found if message)


def _bad_hash(text: str) -> str:
    if _HASH.fullmatch(text):
        return ''
    return 'is not a SHA-256 in 64 lower-case hexadecimal digits'


def _bad_keys(keys_by_id: dict[str, str]) -> str:
    return '' if keys_by_id else 'names no key, so no bundle could be accepted'


def _bad_statsd(endpoint: Endpoint | None) -> str:
    if endpoint is None:
        return ''
    return _bad_address(f'{endpoint.host}:{endpoint.port}')


_CHECKS: Final[dict[str, _Check]] = {
    'vm': _bad_name,
    'fleet': _bad_name,
    'region': _bad_name,
    'platform': _bad_address,
    'seed_peers': _bad_addresses,
    'operator_key_hash': _bad_hash,
    'trusted_keys': _bad_keys,
    'statsd': _bad_statsd,
}
