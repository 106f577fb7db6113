"""
eelgrassfork.bundle_aliases
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Old names of services, and keys that two fleets have in common.
"""

from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from .names import BadName, qualify
from .options import Problems, read_record

__all__ = ('NO_ALIASES', 'Aliases', 'check_aliases', 'read_aliases', 'resolve')

_SERVICES: Final = 'services'
_SHARED_KEYS: Final = 'shared_keys'
# Why a rename of these kinds is refused, beside "unknown option".
_REASONS_BY_KIND: Final = {
    'organisations': 'its ledger entries and claims carry the name',
    'fleets': 'all that the platform stores for it carries the name',
    'places': 'settings of routers and the VM list carry the name',
}


class Aliases(NamedTuple):
    """
    Names and keys that go on working after a merger.

    :param services: new name of a service by its old one, both qualified.
    :param shared_keys: organisations, each of another fleet, that have the
        key of a hash; the key means that of the router's fleet.
    """

    services: Mapping[str, str] = MappingProxyType({})
    shared_keys: Mapping[str, tuple[str, ...]] = MappingProxyType({})


NO_ALIASES: Final = Aliases()


def read_aliases(
    content: Any, fleet: str | None, problems: Problems
) -> Aliases:
    """
    Read aliases and qualify their names.

    :param content: decoded file.
    :param fleet: fleet of unqualified names, if there is only one.
    :param problems: takes what is wrong.
    :returns: the aliases, none if anything is wrong.
    """
    kinds = content if isinstance(content, dict) else {}
    for kind in sorted(kinds.keys() & _REASONS_BY_KIND.keys()):
        reason = _REASONS_BY_KIND[kind]
        problems.add((kind,), f'can not be renamed: {reason}')
    read = read_record(Aliases, content, (), problems)
    if read is None:
        return NO_ALIASES
    try:
        services = {
            str(qualify(old, fleet)): str(qualify(new, fleet))
            for old, new in read.services.items()
        }
        shared_keys = {
            key_hash: tuple(str(qualify(name, fleet)) for name in names)
            for key_hash, names in read.shared_keys.items()
        }
    except BadName as error:
        problems.add((), error.message)
        return NO_ALIASES
    return Aliases(services, shared_keys)


def resolve(services: Mapping[str, str], name: str) -> str:
    """
    Follow a service's names to the newest one.

    :param services: new name by old name.
    :param name: any of its names, qualified.
    :returns: the name that is no alias; any of them if they form a circle.
    """
    for _ in services:
        if name not in services:
            break
        name = services[name]
    return name


def check_aliases(
    aliases: Aliases, services: Collection[str], problems: Problems
) -> None:
    """
    Check that each old name leads to a service and hides none.

    :param aliases: the aliases.
    :param services: qualified names of all services.
    :param problems: takes what is wrong.
    """
    for old in aliases.services:
        new = resolve(aliases.services, old)
        if old in services:
            message = 'is the name of a service, so it can be no alias'
            problems.add((_SERVICES, old), message)
        elif new in aliases.services:
            problems.add((_SERVICES, old), 'leads back to itself')
        elif new not in services:
            message = f'leads to {new!r}, which does not exist'
            problems.add((_SERVICES, old), message)
    for key_hash, names in aliases.shared_keys.items():
        fleets = {name.partition('/')[0] for name in names}
        if len(names) < 2 or len(fleets) < len(names):
            message = 'needs two or more organisations of different fleets'
            problems.add((_SHARED_KEYS, key_hash), message)
