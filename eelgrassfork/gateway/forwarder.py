"""
eelgrassfork.gateway.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles callers' requests: permission, credit, forwarding and refusal.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import trio

from ..errors import RequestError, error_body
from ..http_server import Call, CallerDisconnected, cancel_on_disconnect
from .admission.router_delay import (
    RouterDelays,
    link_delay_s,
    redirect_probability,
)
from .configuration import Permission, permit
from .credit_keeper import CreditKeeper
from .follower import StoreView
from .link_load import LinkMonitor
from .overload import Backlog, should_refuse
from .records import Configuration, ForwardHead, Headers, Route
from .sender import Sender
from .sending import PendingRequest
from .telemetry import Telemetry
from .timeouts import credit_wait_s

__all__ = ('Forwarder', 'ForwarderParts', 'WireCodec')

_log = logbook.Logger('forward')

_JSON: Final = ('content-type', 'application/json')
# A retry reaches another router, so that callers may retry immediately if only
# this router refuses them.
_LOCAL_RETRY_S: Final = 0.02
_LOCAL_CODES: Final = frozenset(
    ('not_ready', 'draining', 'router_busy', 'credit_unreachable')
)

# Only requests above this size, and streams, matter to a busy link.
_LARGE_BYTES: Final = 2048
# Refusals for which the log says where the credit is.
_CREDIT_CODES: Final = frozenset(
    ('budget_exhausted', 'credit_held_elsewhere', 'credit_unreachable')
)


class WireCodec(NamedTuple):
    """
    Decoder and encoder for the headers exchanged with callers.

    :param decode_request: decodes method, target and headers.
    :param encode_retry_after: encodes the retry delay, in seconds.
    """

    decode_request: Callable[[str, str, Headers], ForwardHead]
    encode_retry_after: Callable[[float], Headers]


class ForwarderParts(NamedTuple):
    """
    Dependencies of the forwarder.

    :param codec: headers exchanged with callers.
    :param is_isolated: returns whether callers should use another router.
    :param loop_delay_s: returns the event loop delay of this router.
    :param peer_delays_s: returns the event loop delays of other routers.
    :param is_contended: whether callers compete for more capacity than there
        is, so that a busy router sends requests to others.
    :param link: measures the use of this VM's network link.
    """

    store_view: StoreView
    credit: CreditKeeper
    sender: Sender
    telemetry: Telemetry
    codec: WireCodec
    is_isolated: Callable[[], bool]
    loop_delay_s: Callable[[], float]
    peer_delays_s: Callable[[], list[float]]
    is_contended: bool = False
    link: LinkMonitor | None = None


class Forwarder:
    """
    Request handler of the listener for callers.

    :param parts: dependencies.
    :ivar draining: whether new requests are refused before shutdown.
    :ivar in_progress: number of requests being handled.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts
        self._random = random.Random()
        self.draining = False
        self.in_progress = 0

    async def forward(self, call: Call) -> None:
        """
        Answer one request.

        :param call: request and its connection.
        :raises CallerDisconnected: if the caller disconnected before the answer.
        """
        self.in_progress += 1
        try:
            await self._forward(call)
        finally:
            self.in_progress -= 1

    async def _forward(self, call: Call) -> None:
        try:
            head = self._parts.codec.decode_request(
                call.method, call.target, call.headers
            )
            call.request_id = head.request_id
            self._check_not_draining()
            permission = permit(self._configuration, head)
            timeout_s = _timeout_s(permission, head)
            self._check_backlog(timeout_s, call, permission.route)
        except RequestError as error:
            await self._refuse(call, error, None)
            return
        if self._parts.link is not None:
            self._parts.link.add_request(len(call.body))
        deadline = call.received_at + timeout_s
        pending = PendingRequest(call, head, permission, deadline)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, call, nursery.cancel_scope)
            await self._run(pending)
            nursery.cancel_scope.cancel()
        if call.disconnected.is_set() or pending.caller_gone:
            raise CallerDisconnected

    async def _run(self, pending: PendingRequest) -> None:
        try:
            await self._serve(pending)
        except RequestError as error:
            await self._refuse(pending.call, error, pending)
        except CallerDisconnected:
            pending.caller_gone = True
            self._record_end(pending, 'caller_gone')
        except trio.Cancelled:
            if pending.call.disconnected.is_set():
                self._record_end(pending, 'caller_gone')
            else:
                self._record_end(
                    pending, 'cut_at_stop', 'the grace time of the stop ended'
                )
            raise

    async def _serve(self, pending: PendingRequest) -> None:
        head = pending.head
        name = pending.permission.organisation.name
        self._parts.sender.check_quarantine(pending)
        limited = pending.permission.organisation.prepaid_tokens is not None
        reserved = head.max_total_tokens if limited else 0
        if reserved:
            permission = pending.permission
            await self._parts.credit.reserve(
                name,
                reserved,
                permission.priority,
                credit_wait_s(permission.route),
            )
        try:
            await self._parts.sender.send(pending, self._refresh_permission)
        finally:
            if reserved:
                spent = min(reserved, pending.spent_tokens())
                self._parts.credit.held.settle(name, reserved, spent)
        self._record_end(pending, pending.outcome)

    def _refresh_permission(self, pending: PendingRequest) -> Permission:
        if not pending.attempts:
            self._check_not_draining()
        return permit(self._configuration, pending.head)

    def _check_not_draining(self) -> None:
        if self.draining:
            raise RequestError('draining', 'this router is shutting down')

    def _check_backlog(
        self, timeout_s: float, call: Call, route: Route
    ) -> None:
        parts = self._parts
        backlog = Backlog(parts.loop_delay_s(), parts.peer_delays_s)
        if should_refuse(timeout_s, backlog) or self._redirects(call, route):
            raise RequestError(
                'router_busy',
                'this router is overloaded; other routers have less delay',
            )

    def _redirects(self, call: Call, route: Route) -> bool:
        parts = self._parts
        if not parts.is_contended:
            return False
        is_large = route.kind == 'stream' or len(call.body) >= _LARGE_BYTES
        delays = RouterDelays(
            parts.loop_delay_s(),
            parts.peer_delays_s,
            link_delay_s(self._link_utilisation) if is_large else 0,
        )
        probability = redirect_probability(route.objective_s, delays)
        return bool(probability) and self._random.random() < probability

    @property
    def _link_utilisation(self) -> float:
        link = self._parts.link
        return 0 if link is None else link.utilisation

    @property
    def _configuration(self) -> Configuration | None:
        return self._parts.store_view.configuration.current

    async def _refuse(
        self, call: Call, error: RequestError, pending: PendingRequest | None
    ) -> None:
        self._record_refusal(call, error, pending)
        if call.started:
            await call.abort()
            return
        headers: Headers = (_JSON,)
        retry_after_s = error.retry_after_s
        if error.code in _LOCAL_CODES:
            retry_after_s = _LOCAL_RETRY_S
        if retry_after_s is not None:
            headers += self._parts.codec.encode_retry_after(retry_after_s)
        if error.code in _LOCAL_CODES or self._parts.is_isolated():
            call.close_after_response()
        body = error_body(error, call.request_id)
        await call.respond(error.status, body, headers)

    def _record_refusal(
        self, call: Call, error: RequestError, pending: PendingRequest | None
    ) -> None:
        if pending is not None:
            self._record_end(pending, error.code, error.message)
            return
        self._parts.telemetry.requests_ended.labels('none', error.code).inc()
        _log.info(
            'request refused',
            extra={
                'request_id': call.request_id,
                'outcome': error.code,
                'why': error.message,
                'version': self._parts.store_view.configuration.version,
                'version_age_s': self._parts.store_view.configuration.age_s,
                'loop_delay_ms': round(self._parts.loop_delay_s() * 1000),
                'link': round(self._link_utilisation, 2),
            },
        )

    def _record_end(
        self, pending: PendingRequest, outcome: str, why: str = ''
    ) -> None:
        now_s = trio.current_time()
        route = pending.permission.route
        total_s = now_s - pending.call.received_at
        self._parts.telemetry.requests_ended.labels(route.kind, outcome).inc()
        self._parts.telemetry.full_response_s.labels(route.kind).observe(
            total_s
        )
        first_byte_s = pending.first_byte_at - pending.call.received_at
        if first_byte_s >= 0:
            self._parts.telemetry.first_byte_s.labels(route.kind).observe(
                first_byte_s
            )
        credit = (
            self._parts.credit.describe(pending.permission.organisation.name)
            if outcome in _CREDIT_CODES
            else None
        )
        _log.info(
            'request ended',
            extra={
                'request_id': pending.head.request_id,
                'outcome': outcome,
                'why': why,
                'route': route.name,
                'organisation': pending.permission.organisation.name,
                'version': self._parts.store_view.configuration.version,
                'version_age_s': self._parts.store_view.configuration.age_s,
                'tokens': pending.head.max_total_tokens,
                'parts': [part.id for part in pending.head.parts],
                'credit': credit,
                'digest': pending.digest,
                'events': pending.relay.events,
                'held_back': pending.held_back,
                'sends': [attempt.log_fields() for attempt in pending.attempts],
                'first_ms': round(first_byte_s * 1000)
                if first_byte_s >= 0
                else None,
                'whole_ms': round(total_s * 1000),
                'loop_delay_ms': round(self._parts.loop_delay_s() * 1000),
                'link': round(self._link_utilisation, 2),
            },
        )


def _timeout_s(permission: Permission, head: ForwardHead) -> float:
    route_timeout_s = permission.route.timeout_s
    if head.timeout_s is None:
        return route_timeout_s
    return min(route_timeout_s, head.timeout_s)
