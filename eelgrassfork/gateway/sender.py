"""
eelgrassfork.gateway.sender
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends a request to servers, with retries, until it is answered.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

import trio

from ..errors import RequestError
from .configuration import Permission
from .exchange import ClaimFailover, Exchange
from .part_quarantine import PartQuarantine
from .prices import tokens_per_event
from .records import Route, WeightedService
from .retry_budget import FleetRetryBudget, FleetRetryPolicy
from .selection import Selector
from .sending import Attempt, AttemptFailed, ErrorAnswer, PendingRequest
from .telemetry import Telemetry
from .timeouts import retry_delay_s

__all__ = ('Sender', 'SenderParts')

# Reasons for which servers that are in order receive no more requests.
_OVERLOADED: Final = frozenset(('all_full', 'all_limited'))


class SenderParts(NamedTuple):
    """
    Dependencies and settings of the sender.

    :param exchange: sends a request to one server.
    :param selector: selects the servers.
    :param retry_policy: limit on the retries of the whole fleet.
    :param routers: returns the number of live routers.
    :param quarantine: knows the requests that must not be sent.
    """

    exchange: Exchange
    selector: Selector
    telemetry: Telemetry
    retry_policy: FleetRetryPolicy
    routers: Callable[[], int]
    quarantine: PartQuarantine


# A request is not sent again once this number of servers has ended under it.
_MAX_CRASHES: Final = 2

RefreshPermission = Callable[[PendingRequest], Permission]


class Sender:
    """
    Sends requests and decides on retries.

    :param parts: dependencies and settings.
    """

    def __init__(self, parts: SenderParts) -> None:
        self._parts = parts
        self._random = random.Random()
        self._budgets_by_service: dict[str, FleetRetryBudget] = {}

    def change_retry_policy(self, policy: FleetRetryPolicy) -> None:
        """
        Apply a changed limit on retries.

        :param policy: new limit.
        """
        self._parts = self._parts._replace(retry_policy=policy)
        for budget in self._budgets_by_service.values():
            budget.policy = policy

    async def send(
        self, pending: PendingRequest, refresh: RefreshPermission
    ) -> None:
        """
        Send a request, with retries, until it has a final answer.

        :param pending: request to send.
        :param refresh: looks up the current route and organisation; called
            before each attempt.
        :raises RequestError: if there is no answer to relay.
        """
        in_time = False
        with trio.move_on_at(pending.deadline):
            await self._send(pending, refresh)
            in_time = True
        if not in_time:
            raise _deadline_error(pending)

    def check_quarantine(self, pending: PendingRequest) -> None:
        """
        Refuse a request that is likely to end the servers of its route.

        :param pending: the request.
        :raises RequestError: ``part_quarantined`` or ``request_quarantined``;
            ``server_failed`` if the request may have run.
        """
        route = pending.permission.route
        if self._admissible_services(pending, route):
            return
        service = _weighted_services(route)[0].service
        error = self._parts.quarantine.refuse(service, pending.suspect_ids)
        if pending.may_have_run:
            raise RequestError('server_failed', error.message, 'unknown')
        raise error

    async def _send(
        self, pending: PendingRequest, refresh: RefreshPermission
    ) -> None:
        error_answer: ErrorAnswer | None = None
        while error_answer is None or not error_answer.final:
            pending.check_caller()
            pending.permission = _refreshed(pending, refresh)
            service = self._service(pending)
            budget = self._budget(service)
            if not pending.attempts:
                budget.record_request(trio.current_time())
            try:
                error_answer = await self._send_once(
                    pending, service, error_answer, refresh
                )
            except AttemptFailed as failure:
                _check_repeatable(pending, failure)
            if pending.answered:
                return
            self.check_quarantine(pending)
            if not _may_retry(pending, budget):
                break
        if error_answer is None:
            raise self._unanswered_error(pending)
        await pending.respond(error_answer.answer, error_answer.body)

    async def _send_once(
        self,
        pending: PendingRequest,
        service: str,
        error_answer: ErrorAnswer | None,
        refresh: RefreshPermission,
    ) -> ErrorAnswer | None:
        selection = await self._parts.selector.select(pending, service)
        server = selection.server
        if server is None:
            if error_answer is not None:
                return error_answer._replace(final=True)
            raise self._no_server_error(pending, selection.reason)
        claim_failover = partial(
            self._claim_failover, pending, server.entry.service, refresh
        )
        load = server.load(trio.current_time())
        attempt = Attempt(
            server,
            selection.reason,
            load,
            pending.head.prompt_tokens,
            # The configuration may have changed during the selection.
            tokens_per_event(pending.permission.services_by_name.get(service)),
        )
        attempt.expect(selection.expected, pending.head.max_total_tokens)
        pending.attempts.append(attempt)
        if selection.limit_per_s is not None:
            attempt.limit_per_s = selection.limit_per_s
            self._parts.telemetry.limited_sends.labels(service).inc()
        try:
            return await self._run(pending, attempt, claim_failover)
        except AttemptFailed as failure:
            attempt.outcome = failure.code
            raise
        except trio.Cancelled:
            attempt.outcome = 'cancelled'
            pending.may_have_run = pending.may_have_run or attempt.maybe_sent
            raise
        finally:
            attempt.close()
            self._parts.telemetry.sends.labels(service, attempt.outcome).inc()

    def _claim_failover(
        self, pending: PendingRequest, service: str, refresh: RefreshPermission
    ) -> bool:
        # The permission is looked up again before the request is sent to
        # another server, so that one that was withdrawn would cut a stream
        # that is only slow.
        try:
            route = refresh(pending).route
        except RequestError:
            return False
        if not route.repeatable or pending.sent_count >= route.max_attempts:
            return False
        services = self._admissible_services(pending, route)
        # A permit for a limited server may be refused after this attempt has
        # ended.  Any of the services may be selected then.
        if not services or not all(
            self._parts.selector.has_unlimited_server(pending, entry.service)
            for entry in services
        ):
            return False
        if not _may_retry(pending, self._budget(service)):
            return False
        pending.retry_granted = True
        return True

    async def _run(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        claim_failover: ClaimFailover,
    ) -> ErrorAnswer | None:
        with self._parts.quarantine.guards.guard(attempt, pending.suspect_ids):
            return await self._parts.exchange.run(
                pending, attempt, claim_failover
            )
        raise AttemptFailed(
            'quarantined', 'the request must not be answered any more', False
        )

    def _service(self, pending: PendingRequest) -> str:
        self.check_quarantine(pending)
        services = self._admissible_services(pending, pending.permission.route)
        weights = [entry.weight for entry in services]
        if len(services) == 1 or not any(weights):
            return services[0].service
        return self._random.choices(services, weights)[0].service

    def _admissible_services(
        self, pending: PendingRequest, route: Route
    ) -> list[WeightedService]:
        cause = self._parts.quarantine.cause
        return [
            entry
            for entry in _weighted_services(route)
            if cause(entry.service, pending.suspect_ids) is None
        ]

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = FleetRetryBudget(
                self._parts.retry_policy, self._parts.routers
            )
            self._budgets_by_service[service] = budget
        return budget

    def _no_server_error(
        self, pending: PendingRequest, reason: str
    ) -> RequestError:
        if pending.may_have_run:
            return RequestError(
                'server_failed', 'no other server is available', 'unknown'
            )
        return RequestError(
            'overloaded' if reason in _OVERLOADED else 'no_server',
            f'no server is available for the request: {reason}',
            retry_after_s=self._retry_after_s(pending),
        )

    def _unanswered_error(self, pending: PendingRequest) -> RequestError:
        if pending.may_have_run:
            return RequestError(
                'server_failed', 'no server answered the request', 'unknown'
            )
        return RequestError(
            'overloaded',
            'no server accepted the request',
            retry_after_s=self._retry_after_s(pending),
        )

    def _retry_after_s(self, pending: PendingRequest) -> float:
        # If no server may be sent requests now, callers retry after the first
        # pause ends.
        pause_s = min(
            self._parts.selector.pause_left_s(entry.service)
            for entry in pending.permission.route.services
        )
        return pause_s + retry_delay_s(
            pending.permission.route, self._random.random()
        )


def _refreshed(
    pending: PendingRequest, refresh: RefreshPermission
) -> Permission:
    try:
        return refresh(pending)
    except RequestError as error:
        if not pending.may_have_run:
            raise
        raise RequestError('server_failed', error.message, 'unknown') from None


def _weighted_services(route: Route) -> list[WeightedService]:
    weighted = [entry for entry in route.services if entry.weight > 0]
    return weighted or list(route.services[:1])


def _may_retry(pending: PendingRequest, budget: FleetRetryBudget) -> bool:
    if pending.crash_count >= _MAX_CRASHES:
        return False
    if not pending.sent_count:
        # A failed connection does not count as an attempt; the loop ends when
        # all servers have been tried.
        return True
    if pending.sent_count >= pending.permission.route.max_attempts:
        return False
    if pending.retry_granted:
        pending.retry_granted = False
        return True
    return budget.take(trio.current_time())


def _check_repeatable(pending: PendingRequest, failure: AttemptFailed) -> None:
    if not failure.not_run:
        pending.may_have_run = True
    if pending.may_have_run and not pending.permission.route.repeatable:
        raise RequestError('server_failed', failure.message, 'unknown')


def _deadline_error(pending: PendingRequest) -> RequestError:
    if pending.may_have_run or pending.sent_count:
        return RequestError(
            'deadline_exceeded', 'no answer before the deadline', 'unknown'
        )
    return RequestError(
        'overloaded', 'not sent before the deadline', retry_after_s=0
    )
