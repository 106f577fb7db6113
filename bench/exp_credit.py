"""
bench.exp_credit
~~~~~~~~~~~~~~~~

Compares the credit accounts of routers with two baselines: an equal share of
each budget per router, and a ledger write for every request.

The credit accounts, lending and membership of eight routers run on a mock clock
over tests.memory_network; the baselines receive the same requests.
"""

import argparse
import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple, Protocol

import trio

from eelgrassfork.bundle_types import Bundle, Fleet
from eelgrassfork.errors import EelgrassError, RequestError
from eelgrassfork.ledger import (
    LedgerShard,
    Refusal,
    decode_shard,
    empty_shard,
    encode_shard,
    top_up,
)
from eelgrassfork.membership import Membership, MembershipSettings
from eelgrassfork.names import new_holder, shard_of
from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.peering import Peering, PeerSettings
from eelgrassfork.platform_types import Conflict, PlatformError
from eelgrassfork.router_credit import CreditInputs, RouterCredit
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform
from tests.memory_network import MemoryNetwork

from .measure import emit
from .sim import run_mocked

__all__ = ('POLICIES', 'SCENARIOS', 'main', 'run')

DOMAINS = 4
ROUTERS = 8
SHARDS = 4
BUDGETS = 8
RESERVED_TOKENS = 1_400
SPENT_RANGE = (200, 800)
MEAN_STREAM_S = 3
RUN_S = 180
SETTLE_S = 5
# Start and end of the fault, in seconds. A partition separates the routers of
# the last two failure domains.
FAULT_PERIOD_S = (60, 120)
AMPLE_GRANT = 50_000_000
PLATFORM_DELAY_S = 0.004


class Scenario(NamedTuple):
    """
    Load and faults of one comparison.

    :param granted: tokens granted to each budget.
    :param per_s: total request rate.
    :param burst: factor on the request rate in one of every six periods of 5 s.
    :param one_sided: whether each budget is used in one failure domain only.
    :param cut: whether two failure domains lose their connection to the others
        and to the platform.
    :param down: whether the platform is unavailable to all routers.
    :param topped_up: tokens added to each budget when the fault begins.
    """

    name: str
    granted: int = AMPLE_GRANT
    per_s: float = 24
    burst: float = 1
    one_sided: bool = False
    cut: bool = False
    down: bool = False
    topped_up: int = 0


# 24 requests a second of 500 tokens spend about 270,000 of each budget.
SCENARIOS = (
    Scenario('steady'),
    Scenario('bursty', burst=6),
    Scenario('one-sided', one_sided=True),
    Scenario('partitioned', cut=True),
    Scenario('partitioned, one-sided', cut=True, one_sided=True),
    Scenario('platform down', down=True),
    Scenario('near exhaustion', granted=160_000),
    Scenario('near exhaustion, one-sided', granted=160_000, one_sided=True),
    Scenario('near exhaustion, partitioned', granted=160_000, cut=True),
    Scenario(
        'topped up on one side of a cut',
        granted=60_000,
        cut=True,
        topped_up=200_000,
    ),
)


class _Arrival(NamedTuple):
    at: float
    router: int
    budget: str
    spent: int
    duration_s: float


class CreditClient(Protocol):
    """Interface of one router to the credit of a policy."""

    async def reserve(self, budget: str, amount: int) -> Any:
        """Reserve tokens, or raise an error with a code."""

    def settle(self, reservation: Any, spent: int) -> None:
        """Replace the reservation by the tokens spent; called once."""


