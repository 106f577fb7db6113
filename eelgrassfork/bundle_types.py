"""
eelgrassfork.bundle_types
~~~~~~~~~~~~~~~~~~~~~~~~~

Records of a compiled bundle of configuration.
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

    :param ledger_shards: number of ledger objects of its budgets.
    :param draw_fraction: largest part of a budget's unreserved rest that
        one draw may take, above 0 and up to 1.
    """

    name: str
    ledger_shards: int = 4
    draw_fraction: float = 0.25


class Organisation(NamedTuple):
    """
    An organisation and what it may call.

    :param name: qualified name.
    :param budgets_by_key_hash: name of the budget within the organisation
        by SHA-256 of the key in hexadecimal.
    :param services: qualified names of services it may call.
    :param priority: 0 is shed last, 2 first.
    :param max_in_flight: requests in progress at one router.
    """

    name: str
    budgets_by_key_hash: dict[str, str]
    services: frozenset[str]
    priority: int = 1
    max_in_flight: int = 64


class Service(NamedTuple):
    """
    A service and how it is called.

    :param name: qualified name.
    :param kind: ``model`` for engines, ``plain`` for other services.
    :param model: model name at the engines.
    :param price_tokens: price of one plain call that may not be repeated;
        others are free.
    :param idempotent_methods: methods that may be repeated.
    :param idempotent_paths: path prefixes that may be repeated with any
        method.
    :param first_byte_ms: longest wait for the first byte.
    :param silence_ms: longest silence between bytes.
    :param queue_ms: longest wait in a router's queue.
    :param in_flight_per_server: requests in progress per backend server.
    :param priority: 0 is shed last, 2 first.
    :param max_tokens: largest and default completion.
    :param image_tokens: upper bound of prompt tokens of one image.
    :param checks_fencing: whether its servers refuse old fencing numbers.
    :param version: version of the model that its engines run; empty leaves
        it to them.
    :param adapters: adapters that its engines have loaded besides the model.
    :param role: role of its engines; empty leaves it to them.
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
    """A failure domain in which a fleet runs, by qualified name."""

    name: str
    fleet: str
    region: str


class Caller(NamedTuple):
    """
    Who sent a request, found by its key.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    """

    fleet: str
    organisation: Organisation
    budget: str


class Bundle(NamedTuple):
    """
    All configuration in force at one version; names are qualified.

    Organisations and callers are decoded when they are looked up; two
    look-ups may give equal records that are not the same object.

    :param callers_by_key_hash: a key that organisations of two fleets have
        stands as ``<fleet>/<hash>`` for each, see
        :func:`~eelgrassfork.bundle_lookup.find_caller`.
    :param service_aliases: name of a service by one it had before.
    :param shared_keys: names of the organisations that have the same key,
        by its hash.
    """

    version: int
    fleets_by_name: dict[str, Fleet]
    organisations_by_name: Mapping[str, Organisation]
    services_by_name: dict[str, Service]
    places_by_name: dict[str, Place]
    callers_by_key_hash: Mapping[str, Caller]
    service_aliases: Mapping[str, str] = MappingProxyType({})
    shared_keys: Mapping[str, tuple[str, ...]] = MappingProxyType({})
