"""
tests.simulated_callers
~~~~~~~~~~~~~~~~~~~~~~~

Callers and backend servers for a simulated fleet.

Requests pass through the sender of a router to servers that name a limit.
"""

from collections import Counter
from typing import NamedTuple

import trio

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.configuration import Permission
from eelgrassfork.gateway.exchange import Exchange, ExchangeParts
from eelgrassfork.gateway.records import (
    ForwardHead,
    Organisation,
    Route,
    WeightedService,
)
from eelgrassfork.gateway.retry_budget import FleetRetryPolicy
from eelgrassfork.gateway.selection import Selector, SelectorParts
from eelgrassfork.gateway.sender import Sender, SenderParts
from eelgrassfork.gateway.sending import PendingRequest
from eelgrassfork.gateway.server_crashes import CrashDetector
from eelgrassfork.gateway.telemetry import Telemetry
from eelgrassfork.http_client import ConnectFailed
from eelgrassfork.platform.adapter import encode_metadata
from eelgrassfork.platform.heads import decode_response

from .fault_schedule import HOST

LATENCY_S = 0.0005
SERVICE = 'plain'
ROUTE = Route(
    'look',
    'shop.example',
    '/',
    'idempotent',
    (WeightedService(SERVICE, 1),),
    timeout_s=2,
    objective_s=0.3,
    max_attempts=2,
)
# The users' rule on limits: the requests in a window, beyond those that the
# limit allows, from routers that had passed on the limit for some time.
REQUEST_ID = 'r1'
WINDOW_S = 4
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
KNOWN_FOR_S = 0.5


class Arrival(NamedTuple):
    """
    A request at a server.

    :param known_for_s: time since the router first passed on the limit.
    :param may_resend: whether the HTTP client would send the request again if
        a pooled connection broke.
    """

    at: float
    node: str
    known_for_s: float
    may_resend: bool


class BackendServer:
    """
    Simulated backend server.

    :ivar limit: text of the limit that answers name; ``None`` for none.
    :ivar arrivals: all requests, in order.
    :ivar most_in_progress: most requests, each on a connection of its own,
        at any moment.
    """

    def __init__(self, name, address, domain, latency_s=0.05):
        self.name = name
        self.address = address
        self.domain = domain
        self.latency_s = latency_s
        self.limit = None
        self.arrivals = []
        self.in_progress = 0
        self.most_in_progress = 0
        self.told_at_by_node = {}

    def accept(self, node, request):
        now_s = trio.current_time()
        told_at = self.told_at_by_node.get(node, now_s)
        self.arrivals.append(
            Arrival(now_s, node, now_s - told_at, not request.no_resend)
        )

    async def run(self):
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            await trio.sleep(self.latency_s)
        finally:
            self.in_progress -= 1

    def headers(self):
        headers = [('x-request-id', REQUEST_ID), ('x-response-seal', self.name)]
        if self.limit is not None:
            headers.append(('server-limit', self.limit))
        return tuple(headers)

    def count(self, start_at, length_s, known_for_s=0):
        """Count the requests in a window of time."""
        return sum(
            start_at <= arrival.at < start_at + length_s
            and arrival.known_for_s >= known_for_s
            for arrival in self.arrivals
        )

    def most_requests(self, start_at, known_for_s=0):
        """Count the requests in the worst window that starts later."""
        return max(
            (
                self.count(arrival.at, WINDOW_S, known_for_s)
                for arrival in self.arrivals
                if arrival.at >= start_at
            ),
            default=0,
        )


def allowed_requests(limit_per_s):
    """Return the number of requests that the rule allows in a window."""
    return EXCESS_FACTOR * limit_per_s * WINDOW_S + EXCESS_REQUESTS


class ServerAnswer:
    """Answer of a server as the HTTP client represents it."""

    is_unframed = False
    surplus = b''
    is_cut = False

    def __init__(self, headers):
        self.status = 200
        self.headers = headers
        self.headers_by_name = dict(headers)

    async def read(self):
        await trio.lowlevel.checkpoint()
        return b''

    async def close(self):
        await trio.lowlevel.checkpoint()


