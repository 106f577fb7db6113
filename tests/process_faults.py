"""
tests.process_faults
~~~~~~~~~~~~~~~~~~~~

Fault tests on real processes; run as ``python -m tests.process_faults``.

All cases share one fleet; each uses its own routers and budgets.
"""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path

import trio

from demo.calls import Caller, chat_body
from demo.fleet import SERVERS, Fleet
from eelgrassfork.http_client import ClientRequest, HttpClientError
from eelgrassfork.process_signals import ACTIONS_BY_SIGNAL
from standins.engine_text import completion_text

__all__ = ('CASES', 'Case', 'main', 'run_cases')

BUDGETS = (
    'pazlen/plovdiv-puzzles/main',
    'pazlen/rodopi-games/main',
    'pazlen/thracian-toys/main',
    'pazlen/mariza-online/main',
    'threadlantern/hill-hotels/main',
    'threadlantern/lakeside-linen/main',
)
GRANTED = 5_000
ROBE_PRICE = 20
ORDER = b'{"robes": 4}'
ORDERS = '/services/robe-orders/confirmations'
# The demo's engines are fast; about 30 ms per token leave time to inject a
# fault.
SLOW_FACTOR = 40
WORDS = 40
MID_STREAM_CHUNKS = 5
BILLED_S = 60


class Case:
    """
    Helpers shared by the cases.

    :param fleet: the running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet."""
        self.fleet.processes.by_name[name].popen.send_signal(number)

    def vm(self, failure_domain: str) -> str:
        """Return the VM of the router in a failure domain."""
        return self.fleet.routers_by_domain[failure_domain].vm

    async def delist(self, vm: str) -> None:
        """Remove a VM from the platform's VM list."""
        body = json.dumps({'patch': {vm: None}}).encode()
        await self.fleet.fetch(self.fleet.platform, 'POST', '/admin/vms', body)

    async def set_faults(self, service: str, **faults: object) -> None:
        """Update the faults of all backend servers of a service."""
        for number, server in enumerate(SERVERS):
            if server.service == service:
                address = self.fleet.addresses_by_server[f'server-{number}']
                body = json.dumps(faults).encode()
                await self.fleet.fetch(address, 'POST', '/admin/faults', body)

    async def budget(self, name: str) -> tuple[int, int]:
        """Return the billed and the still reserved tokens of a budget."""
        fleet = name.partition('/')[0]
        for shard in range(4):
            status, _, body = await self.fleet.fetch(
                self.fleet.platform,
                'GET',
                f'/v1/objects/ledger/{fleet}/{shard}',
            )
            budgets = json.loads(body)['budgets'] if status == 200 else {}
            if name in budgets:
                record = budgets[name]
                entries = record['holders'].values()
                spent = sum(entry['spent'] for entry in entries)
                drawn = sum(entry['drawn'] for entry in entries)
                return record['closed_spent'] + spent, drawn - spent
        raise AssertionError(f'{name} is in no ledger shard')

    async def wait_billed(self, name: str, tokens: int) -> float:
        """
        Wait until a budget is billed exactly ``tokens`` with none reserved.

        :returns: elapsed time in seconds.
        :raises AssertionError: if this takes longer than ``BILLED_S``.
        """
        started = time.monotonic()
        found = (0, 0)
        with trio.move_on_after(BILLED_S):
            while found != (tokens, 0):
                await trio.sleep(0.2)
                found = await self.budget(name)
            return time.monotonic() - started
        raise AssertionError(
            f'{name}: billed and reserved {found}, not {tokens}'
        )

    async def generations(self, budget: str) -> list[dict]:
        """Return the engines' generation records of a budget."""
        records = []
        for number, server in enumerate(SERVERS):
            if server.module == 'engine':
                address = self.fleet.addresses_by_server[f'server-{number}']
                _, _, body = await self.fleet.fetch(
                    address, 'GET', '/admin/records'
                )
                records += json.loads(body)['requests']
        return [
            record for record in records if f'/{budget}/' in record['payer']
        ]

    async def executions(self, key: str) -> int:
        """Count the plain servers' executions of an idempotency key."""
        count = 0
        for number, server in enumerate(SERVERS):
            if server.module == 'plain_service':
                address = self.fleet.addresses_by_server[f'server-{number}']
                _, _, body = await self.fleet.fetch(
                    address, 'GET', '/admin/executions'
                )
                count += json.loads(body)['by_key'].get(key, 0)
        return count

    async def read_stream(
        self, caller: Caller, body: bytes, key: str, on_mid_stream
    ):
        """
        Read a stream and call ``on_mid_stream`` in the middle of it.

        :returns: whether the stream was complete.
        """
        router = self.fleet.routers_by_domain[caller.failure_domain]
        headers = (*caller.headers, ('idempotency-key', key))
        request = ClientRequest(
            router.callers, 'POST', '/v1/chat/completions', headers, body,
            fresh=True,
        )  # fmt: skip
        response = await self.fleet.http.request(request)
        read = b''
        chunks = 0
        try:
            async for chunk in response.chunks():
                read += chunk
                chunks += 1
                if chunks == MID_STREAM_CHUNKS:
                    on_mid_stream()
        except HttpClientError:
            return False
        finally:
            await response.close()
        return read.rstrip().endswith(b'data: [DONE]')


