"""
tests.simulated_crashes
~~~~~~~~~~~~~~~~~~~~~~~

Backend servers of a simulated fleet that end, by themselves or under requests
with a certain part in their prompts or a certain path, and callers that repeat
once.
"""

from typing import NamedTuple

import trio

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.configuration import Permission
from eelgrassfork.gateway.records import Organisation, PromptPart
from eelgrassfork.gateway.sending import PendingRequest
from eelgrassfork.http_client import ConnectFailed, ConnectionLost

from .fault_schedule import HOST
from .simulated_callers import (
    LATENCY_S,
    ROUTE,
    BackendServer,
    CallerConnection,
    Callers,
    ServerClient,
    make_head,
)

AWAY_S = 3
# Servers that are silent for three check-ins lose their entry.
ENTRY_EXPIRY_S = 3.6
PART_TOKENS = 800
SHARED_PART = 'f0'
# The rule on such requests: sends after the fifth crash, from routers that
# had this time to learn of it.
CRASHES_BEFORE_RULE = 5
SENDS_ALLOWED = 3


class Send(NamedTuple):
    """A request that reached a server."""

    at: float
    node: str
    parts: tuple[str, ...]
    server: str


class Crash(NamedTuple):
    """The end of a server; ``part`` is empty if it ended by itself."""

    at: float
    part: str


class Attempt(NamedTuple):
    """First attempt of a caller; ``code`` is empty if it was answered."""

    at: float
    parts: tuple[str, ...]
    code: str
    outcome: str


def make_refusal(address):
    error = ConnectFailed('connect_failed', address, sent=False)
    error.is_refused = True
    return error


class CrashingServer(BackendServer):
    """Server that can end; it is back some seconds later under a new id."""

    def __init__(self, name, address, domain, latency_s=0.25):
        super().__init__(name, address, domain, latency_s)
        self.ended = False
        self.scopes = set()

    async def run(self):
        if self.ended:
            raise make_refusal(self.address)
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await super().run()
            finally:
                self.scopes.discard(scope)
        if scope.cancelled_caught:
            raise ConnectionLost('connection_lost', self.name, sent=True)

    def end(self):
        self.ended = True
        for scope in tuple(self.scopes):
            scope.cancel()


class CrashClient(ServerClient):
    """HTTP client of one router for requests to such servers."""

    def __init__(self, router, callers):
        super().__init__(router, callers.servers_by_address)
        self.callers = callers

    async def request(self, request, timeouts):
        server = self.servers_by_address.get(request.address)
        if server is None or server.ended:
            await trio.sleep(LATENCY_S)
            raise make_refusal(request.address)
        parts = tuple(request.target.strip('/').split('.'))
        self.callers.sends.append(
            Send(trio.current_time(), self.router.node, parts, server.name)
        )
        answer = await super().request(request, timeouts)
        crashing = self.callers.crashing_parts.intersection(parts[:-1])
        crashing |= self.callers.crashing_names.intersection(parts)
        if crashing and not server.ended:
            self.callers.crash(server, min(crashing))
        if server.ended:
            raise ConnectionLost('connection_lost', server.name, sent=True)
        return answer

    async def preconnect(self, address, connect_s):
        await trio.sleep(LATENCY_S)
        server = self.servers_by_address.get(address)
        if server is None or server.ended:
            raise make_refusal(address)