class World:
    """
    Platform, network and actual spending of one run.

    :param scenario: load and faults.
    :param seed: seed of all random values.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.network = MemoryNetwork()
        self.platform = FakePlatform()
        self.platform.set_faults(delay_s=PLATFORM_DELAY_S)
        self.budgets = [f'bench/o-{number}/main' for number in range(BUDGETS)]
        self.granted = dict.fromkeys(self.budgets, scenario.granted)
        self.reserved: Counter[str] = Counter()
        self.spent: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.false_refusals: Counter[str] = Counter()
        self.served = 0
        self.waits_s: list[float] = []
        self.lent = 0
        self.is_partitioned = False

    def partitioned_routers(self) -> list[int]:
        """
        List the routers that a partition separates.

        :returns: numbers of the routers in the last two failure domains.
        """
        return [n for n in range(ROUTERS) if n % DOMAINS >= DOMAINS // 2]

    def arrivals(self) -> list[_Arrival]:
        """
        Generate the requests.

        :returns: requests in order of time.
        """
        source = random.Random(self.seed)
        scenario = self.scenario
        weights = [1 / (rank + 1) for rank in range(BUDGETS)]
        arrivals = []
        at = 0.0
        while at < RUN_S:
            in_burst = int(at / 5) % 6 == 0
            factor = scenario.burst if in_burst else 1
            at += source.expovariate(scenario.per_s * factor)
            number = source.choices(range(BUDGETS), weights)[0]
            router = source.randrange(ROUTERS)
            if scenario.one_sided:
                router = number % DOMAINS + DOMAINS * source.randrange(2)
            arrivals.append(
                _Arrival(
                    at,
                    router,
                    self.budgets[number],
                    source.randint(*SPENT_RANGE),
                    source.expovariate(1 / MEAN_STREAM_S),
                )
            )
        return arrivals

    async def write_grants(self, operation: str, tokens: int) -> None:
        """
        Top up all budgets in the way of the operators' command.

        :param operation: id of the top-up.
        :param tokens: tokens added to each budget.
        """
        for number in range(SHARDS):
            key = f'ledger/bench/{number}'
            while True:
                stored = await self.platform.get(key)
                shard = decode_shard(stored.body) if stored else empty_shard()
                changed = self._apply_grants(shard, number, operation, tokens)
                try:
                    version = stored.version if stored else None
                    await self.platform.put(key, encode_shard(changed), version)
                except Conflict:
                    continue
                break

    def _apply_grants(
        self, shard: LedgerShard, number: int, operation: str, tokens: int
    ) -> LedgerShard:
        for budget in self.budgets:
            if shard_of(budget, SHARDS) == number:
                changed = top_up(shard, budget, operation, tokens)
                assert not isinstance(changed, Refusal)
                shard = changed
        return shard

    async def inject_faults(self) -> None:
        """Start and end the faults and the top-up of the scenario."""
        scenario = self.scenario
        started_at = trio.current_time()
        await trio.sleep_until(started_at + FAULT_PERIOD_S[0])
        cut = self.partitioned_routers()
        if scenario.down:
            self.platform.set_faults(down=True)
        if scenario.cut:
            self.is_partitioned = True
            self.platform.set_faults(cut=[f'router-{n}' for n in cut])
            others = [n for n in range(ROUTERS) if n not in cut]
            for near, far in itertools.product(cut, others):
                self.network.cut(f'router-{near}', f'router-{far}')
        if scenario.topped_up:
            await self.write_grants('op-2', scenario.topped_up)
            for budget in self.budgets:
                self.granted[budget] += scenario.topped_up
        await trio.sleep_until(started_at + FAULT_PERIOD_S[1])
        self.platform.set_faults(down=False, cut=[])
        self.network.heal()
        self.is_partitioned = False

    async def send_request(
        self, client: CreditClient, arrival: _Arrival
    ) -> None:
        """
        Run one request.

        :param client: credit client of its router.
        :param arrival: the request.
        """
        budget = arrival.budget
        started_at = trio.current_time()
        try:
            reservation = await client.reserve(budget, RESERVED_TOKENS)
        except EelgrassError as error:
            self._record_refusal(budget, error.code, started_at)
            return
        self.waits_s.append(trio.current_time() - started_at)
        self.reserved[budget] += RESERVED_TOKENS
        self.served += 1
        self.lent += getattr(reservation, 'lender_vm', None) is not None
        await trio.sleep(arrival.duration_s)
        self.reserved[budget] -= RESERVED_TOKENS
        self.spent[budget] += arrival.spent
        client.settle(reservation, arrival.spent)

    def _record_refusal(
        self, budget: str, code: str, started_at: float
    ) -> None:
        self.waits_s.append(trio.current_time() - started_at)
        self.refused[code] += 1
        remaining = (
            self.granted[budget] - self.spent[budget] - self.reserved[budget]
        )
        if remaining >= RESERVED_TOKENS:
            self.false_refusals[code] += 1

    def figures(self) -> dict[str, Any]:
        """
        Summarise the run.

        :returns: figures by name.
        """
        calls = self.platform.core.calls_by_kind
        sent = self.served + sum(self.refused.values())
        overspent = sum(
            max(0, self.spent[budget] - self.granted[budget])
            for budget in self.budgets
        )
        waits = sorted(self.waits_s)
        return {
            'asked': sent,
            'served': self.served,
            'overspend_tokens': overspent,
            'refused': dict(self.refused),
            'false_refusals': sum(self.false_refusals.values()),
            'false_by_code': dict(self.false_refusals),
            'false_share': round(sum(self.false_refusals.values()) / sent, 4),
            'writes_per_s': round(calls['put'] / RUN_S, 2),
            'reads_per_s': round(calls['get'] / RUN_S, 2),
            'lent': self.lent,
            'left_share': round(
                1 - sum(self.spent.values()) / sum(self.granted.values()), 4
            ),
            'wait_p50_ms': round(1000 * waits[len(waits) // 2], 1),
            'wait_p99_ms': round(1000 * waits[int(len(waits) * 0.99)], 1),
        }


class _EqualShares:
    """Baseline: each router has a fixed eighth of every grant."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self._is_partitioned = number in world.partitioned_routers()
        self._used: Counter[str] = Counter()

    async def reserve(self, budget: str, amount: int) -> int:
        await trio.lowlevel.checkpoint()
        share = self._share(budget)
        if self._used[budget] + amount > share:
            raise RequestError('credit_held_elsewhere', budget)
        self._used[budget] += amount
        return amount, budget

    def settle(self, reservation: Any, spent: int) -> None:
        amount, budget = reservation
        self._used[budget] -= amount - spent

    def _share(self, budget: str) -> int:
        granted = self._world.granted[budget]
        if self._is_partitioned and self._world.is_partitioned:
            # A top-up does not reach a partitioned router.
            granted = self._world.scenario.granted
        return granted // ROUTERS


