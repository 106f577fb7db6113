"""
tests.chat_setting
~~~~~~~~~~~~~~~~~~

Routers with chat handlers and stand-in engines on an in-memory network.
"""

import functools
import random
from typing import NamedTuple

import msgspec
import trio
from trio.testing import MockClock

from eelgrassfork.backends import Backends
from eelgrassfork.bundle_types import Bundle, Caller, Organisation, Service
from eelgrassfork.chat import Chat, ChatParts
from eelgrassfork.engine_client import EngineClient
from eelgrassfork.errors import RequestError
from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from eelgrassfork.http_server import HttpServer
from eelgrassfork.limits import Admission
from eelgrassfork.names import PayerTag
from eelgrassfork.retries import EjectionPolicy, RetryBudget
from eelgrassfork.sse import EventSplitter, event_data
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from tests.memory_network import MemoryNetwork
from tests.metric_recorder import MetricRecorder

SERVICE = Service(
    'p/matcher',
    'model',
    'm',
    first_byte_ms=3000,
    silence_ms=1000,
    max_tokens=50,
    in_flight_per_server=2,
)
CALLER = Caller(
    'p',
    Organisation('p/atelier', {}, frozenset([SERVICE.name])),
    'p/atelier/main',
)
BUNDLE = Bundle(1, {}, {}, {SERVICE.name: SERVICE}, {}, {})
LONG_TIMEOUTS = ClientTimeouts(first_byte_s=1000, silence_s=1000)


class FakeReservation(NamedTuple):
    payer: PayerTag
    amount: int


class FakeAccounts:
    """Reserves any amount up to a limit and records the bills."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.limit = 10_000
        self.reserved = []
        self.bills_by_number = {}

    async def reserve(self, budget, amount):
        await trio.lowlevel.checkpoint()
        if amount > self.limit:
            raise RequestError('budget_exhausted', 'the budget is exhausted')
        payer = PayerTag(self.holder, budget, len(self.reserved) + 1)
        self.reserved.append(FakeReservation(payer, amount))
        return self.reserved[-1]

    def settle(self, reservation, spent):
        if reservation.payer.number in self.bills_by_number:
            raise AssertionError('settled twice')
        if not 0 <= spent <= reservation.amount:
            raise AssertionError('settled beyond the reservation')
        self.bills_by_number[reservation.payer.number] = spent

    @property
    def bills(self):
        return [
            self.bills_by_number.get(entry.payer.number)
            for entry in self.reserved
        ]


class Answer(NamedTuple):
    """The answer that a caller received."""

    status: int
    body: bytes
    truncated: bool
    finished_at_s: float

    @property
    def events(self):
        splitter = EventSplitter()
        return [event_data(event) for event in splitter.feed(self.body)]

    @property
    def words(self):
        chunks = [
            msgspec.json.decode(text)
            for text in self.events
            if text != b'[DONE]' and b'choices' in text
        ]
        deltas = [chunk['choices'][0]['delta'] for chunk in chunks]
        return ''.join(delta.get('content', '') for delta in deltas).split()

    @property
    def error(self):
        if self.status != 200:
            return msgspec.json.decode(self.body)['error']
        last = self.events[-1] if self.events else b'[DONE]'
        if last == b'[DONE]':
            return {}
        return msgspec.json.decode(last).get('error', {})


class Router:
    """The chat handler of one router behind an HTTP listener."""

    def __init__(self, fixture, name: str) -> None:
        self.accounts = FakeAccounts(f'{name}.a')
        self.retry_budget = RetryBudget()
        self.metrics = MetricRecorder()
        self.backends = Backends(EjectionPolicy(), random.Random(1))
        transport = fixture.network.transport(name)
        self.chat = Chat(
            ChatParts(
                bundle=lambda: BUNDLE,
                accounts=self.accounts,
                admission=Admission(),
                backends=self.backends,
                engines=EngineClient(HttpClient(transport=transport)),
                retry_budget=self.retry_budget,
                failure_domain='p/a',
                source=random.Random(2),
                choose=first_usable,
                metrics=self.metrics,
            )
        )
        self.server = HttpServer(self.serve, transport=transport)

    async def serve(self, call) -> None:
        if call.path == '/v1/models':
            await self.chat.list_models(call, CALLER)
        else:
            await self.chat.complete(call, CALLER)


class ChatFixture:
    """Two routers, three engines and a caller."""

    def __init__(self, nursery) -> None:
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.engines = []
        self.router = Router(self, 'router')
        self.other_router = Router(self, 'other')
        self.http = HttpClient(
            LONG_TIMEOUTS, transport=self.network.transport('caller')
        )

    async def start(self) -> None:
        for number in range(3):
            engine = EngineStandin(
                EngineSettings('m'), self.network.transport(f'engine-{number}')
            )
            await engine.start(self.nursery, '127.0.0.1', 0)
            self.engines.append(engine)
        for router in (self.router, self.other_router):
            await router.server.start(self.nursery, '127.0.0.1', 0)
            await router.chat.start(self.nursery)
            router.backends.update(self.records())

    def records(self):
        return [
            VmRecord(
                f'engine-{number}', 'backend', 'live', 'p', SERVICE.name,
                'p/a', 'r', engine.address,
            )
            for number, engine in enumerate(self.engines)
        ]  # fmt: skip

    def generations(self):
        return [record for eng in self.engines for record in eng.records()]

    def hosts_with_records(self):
        return [
            f'engine-{number}'
            for number, engine in enumerate(self.engines)
            if engine.records()
        ]

    async def ask(
        self, words=6, stream=True, router=None, headers=(), **fields
    ) -> Answer:
        chat = {
            'model': 'matcher',
            'messages': [{'role': 'user', 'content': 'a b c'}],
            'stream': stream,
            'metadata': {'words': str(words)},
            **fields,
        }
        request = ClientRequest(
            (router or self.router).server.address,
            'POST',
            '/v1/chat/completions',
            tuple(headers),
            msgspec.json.encode(chat),
        )
        response = await self.http.request(request)
        body = bytearray()
        truncated = False
        try:
            async for chunk in response.chunks():
                body += chunk
        except HttpClientError:
            truncated = True
        finally:
            await response.close()
        now_s = trio.current_time()
        return Answer(response.status, bytes(body), truncated, now_s)

    async def run_after(self, time_s: float, action, *arguments) -> None:
        async def later():
            await trio.sleep_until(trio.current_time() + time_s)
            action(*arguments)

        self.nursery.start_soon(later)
        await trio.lowlevel.checkpoint()

    async def settled_bills(self, router=None) -> list:
        """Wait until all reservations are settled, and return the bills."""
        router = router or self.router
        while None in router.accounts.bills:
            await trio.sleep(0.1)
        return router.accounts.bills


def first_usable(snapshot, policy, source):
    for server in snapshot.servers:
        usable = server.state == 'live' and not server.ejected
        if usable and server.vm not in snapshot.excluded:
            return server
    return None


def with_chat_fixture(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                fixture = ChatFixture(nursery)
                await fixture.start()
                await test(self, fixture)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return wrapper