class CrashCallers(Callers):
    """
    Callers with sound requests and requests that end servers.

    :ivar crashing_parts: parts that end servers.
    :ivar crashing_names: requests without a prompt that end servers.
    :ivar sends: all requests that reached a server.
    :ivar crashes: all ends of servers.
    :ivar attempts: the first attempt of each request.
    """

    def __init__(self, fleet, servers):
        super().__init__(fleet, servers)
        self.crashing_parts = set()
        self.crashing_names = set()
        self.sends = []
        self.crashes = []
        self.attempts = []
        self.numbers = 0

    def make_client(self, router):
        return CrashClient(router, self)

    def crash(self, server, part=''):
        self.crashes.append(Crash(trio.current_time(), part))
        server.end()
        self.fleet.nursery.start_soon(self.replace, server)

    async def replace(self, server):
        await trio.sleep(AWAY_S)
        number = len(self.servers_by_address)
        fresh = CrashingServer(
            f'b{number}', f'10.200.1.{number}:80', server.domain
        )
        self.servers_by_address[fresh.address] = fresh
        self.servers.append(fresh)
        self.fleet.put_server(
            fresh.name, address=fresh.address, zone=fresh.domain
        )
        await trio.sleep(ENTRY_EXPIRY_S - AWAY_S)
        self.fleet.remove_server(server.name)

    async def call(self, router, requests_per_s):
        source = self.fleet.random
        while True:
            await trio.sleep(source.expovariate(requests_per_s))
            # Some parts are common, others are rare.
            number = min(int(source.expovariate(0.4)), 20)
            self.send_soon(router, (SHARED_PART, f'{number:x}'))

    async def call_with(self, parts, interval_s, routers=None):
        """Send requests with the given shared parts at each router."""
        for router in routers or self.fleet.routers:
            self.fleet.nursery.start_soon(
                self.call_regularly, router, parts, interval_s
            )
            await trio.sleep(interval_s / len(routers or self.fleet.routers))

    async def call_regularly(self, router, parts, interval_s):
        while True:
            self.send_soon(router, parts)
            await trio.sleep(interval_s)

    def send_soon(self, router, shared):
        self.numbers += 1
        parts = (*shared, f'a{self.numbers:x}')
        self.fleet.nursery.start_soon(self.send_parts, router, parts)

    async def send_parts(self, router, parts):
        started_at = trio.current_time()
        error = await self.attempt(router, parts)
        code = '' if error is None else error.code
        outcome = '' if error is None else error.outcome
        self.attempts.append(Attempt(started_at, parts, code, outcome))
        if error is not None:
            other = self.fleet.random.choice(self.fleet.routers)
            await trio.sleep(min(error.retry_after_s or 0, 0.3))
            await self.attempt(other, parts)

    async def attempt(self, router, parts):
        if router.member is None:
            return RequestError('no_server', 'the router is not running')
        HOST.set(router.node)
        permission = Permission(ROUTE, Organisation(''), 5)
        target = '/' + '.'.join(parts)
        head = make_head()._replace(target=target)
        if len(parts) > 1:
            head = head._replace(
                parts=tuple(PromptPart(part, PART_TOKENS) for part in parts)
            )
        pending = PendingRequest(
            CallerConnection(),
            head,
            permission,
            trio.current_time() + ROUTE.timeout_s,
        )
        try:
            await self.sender(router).send(pending, lambda _: permission)
        except RequestError as error:
            return error
        return None

    async def poll(self, name, interval_s):
        """Send one request without a prompt again and again, at any router."""
        while True:
            router = self.fleet.random.choice(self.fleet.routers)
            self.fleet.nursery.start_soon(self.send_parts, router, (name,))
            await trio.sleep(self.fleet.random.expovariate(1 / interval_s))

    def crashes_of(self, part):
        """Return the times at which servers ended under a part."""
        return [crash.at for crash in self.crashes if crash.part == part]

    def excess_sends(self, part, known_after_s, crash=CRASHES_BEFORE_RULE):
        """Count the sends of a part after one of its crashes became known."""
        crashes = self.crashes_of(part)
        if len(crashes) < crash:
            return 0
        start_at = crashes[crash - 1] + known_after_s
        return sum(
            send.at > start_at and part in send.parts for send in self.sends
        )

    def served_share(self, start_at, end_at):
        """Return the share of sound requests that were answered at once."""
        sound = [
            attempt
            for attempt in self.attempts
            if start_at <= attempt.at < end_at
            and not self.crashing_parts.intersection(attempt.parts)
            and not self.crashing_names.intersection(attempt.parts)
        ]
        return sum(not attempt.code for attempt in sound) / len(sound)
