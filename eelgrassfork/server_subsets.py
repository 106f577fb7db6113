"""
eelgrassfork.server_subsets
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps which servers of each service this router uses.
"""

from collections.abc import Callable, Iterable, Sequence

from .subsets import SubsetOrder, SubsetPolicy, order_servers, pick_servers
from .vm_list import VmRecord

__all__ = ('ServerSubsets',)


class ServerSubsets:
    """
    Subsets of the services with more servers than a router uses.

    :param policy: which servers, or ``None`` for all.
    """

    def __init__(self, policy: SubsetPolicy | None) -> None:
        self._policy = policy
        self._routers: list[str] = []
        self._domains_by_service: dict[str, dict[str, str]] = {}
        self._orders_by_service: dict[str, SubsetOrder] = {}

    def update(self, vms: Iterable[VmRecord]) -> None:
        """
        Take over a VM list.

        :param vms: all records.
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
        List the servers of a service.

        :param service: qualified name.
        :returns: VMs.
        """
        return tuple(self._domains_by_service.get(service, ()))

    def in_use(
        self, service: str, is_usable: Callable[[str], bool]
    ) -> Sequence[str]:
        """
        List the servers of a service that this router uses now.

        :param service: qualified name.
        :param is_usable: query whether a server takes requests.
        :returns: VMs; all of a small service, and usable ones of a large.
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
