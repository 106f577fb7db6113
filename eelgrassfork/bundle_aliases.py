"""
eelgrassfork.bundle_aliases
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Aliases of renamed services, and keys shared between fleets.
"""

from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from .names import BadName, qualify
from .options import Problems, read_record

__all__ = ('NO_ALIASES', 'Aliases', 'check_aliases', 'read_aliases', 'resolve')

_SERVICES: Final = 'services'
_SHARED_KEYS: Final = 'shared_keys'
# Reported in addition to "unknown option" for kinds that can not be renamed.
_REASONS_BY_KIND: Final = {
    'organisations': 'its ledger entries and claims contain the name',
    'fleets': 'all data that the platform stores for it contains the name',
    'places': 'router settings and the VM list contain the name',
}


class Aliases(NamedTuple):
    """
    Names and keys that stay valid after fleets are merged.

    :param services: new service names by old name, both qualified.
    :param shared_keys: organisations that share a key, by hash of the key.
        Each is of a different fleet; a router resolves the key to the
        organisation of its own fleet.
    """

    services: Mapping[str, str] = MappingProxyType({})
    shared_keys: Mapping[str, tuple[str, ...]] = MappingProxyType({})


NO_ALIASES: Final = Aliases()


def read_aliases(
    content: Any, fleet: str | None, problems: Problems
) -> Aliases:
    """
    Decode aliases and qualify their names.

    :param content: decoded content of the file.
    :param fleet: fleet of unqualified names, or ``None`` if ambiguous.
    :param problems: collects the problems found.
    :returns: the aliases, or :data:`NO_ALIASES` if any of them is invalid.
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
    Resolve an alias of a service to its current name.

    :param services: new names by old name.
    :param name: qualified name or alias of the service.
    :returns: the name that is not an alias; an arbitrary one of the names if
        the aliases are cyclic.
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
    Check that each alias resolves to a service and shadows none.

    :param aliases: the aliases.
    :param services: qualified names of all services.
    :param problems: collects the problems found.
    """
    for old in aliases.services:
        new = resolve(aliases.services, old)
        if old in services:
            message = 'is the name of a service, so it can not be an alias'
            problems.add((_SERVICES, old), message)
        elif new in aliases.services:
            problems.add((_SERVICES, old), 'alias is cyclic')
        elif new not in services:
            message = f'resolves to {new!r}, which does not exist'
            problems.add((_SERVICES, old), message)
    for key_hash, names in aliases.shared_keys.items():
        fleets = {name.partition('/')[0] for name in names}
        if len(names) < 2 or len(fleets) < len(names):
            message = 'requires two or more organisations of different fleets'
            problems.add((_SHARED_KEYS, key_hash), message)
