"""
eelgrassfork.placement
~~~~~~~~~~~~~~~~~~~~~~

Plans the orders that bring the engines of a service to its desired state.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from .bundle_types import Service
from .engine_types import EngineState
from .names import rendezvous_order
from .vm_list import VmRecord

__all__ = (
    'LOADING_ORDER_KINDS',
    'EngineView',
    'Order',
    'PlacementPolicy',
    'announcement',
    'issuer_candidates',
    'next_order',
    'plan_orders',
)

# Kinds of orders for which an engine reads from the weight store.
LOADING_ORDER_KINDS: Final = frozenset(
    ('load_model', 'load_version', 'load_adapter')
)


class Order(NamedTuple):
    """
    An idempotent order to an engine.

    :param kind: ``load_model``, ``load_version``, ``load_adapter`` or
        ``change_role``.
    :param name: model, version, adapter or role to load or change to.
    """

    kind: str
    name: str

    @property
    def loads(self) -> bool:
        """Whether the engine reads from the weight store."""
        return self.kind in LOADING_ORDER_KINDS


class EngineView(NamedTuple):
    """
    State of one engine as seen by the router that issues orders.

    :param state: reported state, ``None`` until the first report.
    :param order: order in progress on the engine.
    :param may_try: whether an order may be sent; false during the back-off
        after a failed order.
    """

    vm: str
    state: EngineState | None
    order: Order | None = None
    may_try: bool = True


class PlacementPolicy(NamedTuple):
    """
    Limit on the number of engines that change at the same time.

    :param loading_fraction: largest fraction of a service's engines that
        load while they could serve, because an engine may serve less while
        it loads; at least one engine may always load.
    """

    loading_fraction: float = 0.25


def next_order(service: Service, state: EngineState) -> Order | None:
    """
    Return the next order that an engine needs.

    :param service: desired state of the engines.
    :param state: reported state of the engine.
    :returns: an order, or ``None`` if the engine has the desired state or
        is leaving.
    """
    if state.leaving:
        return None
    if service.model not in state.models:
        return Order('load_model', service.model)
    if service.version not in {'', state.version}:
        return Order('load_version', service.version)
    for adapter in service.adapters:
        if adapter not in state.models:
            return Order('load_adapter', adapter)
    if service.role not in {'', state.role}:
        return Order('change_role', service.role)
    return None


def announcement(state: EngineState) -> Order | None:
    """
    Build an order whose only effect is to announce a new fencing number.

    :param state: reported state of the engine.
    :returns: an order to keep the current role, or ``None`` if the engine
        reports none.
    """
    return Order('change_role', state.role) if state.role else None


def plan_orders(
    service: Service, engines: Iterable[EngineView], policy: PlacementPolicy
) -> list[tuple[str, Order]]:
    """
    List the orders to issue now, at most one for each engine.

    Engines without the model come first and do not count towards the limit
    on engines that load at the same time.

    :param service: desired state of the engines.
    :param engines: all engines of the service.
    :param policy: limit on engines that change at the same time.
    :returns: VM and order of each engine that needs one.
    """
    views = list(engines)
    max_loading = max(1, int(len(views) * policy.loading_fraction))
    in_progress = [view.order for view in views if view.order is not None]
    loading = sum(_reduces_capacity(order) for order in in_progress)
    orders = [(view.vm, _needed_order(service, view)) for view in views]
    needed = [(vm, order) for vm, order in orders if order is not None]
    unlimited = [entry for entry in needed if not _reduces_capacity(entry[1])]
    loads = [entry for entry in needed if _reduces_capacity(entry[1])]
    return unlimited + loads[: max(0, max_loading - loading)]


def issuer_candidates(service: str, routers: Iterable[VmRecord]) -> list[str]:
    """
    Select the routers that may issue the orders of a service.

    :param service: qualified name.
    :param routers: all listed routers.
    :returns: VMs of live routers of the service's fleet, or of any fleet if
        that fleet has none: the primary issuer, then the standby that takes
        over if the primary is silent.
    """
    fleet = service.partition('/')[0]
    live = [record for record in routers if record.state == 'live']
    own = [record.vm for record in live if record.fleet == fleet]
    vms = own or [record.vm for record in live]
    return rendezvous_order(f'orders|{service}', vms)[:2]


def _needed_order(service: Service, view: EngineView) -> Order | None:
    if view.state is None or view.order is not None or not view.may_try:
        return None
    return next_order(service, view.state)


def _reduces_capacity(order: Order) -> bool:
    # An engine without the model serves no requests that loading could slow.
    return order.loads and order.kind != 'load_model'
