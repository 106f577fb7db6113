"""
eelgrassfork.backend_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one backend server as this router sees it.
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
    A prefix entered or left a server's cache.

    :param number: number of the event at its server.
    """

    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


class BackendServer:
    """
    What this router knows of one backend server.

    :param record: the server as listed.
    :param now_s: time on the clock of trio.
    :ivar polled_at: when its load was last asked for.
    :ivar events_after: number of the last cache event known.
    :ivar draining_until: when a refusal as leaving stops to count.
    """

    # A router lists thousands of servers, most of which it never uses.
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
        Tell whether it takes no new work.

        :param now_s: time on the clock of trio.
        :returns: whether it is listed as leaving or refused as such.
        """
        return self.record.state == 'leaving' or now_s < self.draining_until

    def state(self, now_s: float) -> ServerState:
        """
        Describe it for routing.

        :param now_s: time on the clock of trio.
        :returns: its state.
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
        Take over cache events.

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
