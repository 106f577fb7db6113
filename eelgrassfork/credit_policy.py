"""
eelgrassfork.credit_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~

How much credit a holder draws and returns, and how it refuses.
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

# Between keeping 8 and going back to 2 intervals' demand, credit isn't
# drawn and returned in turns when the demand varies.
_MAX_INTERVALS_KEPT: Final = 8
_INTERVALS_AFTER_RETURN: Final = 2
_MAX_DOUBLINGS: Final = 16


class CreditSettings(NamedTuple):
    """
    Times of the accounts, in seconds.

    :param report_interval_s: between two reports of a ledger shard.
    :param draw_wait_s: longest wait of a reservation for a draw.
    :param idle_after_s: unused credit is returned after this time.
    :param probe_s: first wait before an unreachable platform is asked
        again; it doubles up to ``max_probe_s``.
    :param max_probe_s: longest wait before it is asked again.
    :param retry_s: first wait after a lost race; it doubles up to
        ``max_retry_s``.
    :param max_retry_s: longest wait after a lost race.
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
    Situation of one account, in tokens.

    :param needed: what waiting reservations lack now.
    :param free: what the account has beyond its open reservations.
    :param demand: what is reserved in a report interval.
    :param drawable: what the holder could draw, the budget's unreserved rest.
    :param draw_fraction: largest part of the rest that demand may draw.
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
    Choose the wait before the next attempt.

    :param attempt: attempts that failed so far, from 1.
    :param first_s: longest wait after the first, in seconds.
    :param max_s: longest wait after many, in seconds.
    :param jitter: random number from 0 to 1, so that routers spread out.
    :returns: seconds.
    """
    doublings = min(attempt - 1, _MAX_DOUBLINGS)
    max_delay_s = min(max_s, first_s * (1 << doublings))
    return max_delay_s * (1 + jitter) / 2


def is_scarce(need: CreditNeed) -> bool:
    """
    Tell whether the budget is near exhaustion.

    :param need: situation of the account.
    :returns: whether the allowed part of the rest is less than the demand of
        one interval.
    """
    return need.drawable * need.draw_fraction < need.demand


def draw_size(need: CreditNeed) -> int:
    """
    Choose how much to draw.

    :param need: situation of the account.
    :returns: tokens: what is needed now, or more for the demand of a report
        interval; near exhaustion only what is needed now; 0 if that is more
        than the rest.
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
    Choose how much free credit to return.

    :param need: situation of the account.
    :param idle_s: seconds since its last reservation or settlement.
    :param idle_after_s: seconds after which all is returned.
    :returns: tokens, up to what is free.
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
    Choose which waiting reservations a credit covers together, in order.

    :param amounts: tokens of each, the longest waiting first.
    :param credit: tokens that are free or can be drawn.
    :returns: whether each is covered; one that is too large doesn't stop a
        smaller one behind it.
    """
    covered: list[bool] = []
    for amount in amounts:
        covered.append(amount <= credit)
        credit -= amount if covered[-1] else 0
    return covered


def refusal_code(record: BudgetRecord | None, amount: int) -> str:
    """
    Choose the code for a reservation that a budget can't cover now.

    :param record: the budget as just read from the platform, or ``None``
        if it has no record there.
    :param amount: tokens of the reservation.
    :returns: ``budget_exhausted`` if the return of all outstanding credit
        would not help, otherwise ``credit_held_elsewhere``.
    """
    if record is None or remaining(record) < amount:
        return 'budget_exhausted'
    return 'credit_held_elsewhere'
