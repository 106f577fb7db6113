"""
eelgrassfork.placement
~~~~~~~~~~~~~~~~~~~~~~

What the engines of a service are to run, and which orders lead there.
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

# Orders for which an engine reads the weight store.
LOADING_ORDER_KINDS: Final = frozenset(
    ('load_model', 'load_version', 'load_adapter')
)


class Order(NamedTuple):
    """
    An order to an engine; to repeat it changes nothing.

    :param kind: ``load_model``, ``load_version``, ``load_adapter`` or
        ``change_role``.
    :param name: model, version, adapter or role that it is about.
    """

    kind: str
    name: str

    @property
    def loads(self) -> bool:
        """Whether the engine reads the weight store."""
        return self.kind in LOADING_ORDER_KINDS


class EngineView(NamedTuple):
    """
    What the giver of orders knows of one engine.

    :param state: what it runs, ``None`` until it has told.
    :param order: an order to it that is in progress.
    :param may_try: false for a while after an order failed.
    """

    vm: str
    state: EngineState | None
    order: Order | None = None
    may_try: bool = True


class PlacementPolicy(NamedTuple):
    """
    How many engines change at once.

    :param loading_fraction: largest part of a service's engines that load
        while they could serve, as an engine may serve less while it loads;
        at least one engine does.
    """

    loading_fraction: float = 0.25


def next_order(service: Service, state: EngineState) -> Order | None:
    """
    Tell which order an engine needs next.

    :param service: what its engines are to run.
    :param state: what the engine runs.
    :returns: an order, or ``None`` if nothing is missing or it is leaving.
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
    Make an order that only tells an engine a new fencing number.

    :param state: what the engine runs.
    :returns: an order to keep its role, or ``None`` if it reports none.
    """
    return Order('change_role', state.role) if state.role else None


def plan_orders(
    service: Service, engines: Iterable[EngineView], policy: PlacementPolicy
) -> list[tuple[str, Order]]:
    """
    List the orders to give now, at most one to an engine.

    The bound on engines that load at once does not count engines without
    the model, which come first.

    :param service: what its engines are to run.
    :param engines: all engines of the service.
    :param policy: how many may change at once.
    :returns: VM and order of each engine that is to get one.
    """
    views = list(engines)
    most = max(1, int(len(views) * policy.loading_fraction))
    in_progress = [view.order for view in views if view.order is not None]
    loading = sum(_reduces_capacity(order) for order in in_progress)
    orders = [(view.vm, _needed_order(service, view)) for view in views]
    wanted = [(vm, order) for vm, order in orders if order is not None]
    first = [entry for entry in wanted if not _reduces_capacity(entry[1])]
    loads = [entry for entry in wanted if _reduces_capacity(entry[1])]
    return first + loads[: max(0, most - loading)]


def issuer_candidates(service: str, routers: Iterable[VmRecord]) -> list[str]:
    """
    Choose which routers may give the orders of a service.

    :param service: qualified name.
    :param routers: all listed routers.
    :returns: VMs of live routers of the service's fleet, or of any fleet if
        it has none: the one that gives orders, then the one that takes over
        if the first is silent.
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
    # An engine without the model serves nothing that a load could slow.
    return order.loads and order.kind != 'load_model'
