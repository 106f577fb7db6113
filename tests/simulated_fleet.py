"""
tests.simulated_fleet
~~~~~~~~~~~~~~~~~~~~~

Simulates a whole fleet in one process, without callers or credit.

The routers read an in-memory store and gossip over simulated links that fail
according to a scenario, on a simulated clock.
"""

import random
from contextlib import suppress
from typing import NamedTuple

import trio

from eelgrassfork.errors import EelgrassError
from eelgrassfork.gateway.fleet_member import (
    FleetMember,
    FleetMemberParts,
    RouterStatus,
)
from eelgrassfork.gateway.node_settings import Bounds, NodeSettings
from eelgrassfork.gateway.store import (
    Listing,
    StoreAnswerLost,
    StoredObject,
    StoreUnavailable,
)

from .fault_schedule import HOST, install_run_queue
from .gateway_world import configuration
from .memory_store import MemoryStore, MemoryStoreClient
from .test_gateway_follower import DECODERS, ENTRY

HEARTBEAT_PORT = 7200
PEER_PORT = 8748
# Time-outs of the store client.
CONNECT_S = 0.5
ANSWER_S = 1
# Time-out of the exchange with peers.
PEER_S = 0.75
LATENCY_S = 0.0005
STORE_LATENCY_S = 0.004
# Shorter than in production, so that simulations are short.
HISTORY_S = 5


class Shape(NamedTuple):
    """
    Size and time bounds of a fleet; the defaults are those of a large site.

    :param domains: number of failure domains.
    :param size: routers per failure domain.
    :param config_s: propagation bound for acknowledged configurations.
    :param contact_s: a router has to meet the bounds after this time without
        a fault.
    :param refusal_extra_s: added to the propagation bound while the store
        refuses the calls of some routers.
    :param evacuation_s: bound for evacuations; ``None`` turns them off.
    """

    domains: int = 3
    size: int = 8
    config_s: float = 3
    contact_s: float = 4
    refusal_extra_s: float = 6
    evacuation_s: float | None = None


class Link:
    """One direction of the link of a VM, with a FIFO queue."""

    def __init__(self):
        self.bytes_per_s = float('inf')
        self.free_at = float('-inf')

    def reserve(self, size):
        """Queue a number of bytes, and return when they are transferred."""
        start_at = max(trio.current_time(), self.free_at)
        self.free_at = start_at + size / self.bytes_per_s
        return self.free_at


class Answer:
    """Response head of a peer."""

    status = 200


class PeerCall:
    """A call of a peer as the HTTP server represents it."""

    def __init__(self, target, body):
        self.path, _, query = target.partition('?')
        pairs = [one.partition('=') for one in query.split('&') if one]
        self.query_by_name = {name: text for name, _, text in pairs}
        self.body = body
        self.answer = b''

    async def respond(self, status, body, headers):
        self.answer = body
        await trio.lowlevel.checkpoint()