class ServerClient:
    """HTTP client of one router for requests to servers."""

    def __init__(self, router, servers_by_address):
        self.router = router
        self.servers_by_address = servers_by_address

    async def request(self, request, timeouts):
        server = self.servers_by_address.get(request.address)
        await trio.sleep(LATENCY_S)
        if server is None:
            raise ConnectFailed('connect_failed', request.address, sent=False)
        server.accept(self.router.node, request)
        await server.run()
        await trio.sleep(LATENCY_S)
        headers = server.headers()
        if server.limit is not None:
            server.told_at_by_node.setdefault(
                self.router.node, trio.current_time()
            )
        return ServerAnswer(headers)


class CallerConnection:
    """Connection of a caller as the HTTP server represents it."""

    body = b''
    started = False

    def __init__(self):
        self.received_at = trio.current_time()

    def has_disconnected(self):
        return False

    async def respond(self, status, body, headers):
        await trio.lowlevel.checkpoint()


class Callers:
    """
    Callers of all routers of a fleet.

    :ivar refusals: errors of the requests that were not answered.
    :ivar answered_by_priority: number of answered requests.
    """

    def __init__(self, fleet, servers, priorities=(5,)):
        self.fleet = fleet
        self.priorities = priorities
        self.servers = servers
        self.servers_by_address = {server.address: server for server in servers}
        self.senders_by_member = {}
        self.answered_by_priority = Counter()
        self.refusals = []
        fleet.remove_server('s1')
        for server in servers:
            fleet.put_server(
                server.name, address=server.address, zone=server.domain
            )

    async def start(self, requests_per_s):
        """Start callers of each router once it knows the servers."""
        await trio.sleep(1)
        for router in self.fleet.routers:
            self.fleet.nursery.start_soon(self.call, router, requests_per_s)

    async def call(self, router, requests_per_s):
        while True:
            await trio.sleep(self.fleet.random.expovariate(requests_per_s))
            if router.member is not None:
                priority = self.fleet.random.choice(self.priorities)
                self.fleet.nursery.start_soon(self.send, router, priority)

    async def send(self, router, priority):
        HOST.set(router.node)
        permission = Permission(ROUTE, Organisation(''), priority)
        pending = PendingRequest(
            CallerConnection(),
            make_head(),
            permission,
            trio.current_time() + ROUTE.timeout_s,
        )
        try:
            await self.sender(router).send(pending, lambda _: permission)
        except RequestError as error:
            self.refusals.append(error)
        else:
            self.answered_by_priority[priority] += 1

    def sender(self, router):
        """Return the sender of the router's present process."""
        sender = self.senders_by_member.get(router.member)
        if sender is None:
            # A new process has not passed on any limit yet.
            for server in self.servers:
                server.told_at_by_node.pop(router.node, None)
            sender = self.make_sender(router)
            self.senders_by_member[router.member] = sender
        return sender

    def make_client(self, router):
        return ServerClient(router, self.servers_by_address)

    def make_sender(self, router):
        member = router.member
        client = self.make_client(router)
        exchange = Exchange(
            ExchangeParts(
                client,
                member.store_view,
                member.limits,
                CrashDetector(client),
                member.quarantine,
                encode_metadata,
                decode_response,
            )
        )
        selector = Selector(
            SelectorParts(
                member.store_view,
                member.limits,
                member.permits,
                member.quarantine,
                router.domain,
            )
        )
        return Sender(
            SenderParts(
                exchange,
                selector,
                Telemetry(),
                FleetRetryPolicy(0.2, 10, 58),
                lambda: member.roster.known_router_count,
                member.quarantine,
            )
        )


def make_head():
    return ForwardHead(
        REQUEST_ID,
        'GET',
        '/',
        'shop.example',
        '',
        '/',
        None,
        None,
        0,
        0,
        (),
        '',
        (),
    )
