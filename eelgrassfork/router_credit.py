"""
eelgrassfork.router_credit
~~~~~~~~~~~~~~~~~~~~~~~~~~

Assembles the accounts, lending and reclaiming of one router.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

import trio

from .borrowing import LoanClient
from .bundle_types import Bundle, Fleet
from .credit import CreditAccounts
from .credit_book import CreditHooks, ledger_key
from .credit_policy import CreditSettings
from .ledger_metrics import MeteredLedgerStore
from .lender_choice import home_vm, order_lenders
from .lending import LendingSettings, LoanServer
from .membership import Membership, PeerRecord
from .metrics import Metrics, NullMetrics
from .names import PayerTag
from .peering import Peering
from .platform_client import PlatformClient
from .reclaim import Reclaimer, ReclaimInputs, ReclaimSettings
from .spend_records import RecordSource, spent_on

__all__ = ('CreditInputs', 'RouterCredit')

# Up to this many routers in a failure domain, each draws for itself, which
# saves a hop between routers. With more, the entries and writes of all routers
# would exceed what the ledger can take, so a home router draws for the others.
_MAX_ROUTERS_WITHOUT_HOME: Final = 16


class CreditInputs(NamedTuple):
    """
    Dependencies of the credit system within the router.

    :param bundle: returns the bundle in force.
    :param sources: sources of spend records.
    :param on_fenced: called once if another router has closed an account of
        this holder.
    :param report_interval_s: interval between reports to the ledger.
    """

    holder: str
    vm: str
    failure_domain: str
    platform: PlatformClient
    peering: Peering
    membership: Membership
    bundle: Callable[[], Bundle | None]
    sources: tuple[RecordSource, ...]
    on_fenced: Callable[[], None]
    report_interval_s: float
    metrics: Metrics = NullMetrics()


class RouterCredit:
    """
    Credit system of one router.

    :param inputs: dependencies.
    :ivar accounts: accounts for reservations and settlements.
    """

    def __init__(self, inputs: CreditInputs) -> None:
        self._inputs = inputs
        self._domains_by_vm: dict[str, str] = {}
        settings = LendingSettings()
        members = inputs.membership
        self._loan_client = LoanClient(
            inputs.holder,
            inputs.peering,
            self._lenders_of,
            self._is_home_elsewhere,
            members.is_dead,
            settings,
        )
        self.accounts = CreditAccounts(
            inputs.platform,
            inputs.holder,
            self._fleet_of,
            self._loan_client,
            CreditSettings(report_interval_s=inputs.report_interval_s),
            CreditHooks(inputs.on_fenced, lambda: members.listed_at),
        )
        self._loan_server = LoanServer(
            inputs.holder,
            self.accounts,
            self._is_home,
            members.is_dead,
            self._resolve,
            settings,
        )
        self._reclaimer = Reclaimer(
            MeteredLedgerStore(inputs.platform, inputs.metrics),
            self._reclaim_inputs(),
            ReclaimSettings(),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start all components in the background.

        :param nursery: nursery for the background tasks.
        """
        await self.accounts.start(nursery)
        await self._loan_client.start(nursery)
        await self._loan_server.start(nursery, self._inputs.peering)
        await self._reclaimer.start(nursery)

    async def close(self) -> None:
        """Settle all loans and return all credit, or until cancelled."""
        await self._reclaimer.close()
        await self._loan_client.close()
        await self.accounts.close()
        await self._loan_server.close()

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: accounts, loans, and dead holders to be reclaimed.
        """
        return {
            'accounts': self.accounts.dump(),
            'borrowed': self._loan_client.dump(),
            'lent': self._loan_server.dump(),
            'reclaim': self._reclaimer.dump(),
        }

    def _fleet_of(self, budget: str) -> Fleet:
        name = budget.partition('/')[0]
        bundle = self._inputs.bundle()
        if bundle is None:
            return Fleet(name)
        return bundle.fleets_by_name.get(name, Fleet(name))

    def _lenders_of(self, budget: str) -> list[PeerRecord]:
        peers = self._inputs.membership.peers()
        ranked = order_lenders(peers, self._inputs.failure_domain, budget)
        if self._is_home_elsewhere(budget):
            home = self._home(budget)
            ranked.sort(key=lambda peer: peer.vm != home)
        return ranked

    def _home(self, budget: str) -> str:
        domain = self._inputs.failure_domain
        vms = self._live_vms_by_domain().get(domain, [])
        if len(vms) <= _MAX_ROUTERS_WITHOUT_HOME:
            return self._inputs.vm
        return home_vm(ledger_key(budget, self._fleet_of(budget)), vms)

    def _is_home(self, budget: str) -> bool:
        domain = self._inputs.failure_domain
        vms = self._live_vms_by_domain().get(domain, [])
        is_large = len(vms) > _MAX_ROUTERS_WITHOUT_HOME
        return is_large and self._home(budget) == self._inputs.vm

    def _is_home_elsewhere(self, budget: str) -> bool:
        return self._home(budget) != self._inputs.vm

    async def _resolve(self, payer: PayerTag) -> int:
        return await spent_on(self._inputs.sources, payer)

    def _reclaim_inputs(self) -> ReclaimInputs:
        return ReclaimInputs(
            own_vm=self._inputs.vm,
            is_dead=self._inputs.membership.is_dead,
            ledger_keys=self._ledger_keys,
            live_vms_by_domain=self._live_vms_by_domain,
            domain_of=self._domain_of,
            sources=self._inputs.sources,
            survey=self._survey,
        )

    def _ledger_keys(self) -> list[str]:
        bundle = self._inputs.bundle()
        if bundle is None:
            return []
        return [
            f'ledger/{fleet.name}/{shard}'
            for fleet in bundle.fleets_by_name.values()
            for shard in range(fleet.ledger_shards)
        ]

    def _live_vms_by_domain(self) -> dict[str, list[str]]:
        vms_by_domain: dict[str, list[str]] = {}
        for record in self._inputs.membership.routers():
            if record.state == 'live':
                domain = record.failure_domain
                vms_by_domain.setdefault(domain, []).append(record.vm)
        return vms_by_domain

    def _domain_of(self, vm: str) -> str:
        for record in self._inputs.membership.routers():
            self._domains_by_vm[record.vm] = record.failure_domain
        return self._domains_by_vm.get(vm, '')

    async def _survey(self, lender: str) -> dict[PayerTag, int]:
        own = self._inputs.vm
        routers = self._inputs.membership.routers()
        vms = [record.vm for record in routers if record.vm != own]
        return await self._loan_client.survey(lender, vms)