class Router:
    """One VM and its router process."""

    def __init__(self, fleet, node, ip, domain):
        self.fleet = fleet
        self.node = node
        self.ip = ip
        self.domain = domain
        self.frozen = False
        self.mean_delay_s = 0
        self.loop_turn_s = 0
        self.link_mbps = 10
        self.uplink = Link()
        self.downlink = Link()
        self.store_fault = ''
        self.member = None
        self.store = None
        self.services = ()
        self.scope = None
        self.last_fault_at = float('-inf')
        self.draining = False
        self.highest_version = 0

    @property
    def version(self):
        return (
            self.member.store_view.configuration.version if self.member else 0
        )

    async def start(self):
        fleet = self.fleet
        settings = NodeSettings(
            self.node,
            self.domain,
            self.ip,
            f'{self.ip}:1',
            f'{self.ip}:2',
            f'{self.ip}:{PEER_PORT}',
            HEARTBEAT_PORT,
            HEARTBEAT_PORT + 1,
            fleet.seeds,
            'store',
            Bounds(
                config_s=fleet.shape.config_s,
                evacuation_s=fleet.shape.evacuation_s,
            ),
            link_mbps=self.link_mbps,
        )
        incarnation = int(trio.current_time() * 1000)
        self.store = MemoryStoreClient(fleet.store, StoreLink(self).deliver)
        parts = FleetMemberParts(self.store, self, self.open_socket)
        self.draining = False
        self.member = FleetMember(settings, incarnation, parts, DECODERS)
        self.member.get_status = lambda: RouterStatus(self.draining)
        self.services = fleet.make_services(self, settings, incarnation)
        self.highest_version = 0
        self.last_fault_at = trio.current_time()
        fleet.nursery.start_soon(self.run)

    async def run(self):
        HOST.set(self.node)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                await self.member.start(nursery)
                for service in self.services:
                    await service.start(nursery)

    def kill(self):
        if self.member is not None:
            self.scope.cancel()
            self.fleet.inboxes_by_ip.pop(self.ip, None)
            self.member = None
        self.last_fault_at = trio.current_time()

    def freeze(self):
        """Suspend the process, as SIGSTOP does."""
        self.frozen = True
        self.fleet.run_queue.hosts.add(self.node)

    def thaw(self):
        """Resume the process."""
        self.frozen = False
        self.fleet.run_queue.hosts.discard(self.node)

    def open_socket(self, ip, port):
        return Socket(self)

    async def fetch(self, request, timeouts):
        """Call a peer; replaces the HTTP client."""
        ip = request.address.partition(':')[0]
        peer = self.fleet.routers_by_ip.get(ip)
        await trio.sleep(LATENCY_S + peer.random_delay_s())
        if peer.frozen or not self.fleet.is_link_open(self, peer):
            await trio.sleep(min(PEER_S, timeouts.first_byte_s))
            raise EelgrassError('connection_silent', 'no answer')
        if peer.member is None:
            raise EelgrassError('connect_failed', 'refused')
        call = PeerCall(request.target, request.body)
        await peer.member.exchange.serve(call)
        sent_at = peer.uplink.reserve(len(call.answer))
        await trio.sleep_until(
            max(sent_at, self.downlink.reserve(len(call.answer)))
        )
        await trio.sleep(LATENCY_S + self.random_delay_s())
        return Answer, call.answer

    def random_delay_s(self):
        if not self.mean_delay_s:
            return 0
        return self.fleet.random.expovariate(1 / self.mean_delay_s)


class Socket:
    """UDP socket for the heartbeats of one router."""

    def __init__(self, router):
        self.router = router
        self.fleet = router.fleet
        send, receive = trio.open_memory_channel(10_000)
        self.inbox = receive
        self.fleet.inboxes_by_ip[router.ip] = send

    def send(self, body, address):
        target = self.fleet.routers_by_ip.get(address[0])
        if target is not None and self.fleet.is_link_open(self.router, target):
            if self.fleet.random.random() >= self.fleet.heartbeat_loss:
                self.fleet.nursery.start_soon(self.deliver, body, target)

    async def deliver(self, body, target):
        await trio.sleep(LATENCY_S + target.random_delay_s())
        inbox = self.fleet.inboxes_by_ip.get(target.ip)
        if inbox is not None:
            inbox.send_nowait(body)

    async def receive(self):
        await trio.sleep(self.router.loop_turn_s)
        bodies = [await self.inbox.receive()]
        with suppress(trio.WouldBlock):
            while True:
                bodies.append(self.inbox.receive_nowait())
        return bodies

    def close(self):
        self.fleet.inboxes_by_ip.pop(self.router.ip, None)


