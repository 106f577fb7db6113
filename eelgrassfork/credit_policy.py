"""
eelgrassfork.credit_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~

Policy for the size of credit draws and returns, and for refusal codes.
"""

from typing import Final, NamedTuple

from .ledger import BudgetRecord, remaining

__all__ = (
    'CreditNeed',
    'CreditSettings',
    'backoff_s',
    'draw_size',
    'select_covered',
    'is_scarce',
    'refusal_code',
    'return_size',
)

# Hysteresis: credit above 8 intervals' demand is returned down to 2, so that
# varying demand doesn't make the holder alternate between draw and return.
_MAX_INTERVALS_KEPT: Final = 8
_INTERVALS_AFTER_RETURN: Final = 2
_MAX_DOUBLINGS: Final = 16


class CreditSettings(NamedTuple):
    """
    Intervals and time-outs of the accounts, in seconds.

    :param report_interval_s: interval between two reports to a ledger shard.
    :param draw_wait_s: time-out of a reservation that waits for a draw.
    :param idle_after_s: idle time after which unused credit is returned.
    :param probe_s: initial delay before an unreachable platform is probed
        again; doubles up to ``max_probe_s``.
    :param max_probe_s: maximum delay between probes.
    :param retry_s: initial delay after a write conflict; doubles up to
        ``max_retry_s``.
    :param max_retry_s: maximum delay after a write conflict.
    """

    report_interval_s: float = 2
    draw_wait_s: float = 1
    idle_after_s: float = 30
    probe_s: float = 0.25
    max_probe_s: float = 0.5
    retry_s: float = 0.005
    max_retry_s: float = 0.5


class CreditNeed(NamedTuple):
    """
    Supply and demand of one account, in tokens.

    :param needed: shortfall of the waiting reservations.
    :param free: credit not held by open reservations.
    :param demand: estimated reservations per report interval.
    :param drawable: unreserved credit of the budget, which can be drawn.
    :param draw_fraction: maximum fraction of ``drawable`` that may be drawn in
        advance for demand.
    """

    needed: int
    free: int
    demand: int
    drawable: int
    draw_fraction: float


def backoff_s(
    attempt: int, first_s: float, max_s: float, jitter: float
) -> float:
    """
    Compute the delay before the next attempt: exponential with jitter.

    :param attempt: number of failed attempts, from 1.
    :param first_s: maximum delay after the first failure, in seconds.
    :param max_s: upper bound of all delays, in seconds.
    :param jitter: random number from 0 to 1 that spreads out the attempts of
        different routers.
    :returns: delay in seconds.
    """
    doublings = min(attempt - 1, _MAX_DOUBLINGS)
    max_delay_s = min(max_s, first_s * (1 << doublings))
    return max_delay_s * (1 + jitter) / 2


def is_scarce(need: CreditNeed) -> bool:
    """
    Return whether the budget is near exhaustion.

    :param need: supply and demand of the account.
    :returns: whether the allowed fraction of the drawable credit is less than
        the demand of one interval.
    """
    return need.drawable * need.draw_fraction < need.demand


def draw_size(need: CreditNeed) -> int:
    """
    Compute how much credit to draw.

    :param need: supply and demand of the account.
    :returns: tokens: at least the shortfall, and up to the demand of a report
        interval; only the shortfall if the budget is near exhaustion; 0 if
        the shortfall exceeds the drawable credit.
    """
    if need.needed > need.drawable:
        return 0
    if is_scarce(need):
        return need.needed
    allowed = int(need.drawable * need.draw_fraction)
    wanted = need.demand - need.free
    return max(need.needed, min(wanted, allowed), 0)


def return_size(need: CreditNeed, idle_s: float, idle_after_s: float) -> int:
    """
    Compute how much free credit to return.

    :param need: supply and demand of the account.
    :param idle_s: seconds since the last reservation or settlement.
    :param idle_after_s: idle seconds after which all free credit is returned.
    :returns: tokens, at most the free credit.
    """
    if idle_s >= idle_after_s:
        return need.free
    kept = (
        need.demand
        if is_scarce(need)
        else need.demand * _INTERVALS_AFTER_RETURN
    )
    max_kept = kept if is_scarce(need) else need.demand * _MAX_INTERVALS_KEPT
    if need.demand == 0 or need.free <= max_kept:
        return 0
    return need.free - kept


def select_covered(amounts: list[int], credit: int) -> list[bool]:
    """
    Select greedily the waiting reservations that the credit covers.

    :param amounts: tokens of each reservation, oldest first.
    :param credit: tokens that are free or can be drawn.
    :returns: whether each reservation is covered; one that is too large
        doesn't block smaller ones behind it.
    """
    covered: list[bool] = []
    for amount in amounts:
        covered.append(amount <= credit)
        credit -= amount if covered[-1] else 0
    return covered


def refusal_code(record: BudgetRecord | None, amount: int) -> str:
    """
    Select the code for a reservation that the budget can't cover.

    :param record: record of the budget as just read from the platform, or
        ``None`` if there is none.
    :param amount: tokens of the reservation.
    :returns: ``budget_exhausted`` if the budget would be short even if all
        holders returned their unspent credit, otherwise
        ``credit_held_elsewhere``.
    """
    if record is None or remaining(record) < amount:
        return 'budget_exhausted'
    return 'credit_held_elsewhere'
