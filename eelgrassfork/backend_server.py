"""
eelgrassfork.backend_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one backend server as seen by this router.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

from .retries import ServerHealth
from .routing import ServerState
from .vm_list import VmRecord

__all__ = ('BackendServer', 'CacheEvent')

_NEVER: Final = float('-inf')
_HEALTHY: Final = ServerHealth()
_MAX_CACHED_PREFIXES: Final = 1024


class CacheEvent(NamedTuple):
    """
    A prefix was stored in or evicted from a server's cache.

    :param number: sequence number of the event on its server.
    """

    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


class BackendServer:
    """
    Mutable state of one backend server.

    :param record: the server's record in the VM list.
    :param now_s: current trio time.
    :ivar polled_at: trio time of the last poll of its load.
    :ivar events_after: number of the last cache event received.
    :ivar draining_until: trio time until which the server counts as leaving
        after it refused a request for that reason.
    """

    # Saves memory: thousands of servers are listed, most of them never used.
    __slots__ = (
        'cached_prefixes',
        'draining_until',
        'events_after',
        'health',
        'in_flight',
        'polled_at',
        'record',
        'reported_at',
        'running',
        'waiting',
        '_prefixes',
    )

    def __init__(self, record: VmRecord, now_s: float) -> None:
        self.record = record
        self.in_flight = 0
        self.health = _HEALTHY
        self.draining_until = now_s
        self.running = 0
        self.waiting = 0
        self.reported_at = now_s
        self.polled_at = _NEVER
        self.events_after = 0
        self.cached_prefixes: frozenset[str] = frozenset()
        self._prefixes: OrderedDict[str, None] | None = None

    def is_leaving(self, now_s: float) -> bool:
        """
        Return whether the server accepts no new requests.

        :param now_s: current trio time.
        :returns: whether it is listed as leaving, or recently refused a
            request because it is leaving.
        """
        return self.record.state == 'leaving' or now_s < self.draining_until

    def state(self, now_s: float) -> ServerState:
        """
        Return an immutable copy of the state for routing.

        :param now_s: current trio time.
        :returns: the server's state.
        """
        record = self.record
        return ServerState(
            record.vm,
            record.address,
            record.service,
            record.failure_domain,
            'leaving' if self.is_leaving(now_s) else 'live',
            self.in_flight,
            self.running,
            self.waiting,
            now_s - self.reported_at,
            self.health.ejected,
            self.cached_prefixes,
        )

    def apply_events(self, events: Iterable[CacheEvent]) -> None:
        """
        Apply cache events.

        :param events: events in the order of their numbers.
        """
        prefixes = self._prefixes
        if prefixes is None:
            prefixes = OrderedDict()
            self._prefixes = prefixes
        for event in events:
            self.events_after = max(self.events_after, event.number)
            prefixes.pop(event.prefix, None)
            if event.kind == 'stored':
                prefixes[event.prefix] = None
        while len(prefixes) > _MAX_CACHED_PREFIXES:
            prefixes.popitem(last=False)
        self.cached_prefixes = frozenset(prefixes)
