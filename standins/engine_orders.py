"""
standins.engine_orders
~~~~~~~~~~~~~~~~~~~~~~

Control orders of a stand-in engine, with optional fencing.
"""

from typing import Any, Final

import msgspec
import trio

__all__ = ('EngineOrders', 'OrderBody', 'OrderRefused')

ORDER_S_BY_KIND: Final = {
    'load_model': 2,
    'load_version': 2,
    'load_adapter': 0.3,
    'change_role': 0.1,
    'leave': 0,
}


class OrderBody(msgspec.Struct):
    """
    Body of ``POST /v1/orders``.

    :ivar order: a key of :data:`ORDER_S_BY_KIND`.
    :ivar name: model, version, adapter or role that the order applies to.
    :ivar fencing_number: fencing number of the sender's lease.
    """

    order: str
    name: str = ''
    fencing_number: int | None = None


class OrderRefused(Exception):
    """
    An order was rejected and had no effect.

    :ivar code: stable error code.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class EngineOrders:
    """
    Executes orders sequentially.

    :param model: model loaded at start-up.
    :param checks_fencing: whether orders with a stale fencing number are
        rejected.
    :ivar models: models and adapters that are served.
    :ivar leaving: whether the engine rejects new requests.
    :ivar carried_out: executed orders, in order of execution.
    """

    def __init__(self, model: str, checks_fencing: bool) -> None:
        self.models = [model]
        self.version = ''
        self.role = 'both'
        self.leaving = False
        self.carried_out: list[dict[str, Any]] = []
        self._checks_fencing = checks_fencing
        self._max_number = 0
        self._lock = trio.Lock()

    async def carry_out(self, order: OrderBody, pace: float) -> None:
        """
        Execute an order after all earlier ones.

        :param order: the order.
        :param pace: factor on its duration.
        :raises OrderRefused: ``unknown_order`` or ``stale_fencing_number``.
        """
        if order.order not in ORDER_S_BY_KIND:
            raise OrderRefused(
                'unknown_order', f'unknown order {order.order!r}'
            )
        async with self._lock:
            self._check_fencing(order.fencing_number or 0)
            await trio.sleep(ORDER_S_BY_KIND[order.order] * pace)
            self._apply(order)

    def state(self) -> dict[str, Any]:
        """
        Return the state that results from all orders.

        :returns: models, version, role and whether the engine is leaving.
        """
        return {
            'models': self.models,
            'version': self.version,
            'role': self.role,
            'leaving': self.leaving,
        }

    def _check_fencing(self, number: int) -> None:
        if not self._checks_fencing:
            return
        if number < self._max_number:
            message = f'fencing number {number} is below {self._max_number}'
            raise OrderRefused('stale_fencing_number', message)
        self._max_number = number

    def _apply(self, order: OrderBody) -> None:
        adds_model = order.order in {'load_model', 'load_adapter'}
        if adds_model and order.name not in self.models:
            self.models.append(order.name)
        elif order.order == 'load_version':
            self.version = order.name
        elif order.order == 'change_role':
            self.role = order.name
        elif order.order == 'leave':
            self.leaving = True
        self.carried_out.append(msgspec.structs.asdict(order))
