"""
eelgrassfork.platform.config_decoder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the operators' configuration from its stored JSON.
"""

from typing import Final, Literal

import msgspec

from ..errors import EelgrassError
from ..gateway.records import (
    CallerBounds,
    Configuration,
    Engine,
    Organisation,
    Route,
    Service,
    WeightedService,
)

__all__ = ('BadConfiguration', 'decode_configuration')

_MS_PER_S: Final = 1000
_LOWEST_PRIORITY: Final = 9


# An empty list allows no region, unlike a missing one.
_Regions = list[str] | msgspec.UnsetType


class BadConfiguration(EelgrassError):
    """The stored configuration is invalid."""


class _Split(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, rename='camel'):
    name: str
    hostname: str
    path_prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: float
    service: str = ''
    traffic_split: list[_Split] = []
    # Latency up to which a response counts in full; routers don't aim for it.
    target_latency_ms: float = 0
    # Maximum number of servers tried, not of sends.
    max_attempts: int = 1
    priority: int = 5
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0
    allowed_regions: _Regions = msgspec.UNSET


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 1
    kv_capacity: int = 0
    # Tokens per event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename='camel'):
    name: str
    health_path: str = '/healthz'
    max_connections: int = 0
    engine: _Engine | None = None
    cold_per_s: float = 0
    cold_start_s: float = 0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: float | None = None
    allowed_regions: _Regions = msgspec.UNSET


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_configuration(content: bytes) -> Configuration:
    """
    Decode a stored configuration.

    :param content: stored object as JSON.
    :returns: the configuration as the gateway's record.
    :raises BadConfiguration: if a required field is missing or a field has
        the wrong type.
    """
    try:
        wire = msgspec.json.decode(content, type=_Configuration)
    except msgspec.DecodeError as error:
        raise BadConfiguration('bad_configuration', str(error)) from None
    tenants = wire.tenants or []
    return Configuration(
        version=wire.version,
        routes_by_host=_decode_routes(wire.routes),
        services_by_name={
            service.name: _decode_service(service) for service in wire.services
        },
        organisations_by_name={
            tenant.name: _decode_organisation(tenant) for tenant in tenants
        },
        organisation_names_by_key={
            key: tenant.name for tenant in tenants for key in tenant.api_keys
        },
        bounds=_decode_limits(wire.limits),
        keys_needed=wire.tenants is not None,
    )


def _decode_routes(wire_routes: list[_Route]) -> dict[str, tuple[Route, ...]]:
    routes_by_host: dict[str, list[Route]] = {}
    for wire in wire_routes:
        host = wire.hostname.lower()
        routes_by_host.setdefault(host, []).append(_decode_route(wire, host))
    return {
        host: tuple(sorted(routes, key=_prefix_length, reverse=True))
        for host, routes in routes_by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _decode_route(wire: _Route, host: str) -> Route:
    services = [
        WeightedService(split.service, split.weight)
        for split in wire.traffic_split
    ]
    return Route(
        name=wire.name,
        host=host,
        prefix=wire.path_prefix,
        kind='stream' if wire.kind == 'streaming' else wire.kind,
        services=tuple(services or [WeightedService(wire.service, 1)]),
        timeout_s=wire.timeout_ms / _MS_PER_S,
        objective_s=(wire.target_latency_ms or wire.timeout_ms) / _MS_PER_S,
        max_attempts=max(1, wire.max_attempts),
        priority=wire.priority,
        anonymous=wire.allow_anonymous,
        resumable=wire.stream_resume,
        max_event_gap_s=wire.gap_aim_ms / _MS_PER_S,
        allowed_regions=_decode_regions(wire.allowed_regions),
    )


def _decode_regions(wire: _Regions) -> frozenset[str] | None:
    return None if wire is msgspec.UNSET else frozenset(wire)


def _decode_service(wire: _Service) -> Service:
    engine = None
    if wire.engine is not None:
        engine = Engine(
            wire.engine.slots, wire.engine.kv_capacity, wire.engine.stride
        )
    return Service(
        wire.name,
        wire.health_path,
        wire.max_connections,
        engine,
        max(0, wire.cold_per_s),
        max(0, wire.cold_start_s),
    )


def _decode_organisation(wire: _Tenant) -> Organisation:
    priority = wire.priority
    if priority is not None:
        priority = min(max(priority, 0), _LOWEST_PRIORITY)
    prepaid = None if wire.prepaid is None else int(wire.prepaid)
    regions = _decode_regions(wire.allowed_regions)
    return Organisation(wire.name, priority, prepaid, regions)


def _decode_limits(wire: _Limits) -> CallerBounds:
    return CallerBounds(
        wire.max_header_bytes,
        wire.max_body_bytes,
        wire.header_timeout_ms / _MS_PER_S,
        wire.idle_timeout_ms / _MS_PER_S,
    )
