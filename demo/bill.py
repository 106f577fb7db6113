"""
demo.bill
~~~~~~~~~

Compares the tokens billed to organisations with the servers' records.
"""

import json
from collections import Counter
from typing import NamedTuple

from .fleet import SERVERS, Fleet

__all__ = ('BillLine', 'read_bill')

_SHARDS = 4


class BillLine(NamedTuple):
    """
    Totals of one budget after all routers have stopped.

    :param granted: tokens from top-ups.
    :param billed: tokens spent according to the ledger.
    :param executed: prompt and completion tokens in the engines' records,
        and the price of each execution recorded by plain services.
    :param outstanding: tokens drawn but neither spent nor returned; should
        be 0.
    """

    budget: str
    granted: int
    billed: int
    executed: int
    outstanding: int

    @property
    def agrees(self) -> bool:
        """Whether bill and records match and the bill is within the grant."""
        return self.billed == self.executed and self.billed <= self.granted


async def read_bill(
    fleet: Fleet, price_by_request: dict[str, tuple[str, int]]
) -> list[BillLine]:
    """
    Read the ledger and the records of all backend servers.

    :param fleet: the running fleet.
    :param price_by_request: budget and price of each plain call by request
        identity, as received by the callers.
    :returns: one line per budget, sorted.
    """
    executed = await _executed_by_budget(fleet, price_by_request)
    lines = []
    for name in ('pazlen', 'threadlantern'):
        for shard in range(_SHARDS):
            status, _, body = await fleet.fetch(
                fleet.platform, 'GET', f'/v1/objects/ledger/{name}/{shard}'
            )
            budgets = json.loads(body)['budgets'] if status == 200 else {}
            for budget, record in budgets.items():
                lines.append(_line(budget, record, executed[budget]))
    return sorted(lines)


def _line(budget: str, record: dict, executed: int) -> BillLine:
    holders = record['holders'].values()
    spent = sum(entry['spent'] for entry in holders)
    drawn = sum(entry['drawn'] for entry in holders)
    return BillLine(
        budget,
        sum(record['top_ups'].values()),
        record['closed_spent'] + spent,
        executed,
        drawn - spent,
    )


async def _executed_by_budget(
    fleet: Fleet, price_by_request: dict[str, tuple[str, int]]
) -> Counter[str]:
    executed: Counter[str] = Counter()
    for number, server in enumerate(SERVERS):
        address = fleet.addresses_by_server[f'server-{number}']
        if server.module == 'engine':
            _, _, body = await fleet.fetch(address, 'GET', '/admin/records')
            for record in json.loads(body)['requests']:
                budget = record['payer'].partition('/')[2].rpartition('/')[0]
                executed[budget] += record['prompt_tokens']
                executed[budget] += record['completion_tokens']
            continue
        _, _, body = await fleet.fetch(address, 'GET', '/admin/executions')
        for request_id, count in json.loads(body)['by_request_id'].items():
            budget, price = price_by_request.get(request_id, ('free', 0))
            executed[budget] += count * price
    return executed
