"""
tests.simulated_credit
~~~~~~~~~~~~~~~~~~~~~~

Prepaid credit, callers and restores of the store for a simulated fleet.
"""

from collections import Counter
from typing import NamedTuple

import trio

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.credit_exchange import CreditExchange
from eelgrassfork.gateway.credit_keeper import CreditKeeper, CreditKeeperParts
from eelgrassfork.gateway.standby import FleetTime

from .fault_schedule import HOST

COPY_INTERVAL_S = 0.25
# Time after a restore in which the operator and the servers write again.
REWRITE_S = 1.0
EPOCH_MS = 1_700_000_000_000
MEAN_REQUEST_TOKENS = 60
MIN_REQUEST_TOKENS = 20


class StoreCopyAt(NamedTuple):
    """A copy of the store, and when it was made."""

    at: float
    state: object


class PrepaidCallers:
    """
    Callers of organisations with prepaid limits.

    :param fleet: the fleet, before its start.
    :param prepaid_by_organisation: limits in tokens.
    :ivar used_by_organisation: tokens that servers have produced.
    :ivar outcomes: number of requests by second and outcome.
    """

    def __init__(self, fleet, prepaid_by_organisation):
        self.fleet = fleet
        self.prepaid_by_organisation = prepaid_by_organisation
        self.used_by_organisation = Counter()
        self.outcomes = Counter()
        self.copies = []
        self.keepers_by_member = {}
        fleet.make_services = self.make_services

    def make_services(self, router, settings, incarnation):
        """Add credit to the process of a router, as the daemon does."""
        roster = router.member.roster
        exchange = CreditExchange(router, roster, settings)
        router.member.exchange.on_credit = exchange.serve
        keeper = CreditKeeper(
            router.store,
            router.node,
            incarnation,
            CreditKeeperParts(
                lambda: self.prepaid_by_organisation,
                lambda: roster.known_router_count,
                roster.count_keepers,
                lambda: roster.is_settled and roster.is_keeper,
                router.domain,
                exchange.borrow,
                exchange.deposit,
                exchange.may_lend,
                fleet_time,
                ledger_history=router.member.ledger_history,
                announce_writes=router.member.ledger_announcer.announce,
            ),
        )
        exchange.lend = keeper.lender.lend
        self.keepers_by_member[router.member] = keeper
        return (keeper,)

    async def start(self, requests_per_s):
        """Start callers of all organisations, and keep copies of the store."""
        self.fleet.nursery.start_soon(self.keep_copies)
        for name in self.prepaid_by_organisation:
            self.fleet.nursery.start_soon(self.call, name, requests_per_s)

    async def call(self, organisation, requests_per_s):
        random = self.fleet.random
        while True:
            await trio.sleep(random.expovariate(requests_per_s))
            router = random.choice(self.fleet.routers)
            if router.member is not None:
                self.fleet.nursery.start_soon(self.send, router, organisation)

    async def send(self, router, organisation):
        random = self.fleet.random
        HOST.set(router.node)
        second = int(trio.current_time())
        keeper = self.keepers_by_member[router.member]
        size = MIN_REQUEST_TOKENS + int(
            random.expovariate(1 / MEAN_REQUEST_TOKENS)
        )
        try:
            await keeper.reserve(organisation, size)
        except RequestError as error:
            self.outcomes[second, error.code] += 1
            return
        spent = random.randint(size // 2, size)
        # The tokens count even if the router is killed meanwhile.
        self.used_by_organisation[organisation] += spent
        self.outcomes[second, 'served'] += 1
        await trio.sleep(random.uniform(0.05, 0.5))
        keeper.held.settle(organisation, size, spent)

    async def keep_copies(self):
        while True:
            now_s = trio.current_time()
            self.copies.append(
                StoreCopyAt(now_s, self.fleet.store.copy_state())
            )
            await trio.sleep(COPY_INTERVAL_S)

    async def restore(self, age_s, away_s, how='silent'):
        """
        Take the store away, and bring it back as it was before.

        :param age_s: age of the copy when the store goes away.
        :param away_s: how long it is away.
        :param how: how calls fail meanwhile.
        """
        fleet = self.fleet
        made_at = trio.current_time() - age_s
        copy = max(
            (copy for copy in self.copies if copy.at <= made_at),
            default=self.copies[0],
        )
        fleet.store_down = how
        await trio.sleep(away_s)
        fleet.store.restore(copy.state)
        fleet.store_down = ''
        fleet.wake_waiting()
        fleet.nursery.start_soon(self.rewrite)

    async def rewrite(self):
        """Write what the operator and the servers had written."""
        await trio.sleep(self.fleet.random.uniform(0, REWRITE_S))
        self.fleet.rewrite()

    @property
    def overspent(self):
        """Organisations that used more than they paid for."""
        return {
            name: (used, self.prepaid_by_organisation[name])
            for name, used in self.used_by_organisation.items()
            if used > self.prepaid_by_organisation[name]
        }

    def count(self, outcome, since_s=0, until_s=float('inf')):
        """Count the requests with an outcome in a span of time."""
        return sum(
            number
            for (second, of), number in self.outcomes.items()
            if of == outcome and since_s <= second < until_s
        )


def fleet_time():
    """Return the fleet time, as all clocks of the simulation agree."""
    return FleetTime(EPOCH_MS + int(trio.current_time() * 1000), 9)
