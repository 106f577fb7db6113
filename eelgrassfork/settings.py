"""
eelgrassfork.settings
~~~~~~~~~~~~~~~~~~~~~

Router settings, read from JSON with comments.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any, Final, Literal, NamedTuple

from msgspec import Meta

from .json_comments import Document, problems_of, read_document
from .memory_policy import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
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

_SHA256_HEX: Final = re.compile('[0-9a-f]{64}')
_PORT: Final = re.compile('[0-9]{1,5}')
_SECRETS: Final = frozenset(('peer_key', 'operator_key_hash'))
_MAX_PORT: Final = 65535

_DAY_MS: Final = 86_400_000
_MIN_BYTES: Final = 1_024
_MAX_BYTES: Final = 1_073_741_824
_MIN_PEER_KEY_LENGTH: Final = 16
_MIN_SERVERS: Final = 4
_MIN_MEMORY_MB: Final = 64
_MIN_DESCRIPTORS: Final = 256
_MIN_RATE: Final = 0.001
_MAX_RATE: Final = 10_000

_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_Ms = Annotated[int, Meta(ge=1, le=_DAY_MS)]
_Servers = Annotated[int, Meta(ge=_MIN_SERVERS)]
_Rate = Annotated[float, Meta(ge=_MIN_RATE, le=_MAX_RATE)]
_Bytes = Annotated[int, Meta(ge=_MIN_BYTES, le=_MAX_BYTES)]
_Megabytes = Annotated[int, Meta(ge=_MIN_MEMORY_MB)]
_Descriptors = Annotated[int, Meta(ge=_MIN_DESCRIPTORS)]
_PeerKey = Annotated[str, Meta(min_length=_MIN_PEER_KEY_LENGTH)]
_ValueCheck = Callable[[Any], str]


class Endpoint(NamedTuple):
    """
    An IP address and a port.

    :param port: port number; 0 lets a listener use any free port.
    """

    host: str
    port: _Port


class RouterSettings(NamedTuple):
    """
    Settings of one router.

    :param vm: name of the VM, never reused.
    :param fleet: fleet of the VM.
    :param failure_domain: qualified name of the VM's failure domain.
    :param region: region of the VM.
    :param callers: address of the caller listener.
    :param peers: address of the listener for other routers.
    :param operators: address of the operator listener.
    :param platform: ``ip:port`` of the platform.
    :param peer_key: secret key shared by the routers.
    :param operator_key_hash: SHA-256 of the operators' key in hexadecimal.
    :param trusted_keys: public keys in base64 by key identifier.
    :param seed_peers: ``ip:port`` of peer listeners to contact at start-up.
    :param statsd: address of the statsd server, or ``None``.
    :param log_format: format of log lines.
    :param log_level: lowest level that is logged.
    :param heartbeat_ms: interval of heartbeats to peers.
    :param report_interval_ms: interval of ledger writes.
    :param platform_timeout_ms: time-out of a call to the platform.
    :param vm_list_ms: polling interval of the VM list.
    :param watch_wait_ms: maximum wait of a watch at the platform; limits
        how long a watch on a dead connection can delay a bundle.
    :param offer_wait_ms: maximum wait for peers to accept an offered
        bundle.
    :param frozen_after_ms: event loop delay after which the bundle is
        updated before requests are served again.
    :param lease_ms: validity of an unrenewed lease on a service's engine
        orders.
    :param engine_check_ms: minimum interval between reads of an engine's
        state by the router that gives its orders.
    :param engine_reads_per_s: maximum rate of these reads for each service;
        the interval grows if a service has more engines than can be read
        in ``engine_check_ms``.
    :param weight_reads_per_s: maximum rate of orders, over all services,
        that make engines read the weight store.
    :param servers_per_service: number of backend servers of a service that
        the router uses; more if there are few routers, all if the service
        has fewer.
    :param drain_grace_ms: time in which new requests are still served
        after a drain began.
    :param drain_limit_ms: maximum wait for open work in a drain.
    :param max_header_bytes: maximum size of a caller's headers.
    :param max_body_bytes: maximum size of a caller's body.
    :param header_timeout_ms: time-out for a caller's headers.
    :param body_timeout_ms: time-out for a caller's body.
    :param idle_timeout_ms: time-out of a caller's idle connection.
    :param memory_mb: memory of the machine in MB, which bounds what is held
        for callers and servers.
    :param max_descriptors: file descriptors that the process may open, which
        bound the connections.
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
    memory_mb: _Megabytes = DEFAULT_MEMORY_MB
    max_descriptors: _Descriptors = DEFAULT_MAX_FDS


def load_settings(path: str) -> RouterSettings:
    """
    Read and validate a settings file.

    :param path: path of the file.
    :returns: the settings.
    :raises OptionsError: with the file, line and option of each problem.
    """
    return check_settings(read_document(path))


def check_settings(document: Document) -> RouterSettings:
    """
    Validate settings.

    :param document: the decoded settings file.
    :returns: the settings.
    :raises OptionsError: with the file, line and option of each problem.
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
    Return the settings for a state dump, without the secrets.

    :param settings: the settings.
    :returns: non-secret settings by name.
    """
    return {
        name: option
        for name, option in settings._asdict().items()
        if name not in _SECRETS
    }


def _check_values(settings: RouterSettings, problems: Problems) -> None:
    for name, check in _VALUE_CHECKS.items():
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
            ('failure_domain',),
            f'does not belong to the fleet {settings.fleet!r}',
        )


def _check_listeners(settings: RouterSettings, problems: Problems) -> None:
    names_by_endpoint: dict[Endpoint, str] = {}
    for name in ('callers', 'peers', 'operators'):
        endpoint: Endpoint = getattr(settings, name)
        message = _address_error(f'{endpoint.host}:{endpoint.port}')
        if message:
            problems.add((name,), message)
        if endpoint.port and endpoint in names_by_endpoint:
            problems.add(
                (name,),
                f'uses the same address as {names_by_endpoint[endpoint]}',
            )
        names_by_endpoint[endpoint] = name


def _name_error(name: str) -> str:
    try:
        qualify(name, name)
    except BadName:
        return f'{name!r} is not a valid name of lower-case letters and digits'
    return 'must not be a qualified name' if '/' in name else ''


def _address_error(address: str) -> str:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f'{address!r} does not start with an IP address'
    if _PORT.fullmatch(port) and int(port) <= _MAX_PORT:
        return ''
    return f'{address!r} does not end in a valid port'


def _addresses_error(addresses: tuple[str, ...]) -> str:
    found = (_address_error(address) for address in addresses)
    return '; '.join(message for message in found if message)


def _hash_error(text: str) -> str:
    if _SHA256_HEX.fullmatch(text):
        return ''
    return 'is not a SHA-256 hash of 64 lower-case hexadecimal digits'


def _keys_error(keys_by_id: dict[str, str]) -> str:
    return (
        ''
        if keys_by_id
        else 'contains no key, so every bundle would be rejected'
    )


def _statsd_error(endpoint: Endpoint | None) -> str:
    if endpoint is None:
        return ''
    return _address_error(f'{endpoint.host}:{endpoint.port}')


_VALUE_CHECKS: Final[dict[str, _ValueCheck]] = {
    'vm': _name_error,
    'fleet': _name_error,
    'region': _name_error,
    'platform': _address_error,
    'seed_peers': _addresses_error,
    'operator_key_hash': _hash_error,
    'trusted_keys': _keys_error,
    'statsd': _statsd_error,
}