async def router_killed_mid_stream(case: Case) -> str:
    """A retry at another router gets the complete answer, billed once."""
    budget = 'pazlen/plovdiv-puzzles/main'
    first = Caller(case.fleet, 'pazlen/plovdiv-a', 'pazlen/plovdiv-puzzles')
    body = chat_body('matcher', 'Which piece fits?', True, WORDS)
    vm = case.vm('pazlen/plovdiv-a')
    complete = await case.read_stream(
        first, body, 'stream-1', lambda: case.signal(vm, signal.SIGKILL)
    )
    assert not complete, 'the stream of the killed router looked complete'
    second = first._replace(failure_domain='pazlen/plovdiv-b')
    answer = await second.send('POST', '/v1/chat/completions', body, 'stream-1')
    assert answer.complete, answer
    assert answer.text == completion_text(body), answer
    records = await case.generations(budget)
    assert len(records) == 1, records
    await case.delist(vm)
    after_s = await case.wait_billed(budget, answer.tokens)
    return f'generated once, billed {answer.tokens} after {after_s:.1f} s'


async def holder_stopped_with_claim(case: Case) -> str:
    """A claim holder that resumes after a retry does not repeat the order."""
    budget = 'threadlantern/hill-hotels/main'
    first = Caller(
        case.fleet, 'threadlantern/kandy-a', 'threadlantern/hill-hotels'
    )
    second = first._replace(failure_domain='threadlantern/kandy-b')
    vm = case.vm('threadlantern/kandy-a')
    platform = case.fleet.platform
    await case.fleet.fetch(
        platform, 'POST', '/admin/faults', b'{"slow_ms": 300}'
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.send, 'POST', ORDERS, ORDER, 'order-1')
        await _wait_claimed(case)
        case.signal(vm, signal.SIGSTOP)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    during = await second.send('POST', ORDERS, ORDER, 'order-1')
    await case.fleet.fetch(platform, 'POST', '/admin/faults', b'{"slow_ms": 0}')
    case.signal(vm, signal.SIGCONT)
    assert during.code == 'request_in_progress', during
    after = during
    with trio.move_on_after(20):
        while after.code == 'request_in_progress':
            await trio.sleep(after.retry_after_s or 1)
            after = await second.send('POST', ORDERS, ORDER, 'order-1')
    ran = await case.executions('order-1')
    assert after.complete and ran == 1, (after, ran)
    await _wait_spent(case, budget, ROBE_PRICE)
    return f'during the stop {during.code}, then ran once, billed once'


async def killed_with_unreported_spend(case: Case) -> str:
    """Unreported spend of a killed router is charged exactly once."""
    budget = 'pazlen/rodopi-games/main'
    caller = Caller(case.fleet, 'pazlen/haskovo', 'pazlen/rodopi-games')
    vm = case.vm('pazlen/haskovo')
    reported, _ = await case.budget(budget)
    answer = await caller.chat('matcher', 'Is there one more piece?')
    case.signal(vm, signal.SIGKILL)
    assert answer.complete, answer
    before, held = await case.budget(budget)
    assert before == reported, 'the spend was reported before the kill'
    await case.delist(vm)
    after_s = await case.wait_billed(budget, answer.tokens)
    return (
        f'{answer.tokens} charged and {held} tokens back '
        f'{after_s:.1f} s after the VM was delisted'
    )


async def platform_stopped(case: Case) -> str:
    """Reserved credit stays usable; orders are rejected immediately."""
    caller = Caller(
        case.fleet, 'threadlantern/matale-a', 'threadlantern/lakeside-linen'
    )
    # Demand makes the router reserve more credit than one request needs.
    for _ in range(3):
        first = await caller.chat('eelgrass-llm', 'Which thread is indigo?')
        assert first.complete, first
    case.signal('platform', signal.SIGSTOP)
    try:
        started = time.monotonic()
        during = await caller.chat('eelgrass-llm', 'Which thread is red?')
        order = await caller.send('POST', ORDERS, ORDER, 'order-2')
        took_s = time.monotonic() - started
    finally:
        case.signal('platform', signal.SIGCONT)
    assert during.complete, during
    assert order.code == 'claim_unreachable', order
    assert order.retry_after_s, order
    assert not await case.executions('order-2')
    with trio.fail_after(20):
        while not order.complete:
            await trio.sleep(1)
            order = await caller.send('POST', ORDERS, ORDER, 'order-2')
    assert await case.executions('order-2') == 1
    return f'chat served, order refused, both after {took_s:.1f} s'


