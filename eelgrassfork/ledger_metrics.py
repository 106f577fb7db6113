"""
eelgrassfork.ledger_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of credit that is drawn, returned and reclaimed, by fleet.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from .ledger import LedgerShard, decode_shard, unreserved
from .ledger_writer import LedgerStore
from .metrics import Metrics
from .platform_types import PlatformError, StoredObject

__all__ = ('AccountMeter', 'MeteredLedgerStore')


class AccountMeter:
    """
    Counts draws and returns from the change of account limits between
    reports; a draw and a return between two reports cancel each other out.

    :param metrics: receives the counts.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._limits_by_budget: dict[str, int] = {}

    def report(self, accounts_by_budget: Mapping[str, Any]) -> None:
        """
        Count the changes since the previous report.

        :param accounts_by_budget: dumps of all accounts.
        """
        previous = self._limits_by_budget
        limits = {
            budget: int(account['limit'])
            for budget, account in accounts_by_budget.items()
        }
        self._limits_by_budget = limits
        drawn: Counter[str] = Counter()
        returned: Counter[str] = Counter()
        for budget in previous.keys() | limits.keys():
            fleet = _fleet(budget)
            change = limits.get(budget, 0) - previous.get(budget, 0)
            drawn[fleet] += max(change, 0)
            returned[fleet] += max(-change, 0)
        for fleet, tokens in (+drawn).items():
            self._metrics.count('credit_drawn', fleet, amount=tokens)
        for fleet, tokens in (+returned).items():
            self._metrics.count('credit_returned', fleet, amount=tokens)


class MeteredLedgerStore:
    """
    Ledger store of the reclaimer that counts the credit it frees.

    A write whose answer is lost is not counted.

    :param platform: store of the ledger objects.
    :param metrics: receives the counts.
    """

    def __init__(self, platform: LedgerStore, metrics: Metrics) -> None:
        self._platform = platform
        self._metrics = metrics

    async def get(self, key: str) -> StoredObject | None:
        """
        Read a ledger shard.

        :param key: key of the shard.
        :returns: the shard, or ``None`` if it does not exist.
        """
        return await self._platform.get(key)

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """
        Write a ledger shard from which dead holders were removed.

        :param key: key of the shard.
        :param body: the encoded new shard.
        :param expected_version: version that it replaces.
        :returns: the new version.
        """
        before = await self._read(key, expected_version)
        version = await self._platform.put(key, body, expected_version)
        if before is not None:
            freed = _freed(before, decode_shard(body))
            for fleet, tokens in (+freed).items():
                self._metrics.count('credit_reclaimed', fleet, amount=tokens)
        return version

    async def _read(self, key: str, version: int | None) -> LedgerShard | None:
        # Holders die rarely, so a second read is cheaper than caching every
        # shard that was read.
        try:
            stored = await self._platform.get(key)
        except PlatformError:
            return None
        if stored is None or stored.version != version:
            return None
        return decode_shard(stored.body)


def _freed(before: LedgerShard, after: LedgerShard) -> Counter[str]:
    freed: Counter[str] = Counter()
    for budget in before['budgets'].keys() & after['budgets'].keys():
        now = unreserved(after['budgets'][budget])
        freed[_fleet(budget)] += now - unreserved(before['budgets'][budget])
    return freed


def _fleet(budget: str) -> str:
    return budget.partition('/')[0]