class StoreLink:
    """Connection of one router to the store, with its faults and delays."""

    def __init__(self, router):
        self.router = router
        self.fleet = router.fleet

    async def deliver(self, perform, wait_s):
        """
        Deliver a call and its answer, unless a fault prevents it.

        :param perform: executes the call.
        :param wait_s: time that the store may wait before it answers.
        """
        self.fleet.calls += 1
        cut = self.cut()
        if cut == 'refuse':
            await trio.sleep(STORE_LATENCY_S)
            raise StoreUnavailable(
                'store_refused', 'the store refused the call'
            )
        if cut:
            await trio.sleep(CONNECT_S)
            raise StoreUnavailable('connect_failed', 'no connection')
        answer = None
        with trio.move_on_after(wait_s + ANSWER_S) as scope:
            await trio.sleep(STORE_LATENCY_S + self.router.random_delay_s())
            silence_count = self.fleet.silence_count
            answer = await perform()
            # An answer that a partition delays arrives after the partition.
            while self.cut():
                await self.fleet.changed.wait()
            if silence_count != self.fleet.silence_count:
                await trio.sleep_forever()
        if scope.cancelled_caught:
            raise StoreAnswerLost('connection_silent', 'no answer')
        size = size_of(answer.content)
        await trio.sleep_until(self.router.downlink.reserve(size))
        return answer

    def cut(self):
        """Return how calls of this router fail, empty if they do not."""
        return self.fleet.store_down or self.router.store_fault


def size_of(answer):
    """Return the total size in bytes of the objects in a store answer."""
    if answer is None or isinstance(answer, Exception):
        return 0
    if isinstance(answer, StoredObject):
        return len(answer.content)
    objects = (
        answer.objects
        if isinstance(answer, Listing)
        else [change.stored for change in answer[0]]
    )
    return sum(len(stored.content) for stored in objects)


