"""
eelgrassfork.gateway.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes callers' requests through permission, credit, servers and answer.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import trio

from ..errors import RequestError, error_body
from ..http_server import Call, CallerDisconnected, cancel_on_disconnect
from .configuration import Permission, permit
from .credit_keeper import CreditKeeper
from .follower import Beliefs
from .overload import Backlog, turns_away
from .records import Configuration, ForwardHead, Headers
from .sender import Sender
from .sending import Sending
from .telemetry import Telemetry

__all__ = ('Forwarder', 'ForwarderParts', 'Translation')

_log = logbook.Logger('forward')

_JSON: Final = ('content-type', 'application/json')
# Retries reach other routers, so that what binds only this one is mended by
# coming back at once.
_ELSEWHERE_S: Final = 0.02
_LOCAL_CODES: Final = frozenset(
    ('not_ready', 'draining', 'router_busy', 'credit_unreachable')
)


class Translation(NamedTuple):
    """
    How requests look on the wire.

    :param request: understands method, target and headers.
    :param retry_after: writes the time to come back, in seconds.
    """

    request: Callable[[str, str, Headers], ForwardHead]
    retry_after: Callable[[float], Headers]


class ForwarderParts(NamedTuple):
    """
    What the forwarder works with.

    :param is_isolated: whether callers should try another router.
    :param loop_delay_s: how far this router is behind with its work.
    :param delays_elsewhere_s: the same of other routers.
    """

    beliefs: Beliefs
    credit: CreditKeeper
    sender: Sender
    telemetry: Telemetry
    translation: Translation
    is_isolated: Callable[[], bool]
    loop_delay_s: Callable[[], float]
    delays_elsewhere_s: Callable[[], list[float]]


class Forwarder:
    """
    Handler of the callers' listener.

    :param parts: what it works with.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts
        self.draining = False
        self.in_progress = 0

    async def forward(self, call: Call) -> None:
        """
        Answer one request.

        :param call: the request and its connection.
        """
        self.in_progress += 1
        try:
            await self._forward(call)
        finally:
            self.in_progress -= 1

    async def _forward(self, call: Call) -> None:
        try:
            head = self._parts.translation.request(
                call.method, call.target, call.headers
            )
            call.request_id = head.request_id
            self._check_open()
            permission = permit(self._configuration, head)
            longest_s = _longest_s(permission, head)
            self._check_backlog(longest_s)
        except RequestError as error:
            await self._refuse(call, error, None)
            return
        deadline = call.received_at + longest_s
        sending = Sending(call, head, permission, deadline)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, call, nursery.cancel_scope)
            await self._run(sending)
            nursery.cancel_scope.cancel()
        if call.disconnected.is_set() or sending.caller_gone:
            raise CallerDisconnected

    async def _run(self, sending: Sending) -> None:
        try:
            await self._serve(sending)
        except RequestError as error:
            await self._refuse(sending.call, error, sending)
        except CallerDisconnected:
            sending.caller_gone = True
            self._note_end(sending, 'caller_gone')
        except trio.Cancelled:
            self._note_end(sending, 'caller_gone')
            raise

    async def _serve(self, sending: Sending) -> None:
        head = sending.head
        name = sending.permission.organisation.name
        limited = sending.permission.organisation.prepaid_tokens is not None
        reserved = head.most_tokens if limited else 0
        if reserved:
            await self._parts.credit.reserve(name, reserved)
        try:
            await self._parts.sender.send(sending, self._renew)
        finally:
            if reserved:
                spent = min(reserved, sending.spent_tokens())
                self._parts.credit.held.settle(name, reserved, spent)
        self._note_end(sending, sending.outcome)

    def _renew(self, sending: Sending) -> Permission:
        if not sending.sends:
            self._check_open()
        return permit(self._configuration, sending.head)

    def _check_open(self) -> None:
        if self.draining:
            raise RequestError('draining', 'this router is about to stop')

    def _check_backlog(self, patience_s: float) -> None:
        parts = self._parts
        backlog = Backlog(parts.loop_delay_s(), parts.delays_elsewhere_s)
        if turns_away(patience_s, backlog):
            raise RequestError('router_busy', 'other routers are less behind')

    @property
    def _configuration(self) -> Configuration | None:
        return self._parts.beliefs.configuration.current

    async def _refuse(
        self, call: Call, error: RequestError, sending: Sending | None
    ) -> None:
        self._note_refusal(call, error, sending)
        if call.started:
            await call.abort()
            return
        headers: Headers = (_JSON,)
        retry_after_s = error.retry_after_s
        if error.code in _LOCAL_CODES:
            retry_after_s = _ELSEWHERE_S
        if retry_after_s is not None:
            headers += self._parts.translation.retry_after(retry_after_s)
        if error.code in _LOCAL_CODES or self._parts.is_isolated():
            call.close_after_response()
        body = error_body(error, call.request_id)
        await call.respond(error.status, body, headers)

    def _note_refusal(
        self, call: Call, error: RequestError, sending: Sending | None
    ) -> None:
        if sending is not None:
            self._note_end(sending, error.code, error.message)
            return
        self._parts.telemetry.ended.labels('none', error.code).inc()
        _log.info(
            'request refused',
            extra={
                'request_id': call.request_id,
                'outcome': error.code,
                'why': error.message,
                'version': self._parts.beliefs.configuration.version,
                'version_age_s': self._parts.beliefs.configuration.age_s,
                'loop_delay_ms': round(self._parts.loop_delay_s() * 1000),
            },
        )

    def _note_end(self, sending: Sending, outcome: str, why: str = '') -> None:
        now_s = trio.current_time()
        route = sending.permission.route
        whole_s = now_s - sending.call.received_at
        self._parts.telemetry.ended.labels(route.kind, outcome).inc()
        self._parts.telemetry.whole_s.labels(route.kind).observe(whole_s)
        first_s = sending.first_byte_at - sending.call.received_at
        if first_s >= 0:
            self._parts.telemetry.first_byte_s.labels(route.kind).observe(
                first_s
            )
        _log.info(
            'request ended',
            extra={
                'request_id': sending.head.request_id,
                'outcome': outcome,
                'why': why,
                'route': route.name,
                'organisation': sending.permission.organisation.name,
                'version': self._parts.beliefs.configuration.version,
                'version_age_s': self._parts.beliefs.configuration.age_s,
                'tokens': sending.head.most_tokens,
                'events': sending.relay.events,
                'sends': [send.log_fields() for send in sending.sends],
                'first_ms': round(first_s * 1000) if first_s >= 0 else None,
                'whole_ms': round(whole_s * 1000),
                'loop_delay_ms': round(self._parts.loop_delay_s() * 1000),
            },
        )


def _longest_s(permission: Permission, head: ForwardHead) -> float:
    longest_s = permission.route.timeout_s
    if head.patience_s is None:
        return longest_s
    return min(longest_s, head.patience_s)
