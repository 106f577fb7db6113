"""
bench.slope_credit
~~~~~~~~~~~~~~~~~~

Measures the processor time of credit operations over the list of routers.
"""

import random
from collections.abc import Iterator
from typing import Any

import trio

from eelgrassfork.bundle_types import Bundle, Fleet
from eelgrassfork.membership import Membership, MembershipSettings
from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.peering import Peering, PeerSettings
from eelgrassfork.reclaim_plan import reclaim_rank
from eelgrassfork.router_credit import CreditInputs, RouterCredit
from standins.fake_platform import FakePlatform

from .measure import cpu_ms, fit, row
from .target import DOMAINS, make_vm_list

__all__ = ('measure',)

ROUTER_COUNTS = (120, 600, 2_800)
BACKENDS_PER_ROUTER = 2.57
BUDGET = 'pazlen/organisation-0001/main'


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure the choice of home routers, lenders and reclaiming routers.

    :param seed: seed of the addresses.
    :returns: iterator of measurement lines.
    """
    points: dict[str, list[tuple[tuple[float, ...], float]]] = {}
    for routers in ROUTER_COUNTS:
        figures = trio.run(_figures, random.Random(seed), routers)
        for name, value in figures.items():
            yield row(f'credit.{name}', value, 'ms', routers=routers)
            points.setdefault(name, []).append(((routers,), value))
    for name, name_points in points.items():
        yield {
            'measure': f'credit.{name}',
            'unit': 'ms',
            'fit': fit(name_points, ('per_router',)),
        }


async def _figures(source: random.Random, routers: int) -> dict[str, float]:
    await trio.lowlevel.checkpoint()
    membership = _make_membership(source, routers)
    credit = _make_credit(membership)
    live_vms_by_domain = credit._live_vms_by_domain()
    own_vm = live_vms_by_domain[DOMAINS[0]][0]

    def scan_one_shard() -> None:
        reclaim_rank(own_vm, 'ledger/pazlen/1', DOMAINS[0], live_vms_by_domain)

    return {
        'find_home': cpu_ms(lambda: credit._is_home_elsewhere(BUDGET)),
        'choose_lenders': cpu_ms(lambda: credit._lenders_of(BUDGET)),
        'scan_a_shard': cpu_ms(scan_one_shard),
    }


def _make_membership(source: random.Random, routers: int) -> Membership:
    backends = round(routers * BACKENDS_PER_ROUTER)
    vm_list = make_vm_list(source, routers, backends)
    own = vm_list.vms[0]
    membership = Membership(
        _make_heartbeat(own.vm, own.failure_domain),
        FakePlatform(),
        MembershipSettings(),
    )
    membership.vm_lists.update(vm_list)
    # The number of peers that choose_peers selects, in both directions.
    for record in vm_list.vms[1:17]:
        heartbeat = _make_heartbeat(record.vm, record.failure_domain)
        membership.record_heartbeat(heartbeat, trio.current_time())
    return membership


def _make_heartbeat(vm: str, failure_domain: str) -> Heartbeat:
    return Heartbeat(
        vm, f'{vm}.0a1b2c3d', 'pazlen', failure_domain, '10.0.0.1:1', 'ready'
    )


def _make_credit(membership: Membership) -> RouterCredit:
    bundle = Bundle(1, {'pazlen': Fleet('pazlen', 400)}, {}, {}, {}, {})
    peering = Peering(
        PeerSettings('a-key-of-some-length'),
        lambda: _make_heartbeat('v', 'd'),
        membership.record_heartbeat,
        membership.address_of,
    )
    return RouterCredit(
        CreditInputs(
            holder='bg-south-entry-00000.0a1b2c3d',
            vm='bg-south-entry-00000',
            failure_domain=DOMAINS[0],
            platform=FakePlatform(),
            peering=peering,
            membership=membership,
            bundle=lambda: bundle,
            sources=(),
            on_fenced=lambda: None,
            report_interval_s=2,
        )
    )
