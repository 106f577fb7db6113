"""
eelgrassfork.engine_orders
~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the services for whose engines this router gives orders.
"""

from typing import Any, Final

import logbook
import trio

from .bundle_types import Bundle
from .order_duty import DutyParts, OrderDuty
from .placement import issuer_candidates
from .vm_list import VmList, VmRecord

__all__ = ('EngineOrders',)

_log = logbook.Logger('engine_orders')

_REVIEW_S: Final = 1.0
# Revision of the VM list and names of the model services.
_ReviewInputs = tuple[int, tuple[str, ...]]


class EngineOrders:
    """
    Gives the orders of the services that are assigned to this router.

    Two routers are chosen for each service. The first contends for its lease;
    the second takes over when the lease is released or expires, and then
    keeps it while it is one of the two.

    :param vm: VM of this router.
    :param parts: dependencies.
    """

    def __init__(self, vm: str, parts: DutyParts) -> None:
        self._vm = vm
        self._parts = parts
        self._vm_list = VmList(0, ())
        self._duties_by_service: dict[str, OrderDuty] = {}
        self._scopes_by_service: dict[str, trio.CancelScope] = {}
        self._reviewed_inputs: _ReviewInputs = (0, ())
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._ended.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start contending for leases and giving orders in the background.

        :param nursery: nursery for the background tasks.
        """
        self._ended = trio.Event()
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop giving orders and release the leases."""
        self._scope.cancel()
        await self._ended.wait()

    def update_vm_list(self, vm_list: VmList) -> None:
        """
        Use the routers and engines of a new VM list.

        :param vm_list: the latest list.
        """
        self._vm_list = vm_list
        for service, duty in self._duties_by_service.items():
            self._update_engines(service, duty)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: state of each service that is assigned to this router.
        """
        return {
            'duties_by_service': {
                service: duty.dump()
                for service, duty in self._duties_by_service.items()
            },
        }

    async def _run(self) -> None:
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    await self._review_forever(nursery)
        finally:
            self._ended.set()

    async def _review_forever(self, nursery: trio.Nursery) -> None:
        while True:
            self._review(nursery)
            await trio.sleep(_REVIEW_S)

    def _review(self, nursery: trio.Nursery) -> None:
        services = _model_services(self._parts.bundle())
        inputs = (self._vm_list.revision, services)
        if inputs == self._reviewed_inputs:
            return
        self._reviewed_inputs = inputs
        ranks_by_service = self._ranks(services)
        for service, scope in list(self._scopes_by_service.items()):
            if service not in ranks_by_service:
                scope.cancel()
        for name, rank in ranks_by_service.items():
            if name not in self._duties_by_service:
                self._start_duty(nursery, name)
            if rank == 0:
                self._duties_by_service[name].contend_now()

    def _ranks(self, services: tuple[str, ...]) -> dict[str, int]:
        routers = [each for each in self._vm_list.vms if each.role == 'router']
        ranks_by_service: dict[str, int] = {}
        for service in services:
            chosen = issuer_candidates(service, routers)
            if self._vm in chosen:
                ranks_by_service[service] = chosen.index(self._vm)
        return ranks_by_service

    def _start_duty(self, nursery: trio.Nursery, service: str) -> None:
        duty = OrderDuty(service, self._parts)
        self._duties_by_service[service] = duty
        self._scopes_by_service[service] = trio.CancelScope()
        self._update_engines(service, duty)
        nursery.start_soon(self._run_duty, service, duty)

    async def _run_duty(self, service: str, duty: OrderDuty) -> None:
        _log.info('engine_orders: {} is assigned to this router', service)
        try:
            with self._scopes_by_service[service]:
                await duty.run()
        finally:
            self._duties_by_service.pop(service)
            self._scopes_by_service.pop(service)
            # The next review restarts it if it is still assigned here.
            self._reviewed_inputs = (0, ())

    def _update_engines(self, service: str, duty: OrderDuty) -> None:
        duty.update_engines(
            record
            for record in self._vm_list.vms
            if record.service == service and _is_live_engine(record)
        )


def _is_live_engine(record: VmRecord) -> bool:
    return record.role == 'backend' and record.state == 'live'


def _model_services(bundle: Bundle | None) -> tuple[str, ...]:
    services = bundle.services_by_name if bundle else {}
    return tuple(
        sorted(name for name, each in services.items() if each.kind == 'model')
    )
