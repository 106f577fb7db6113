"""
eelgrassfork.gateway.sender
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends a request to one server after the other until it is answered.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

import trio

from ..errors import RequestError
from ..http_server import CallerDisconnected
from .choice import Candidate, ChoicePolicy, Wish, choose, placement_key
from .configuration import Permission
from .exchange import Exchange
from .follower import Beliefs
from .patience import return_s
from .repeat_budget import RepeatBudget, RepeatPolicy
from .sending import KeptAnswer, Send, SendFailed, Sending
from .servers import Server
from .telemetry import Telemetry

__all__ = ('Sender', 'SenderParts')

# Longer than an answer of a sound server takes.
_TRIAL_S: Final = 1.0


class SenderParts(NamedTuple):
    """
    What the sender works with.

    :param exchange: sends to one server.
    :param failure_domain: where this router runs.
    :param repeat_policy: repeated sends of the whole fleet.
    :param routers: number of live routers.
    """

    exchange: Exchange
    beliefs: Beliefs
    telemetry: Telemetry
    failure_domain: str
    repeat_policy: RepeatPolicy
    routers: Callable[[], int]


Renew = Callable[[Sending], Permission]


class Sender:
    """
    Chooses servers and decides on repeated sends.

    :param parts: what it works with.
    :param policy: weights of the choice.
    """

    def __init__(
        self, parts: SenderParts, policy: ChoicePolicy | None = None
    ) -> None:
        self._parts = parts
        self._policy = policy or ChoicePolicy()
        self._random = random.Random()
        self._budgets_by_service: dict[str, RepeatBudget] = {}

    def change_repeat_policy(self, policy: RepeatPolicy) -> None:
        """
        Take over changed bounds on repeated sends.

        :param policy: as it is now.
        """
        self._parts = self._parts._replace(repeat_policy=policy)
        for budget in self._budgets_by_service.values():
            budget.policy = policy

    async def send(self, sending: Sending, renew: Renew) -> None:
        """
        Bring a request to its final answer.

        :param sending: the request.
        :param renew: looks up the route as it is now; called before each
            send.
        :raises RequestError: if there is no answer to relay.
        """
        in_time = False
        with trio.move_on_at(sending.deadline):
            await self._send(sending, renew)
            in_time = True
        if not in_time:
            raise _late(sending)

    async def _send(self, sending: Sending, renew: Renew) -> None:
        kept: KeptAnswer | None = None
        while kept is None or not kept.final:
            _check_caller(sending)
            sending.permission = _renewed(sending, renew)
            service = self._service(sending)
            budget = self._budget(service)
            if not sending.sends:
                budget.note_request(trio.current_time())
            try:
                kept = await self._send_once(sending, service, kept)
            except SendFailed as failure:
                _check_repeatable(sending, failure)
            if sending.answered:
                return
            if not _may_repeat(sending, budget):
                break
        if kept is None:
            raise self._given_up(sending)
        await sending.respond(kept.answer, kept.body)

    async def _send_once(
        self, sending: Sending, service: str, kept: KeptAnswer | None
    ) -> KeptAnswer | None:
        server, reason = self._choose(sending, service)
        if server is None:
            if kept is not None:
                return kept._replace(final=True)
            raise self._no_server(sending, reason)
        leave = partial(self._may_leave, sending, server.entry.service)
        load = server.load(trio.current_time())
        send = Send(server, reason, load, sending.head.prompt_tokens)
        sending.sends.append(send)
        try:
            return await self._parts.exchange.run(sending, send, leave)
        except SendFailed as failure:
            send.outcome = failure.code
            raise
        except trio.Cancelled:
            send.outcome = 'cancelled'
            sending.may_have_run = sending.may_have_run or send.reached
            raise
        finally:
            send.close()
            self._parts.telemetry.sends.labels(service, send.outcome).inc()

    def _choose(
        self, sending: Sending, service: str
    ) -> tuple[Server | None, str]:
        now_s = trio.current_time()
        servers = self._parts.beliefs.servers.usable(service)
        wish = Wish(
            self._parts.failure_domain,
            placement_key(sending.head.parts),
            sending.tried,
            sending.permission.route.repeatable,
        )
        choice = choose(
            [_candidate(server, now_s) for server in servers],
            wish,
            self._policy,
            self._random,
        )
        by_id = {server.entry.id: server for server in servers}
        server = by_id.get(choice.server_id)
        if server is not None and choice.reason == 'trial':
            server.health = server.health._replace(probe_at=now_s + _TRIAL_S)
        return server, choice.reason

    def _may_leave(self, sending: Sending, service: str) -> bool:
        has_other = any(
            other.entry.id not in sending.tried and not other.health.ejected
            for other in self._parts.beliefs.servers.usable(service)
        )
        if not (has_other and _may_repeat(sending, self._budget(service))):
            return False
        sending.repeat_granted = True
        return True

    def _service(self, sending: Sending) -> str:
        services = sending.permission.route.services
        weights = [max(0, entry.weight) for entry in services]
        if len(services) == 1 or not any(weights):
            return services[0].service
        return self._random.choices(services, weights)[0].service

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(
                self._parts.repeat_policy, self._parts.routers
            )
            self._budgets_by_service[service] = budget
        return budget

    def _no_server(self, sending: Sending, reason: str) -> RequestError:
        if sending.may_have_run:
            return RequestError(
                'server_failed', 'no other server can answer', 'unknown'
            )
        return RequestError(
            'overloaded' if reason == 'all_full' else 'no_server',
            f'no server may take the request: {reason}',
            retry_after_s=self._return_s(sending),
        )

    def _given_up(self, sending: Sending) -> RequestError:
        if sending.may_have_run:
            return RequestError(
                'server_failed', 'no server answered', 'unknown'
            )
        return RequestError(
            'overloaded',
            'no server took the request',
            retry_after_s=self._return_s(sending),
        )

    def _return_s(self, sending: Sending) -> float:
        # All servers may pause; callers then come back after the first pause.
        servers = self._parts.beliefs.servers
        services = sending.permission.route.services
        pause_s = min(servers.pause_left_s(one.service) for one in services)
        return pause_s + return_s(
            sending.permission.route, self._random.random()
        )


def _check_caller(sending: Sending) -> None:
    # A busy router reads some requests after their callers have left.
    if sending.call.has_disconnected():
        raise CallerDisconnected


def _renewed(sending: Sending, renew: Renew) -> Permission:
    try:
        return renew(sending)
    except RequestError as error:
        if not sending.may_have_run:
            raise
        raise RequestError('server_failed', error.message, 'unknown') from None


def _may_repeat(sending: Sending, budget: RepeatBudget) -> bool:
    if not sending.reached:
        # A failed connection is no send; the tried servers bound the loop.
        return True
    if sending.reached >= sending.permission.route.attempts:
        return False
    if sending.repeat_granted:
        sending.repeat_granted = False
        return True
    return budget.take(trio.current_time())


def _check_repeatable(sending: Sending, failure: SendFailed) -> None:
    if not failure.not_run:
        sending.may_have_run = True
    if sending.may_have_run and not sending.permission.route.repeatable:
        raise RequestError('server_failed', failure.message, 'unknown')


def _candidate(server: Server, now_s: float) -> Candidate:
    return Candidate(
        server.entry.id,
        server.entry.failure_domain,
        server.load(now_s),
        server.waiting(now_s),
        server.entry.slots,
        server.unread_tokens,
        server.failures(now_s),
        server.health.ejected,
        server.is_due(now_s),
        server.entry.cold_s > 0,
    )


def _late(sending: Sending) -> RequestError:
    if sending.may_have_run or sending.reached:
        return RequestError(
            'deadline_exceeded', 'no answer before the deadline', 'unknown'
        )
    return RequestError(
        'overloaded', 'not sent before the deadline', retry_after_s=0
    )
