"""
eelgrassfork.gateway.selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the server for each attempt, and waits for a permit to send to it.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

import trio

from .choice import (
    Candidate,
    Choice,
    ChoicePolicy,
    PlacementRequest,
    choose,
    placement_key,
)
from .cold_servers import is_reported_cold
from .expected_time import ExpectedTime, RequestSize
from .follower import StoreView
from .home_regions import home_regions, is_home
from .limit_table import LimitTable
from .part_quarantine import PartQuarantine
from .records import Engine
from .send_permits import SendPermits
from .sending import PendingRequest
from .servers import Server
from .timeouts import permit_wait_s

__all__ = ('Selection', 'Selector', 'SelectorParts')

# Time until an ejected server may be probed again; longer than a healthy
# server takes to answer.
_PROBE_INTERVAL_S: Final = 1.0
# Each request for a permit delays the caller's request by a call to a peer.
_MAX_REFUSED_PERMITS: Final = 4


def _one_router() -> int:
    return 1


class SelectorParts(NamedTuple):
    """
    Dependencies and settings of the selector.

    :param limits: limits that servers name in their answers.
    :param permits: permits to send requests to those servers.
    :param quarantine: knows the parts of prompts that are suspect.
    :param failure_domain: failure domain of this router.
    :param regions_by_domain: region of each failure domain.
    :param routers: returns the number of routers that may be running.
    """

    store_view: StoreView
    limits: LimitTable
    permits: SendPermits
    quarantine: PartQuarantine
    failure_domain: str
    regions_by_domain: dict[str, str] = {}
    routers: Callable[[], int] = _one_router


class Selection(NamedTuple):
    """
    Server that one request may be sent to now.

    :param server: ``None`` if there is none.
    :param reason: why that server was selected, or why none was:
        ``no_server``, ``all_ejected``, ``all_full`` or ``all_limited``.
    :param limit_per_s: limit that the server names, ``None`` without one.
    :param expected: expected duration there, ``None`` unless servers of the
        service report their slowdown.
    """

    server: Server | None
    reason: str
    limit_per_s: float | None = None
    expected: ExpectedTime | None = None


class Selector:
    """
    Selects servers for requests.

    :param parts: dependencies and settings.
    :param policy: cost weights of the selection.
    """

    def __init__(
        self, parts: SelectorParts, policy: ChoicePolicy | None = None
    ) -> None:
        self._parts = parts
        self._policy = policy or ChoicePolicy()
        self._random = random.Random()

    async def select(self, pending: PendingRequest, service: str) -> Selection:
        """
        Select a server that has not been tried.

        Waits for a permit only if no server without a limit takes the request.

        :param pending: request to send.
        :param service: name of the service.
        :returns: the server, for one send.
        :raises CallerDisconnected: if the caller is gone after the wait.
        """
        if self._parts.limits.may_limit(service) and self.has_unlimited_server(
            pending, service
        ):
            selection = await self._select(pending, service, wait_s=0)
            if selection.server is not None:
                return selection
        wait_s = permit_wait_s(pending.permission.priority)
        selection = await self._select(pending, service, wait_s)
        if selection.reason == 'no_server' and self._is_limited(
            pending, service
        ):
            return Selection(None, 'all_limited')
        return selection

    def has_unlimited_server(
        self, pending: PendingRequest, service: str
    ) -> bool:
        """
        Check whether a request may go to another server without a permit.

        :param pending: the request.
        :param service: name of the service.
        :returns: whether a server without a limit is healthy and untried.
        """
        return any(
            server.entry.id not in pending.tried
            and not server.health.ejected
            and self._parts.limits.limit_of(server.entry) is None
            for server in self._usable_at_home(pending, service)
        )

    def pause_left_s(self, service: str) -> float:
        """
        Compute the time until a request for a service may be sent again.

        :param service: name of the service.
        :returns: seconds until the first pause of a server, or of the requests
            for permits, ends; 0 if a server may be used now.
        """
        usable = [server.entry for server in self._usable(service)]
        if not usable:
            return self._parts.store_view.servers.pause_left_s(service)
        return self._parts.permits.pause_left_s(usable)

    async def _select(
        self, pending: PendingRequest, service: str, wait_s: float
    ) -> Selection:
        while True:
            selection = self._choose(pending, service, wait_s)
            server = selection.server
            if server is None:
                return selection
            if await self._may_send(pending, server, wait_s):
                limit = self._parts.limits.limit_of(server.entry)
                per_s = None if limit is None else limit.per_s
                return selection._replace(limit_per_s=per_s)

    def _usable(self, service: str) -> list[Server]:
        return self._parts.store_view.servers.usable(service)

    def _usable_at_home(
        self, pending: PendingRequest, service: str
    ) -> list[Server]:
        permission = pending.permission
        allowed = home_regions(permission.route, permission.organisation)
        usable = self._usable(service)
        if allowed is None:
            return usable
        regions_by_domain = self._parts.regions_by_domain
        return [
            server
            for server in usable
            if is_home(server.entry.failure_domain, allowed, regions_by_domain)
        ]

    def _choose(
        self, pending: PendingRequest, service: str, wait_s: float
    ) -> Selection:
        now_s = trio.current_time()
        by_id = {
            server.entry.id: server
            for server in self._usable_at_home(pending, service)
            if self._may_choose(pending, server, wait_s)
        }
        suspect_key = self._parts.quarantine.placement_key(
            service, pending.suspect_ids
        )
        request = PlacementRequest(
            self._parts.failure_domain,
            suspect_key or _placement_key(pending),
            pending.tried,
            pending.permission.route.repeatable,
        )
        if any(server.reports_slowdown for server in by_id.values()):
            choice = self._choose_by_time(
                pending, service, list(by_id.values()), request
            )
        else:
            choice = choose(
                [
                    _candidate(server, now_s, self._is_cold(server, now_s))
                    for server in by_id.values()
                ],
                request,
                self._policy,
                self._random,
            )
        server = by_id.get(choice.server_id)
        if server is not None and choice.reason == 'trial':
            server.health = server.health._replace(
                probe_at=now_s + _PROBE_INTERVAL_S
            )
        reason: str = choice.reason
        if suspect_key and reason == 'shared_part':
            reason = 'suspect_part'
        return Selection(server, reason, expected=choice.expected)

    def _choose_by_time(
        self,
        pending: PendingRequest,
        service: str,
        servers: list[Server],
        request: PlacementRequest,
    ) -> Choice:
        now_s = trio.current_time()
        engine = self._engine(service)
        memory_tokens = engine.memory_tokens if engine else 0
        size = _request_size(pending, engine)
        return choose(
            [
                _timed_candidate(
                    server, now_s, memory_tokens, self._is_cold(server, now_s)
                )
                for server in servers
            ],
            request._replace(size=size, routers=self._parts.routers()),
            self._policy,
            self._random,
        )

    def _engine(self, service: str) -> Engine | None:
        configuration = self._parts.store_view.configuration.current
        if configuration is None:
            return None
        known = configuration.services_by_name.get(service)
        return None if known is None else known.engine

    def _is_cold(self, server: Server, now_s: float) -> bool:
        if is_reported_cold(server.cold, now_s):
            return True
        return self._parts.limits.cold_rate_of(server.entry.id) is not None

    def _may_choose(
        self, pending: PendingRequest, server: Server, wait_s: float
    ) -> bool:
        if self._parts.limits.limit_of(server.entry) is None:
            return True
        return (
            pending.held_back < _MAX_REFUSED_PERMITS
            and self._parts.permits.is_open(server.entry, wait_s)
        )

    async def _may_send(
        self, pending: PendingRequest, server: Server, wait_s: float
    ) -> bool:
        if not await self._parts.permits.take(server.entry, wait_s):
            pending.held_back += 1
            return False
        pending.check_caller()
        # The server may have begun to leave during the wait.
        return server in self._usable_at_home(pending, server.entry.service)

    def _is_limited(self, pending: PendingRequest, service: str) -> bool:
        return any(
            server.entry.id not in pending.tried
            and self._parts.limits.limit_of(server.entry) is not None
            for server in self._usable_at_home(pending, service)
        )


def _placement_key(pending: PendingRequest) -> str:
    # Other requests with the same prefix move to its next server.
    return '' if pending.crash_count else placement_key(pending.head.parts)


def _candidate(server: Server, now_s: float, is_cold: bool) -> Candidate:
    return Candidate(
        server.entry.id,
        server.entry.failure_domain,
        server.load(now_s),
        server.waiting(now_s),
        server.entry.slots,
        server.pending_prefill_tokens,
        server.failures(now_s),
        server.health.ejected,
        server.is_due(now_s),
        is_cold,
    )


def _timed_candidate(
    server: Server, now_s: float, memory_tokens: int, is_cold: bool
) -> Candidate:
    timing = server.timing(now_s, memory_tokens)
    weight = timing.report_weight
    return Candidate(
        server.entry.id,
        server.entry.failure_domain,
        timing.in_flight + timing.others * weight,
        timing.waiting * weight,
        server.entry.slots,
        timing.prefill_tokens,
        server.failures(now_s),
        server.health.ejected,
        server.is_due(now_s),
        is_cold,
        timing,
    )


def _request_size(
    pending: PendingRequest, engine: Engine | None
) -> RequestSize:
    head = pending.head
    return RequestSize(
        head.prompt_tokens,
        head.max_output_tokens,
        sum(part.tokens for part in head.parts[:-1]),
        engine.tokens_per_event if engine else 1,
    )