class _WritePerRequest:
    """Baseline: all credit stays in the ledger; two writes per request."""

    def __init__(self, world: World, number: int, nursery: Any) -> None:
        self._platform = world.platform.for_client(f'router-{number}')
        self._nursery = nursery

    async def reserve(self, budget: str, amount: int) -> Any:
        await self._change(budget, amount)
        return budget, amount

    def settle(self, reservation: Any, spent: int) -> None:
        budget, amount = reservation
        self._nursery.start_soon(self._return_unspent, budget, spent - amount)

    async def _return_unspent(self, budget: str, change: int) -> None:
        while True:
            try:
                await self._change(budget, change)
            except RequestError:
                await trio.sleep(1)
            else:
                return

    async def _change(self, budget: str, tokens: int) -> None:
        key = f'ledger/bench/{shard_of(budget, SHARDS)}'
        for attempt in range(20):
            try:
                stored = await self._platform.get(key)
                shard = decode_shard(stored.body)
                record = shard['budgets'][budget]
                record['closed_spent'] += tokens
                if record['closed_spent'] > record['granted']:
                    raise RequestError('budget_exhausted', budget)
                body = encode_shard(shard)
                await self._platform.put(key, body, stored.version)
            except Conflict:
                await trio.sleep(random.random() * 0.01 * min(attempt, 5))
            except PlatformError:
                raise RequestError('credit_unreachable', budget) from None
            else:
                return
        raise RequestError('credit_unreachable', budget)


class _Router:
    """Credit accounts, lending and membership of a real router."""

    def __init__(
        self, world: World, records: list[VmRecord], number: int, settings: Any
    ) -> None:
        record = records[number]
        self._host, _, port = record.peer_address.rpartition(':')
        self._port = int(port)
        platform = world.platform.for_client(record.vm)
        holder = new_holder(record.vm)
        own = Heartbeat(
            record.vm,
            holder,
            'bench',
            record.failure_domain,
            record.peer_address,
            'ready',
        )
        self._peering = Peering(
            PeerSettings('a-key-of-some-length'),
            lambda: own,
            lambda heartbeat, at: self._membership.record_heartbeat(
                heartbeat, at
            ),
            lambda vm: self._membership.address_of(vm),
            world.network.transport(record.vm),
        )
        self._membership = Membership(own, platform, MembershipSettings())
        fleet = Fleet('bench', SHARDS, settings['draw_fraction'])
        bundle = Bundle(1, {'bench': fleet}, {}, {}, {}, {})
        self._credit = RouterCredit(
            CreditInputs(
                holder=holder,
                vm=record.vm,
                failure_domain=record.failure_domain,
                platform=platform,
                peering=self._peering,
                membership=self._membership,
                bundle=lambda: bundle,
                sources=(),
                on_fenced=lambda: None,
                report_interval_s=settings['interval_s'],
            )
        )
        self.reserve: Callable[..., Awaitable[Any]] = (
            self._credit.accounts.reserve
        )
        self.settle = self._credit.accounts.settle

    async def start(self, nursery: trio.Nursery) -> None:
        await self._peering.start(nursery, self._host, self._port)
        await self._membership.start(nursery, self._peering)
        await self._credit.start(nursery)


