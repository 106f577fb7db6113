"""
eelgrassfork.bundle_lookup
~~~~~~~~~~~~~~~~~~~~~~~~~~

Services and callers found by the names and keys that callers use.
"""

from .bundle_types import Bundle, Caller, Service
from .names import BadName, qualify
from .vm_list import VmList

__all__ = (
    'current_name',
    'find_caller',
    'find_service',
    'with_current_names',
)


def current_name(bundle: Bundle, service: str) -> str:
    """
    Replace an old name of a service by the one it has now.

    :param bundle: configuration in force.
    :param service: qualified name, as a caller or the VM list knows it.
    :returns: its name in the bundle; the same name where it has no alias.
    """
    return bundle.service_aliases.get(service, service)


def with_current_names(bundle: Bundle | None, vm_list: VmList) -> VmList:
    """
    Replace old names of services in a VM list.

    :param bundle: configuration in force.
    :param vm_list: as the platform knows it.
    :returns: the list with the names of the bundle.
    """
    if bundle is None or not bundle.service_aliases:
        return vm_list
    vms = (
        record._replace(service=current_name(bundle, record.service))
        for record in vm_list.vms
    )
    return vm_list._replace(vms=tuple(vms))


def find_service(bundle: Bundle, name: str, fleet: str) -> Service | None:
    """
    Find a service as a caller names it.

    :param bundle: configuration in force.
    :param name: an old or new name, ``fleet/name`` or within the own fleet.
    :param fleet: the caller's fleet, which an unqualified name means.
    :returns: the service, or ``None`` if there is none of this name.
    """
    try:
        qualified = str(qualify(name, fleet))
    except BadName:
        return None
    return bundle.services_by_name.get(current_name(bundle, qualified))


def find_caller(bundle: Bundle, key_hash: str, fleet: str) -> Caller | None:
    """
    Find who has a key.

    :param bundle: configuration in force.
    :param key_hash: SHA-256 of the key in hexadecimal.
    :param fleet: fleet of the router, which decides whose key it is where
        organisations of two fleets have the same.
    :returns: the caller, or ``None`` if the key is not known.
    """
    callers = bundle.callers_by_key_hash
    return callers.get(key_hash) or callers.get(f'{fleet}/{key_hash}')
