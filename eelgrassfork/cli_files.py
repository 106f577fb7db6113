"""
eelgrassfork.cli_files
~~~~~~~~~~~~~~~~~~~~~~

Commands on local files: settings and organisations in bundle sources.
"""

import hashlib
import secrets
from typing import Any, Final

from .cli_common import print_line
from .options import OptionsError, Problem
from .settings import load_settings
from .source_edit import NewOrganisation, add_organisation

__all__ = ('organisation_create', 'settings_check')

_CALLER_KEY_BYTES: Final = 24


def settings_check(*files: str) -> None:
    """
    Validate router settings files.

    :param files: settings files.
    """
    problems: list[Problem] = []
    for file in files:
        try:
            load_settings(file)
        except OptionsError as error:
            problems.extend(error.problems)
        else:
            print_line(f'{file}: ok')
    if not files:
        problems.append(Problem('no settings file given'))
    if problems:
        raise OptionsError(*problems)


def organisation_create(
    name: str,
    *,
    sources: str,
    services: list[str],
    budget: str = 'main',
    priority: int = 1,
    max_in_flight: int = 64,
) -> None:
    """
    Add an organisation to the sources and print its key, which is not stored.

    :param name: name within the fleet, or fleet/name.
    :param sources: source directory.
    :param services: services that the organisation may call.
    :param budget: budget that the key is charged to.
    :param priority: load-shedding priority; 0 is shed last, 2 first.
    :param max_in_flight: maximum number of concurrent requests per router.
    """
    key = f'ek_{secrets.token_urlsafe(_CALLER_KEY_BYTES)}'
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    fields: dict[str, Any] = {
        'budgets_by_key_hash': {key_hash: budget},
        'services': services,
        'priority': priority,
        'max_in_flight': max_in_flight,
    }
    add_organisation(sources, NewOrganisation(name, fields))
    print_line(f'{name} is in the sources; its key is not stored anywhere:')
    print_line(key)
