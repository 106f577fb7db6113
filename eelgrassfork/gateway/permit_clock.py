"""
eelgrassfork.gateway.permit_clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Schedules the requests of all routers to one server that names a limit.
"""

from typing import Final, NamedTuple

__all__ = ('Decision', 'PermitClock')

# Permits that may be used at once after a time without requests.
_BURST: Final = 2
# Routers that were refused ask again at a rate that does not grow with their
# number: about this many times for each permit.
_ASKS_PER_PERMIT: Final = 4
_ASKER_EXPIRY_S: Final = 10.0


class Decision(NamedTuple):
    """
    Answer to a router that wants to send a request.

    :param granted: whether it may send one request.
    :param delay_s: time until it may send the request, or ask again.
    """

    granted: bool
    delay_s: float


class PermitClock:
    """
    Token bucket of one server whose permits can be reserved for a short time.

    The first permit is granted after a full interval, as another router may
    have granted one just before this one took over.

    :param now_s: current time on trio's clock.
    :ivar granted: number of permits granted.
    """

    def __init__(self, now_s: float) -> None:
        self.granted = 0
        self._last_slot_at = now_s
        self._asked_at_by_node: dict[str, float] = {}

    @property
    def askers(self) -> int:
        """Number of routers that asked within the last seconds."""
        return len(self._asked_at_by_node)

    def ask(
        self, node: str, rate_per_s: float, wait_s: float, now_s: float
    ) -> Decision:
        """
        Decide on one request of a router.

        :param node: VM of the router.
        :param rate_per_s: requests a second that all routers may send, more
            than 0.
        :param wait_s: longest time for which the request can wait.
        :param now_s: current time on trio's clock.
        :returns: permit with the delay of the request, or a refusal.
        """
        self._record_asker(node, now_s)
        interval_s = 1 / rate_per_s
        slot_at = max(
            self._last_slot_at + interval_s,
            now_s - (_BURST - 1) * interval_s,
        )
        delay_s = max(0, slot_at - now_s)
        if delay_s <= wait_s:
            self._last_slot_at = slot_at
            self.granted += 1
            return Decision(granted=True, delay_s=delay_s)
        spread_s = self.askers * interval_s / _ASKS_PER_PERMIT
        return Decision(granted=False, delay_s=max(delay_s, spread_s))

    def _record_asker(self, node: str, now_s: float) -> None:
        self._asked_at_by_node[node] = now_s
        oldest = now_s - _ASKER_EXPIRY_S
        self._asked_at_by_node = {
            asker: asked_at
            for asker, asked_at in self._asked_at_by_node.items()
            if asked_at >= oldest
        }
