"""
eelgrassfork.gateway.send_permits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Permits to send requests to servers that name a limit or are cold.

One router at a time, the keeper of the server's failure domain, grants the
permits for a server to all routers, so that they keep its limit together.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from ..errors import EelgrassError, RequestError
from ..http_client import ClientRequest, ClientTimeouts, HttpClient
from ..http_server import Call
from .heartbeats import LimitNotice
from .limit_table import LimitTable
from .peers import Peer
from .permit_clock import Decision, PermitClock
from .permit_keeper import find_keeper, is_keeper, live_fraction
from .records import ServerEntry
from .roster import Roster
from .timeouts import MAX_PERMIT_WAIT_S

__all__ = ('PERMIT_PATH', 'PermitRequest', 'SendPermits', 'SendPermitsParts')

_log = logbook.Logger('limits')

PERMIT_PATH: Final = '/peer/v1/permits'
_HEADERS: Final = (('content-type', 'application/msgpack'),)
_OK: Final = 200
# Routers are a few milliseconds apart, and the request of a caller waits.
_TIMEOUT_S: Final = 0.1
# A call takes several iterations of the event loop, which are slow on a busy
# router.
_LOOP_ITERATIONS_PER_CALL: Final = 4
# Pause after a call that failed, or that reached a router which is no keeper;
# within it, heartbeats show who is.
_RETRY_S: Final = 0.25
_REFUSED: Final = Decision(granted=False, delay_s=_RETRY_S)
# A server without sends can't say that its limit has ended, so that even a
# limit of 0 lets a request through from time to time.
_MIN_PER_S: Final = 0.1
# Bounds the pauses that a keeper may impose.
_MAX_PAUSE_S: Final = 30.0


class PermitRequest(NamedTuple):
    """
    Request of a router for one permit.

    :param node: VM of the router.
    :param failure_domain: of the server.
    :param notice: limit of the server as the router knows it.
    :param wait_s: longest time for which the caller's request can wait.
    """

    node: str
    failure_domain: str
    notice: LimitNotice
    wait_s: float


class SendPermitsParts(NamedTuple):
    """
    Dependencies of the permits.

    :param node: VM of this router.
    :param limits: known limits of servers.
    :param roster: live routers.
    :param client: HTTP client for calls to other routers.
    :param port: port for peers, the same on all routers.
    :param loop_delay_s: returns the event loop delay of this router.
    """

    node: str
    limits: LimitTable
    roster: Roster
    client: HttpClient
    port: str
    loop_delay_s: Callable[[], float]


class _Refusal(NamedTuple):
    until: float
    wait_s: float
    version: int


class SendPermits:
    """
    Requests permits from keepers, and grants them as a keeper.

    :param parts: dependencies.
    :ivar count_outcome: called with the outcome of each request for a permit.
    """

    def __init__(self, parts: SendPermitsParts) -> None:
        self._parts = parts
        self.count_outcome: Callable[[str], None] = _ignore
        self._refusals_by_id: dict[str, _Refusal] = {}
        self._asking: set[str] = set()
        self._skipped_until_by_node: dict[str, float] = {}
        self._clocks_by_id: dict[str, PermitClock] = {}

    def is_open(self, entry: ServerEntry, wait_s: float) -> bool:
        """
        Check whether a server may be chosen for a request now.

        :param entry: entry of the server.
        :param wait_s: longest time for which the request can wait.
        :returns: ``False`` while a permit was refused or is being requested.
        """
        if self._parts.limits.limit_of(entry) is None:
            return True
        if entry.id in self._asking:
            return False
        refusal = self._refusal(entry)
        return refusal is None or wait_s > refusal.wait_s

    def pause_left_s(self, entries: list[ServerEntry]) -> float:
        """
        Compute the time until a permit may be requested again.

        :param entries: servers that may receive the request.
        :returns: seconds; 0 if one of the servers is open.
        """
        refusals = [self._refusal(entry) for entry in entries]
        ends = [refusal.until for refusal in refusals if refusal is not None]
        if not ends or len(ends) < len(refusals):
            return 0
        return min(ends) - trio.current_time()

    async def take(self, entry: ServerEntry, wait_s: float) -> bool:
        """
        Wait until one request may be sent to a server.

        :param entry: entry of the server.
        :param wait_s: longest time for which the request can wait.
        :returns: whether it may be sent now; always true without a limit.
        """
        notice = self._parts.limits.notice_of(entry)
        if notice is None:
            return True
        request = PermitRequest(
            self._parts.node, entry.failure_domain, notice, wait_s
        )
        self._asking.add(entry.id)
        try:
            decision = await self._ask(request)
        finally:
            self._asking.discard(entry.id)
        if decision.granted:
            self._refusals_by_id.pop(entry.id, None)
            await trio.sleep(min(decision.delay_s, wait_s))
            return True
        pause_s = min(max(0, decision.delay_s), _MAX_PAUSE_S)
        self._refusals_by_id[entry.id] = _Refusal(
            trio.current_time() + pause_s, wait_s, notice.version
        )
        return False

    async def serve(self, call: Call) -> bytes:
        """
        Answer the request of another router for a permit.

        :param call: the call of the router.
        :returns: the encoded decision.
        :raises RequestError: ``invalid_request`` if it can't be decoded.
        """
        await trio.lowlevel.checkpoint()
        try:
            request = msgspec.msgpack.decode(call.body, type=PermitRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RequestError('invalid_request', str(error)) from None
        self._parts.limits.merge((request.notice,), request.node)
        return msgspec.msgpack.encode(self._decide(request))

    def discard_expired(self) -> None:
        """Drop what is kept of servers without a limit, and of keepers."""
        limited = self._parts.limits.limited_ids()
        for server_id in self._refusals_by_id.keys() - limited:
            self._refusals_by_id.pop(server_id)
        for server_id in self._clocks_by_id.keys() - limited:
            self._clocks_by_id.pop(server_id)
        now_s = trio.current_time()
        self._skipped_until_by_node = {
            node: skipped_until
            for node, skipped_until in self._skipped_until_by_node.items()
            if now_s < skipped_until
        }

    def dump(self) -> list[dict[str, object]]:
        """
        Describe the permits that this router grants, for operators.

        :returns: one record per server.
        """
        return [
            {
                'server': server_id,
                'granted': clock.granted,
                'askers': clock.askers,
            }
            for server_id, clock in self._clocks_by_id.items()
        ]

    def _refusal(self, entry: ServerEntry) -> _Refusal | None:
        refusal = self._refusals_by_id.get(entry.id)
        known = self._parts.limits.limit_of(entry)
        if refusal is None or known is None:
            return None
        if known.version != refusal.version:
            return None
        return refusal if trio.current_time() < refusal.until else None

    async def _ask(self, request: PermitRequest) -> Decision:
        keeper = find_keeper(self._parts.roster, request.failure_domain)
        if keeper is None:
            decision = self._decide(request)
        elif self._is_skipped(keeper.node):
            decision = _REFUSED
        else:
            decision = await self._call(keeper, request)
        self.count_outcome('granted' if decision.granted else 'refused')
        return decision

    def _is_skipped(self, node: str) -> bool:
        # A request that may go to several servers of a domain waits for its
        # keeper only once.
        skipped_until = self._skipped_until_by_node.get(node, 0)
        return trio.current_time() < skipped_until

    async def _call(self, keeper: Peer, request: PermitRequest) -> Decision:
        timeout_s = (
            _TIMEOUT_S + _LOOP_ITERATIONS_PER_CALL * self._parts.loop_delay_s()
        )
        timeouts = ClientTimeouts(timeout_s, timeout_s, timeout_s)
        call = ClientRequest(
            f'{keeper.ip}:{self._parts.port}',
            'POST',
            PERMIT_PATH,
            _HEADERS,
            msgspec.msgpack.encode(request),
        )
        try:
            answer, body = await self._parts.client.fetch(call, timeouts)
            if answer.status != _OK:
                raise EelgrassError('refused', f'HTTP {answer.status}')
            return msgspec.msgpack.decode(body, type=Decision)
        except (EelgrassError, msgspec.DecodeError) as error:
            _log.warning(
                'failed to request a permit',
                extra={
                    'keeper': keeper.node,
                    'server': request.notice.server_id,
                    'why': str(error),
                },
            )
            self.count_outcome('unreachable')
            self._skipped_until_by_node[keeper.node] = (
                trio.current_time() + _RETRY_S
            )
            return _REFUSED

    def _decide(self, request: PermitRequest) -> Decision:
        roster = self._parts.roster
        server_id = request.notice.server_id
        if not (
            roster.is_settled and is_keeper(roster, request.failure_domain)
        ):
            self._clocks_by_id.pop(server_id, None)
            return _REFUSED
        per_s = self._parts.limits.rate_of(request.notice)
        if per_s is None:
            return Decision(granted=True, delay_s=0)
        now_s = trio.current_time()
        clock = self._clocks_by_id.get(server_id)
        if clock is None:
            clock = PermitClock(now_s)
            self._clocks_by_id[server_id] = clock
        rate_per_s = max(per_s, _MIN_PER_S) * live_fraction(roster)
        wait_s = min(request.wait_s, MAX_PERMIT_WAIT_S)
        return clock.ask(request.node, rate_per_s, wait_s, now_s)


def _ignore(outcome: str) -> None:
    """Ignore an outcome."""
