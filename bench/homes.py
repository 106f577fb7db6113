"""
bench.homes
~~~~~~~~~~~

How many routers hold credit of one budget in a large failure domain.

Whole routers' peering, membership and credit run in one process on a mock
clock; each reserves now and then from the same budgets. With home routers
there should be one entry per failure domain and budget in the ledger.
"""

import argparse
import random
from collections.abc import Iterator
from typing import Any

import trio

from eelgrassfork.bundle_types import Bundle, Fleet
from eelgrassfork.errors import EelgrassError
from eelgrassfork.ledger import decode_shard, empty_shard, encode_shard, top_up
from eelgrassfork.membership import Membership, MembershipSettings
from eelgrassfork.names import new_holder, shard_of
from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.peering import Peering, PeerSettings
from eelgrassfork.router_credit import CreditInputs, RouterCredit
from eelgrassfork.vm_list import VmRecord
from standins.fake_platform import FakePlatform
from standins.platform_core import PlatformCore, RateLimits

from .measure import emit, row
from .memory_transport import MemoryTransports
from .sim import run_mocked

__all__ = ('main', 'measure')

DOMAIN_SIZES = (8, 16, 24, 48)
DOMAINS = 2
SHARDS = 4
BUDGETS = 8
SETTLING_S = 10
RUN_S = 60
REQUESTS_PER_S = 1
AMOUNT = 1_000
FLEET = Fleet('pazlen', SHARDS)


class _Router:
    def __init__(self, record: VmRecord, world: '_World') -> None:
        self.holder = new_holder(record.vm)
        self.record = record
        host, _, port = record.peer_address.rpartition(':')
        self.listen_at = (host, int(port))
        platform = world.platform.for_client(record.vm)
        own = Heartbeat(
            record.vm,
            self.holder,
            'pazlen',
            record.failure_domain,
            record.peer_address,
            'ready',
        )
        self.peering = Peering(
            PeerSettings('a-key-of-some-length'),
            lambda: own,
            lambda heartbeat, at: self.membership.record_heartbeat(
                heartbeat, at
            ),
            lambda vm: self.membership.address_of(vm),
            world.transports.transport(),
        )
        self.membership = Membership(
            own, platform, MembershipSettings(heartbeat_s=2)
        )
        bundle = Bundle(1, {'pazlen': FLEET}, {}, {}, {}, {})
        self.credit = RouterCredit(
            CreditInputs(
                holder=self.holder,
                vm=record.vm,
                failure_domain=record.failure_domain,
                platform=platform,
                peering=self.peering,
                membership=self.membership,
                bundle=lambda: bundle,
                sources=(),
                on_fenced=lambda: None,
                report_interval_s=2,
            )
        )

    async def start(self, nursery: trio.Nursery) -> None:
        await self.peering.start(nursery, *self.listen_at)
        await self.membership.start(nursery, self.peering)
        await self.credit.start(nursery)

    async def spend(self, source: random.Random, world: '_World') -> None:
        while True:
            await trio.sleep(source.expovariate(REQUESTS_PER_S))
            budget = source.choice(world.budgets)
            try:
                reserved = await self.credit.accounts.reserve(budget, AMOUNT)
            except EelgrassError as error:
                world.refused.append(error.code)
                continue
            world.lent += reserved.lender_vm is not None
            world.served += 1
            self.credit.accounts.settle(reserved, AMOUNT // 2)


class _World:
    def __init__(self, per_domain: int, seed: int) -> None:
        self.transports = MemoryTransports()
        self.core = PlatformCore(RateLimits(1e6, 1e6))
        self.platform = FakePlatform(self.core)
        self.budgets = [f'pazlen/o-{number}/main' for number in range(BUDGETS)]
        self.lent = self.served = 0
        self.refused: list[str] = []
        self.source = random.Random(seed)
        records = [
            VmRecord(
                f'entry-{domain}-{number}',
                'router',
                'live',
                'pazlen',
                '',
                f'pazlen/domain-{domain}',
                'r',
                '10.0.0.1:1',
                f'10.0.{domain}.{number}:8081',
            )
            for domain in range(DOMAINS)
            for number in range(per_domain)
        ]
        self.platform.set_vms(*records)
        self.routers = [_Router(record, self) for record in records]
        self.put_budgets()

    def put_budgets(self) -> None:
        for shard_number in range(SHARDS):
            shard = empty_shard()
            for budget in self.budgets:
                if shard_of(budget, SHARDS) == shard_number:
                    shard = top_up(shard, budget, 'op-1', 10**9)
            key = f'ledger/pazlen/{shard_number}'
            self.core.objects.put(key, encode_shard(shard), None)

    def entries(self) -> list[int]:
        shards = [
            decode_shard(stored.body)
            for stored in self.core.objects.list_objects('ledger/')
        ]
        return [
            len(record['holders'])
            for shard in shards
            for record in shard['budgets'].values()
        ]


async def run(per_domain: int, seed: int) -> dict[str, tuple[float, str]]:
    """
    Run two failure domains of one size.

    :param per_domain: routers in each.
    :param seed: seed of the demand.
    :returns: figure and unit by name.
    """
    world = _World(per_domain, seed)
    async with trio.open_nursery() as nursery:
        for router in world.routers:
            await router.start(nursery)
        await trio.sleep(SETTLING_S)
        for number, router in enumerate(world.routers):
            source = random.Random(seed + number)
            nursery.start_soon(router.spend, source, world)
        await trio.sleep(RUN_S)
        calls = dict(world.core.calls_by_kind)
        nursery.cancel_scope.cancel()
    entries = world.entries()
    return {
        'entries': (sum(entries) / len(entries), '1/budget'),
        'lent': (world.lent / max(world.served, 1), '1/reservation'),
        'writes': (calls.get('put', 0) / RUN_S, '1/s'),
        'reads': (calls.get('get', 0) / RUN_S, '1/s'),
        'refused': (len(world.refused), 'reservations'),
        'served': (world.served, 'reservations'),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Compare sizes of failure domains.

    :param seed: seed of the demand.
    :returns: iterator of lines.
    """
    for per_domain in DOMAIN_SIZES:
        for name, figure in run_mocked(run, per_domain, seed).items():
            yield row(f'homes.{name}', *figure, routers_per_domain=per_domain)


def main() -> None:
    """Compare and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=3)
    for line in measure(parser.parse_args().seed):
        emit(line)


if __name__ == '__main__':
    main()
