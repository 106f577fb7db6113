"""
eelgrassfork.bundle_rules
~~~~~~~~~~~~~~~~~~~~~~~~~

Validation rules for bundle source records that types do not express.
"""

import re
from collections.abc import Callable, Collection, Mapping
from typing import Final

from .bundle_types import Organisation, Service
from .names import BadName, qualify
from .options import FieldPath

__all__ = ('check_organisation', 'check_ranges', 'check_service')

AddProblem = Callable[[FieldPath, str], None]

_KEY_HASH: Final = re.compile('[0-9a-f]{64}')
_METHOD: Final = re.compile('[A-Z]{1,16}')
_HOUR_MS: Final = 3_600_000
_LOWEST_PRIORITY: Final = 2
_ENGINE_FIELDS: Final = ('model', 'version', 'adapters', 'role')

_RANGES_BY_FIELD: Final = {
    'ledger_shards': (1, 4096),
    'draw_fraction': (0.001, 1),
    'priority': (0, _LOWEST_PRIORITY),
    'max_in_flight': (1, 1_000_000),
    'price_tokens': (0, 1_000_000_000),
    'first_byte_ms': (1, _HOUR_MS),
    'silence_ms': (1, _HOUR_MS),
    'queue_ms': (0, _HOUR_MS),
    'in_flight_per_server': (1, 100_000),
    'max_tokens': (1, 10_000_000),
    'image_tokens': (0, 10_000_000),
}


def check_ranges(record: object, add_problem: AddProblem) -> None:
    """
    Check that a record's numeric fields are in range.

    :param record: any record of a bundle.
    :param add_problem: called with field path and message of each problem.
    """
    for field, (minimum, maximum) in _RANGES_BY_FIELD.items():
        number = getattr(record, field, minimum)
        if not minimum <= number <= maximum:
            add_problem(
                (field,), f'{number} is not in the range {minimum} to {maximum}'
            )


def check_service(service: Service, add_problem: AddProblem) -> None:
    """
    Check the fields that a service's kind requires or excludes, and its
    idempotent methods and paths.

    :param service: the service.
    :param add_problem: called with field path and message of each problem.
    """
    _check_engine_fields(service, add_problem)
    for method in service.idempotent_methods:
        if not _METHOD.fullmatch(method):
            message = f'{method!r} is not an upper-case HTTP method'
            add_problem(('idempotent_methods',), message)
    for path in service.idempotent_paths:
        if not path.startswith('/') or path == '/':
            message = f'{path!r} is not a path prefix below /'
            add_problem(('idempotent_paths',), message)


def check_organisation(
    organisation: Organisation,
    services: Collection[str],
    owners_by_hash: dict[str, str],
    shared_keys: Mapping[str, Collection[str]],
    add_problem: AddProblem,
) -> None:
    """
    Check an organisation's keys, budgets and services.

    :param organisation: the organisation.
    :param services: qualified names of all services.
    :param owners_by_hash: organisations by the hashes of the keys checked so
        far; the keys of this organisation are added.
    :param shared_keys: organisations that may share a key, by its hash.
    :param add_problem: called with field path and message of each problem.
    """
    for service in sorted(organisation.services):
        if service not in services:
            add_problem(('services',), f'service {service!r} does not exist')
    for key_hash, budget in organisation.budgets_by_key_hash.items():
        path = ('budgets_by_key_hash', key_hash)
        if not _KEY_HASH.fullmatch(key_hash):
            add_problem(path, 'is not a SHA-256 in lower-case hexadecimal')
        owner = owners_by_hash.setdefault(key_hash, organisation.name)
        allowed = shared_keys.get(key_hash, ())
        if owner != organisation.name and organisation.name not in allowed:
            add_problem(path, f'is already a key of {owner}')
        if not _is_budget_name(budget):
            add_problem(path, f'{budget!r} is not a valid budget name')


def _check_engine_fields(service: Service, add_problem: AddProblem) -> None:
    if service.kind == 'model' and not service.model:
        add_problem(('model',), 'is required for services of kind model')
    for field in _ENGINE_FIELDS:
        if service.kind == 'plain' and getattr(service, field):
            add_problem((field,), 'is only valid for services of kind model')
    if service.model in service.adapters or '' in service.adapters:
        add_problem(
            ('adapters',),
            'adapter names must be non-empty and differ from the model',
        )


def _is_budget_name(budget: str) -> bool:
    try:
        qualify(budget, 'fleet')
    except BadName:
        return False
    return '/' not in budget
