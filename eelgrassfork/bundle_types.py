"""
eelgrassfork.bundle_types
~~~~~~~~~~~~~~~~~~~~~~~~~

Record types of a compiled configuration bundle.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal, NamedTuple

__all__ = (
    'Bundle',
    'Caller',
    'Fleet',
    'Organisation',
    'Place',
    'Service',
)


class Fleet(NamedTuple):
    """
    Policy of one fleet.

    :param name: name of the fleet.
    :param ledger_shards: number of ledger objects over which its budgets are
        sharded.
    :param draw_fraction: largest fraction of a budget's unreserved remainder
        that one draw may take, above 0 and up to 1.
    """

    name: str
    ledger_shards: int = 4
    draw_fraction: float = 0.25


class Organisation(NamedTuple):
    """
    An organisation, its API keys and the services it may call.

    :param name: qualified name.
    :param budgets_by_key_hash: name of the budget within the organisation,
        by SHA-256 of the API key in hexadecimal.
    :param services: qualified names of the services it may call.
    :param priority: load-shedding class; 0 is shed last, 2 first.
    :param max_in_flight: limit of concurrent requests at one router.
    """

    name: str
    budgets_by_key_hash: dict[str, str]
    services: frozenset[str]
    priority: int = 1
    max_in_flight: int = 64


class Service(NamedTuple):
    """
    A service and the limits of calls to it.

    :param name: qualified name.
    :param kind: ``model`` for engines, ``plain`` for other services.
    :param model: model name at the engines.
    :param price_tokens: price of one non-idempotent plain call; idempotent
        calls are free.
    :param idempotent_methods: HTTP methods that may be retried.
    :param idempotent_paths: path prefixes that may be retried with any
        method.
    :param first_byte_ms: time-out for the first byte.
    :param silence_ms: idle time-out between bytes.
    :param queue_ms: time-out in a router's queue.
    :param in_flight_per_server: limit of concurrent requests per backend
        server.
    :param priority: load-shedding class; 0 is shed last, 2 first.
    :param max_tokens: maximum and default length of a completion.
    :param image_tokens: upper bound of prompt tokens of one image.
    :param checks_fencing: whether its servers reject outdated fencing
        numbers.
    :param version: model version that its engines run; if empty, the engines
        decide.
    :param adapters: adapters that its engines load besides the model.
    :param role: role of its engines; if empty, the engines decide.
    """

    name: str
    kind: Literal['model', 'plain']
    model: str = ''
    price_tokens: int = 0
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    idempotent_paths: tuple[str, ...] = ()
    first_byte_ms: int = 30_000
    silence_ms: int = 10_000
    queue_ms: int = 2_000
    in_flight_per_server: int = 16
    priority: int = 1
    max_tokens: int = 4_096
    image_tokens: int = 1_536
    checks_fencing: bool = False
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: Literal['', 'both', 'prefill', 'decode'] = ''


class Place(NamedTuple):
    """A failure domain in which a fleet runs; names are qualified."""

    name: str
    fleet: str
    region: str


class Caller(NamedTuple):
    """
    Sender of a request, identified by its API key.

    :param fleet: fleet of the organisation.
    :param organisation: the organisation that owns the key.
    :param budget: qualified name, ``<fleet>/<organisation>/<budget>``.
    """

    fleet: str
    organisation: Organisation
    budget: str


class Bundle(NamedTuple):
    """
    All configuration in force at one version; names are qualified.

    Organisations and callers are decoded on look-up; two look-ups may return
    equal records that are not the same object.

    :param callers_by_key_hash: callers by SHA-256 of the API key; a key that
        organisations of two fleets share is listed as ``<fleet>/<hash>`` for
        each, see :func:`~eelgrassfork.bundle_lookup.find_caller`.
    :param service_aliases: current name of a service by a former name.
    :param shared_keys: names of the organisations that share a key, by its
        hash.
    """

    version: int
    fleets_by_name: dict[str, Fleet]
    organisations_by_name: Mapping[str, Organisation]
    services_by_name: dict[str, Service]
    places_by_name: dict[str, Place]
    callers_by_key_hash: Mapping[str, Caller]
    service_aliases: Mapping[str, str] = MappingProxyType({})
    shared_keys: Mapping[str, tuple[str, ...]] = MappingProxyType({})
