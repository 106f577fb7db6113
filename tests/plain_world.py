"""
tests.plain_world
~~~~~~~~~~~~~~~~~

Routers that serve plain calls and can be killed or paused at named points.
"""

import functools
import itertools
import random
from typing import NamedTuple

import msgspec
import trio

from eelgrassfork.backends import Backends
from eelgrassfork.bundle_types import Bundle, Caller, Organisation, Service
from eelgrassfork.claim_records import decode_claim
from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from eelgrassfork.http_server import HttpServer
from eelgrassfork.limits import Admission
from eelgrassfork.metrics import NullMetrics
from eelgrassfork.plain_calls import PlainParts, serve_plain_call
from eelgrassfork.retries import EjectionPolicy, RetryBudget
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform
from standins.plain_service import PlainServiceStandin
from tests.memory_network import MemoryNetwork
from tests.order_fakes import World

SERVICE = Service(
    'pazlen/shopdesk',
    'plain',
    price_tokens=5,
    idempotent_paths=('/stock',),
    first_byte_ms=3000,
    silence_ms=2000,
)
CALLER = Caller(
    'pazlen',
    Organisation('pazlen/atelier', {}, frozenset(('pazlen/shopdesk',))),
    'pazlen/atelier/main',
)
BUNDLE = Bundle(7, {}, {}, {'pazlen/shopdesk': SERVICE}, {}, {})


class Gate:
    """Kills or pauses one router at a named point."""

    def __init__(self) -> None:
        self.point = ''
        self.pause_s = 0.0
        self.reached = trio.Event()
        self.on_reached = None
        self.is_dead = False

    async def at(self, point):
        if self.is_dead:
            await trio.sleep_forever()
        if point != self.point:
            return
        self.point = ''
        self.reached.set()
        self.on_reached()
        if self.pause_s:
            await trio.sleep(self.pause_s)
            return
        self.is_dead = True
        await trio.sleep_forever()


class GatedPlatform(FakePlatform):
    """Platform client with gates before and after each write of a claim."""

    gate: Gate

    async def put(self, key, body, expected_version):
        state = decode_claim(body).state
        await self.gate.at(f'{state}.before')
        version = await super().put(key, body, expected_version)
        await self.gate.at(f'{state}.after')
        return version


class GatedHttp(HttpClient):
    """HTTP client with gates before a request and after its answer begins."""

    gate: Gate

    async def request(self, request, timeouts=None):
        await self.gate.at('send.before')
        response = await super().request(request, timeouts)
        await self.gate.at('send.after')
        return response


class CallResult(NamedTuple):
    """Result of a call; status 0 if the caller received no answer."""

    status: int
    code: str = ''
    outcome: str = ''
    replayed: bool = False
    body: bytes = b''


class PlainWorld(World):
    """A stand-in platform, two backend servers and routers."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self.network = MemoryNetwork()
        self.services = []
        self.servers_by_vm = {}
        self.gates_by_vm = {}

    async def start(self) -> None:
        for number in range(2):
            host = f'backend-{number}'
            service = PlainServiceStandin(0.01, self.network.transport(host))
            await service.start(self.nursery, '10.0.0.1', 0)
            self.services.append(service)

    async def router(self, vm, incarnation=1):
        router = await super().router(vm, incarnation)
        gate = self.gates_by_vm[vm] = Gate()
        platform = GatedPlatform(self.platform.core, vm)
        platform.gate = gate
        router.claims._store = router.claims.writer._store = platform
        self.gate_calls(router, gate)
        http = GatedHttp(transport=self.network.transport(vm))
        http.gate = gate
        backends = Backends(EjectionPolicy(), random.Random(1))
        backends.update(self.records())
        router.parts = PlainParts(
            router.claims,
            router.use,
            router.credit,
            backends,
            Admission(),
            RetryBudget(),
            http,
            NullMetrics(),
            'pazlen/plovdiv-a',
            random.Random(1),
        )
        router.server = HttpServer(
            functools.partial(self.serve, router.parts),
            transport=self.network.transport(vm),
        )
        await router.server.start(self.nursery, '10.0.0.2', 0)
        return router

    async def serve(self, parts, call):
        await serve_plain_call(parts, call, CALLER, BUNDLE)

    def records(self):
        return [
            VmRecord(
                f'backend-{number}',
                'backend',
                'live',
                'pazlen',
                'pazlen/shopdesk',
                'pazlen/plovdiv-a',
                'bg-south',
                service.address,
            )
            for number, service in enumerate(self.services)
        ]

    def gate_calls(self, router, gate):
        for owner, name in ((router.credit, 'reserve'), (router.peers, 'call')):
            original = getattr(owner, name)

            async def gated(*call_args, name=name, original=original):
                await gate.at(f'{name}.before')
                answer = await original(*call_args)
                await gate.at(f'{name}.after')
                return answer

            setattr(owner, name, gated)

    def stop_at(self, router, point, pause_s=0, proven=True):
        """Kill a router at a point, or pause it if ``pause_s`` is given."""
        vm = router.holder.partition('.')[0]
        gate = self.gates_by_vm[vm]

        def die():
            self.network.freeze(vm)
            self.kill(router, proven)

        def pause():
            self.network.freeze(vm)
            self.nursery.start_soon(self.thaw_later, vm, pause_s)

        gate.point = point
        gate.pause_s = pause_s
        gate.on_reached = pause if pause_s else die

    async def thaw_later(self, vm, pause_s):
        await trio.sleep(pause_s)
        self.network.thaw(vm)

    async def call(
        self, router, method, target, headers=(), timeout_s=20.0, body=b'cut'
    ):
        """Call a router with a time-out."""
        client = HttpClient(
            ClientTimeouts(1, timeout_s, timeout_s),
            transport=self.network.transport('caller'),
        )
        request = ClientRequest(
            router.server.address, method, target, tuple(headers), body
        )
        try:
            response, answer = await client.fetch(request)
        except HttpClientError:
            return CallResult(0)
        finally:
            await client.close()
        error = {}
        if response.status >= 400:
            error = msgspec.json.decode(answer)['error']
        return CallResult(
            response.status,
            error.get('code', ''),
            error.get('outcome', ''),
            'idempotent-replayed' in response.headers_by_name,
            answer,
        )

    async def order(self, router, key, retries=0, timeout_s=20.0):
        headers = (
            ('idempotency-key', key),
            ('x-stainless-retry-count', str(retries)),
        )
        target = '/services/shopdesk/orders?copies=2'
        return await self.call(router, 'POST', target, headers, timeout_s)

    def set_faults(self, **changes):
        for service in self.services:
            service.set_faults(**changes)

    def executions(self, key) -> int:
        return sum(service.count_by_key[key] for service in self.services)


def run_plain(test, cell=()):
    """Run an async test with a started world on an auto-jumping clock."""

    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                world = PlainWorld(nursery)
                await world.start()
                await test(self, world, *cell)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


def per_cell(*columns):
    """
    Generate one test for each combination, passed to it as arguments.

    testscenarios can't be used: pytest binds a test method to its first
    instance, so that copies of a test lose their attributes.
    """

    def decorate(case):
        tests = [each for each in vars(case).items() if each[0][:5] == 'test_']
        for name, test in tests:
            delattr(case, name)
            for cell in itertools.product(*columns):
                label = '_'.join(str(part).replace('.', '_') for part in cell)
                setattr(case, f'{name}__{label}', run_plain(test, cell))
        return case

    return decorate
