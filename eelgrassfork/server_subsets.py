"""
eelgrassfork.server_subsets
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks the subset of servers that this router uses for each service.
"""

from collections.abc import Callable, Iterable, Sequence

from .subsets import SubsetOrder, SubsetPolicy, order_servers, pick_servers
from .vm_list import VmRecord

__all__ = ('ServerSubsets',)


class ServerSubsets:
    """
    Server subsets of all services.

    A subset is smaller than its service only if the service has more
    servers than the policy's size.

    :param policy: size and locality of a subset; ``None`` to use all servers.
    """

    def __init__(self, policy: SubsetPolicy | None) -> None:
        self._policy = policy
        self._routers: list[str] = []
        self._domains_by_service: dict[str, dict[str, str]] = {}
        self._orders_by_service: dict[str, SubsetOrder] = {}

    def update(self, vms: Iterable[VmRecord]) -> None:
        """
        Replace the known servers and routers by those of a VM list.

        :param vms: all records of the list.
        """
        own = self._policy.failure_domain if self._policy else ''
        self._routers = []
        self._domains_by_service = {}
        self._orders_by_service = {}
        for record in vms:
            if record.role == 'backend':
                domains = self._domains_by_service.setdefault(
                    record.service, {}
                )
                domains[record.vm] = record.failure_domain
            elif record.failure_domain == own and record.state == 'live':
                self._routers.append(record.vm)

    def servers_of(self, service: str) -> Sequence[str]:
        """
        List all servers of a service.

        :param service: qualified name.
        :returns: VMs of the servers.
        """
        return tuple(self._domains_by_service.get(service, ()))

    def in_use(
        self, service: str, is_usable: Callable[[str], bool]
    ) -> Sequence[str]:
        """
        List the servers of a service that this router currently uses.

        :param service: qualified name.
        :param is_usable: returns whether a server can receive requests.
        :returns: VMs of all servers of a small service, or of the selected
            usable servers of a large one.
        """
        policy = self._policy
        domains_by_vm = self._domains_by_service.get(service, {})
        if policy is None or len(domains_by_vm) <= policy.size:
            return tuple(domains_by_vm)
        order = self._orders_by_service.get(service)
        if order is None:
            order = order_servers(domains_by_vm, self._routers, policy)
            self._orders_by_service[service] = order
        return pick_servers(order, is_usable)
