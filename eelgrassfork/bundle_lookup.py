"""
eelgrassfork.bundle_lookup
~~~~~~~~~~~~~~~~~~~~~~~~~~

Looks up services by name or alias, and callers by API key.
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
    Resolve a former name of a service to its current name.

    :param bundle: bundle in force.
    :param service: qualified name from a caller or the VM list.
    :returns: the service's name in the bundle; the given name if it is no
        alias.
    """
    return bundle.service_aliases.get(service, service)


def with_current_names(bundle: Bundle | None, vm_list: VmList) -> VmList:
    """
    Resolve former names of services in a VM list.

    :param bundle: bundle in force, or ``None``.
    :param vm_list: VM list of the platform.
    :returns: the list with the service names of the bundle.
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
    Look up a service by the name that a caller gives.

    :param bundle: bundle in force.
    :param name: current or former name, qualified as ``fleet/name`` or
        relative to the caller's fleet.
    :param fleet: the caller's fleet, which qualifies a relative name.
    :returns: the service, or ``None`` if no service has this name.
    """
    try:
        qualified = str(qualify(name, fleet))
    except BadName:
        return None
    return bundle.services_by_name.get(current_name(bundle, qualified))


def find_caller(bundle: Bundle, key_hash: str, fleet: str) -> Caller | None:
    """
    Look up a caller by API key.

    :param bundle: bundle in force.
    :param key_hash: SHA-256 of the key in hexadecimal.
    :param fleet: fleet of the router, which selects the owner if
        organisations of several fleets share the key.
    :returns: the caller, or ``None`` if the key is unknown.
    """
    callers = bundle.callers_by_key_hash
    return callers.get(key_hash) or callers.get(f'{fleet}/{key_hash}')