def _router_records() -> list[VmRecord]:
    return [
        VmRecord(
            f'router-{number}',
            'router',
            'live',
            'bench',
            '',
            f'bench/domain-{number % DOMAINS}',
            'r',
            '10.0.0.1:1',
            f'10.0.0.{number}:8081',
        )
        for number in range(ROUTERS)
    ]


async def _start_routers(
    world: World, nursery: trio.Nursery, settings: dict[str, float]
) -> list[CreditClient]:
    records = _router_records()
    world.platform.set_vms(*records)
    routers = [
        _Router(world, records, number, settings) for number in range(ROUTERS)
    ]
    for router in routers:
        await router.start(nursery)
    return list(routers)


async def _start_equal_shares(
    world: World, nursery: trio.Nursery
) -> list[CreditClient]:
    await trio.lowlevel.checkpoint()
    return [_EqualShares(world, number) for number in range(ROUTERS)]


async def _start_write_per_request(
    world: World, nursery: trio.Nursery
) -> list[CreditClient]:
    await trio.lowlevel.checkpoint()
    return [
        _WritePerRequest(world, number, nursery) for number in range(ROUTERS)
    ]


def _router_policy(
    interval_s: float, draw_fraction: float
) -> Callable[..., Any]:
    settings = {'interval_s': interval_s, 'draw_fraction': draw_fraction}

    async def start(world: World, nursery: trio.Nursery) -> list[CreditClient]:
        return await _start_routers(world, nursery, settings)

    return start


POLICIES: dict[
    str, Callable[[World, trio.Nursery], Awaitable[list[CreditClient]]]
] = {
    'equal shares': _start_equal_shares,
    'one write each': _start_write_per_request,
    'ours': _router_policy(2, 0.125),
    'ours, draw fraction 0.5': _router_policy(2, 0.5),
    'ours, report every 10 s': _router_policy(10, 0.125),
    'ours, report every 60 s': _router_policy(60, 0.125),
}


async def run(scenario: Scenario, policy: str, seed: int) -> dict[str, Any]:
    """
    Run one policy in one scenario.

    :param scenario: load and faults.
    :param policy: a key of :data:`POLICIES`.
    :param seed: seed of the requests.
    :returns: figures by name.
    """
    world = World(scenario, seed)
    random.seed(seed)
    await world.write_grants('op-1', scenario.granted)
    async with trio.open_nursery() as background:
        clients = await POLICIES[policy](world, background)
        await trio.sleep(SETTLE_S)
        world.platform.core.calls_by_kind.clear()
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.inject_faults)
            for arrival in world.arrivals():
                await trio.sleep_until(started_at + arrival.at)
                nursery.start_soon(
                    world.send_request, clients[arrival.router], arrival
                )
        await trio.sleep(SETTLE_S)
        background.cancel_scope.cancel()
    return world.figures()


def compare(seed: int, names: list[str]) -> Iterator[dict[str, Any]]:
    """
    Run all policies in the scenarios.

    :param seed: seed of the requests.
    :param names: names of scenarios; empty for all.
    :returns: iterator of measurement lines.
    """
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        for policy in POLICIES:
            figures = run_mocked(run, scenario, policy, seed)
            yield {
                'measure': 'credit',
                'scenario': scenario.name,
                'policy': policy,
                'seed': seed,
                **figures,
            }


def main() -> None:
    """Run the comparison and print its lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenarios', nargs='*')
    parser.add_argument('--seed', type=int, default=11)
    options = parser.parse_args()
    for line in compare(options.seed, options.scenarios):
        emit(line)


if __name__ == '__main__':
    main()
