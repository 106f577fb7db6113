"""
tests.fault_records
~~~~~~~~~~~~~~~~~~~

Records of the stand-ins about each request, and checks of the ledger.
"""

from typing import NamedTuple

import trio

from eelgrassfork.ledger import BudgetRecord, decode_shard
from eelgrassfork.names import parse_payer
from tests.fault_callers import Request
from tests.fault_world import PRICE, World, budget_of

__all__ = ('Execution', 'Generated', 'Records')


class Execution(NamedTuple):
    """Execution of a call by a plain server."""

    at_s: float
    vm: str
    request_id: str
    target: str
    key: str


class Generated(NamedTuple):
    """Record of a generation at an engine."""

    vm: str
    request_id: str
    budget: str
    tokens: int
    state: str
    words: tuple[str, ...]


class Records:
    """
    Records of a world's stand-ins.

    :param world: the world, before its start.
    :ivar executions: executions at plain servers, in order.
    :ivar starts: time, VM and request id of each started generation.
    :ivar lease_writes: time, key and content of each write of a lease.
    :ivar ledger_faults: inconsistencies found in versions of the ledger.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.executions: list[Execution] = []
        self.starts: list[tuple[float, str, str]] = []
        self.ledger_faults: list[str] = []
        self.lease_writes: list[tuple[float, str, bytes]] = []
        self._last_by_budget: dict[str, BudgetRecord] = {}
        objects = world.platform.core.objects
        original = objects.put

        def put(key, body, expected_version):
            version = original(key, body, expected_version)
            if key.startswith('ledger/'):
                self._check_ledger(body)
            if key.startswith('leases/'):
                self.lease_writes.append((trio.current_time(), key, body))
            return version

        objects.put = put

    def watch_engine(self, vm: str, engine) -> None:
        """
        Record when generations start.

        :param vm: the engine's VM.
        :param engine: the stand-in.
        """
        submit = engine._submit

        def noted(call, chat):
            self.starts.append((trio.current_time(), vm, call.request_id))
            return submit(call, chat)

        engine._submit = noted

    def watch_desk(self, vm: str, desk) -> None:
        """
        Record each execution.

        :param vm: the plain server's VM.
        :param desk: the stand-in.
        """
        execute = desk._execute

        def noted(call):
            if call.path.startswith('/v1/'):
                # Load poll.
                return execute(call)
            self.executions.append(
                Execution(
                    trio.current_time(),
                    vm,
                    call.request_id,
                    call.target,
                    call.headers_by_name.get('idempotency-key', ''),
                )
            )
            return execute(call)

        desk._execute = noted

    def generated(self, request: Request) -> list[Generated]:
        """
        Find all generations of a request, also those of killed engines.

        :param request: a chat request.
        :returns: one for each engine and request id.
        """
        return [
            each for each in self._all_generated() if request.name in each.words
        ]

    def executed(self, request: Request) -> list[Execution]:
        """
        Find all executions of a request.

        :param request: a call of a plain service.
        :returns: all executions, in order.
        """
        wanted = f'?name={request.name}'
        return [
            each for each in self.executions if each.target.endswith(wanted)
        ]

    def effects(self, request: Request) -> int:
        """
        Count the effects of a request.

        :param request: any request.
        :returns: number of generations or executions.
        """
        found = self.generated if request.is_chat else self.executed
        return len(found(request))

    def budget(self, organisation: str) -> BudgetRecord:
        """
        Read a budget from the ledger.

        :param organisation: unqualified name of the payer.
        :returns: its record.
        """
        return self._last_by_budget[budget_of(organisation)]

    def billed(self, organisation: str) -> int:
        """
        Return the tokens that were billed to a budget.

        :param organisation: unqualified name of the payer.
        :returns: tokens, of open and closed accounts.
        """
        record = self.budget(organisation)
        spent = sum(entry['spent'] for entry in record['holders'].values())
        return record['closed_spent'] + spent

    def _all_generated(self) -> list[Generated]:
        return [
            Generated(
                host.vm,
                generation.spec.request_id,
                parse_payer(generation.spec.payer).budget,
                generation.spec.chat.prompt_tokens + generation.produced,
                generation.state,
                generation.spec.chat.words,
            )
            for host in self._world.servers
            if hasattr(host.part, 'generations_by_id')
            for generation in host.part.generations_by_id.values()
        ]

    def remaining_tokens(self, organisation: str) -> int:
        """
        Compute the remaining budget from generations and executions.

        :param organisation: unqualified name of the payer.
        :returns: tokens.
        """
        budget = budget_of(organisation)
        generated = sum(
            each.tokens
            for each in self._all_generated()
            if each.budget == budget
        )
        # Names of requests begin with the name of the payer.
        orders = sum(
            bool(each.key) and f'?name={organisation}' in each.target
            for each in self.executions
        )
        granted = self.budget(organisation)['granted']
        return granted - generated - PRICE * orders

    def _check_ledger(self, body: bytes) -> None:
        for budget, record in decode_shard(body)['budgets'].items():
            last = self._last_by_budget.get(budget, record)
            self.ledger_faults += [
                f'{budget}: {fault}' for fault in _ledger_faults(last, record)
            ]
            self._last_by_budget[budget] = record


def _ledger_faults(last: BudgetRecord, record: BudgetRecord):
    entries = record['holders'].values()
    drawn = sum(entry['drawn'] for entry in entries)
    if record['granted'] < record['closed_spent'] + drawn:
        yield f'closed and drawn exceed the grant: {record}'
    if record['granted'] != sum(record['top_ups'].values()):
        yield f'the grant is not the sum of the top-ups: {record}'
    if any(entry['spent'] > entry['drawn'] for entry in entries):
        yield f'a holder spent more than it drew: {record}'
    if _billed(record) < _billed(last):
        yield f'the bill shrank from {last} to {record}'
    if record['granted'] < last['granted']:
        yield f'a top-up was lost: {record}'


def _billed(record: BudgetRecord) -> int:
    spent = sum(entry['spent'] for entry in record['holders'].values())
    return record['closed_spent'] + spent
