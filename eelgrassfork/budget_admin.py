"""
eelgrassfork.budget_admin
~~~~~~~~~~~~~~~~~~~~~~~~~

Budget top-ups and queries for operators, through the platform.
"""

import itertools
import random
from typing import Final, NamedTuple

import trio

from .bundle_store import ObjectStore
from .bundle_types import Bundle
from .errors import EelgrassError
from .ledger import (
    BudgetView,
    LedgerShard,
    Refusal,
    decode_shard,
    empty_shard,
    encode_shard,
    top_up,
    view_budget,
)
from .names import shard_of
from .platform_types import AnswerLost, Conflict

__all__ = (
    'BudgetError',
    'TopUp',
    'apply_top_up',
    'ledger_key',
    'read_budget',
)

# Routers write each shard about once per report interval, so a top-up
# meets only a few conflicts.
_MAX_ATTEMPTS: Final = 20
_MAX_RETRY_DELAY_S: Final = 0.5


class BudgetError(EelgrassError):
    """A budget does not exist, or the ledger rejects a change to it."""


class TopUp(NamedTuple):
    """
    Request to grant tokens to a budget.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param operation_id: idempotency key of the top-up.
    :param amount: tokens, above 0.
    :param expected_granted: total of granted tokens that the operator read;
        the top-up is rejected if the budget was topped up since. ``None``
        disables this check.
    """

    budget: str
    operation_id: str
    amount: int
    expected_granted: int | None = None


def ledger_key(bundle: Bundle, budget: str) -> str:
    """
    Compute the key of the ledger object that holds a budget.

    :param bundle: the accepted bundle.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :returns: key of the object.
    :raises BudgetError: ``unknown_budget`` if no API key in the bundle uses
        the budget.
    """
    organisation_name, _, name = budget.rpartition('/')
    organisation = bundle.organisations_by_name.get(organisation_name)
    budgets = organisation.budgets_by_key_hash.values() if organisation else ()
    if name not in budgets:
        message = (
            f'no API key in bundle {bundle.version} uses budget {budget!r}'
        )
        raise BudgetError('unknown_budget', message)
    fleet = budget.partition('/')[0]
    shards = bundle.fleets_by_name[fleet].ledger_shards
    return f'ledger/{fleet}/{shard_of(budget, shards)}'


async def apply_top_up(platform: ObjectStore, key: str, change: TopUp) -> bool:
    """
    Grant tokens to a budget by conditional update, once per operation id.

    :param platform: store of the ledger objects.
    :param key: key of the ledger object.
    :param change: the top-up.
    :returns: false if the operation was already applied.
    :raises BudgetError: ``conflict`` if another top-up was applied since the
        operator read the budget, or the ledger's code if it rejects the
        change.
    :raises PlatformError: if the platform does not answer; the operation
        can be retried safely.
    """
    answer_was_lost = False
    for _ in range(_MAX_ATTEMPTS):
        try:
            return await _try_top_up(platform, key, change) or answer_was_lost
        except AnswerLost:
            # If the write took effect, the next attempt finds its operation
            # id in the ledger.
            answer_was_lost = True
        except Conflict:
            await trio.sleep(random.uniform(0, _MAX_RETRY_DELAY_S))
    return await _try_top_up(platform, key, change) or answer_was_lost


async def read_budget(
    platform: ObjectStore, key: str, budget: str
) -> BudgetView:
    """
    Read a budget's state.

    :param platform: store of the ledger objects.
    :param key: key of the ledger object.
    :param budget: ``<fleet>/<organisation>/<budget>``.
    :returns: summary of the budget.
    :raises BudgetError: ``unknown_budget`` if it was never topped up.
    :raises PlatformError: if the platform does not answer.
    """
    _, shard = await _read_shard(platform, key)
    view = view_budget(shard, budget)
    if isinstance(view, Refusal):
        raise BudgetError(view.code, f'budget {budget} was never topped up')
    return view


async def _try_top_up(platform: ObjectStore, key: str, change: TopUp) -> bool:
    version, shard = await _read_shard(platform, key)
    changed = top_up(shard, change.budget, change.operation_id, change.amount)
    if isinstance(changed, Refusal):
        raise BudgetError(changed.code, changed.message)
    if changed is shard:
        return False
    _check_expected_granted(shard, change)
    await platform.put(key, encode_shard(changed), version)
    return True


def _check_expected_granted(shard: LedgerShard, change: TopUp) -> None:
    record = shard['budgets'].get(change.budget)
    granted = record['granted'] if record else 0
    expected = change.expected_granted
    if expected is None or expected == granted:
        return
    top_ups = record['top_ups'] if record else {}
    totals = itertools.accumulate(top_ups.values())
    since = [
        f'{amount} by {operation_id}'
        for (operation_id, amount), total in zip(
            top_ups.items(), totals, strict=True
        )
        if total > expected
    ]
    message = (
        f'granted tokens of {change.budget} have changed: '
        f'you read {expected}, it is {granted}; '
        f'topped up since: {", ".join(since) or "nothing"}'
    )
    raise BudgetError('conflict', message)


async def _read_shard(
    platform: ObjectStore, key: str
) -> tuple[int | None, LedgerShard]:
    stored = await platform.get(key)
    if stored is None:
        return None, empty_shard()
    return stored.version, decode_shard(stored.body)