class SimulatedFleet:
    """
    A fleet, its store, and the faults between them.

    :ivar heartbeat_loss: fraction of the heartbeats that are lost.
    :ivar store_down: how the store fails for all routers: ``refuse``,
        ``silent`` or empty.
    :ivar violations: descriptions of violated bounds.
    """

    def __init__(self, shape, seed):
        self.shape = shape
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.store.latency_s = STORE_LATENCY_S
        self.routers = []
        for domain in range(shape.domains):
            for number in range(shape.size):
                ip = f'10.{domain}.0.{number}'
                node = f'n{domain}-{number}'
                router = Router(self, node, ip, f'd{domain}')
                # As on large sites, two VMs per domain have a faster link.
                router.link_mbps = 200 if number < 2 else 10
                self.routers.append(router)
        self.routers_by_ip = {router.ip: router for router in self.routers}
        self.inboxes_by_ip = {}
        first = self.routers[:: shape.size][:3]
        self.seeds = tuple(f'{router.ip}:{PEER_PORT}' for router in first)
        self.heartbeat_loss = 0.01
        self.calls = 0
        self.silence_count = 0
        self.cut_domains = set()
        self.changed = trio.Event()
        self.violations = []
        self.nursery = None
        self.run_queue = None
        self.store_down = ''
        self.acknowledged = []
        self.servers_by_name = {}
        self.changes_by_server = {}
        # Returns what runs in a router's process beside its fleet member.
        self.make_services = lambda router, settings, incarnation: ()
        self.refused_at = float('-inf')
        self.store_down_at = float('-inf')
        self.restarted = set()

    def is_link_open(self, one, other):
        if one.domain == other.domain:
            return True
        return not self.cut_domains & {one.domain, other.domain}

    def wake_waiting(self):
        """Wake delayed answers, so that they check the faults again."""
        self.changed.set()
        self.changed = trio.Event()

    def put_version(self, version, **changes):
        """Write a configuration as an operator, acknowledged immediately."""
        self.store.put('config', 'main', configuration(version, **changes))
        self.acknowledged.append((trio.current_time(), version))

    def put_server(self, name, **changes):
        """Write the entry of a server, as the server itself does."""
        entry = {**ENTRY, 'service': 'plain', **changes}
        self.changes_by_server[name] = changes
        self.store.put('servers', name, entry)
        state = entry['state']
        self.servers_by_name[name] = (trio.current_time(), state)

    def remove_server(self, name):
        """Remove the entry of a server."""
        self.store.remove('servers', name)
        self.servers_by_name[name] = (trio.current_time(), 'gone')

    def rewrite(self):
        """Write again what the operator and the servers wrote last."""
        at, version = self.acknowledged[-1]
        self.store.put('config', 'main', configuration(version))
        stored = self.store.objects_by_key
        for name, (at, state) in self.servers_by_name.items():
            if state != 'gone':
                self.put_server(name, **self.changes_by_server[name])
            elif ('servers', name) in stored:
                self.remove_server(name)

    def silence_connections(self):
        """Stall all open connections to the store for good."""
        self.silence_count += 1
        for router in self.routers:
            router.last_fault_at = trio.current_time()

    async def start(self, nursery):
        """Start all routers, and wait until they have discovered each other."""
        self.nursery = nursery
        self.run_queue = install_run_queue()
        self.put_version(1)
        self.put_server('s1')
        nursery.start_soon(self.compact)
        for router in self.routers:
            await router.start()
        await trio.sleep(6)
        nursery.start_soon(self.check)

    async def compact(self):
        while True:
            await trio.sleep(HISTORY_S / 2)
            revision = self.store.revision
            await trio.sleep(HISTORY_S / 2)
            self.store.oldest_revision = max(
                self.store.oldest_revision, revision
            )

    async def check(self):
        """Check continuously for connected routers that violate a bound."""
        while True:
            await trio.sleep(0.05)
            self.check_once()

    def check_once(self):
        now_s = trio.current_time()
        self.record_faults(now_s)
        bound_s = self.bound_s(now_s)
        if bound_s is None:
            return
        required_version = max(
            (
                version
                for at, version in self.acknowledged
                if now_s - at >= bound_s
            ),
            default=0,
        )
        for router in self.routers:
            fault_free_s = now_s - router.last_fault_at
            if router.member and fault_free_s >= self.shape.contact_s:
                self.check_router(router, required_version, bound_s)

    def record_faults(self, now_s):
        if self.store_down:
            self.store_down_at = now_s
        for router in self.routers:
            if router.version < router.highest_version and router.member:
                self.violations.append(
                    f'{now_s:.2f} {router.node} reverted to an older version'
                )
            router.highest_version = max(router.highest_version, router.version)
            if router.store_fault == 'refuse':
                self.refused_at = now_s
            elif router.store_fault:
                router.last_fault_at = now_s

    def bound_s(self, now_s):
        """Return the propagation bound; ``None`` if none applies now."""
        shape = self.shape
        if now_s - self.store_down_at < shape.contact_s:
            return None
        if now_s - self.refused_at < shape.contact_s:
            return shape.config_s + shape.refusal_extra_s
        return shape.config_s

    def check_router(self, router, required_version, bound_s):
        roles = router.member.roles
        if router.version < required_version:
            problem = (
                f'at version {router.version}, {required_version} required'
            )
            self.record_violation(router, problem, roles.configuration)
        problem = self.describe_stale_servers(router, bound_s)
        if problem:
            self.record_violation(router, problem, roles.servers)

    def describe_stale_servers(self, router, bound_s):
        """Describe the servers whose state a router should know by now."""
        known = router.member.store_view.servers.usable('plain')
        usable = {server.entry.id for server in known}
        due_at = trio.current_time() - bound_s
        problem = [
            f'{name} is {state}'
            for name, (at, state) in self.servers_by_name.items()
            if at <= due_at and (name in usable) != (state == 'ready')
        ]
        return ', '.join(problem)

    def record_violation(self, router, problem, role):
        """Record a violation unless five are already recorded."""
        known = f'watches {role.must_watch}, age {role.contact.age_ms} ms'
        line = f'{trio.current_time():.2f} {router.node} {problem}; {known}'
        if len(self.violations) < 5:
            self.violations.append(line)


async def simulate(shape, seed, scenario, prepare=None):
    """
    Run a scenario in a simulated fleet.

    :param shape: size and bounds of the fleet.
    :param seed: seed of all randomness outside the routers.
    :param scenario: takes the fleet; the simulation ends when it returns.
    :param prepare: takes the fleet before its routers start.
    :returns: the fleet.
    """
    fleet = SimulatedFleet(shape, seed)
    if prepare is not None:
        prepare(fleet)
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        await scenario(fleet)
        nursery.cancel_scope.cancel()
    return fleet
