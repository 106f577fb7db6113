"""
tests.fault_probes
~~~~~~~~~~~~~~~~~~

Detects when a router reaches a step, by wrapping methods of its parts.
"""

import contextvars
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.ledger import decode_shard
from eelgrassfork.router import Router
from tests.fault_world import budget_of

__all__ = ('MARK', 'MID_STREAM_CHUNKS', 'Probes', 'Reached')

# Header that marks the subject of a cell; routers forward it unchanged.
MARK = 'x-cell'
MID_STREAM_CHUNKS = 3

# Step that is reached before a write, by the step after it.
_STEP_BEFORE_WRITE = {
    'drawn': 'drawing',
    'returned': 'returning',
    'reported': 'reporting',
    'lease_taken': 'lease_taking',
    'lease_renewed': 'lease_renewing',
}

_is_subject: contextvars.ContextVar[bool] = contextvars.ContextVar(
    'is_subject', default=False
)


class Reached(NamedTuple):
    """Step that a router has reached."""

    vm: str
    step: str


class Probes:
    """
    Injects faults when a router reaches a step.

    Injections are synchronous functions, so that no other task runs between
    the step and the fault.

    :ivar reached: reached steps in order, with their times in seconds.
    :ivar server: backend server that last received the subject.
    """

    def __init__(self) -> None:
        self.reached: list[tuple[float, Reached]] = []
        self.server = ''
        self._armed_injections: list[tuple[Reached, Callable[[str], None]]] = []

    def arm(self, vm: str, step: str, inject: Callable[[str], None]) -> None:
        """
        Inject a fault when a step is next reached.

        :param vm: router that must reach the step; empty for any router.
        :param step: name of the step.
        :param inject: callback, called with the router's VM.
        """
        self._armed_injections.append((Reached(vm, step), inject))

    @property
    def is_done(self) -> bool:
        """Whether all armed faults have been injected."""
        return not self._armed_injections

    def armed_vms(self, step: str) -> list[str]:
        """
        List the routers with a fault still armed at a step.

        :param step: name of the step.
        :returns: VMs of the routers, without faults armed for any router.
        """
        return [
            armed.vm
            for armed, _ in self._armed_injections
            if armed.vm and armed.step == step
        ]

    def reach(self, vm: str, step: str) -> None:
        """
        Record a step, and inject the faults armed for it.

        :param vm: router that reached it.
        :param step: name of the step.
        """
        self.reached.append((trio.current_time(), Reached(vm, step)))
        for armed, inject in list(self._armed_injections):
            if armed.step == step and armed.vm in {'', vm}:
                self._armed_injections.remove((armed, inject))
                inject(vm)

    def attach(self, vm: str, router: Router) -> None:
        """
        Wrap the methods of a router that has not been started.

        :param vm: its VM.
        :param router: the router.
        """

        def subject(step: str) -> None:
            if _is_subject.get():
                self.reach(vm, step)

        def note_server(server: str) -> None:
            if _is_subject.get():
                self.server = server
                self.reach(vm, 'chosen')

        router.callers._handler = _probe_call(router.callers._handler, subject)
        accounts = router.credit.accounts
        _after_async(accounts, 'reserve', lambda *_: subject('reserved'))
        _after(accounts, 'settle', lambda *_: subject('settled'))
        _before(router._claims, 'claim', lambda *_: subject('claiming'))
        _after_async(router._claims, 'claim', lambda *_: subject('claimed'))
        _after(router.backends, 'request_started', note_server)
        _probe_http(router._http, subject)
        _probe_writes(router, lambda step: self.reach(vm, step))
        reclaimer = router.credit._reclaimer
        _before(reclaimer, '_close', lambda *_: self.reach(vm, 'reclaiming'))
        _after_async(
            reclaimer, '_close', lambda *_: self.reach(vm, 'reclaimed')
        )
        _after(
            router.rollout,
            '_put_in_force',
            lambda bundle: self.reach(vm, f'in_force_{bundle.version}'),
        )
        _after(router.drain, 'begin', lambda *_: self.reach(vm, 'drain_begun'))
        _after_async(
            router.drain, 'wait_empty', lambda *_: self.reach(vm, 'drain_ended')
        )


def _before(owner: Any, name: str, callback: Callable[..., None]) -> None:
    original = getattr(owner, name)

    def wrapped(*arguments, **options):
        callback(*arguments)
        return original(*arguments, **options)

    setattr(owner, name, wrapped)


def _after(owner: Any, name: str, callback: Callable[..., None]) -> None:
    original = getattr(owner, name)

    def wrapped(*arguments, **options):
        answer = original(*arguments, **options)
        callback(*arguments)
        return answer

    setattr(owner, name, wrapped)


def _after_async(owner: Any, name: str, callback: Callable[..., None]) -> None:
    original = getattr(owner, name)

    async def wrapped(*arguments, **options):
        answer = await original(*arguments, **options)
        callback(*arguments)
        return answer

    setattr(owner, name, wrapped)


def _probe_call(handler, subject):
    async def serve(call):
        if MARK in call.headers_by_name:
            _is_subject.set(True)
            _after_async(call, 'finish', lambda: subject('delivered'))
            subject('accepted')
        await handler(call)

    return serve


def _probe_http(http, subject):
    exchange = http._exchange

    async def probed_exchange(connection, request, bounds):
        if _is_work(request):
            head = connection._receive_head
            connection._receive_head = _probe_head(head, subject)
        response = await exchange(connection, request, bounds)
        if _is_work(request):
            connection._receive_head = head
            response.chunks = _probe_chunks(response.chunks, subject)
        return response

    http._exchange = probed_exchange


def _probe_head(head, subject):
    async def probed(bounds):
        subject('sent')
        answer = await head(bounds)
        subject('first_byte')
        return answer

    return probed


def _is_work(request) -> bool:
    # Polls, record look-ups and cancellations also go to backend servers.
    return not request.target.startswith('/v1/') or (
        request.target == '/v1/chat/completions'
    )


def _probe_chunks(chunks, subject):
    async def probed():
        count = 0
        async for chunk in chunks():
            yield chunk
            count += 1
            if count == MID_STREAM_CHUNKS:
                subject('mid_stream')
        subject('last_byte')

    return probed


def _probe_writes(router: Router, reach: Callable[[str], None]) -> None:
    platform = router.platform
    original = platform.put
    budget = budget_of('subject')

    async def put(key, body, expected_version):
        steps = []
        if key.startswith('ledger/'):
            steps = list(_ledger_steps(router, decode_shard(body), budget))
        elif key.startswith('leases/'):
            lease = msgspec.msgpack.decode(body)
            steps = ['lease_renewed' if lease['renewals'] else 'lease_taken']
        for step in steps:
            reach(_STEP_BEFORE_WRITE[step])
        version = await original(key, body, expected_version)
        for step in steps:
            reach(step)
        return version

    platform.put = put


def _ledger_steps(router: Router, shard, budget: str):
    record = shard['budgets'].get(budget)
    if record is None:
        return
    account = router.credit.accounts._book.account(budget)
    known = account.entry or {'drawn': 0, 'spent': 0}
    entry = record['holders'].get(router.holder)
    if entry is not None:
        if entry['drawn'] > known['drawn']:
            yield 'drawn'
        if entry['drawn'] < known['drawn']:
            yield 'returned'
        if entry['spent'] > known['spent']:
            yield 'reported'