async def terminated_mid_stream(case: Case) -> str:
    """A graceful stop interrupts no stream and loses no spend."""
    budget = 'pazlen/thracian-toys/main'
    caller = Caller(case.fleet, 'pazlen/stara-zagora', 'pazlen/thracian-toys')
    body = chat_body('matcher', 'Where is the corner?', True, WORDS)
    vm = case.vm('pazlen/stara-zagora')
    complete = await case.read_stream(
        caller, body, 'stream-2', lambda: case.signal(vm, signal.SIGTERM)
    )
    assert complete, 'the stream was interrupted'
    popen = case.fleet.processes.by_name[vm].popen
    code = await trio.to_thread.run_sync(popen.wait, 20)
    assert code == 0, f'the router exited with {code}'
    (record,) = await case.generations(budget)
    tokens = record['prompt_tokens'] + record['completion_tokens']
    await _wait_spent(case, budget, tokens)
    _, held = await case.budget(budget)
    assert held == 0, f'{held} tokens are still reserved'
    return f'whole, exit code 0, billed {tokens}, nothing held'


async def signalled_while_draining(case: Case) -> str:
    """Signals of all kinds don't end a router that finishes its streams."""
    caller = Caller(
        case.fleet, 'threadlantern/matale-b', 'threadlantern/lakeside-linen'
    )
    body = chat_body('eelgrass-llm', 'Which thread is red?', True, WORDS)
    vm = case.vm('threadlantern/matale-b')

    def send_series() -> None:
        case.signal(vm, signal.SIGHUP)
        case.signal(vm, signal.SIGTERM)
        for number in ACTIONS_BY_SIGNAL:
            case.signal(vm, number)

    complete = await case.read_stream(caller, body, 'stream-3', send_series)
    assert complete, 'the stream was interrupted'
    popen = case.fleet.processes.by_name[vm].popen
    while popen.poll() is None:
        case.signal(vm, signal.SIGHUP)
        await trio.sleep(0.01)
    assert popen.returncode == 0, f'the router exited with {popen.returncode}'
    return 'whole, exit code 0'


async def _wait_claimed(case: Case) -> None:
    with trio.fail_after(10):
        while True:
            _, _, body = await case.fleet.fetch(
                case.fleet.platform,
                'GET',
                '/v1/objects?prefix=claims/threadlantern/hill-hotels/',
            )
            if b'"claimed"' in body:
                return


async def _wait_spent(case: Case, budget: str, tokens: int) -> None:
    spent = 0
    with trio.move_on_after(BILLED_S):
        while spent != tokens:
            await trio.sleep(0.2)
            spent, _ = await case.budget(budget)
        return
    raise AssertionError(f'{budget}: billed {spent}, not {tokens}')


CASES = (
    router_killed_mid_stream,
    holder_stopped_with_claim,
    killed_with_unreported_spend,
    platform_stopped,
    terminated_mid_stream,
    signalled_while_draining,
)


def run_cases(cases=CASES) -> dict[str, str]:
    """
    Start a fleet and run cases on it sequentially.

    :param cases: the cases to run.
    :returns: result by case name; ``broken:`` and the error for a failed case.
    """

    async def run_on_fleet(directory: str) -> None:
        fleet = Fleet(Path(directory), {'log_format': 'text'})
        try:
            await fleet.start()
            await fleet.top_up(dict.fromkeys(BUDGETS, GRANTED))
            case = Case(fleet)
            for service in ('pazlen/matcher', 'threadlantern/eelgrass-llm'):
                await case.set_faults(service, slow_factor=SLOW_FACTOR)
            for each in cases:
                started = time.monotonic()
                try:
                    result = await each(case)
                except Exception as error:
                    result = f'broken: {error!r}'
                took_s = time.monotonic() - started
                result_by_case[each.__name__] = f'{result} ({took_s:.1f} s)'
        finally:
            await fleet.close()

    result_by_case: dict[str, str] = {}
    with tempfile.TemporaryDirectory() as directory:
        trio.run(run_on_fleet, directory)
    return result_by_case


def main() -> int:
    """
    Run all cases and print their results.

    :returns: 1 if any case failed, else 0.
    """
    started = time.monotonic()
    result_by_case = run_cases()
    for name, result in result_by_case.items():
        print(f'process/{name}: {result}')
    broken = sum(
        result.startswith('broken') for result in result_by_case.values()
    )
    print(
        f'process faults: cases={len(result_by_case)} broken={broken}, '
        f'{time.monotonic() - started:.0f} s'
    )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
