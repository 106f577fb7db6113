"""
eelgrassfork.gateway.credit
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit held by one router, and the computation of its targets; performs no I/O.
"""

from collections.abc import Callable, Mapping
from heapq import nlargest
from typing import Final, NamedTuple

from .ledger import Ledger, Transfer, remaining

__all__ = (
    'CreditPolicy',
    'CreditContext',
    'HeldCredit',
    'CreditInputs',
    'add_credit',
    'plan_transfer',
    'standby_missing',
    'standby_tokens',
    'surplus_by_organisation',
    'target_tokens',
)


class CreditPolicy(NamedTuple):
    """
    Limits and targets for the credit that a router holds.

    One router per failure domain, the keeper, draws credit from the ledger
    for itself and for the other routers of the domain.

    :param hold_s: seconds of expected use that a router holds.
    :param keeper_hold_s: seconds of expected use that a keeper holds; its use
        includes what it lends, and this credit has to last until standby
        credit is released.
    :param low_balance_hold_s: replaces ``keeper_hold_s`` while the balance is
        low: a power cut loses held credit, but not standby credit.
    :param low_balance_fraction: fraction of an organisation's limit below
        which its drawable credit counts as a low balance.
    :param standby_s: seconds of expected use that a keeper puts on standby
        for outages of the store.
    :param min_held_fraction: fraction of the drawable credit that all keepers
        together hold at least; while much credit is left, the loss of this
        fraction in a power cut does not affect any caller.
    :param burst_std_devs: number of standard deviations of its use that a
        keeper holds in addition, as requests of small organisations arrive
        in bursts.
    :param max_draw_fraction: largest fraction of the drawable credit that all
        drawing routers together draw in advance.
    :param rate_half_life_s: half-life of past use in the estimate of the
        rate, in seconds.
    :param draw_below_fraction: credit is drawn once any organisation holds
        less than this fraction of its target.
    :param refill_below_fraction: a draw then also refills all organisations
        that hold less than this fraction, so that one write serves many.
    :param surplus_factor: multiple of the target above which credit is
        returned.
    :param flush_fraction: fraction of an organisation's limit, summed over
        all routers, that may be used before it is recorded as spent.
    """

    hold_s: float = 1
    keeper_hold_s: float = 4.5
    low_balance_hold_s: float = 2.5
    low_balance_fraction: float = 0.1
    standby_s: float = 8
    min_held_fraction: float = 0.06
    burst_std_devs: float = 1
    max_draw_fraction: float = 0.5
    rate_half_life_s: float = 6
    draw_below_fraction: float = 0.85
    refill_below_fraction: float = 0.95
    surplus_factor: float = 3
    flush_fraction: float = 0.03


class CreditInputs(NamedTuple):
    """
    Limits, demand and balances that a plan is computed from.

    :param prepaid_by_organisation: prepaid limits, in tokens.
    :param urgent_by_organisation: tokens that waiting requests need.
    :param standby_by_organisation: credit on standby, in tokens.
    :param keepers: number of routers that draw credit.
    :param is_keeper: whether this router draws credit.
    :param may_add_standby: whether credit can be put on standby.
    :param drawable_by_organisation: credit that may still be drawn, in
        tokens.
    """

    prepaid_by_organisation: Mapping[str, int]
    urgent_by_organisation: Mapping[str, int]
    standby_by_organisation: Mapping[str, int]
    keepers: int
    is_keeper: bool
    may_add_standby: bool = True
    drawable_by_organisation: Mapping[str, int] = {}


_LN_2: Final = 0.693
# Keeps a single request from being extrapolated to a high rate.
_MIN_OBSERVED_S: Final = 1.0
_SIZE_SMOOTHING: Final = 0.1
# A heartbeat has to fit into one UDP datagram.
_MAX_ADVERTISED: Final = 100


class _Account:
    def __init__(self) -> None:
        self.free = 0
        self.reserved = 0
        self.unflushed = 0
        self.rate: float = 0
        self.rate_updated_at: float = 0
        self.first_demand_at: float | None = None
        self.mean_request_tokens: float = 0


class HeldCredit:
    """
    Credit held by this router per organisation, in tokens.

    :param half_life_s: half-life of past use in the estimated rate, in
        seconds.
    :ivar on_free: called with an organisation after credit became free.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._accounts_by_organisation: dict[str, _Account] = {}
        self.on_free: Callable[[str], None] = _do_nothing

    def free(self, organisation: str) -> int:
        """
        Return the credit that is neither spent nor reserved.

        :param organisation: name of the organisation.
        :returns: tokens.
        """
        return self._account(organisation).free

    def reserved(self, organisation: str) -> int:
        """
        Return the credit that is reserved for requests in progress.

        :param organisation: name of the organisation.
        :returns: tokens.
        """
        return self._account(organisation).reserved

    def free_by_organisation(self) -> dict[str, int]:
        """
        Return the free credit of all organisations.

        :returns: tokens by organisation.
        """
        return {
            name: account.free
            for name, account in self._accounts_by_organisation.items()
        }

    def largest_free(self) -> dict[str, int]:
        """
        Return the largest amounts of free credit.

        :returns: tokens by organisation, limited to the number of entries
            that fit into a heartbeat.
        """
        free = self.free_by_organisation()
        names = nlargest(_MAX_ADVERTISED, free, key=free.__getitem__)
        return {name: free[name] for name in names if free[name]}

    def rate(self, organisation: str, now_s: float) -> float:
        """
        Estimate the rate of use of an organisation at this router.

        :param organisation: name of the organisation.
        :param now_s: time on trio's clock, in seconds.
        :returns: tokens per second.
        """
        account = self._account(organisation)
        if account.first_demand_at is None:
            return 0
        # The decaying mean counts the time before the first request as idle;
        # dividing by the observed fraction corrects for that.
        observed_s = now_s - account.first_demand_at + _MIN_OBSERVED_S
        observed_fraction = 1 - float(0.5 ** (observed_s / self._half_life_s))
        return account.rate * self._decay(account, now_s) / observed_fraction

    def mean_request_tokens(self, organisation: str) -> float:
        """
        Estimate the mean size of an organisation's requests.

        :param organisation: name of the organisation.
        :returns: tokens; 0 if there were no requests.
        """
        return self._account(organisation).mean_request_tokens

    def unflushed(self, organisation: str) -> int:
        """
        Return the spent tokens that are not recorded in the ledger yet.

        :param organisation: name of the organisation.
        :returns: tokens.
        """
        return self._account(organisation).unflushed

    def record_demand(
        self, organisation: str, amount: int, now_s: float
    ) -> None:
        """
        Add a request to the estimated rate of use.

        :param organisation: name of the organisation.
        :param amount: tokens that the request may use.
        :param now_s: time on trio's clock, in seconds.
        """
        account = self._account(organisation)
        account.rate *= self._decay(account, now_s)
        account.rate += amount * _LN_2 / self._half_life_s
        account.rate_updated_at = now_s
        if account.first_demand_at is None:
            account.first_demand_at = now_s
            account.mean_request_tokens = amount
        change = amount - account.mean_request_tokens
        account.mean_request_tokens += change * _SIZE_SMOOTHING

    def reserve(self, organisation: str, amount: int) -> bool:
        """
        Reserve credit for a request.

        :param organisation: name of the organisation.
        :param amount: largest number of tokens that the request may use.
        :returns: whether enough credit was free; if not, none is reserved.
        """
        account = self._account(organisation)
        if account.free < amount:
            return False
        account.free -= amount
        account.reserved += amount
        return True

    def settle(self, organisation: str, reserved: int, spent: int) -> None:
        """
        Settle a reservation.

        :param organisation: name of the organisation.
        :param reserved: tokens reserved.
        :param spent: tokens used, at most ``reserved``.
        """
        account = self._account(organisation)
        account.reserved -= reserved
        account.free += reserved - spent
        account.unflushed += spent
        if reserved > spent:
            self.on_free(organisation)

    def add(self, organisation: str, amount: int) -> None:
        """
        Add credit that was drawn or borrowed.

        :param organisation: name of the organisation.
        :param amount: tokens.
        """
        self._account(organisation).free += amount
        if amount > 0:
            self.on_free(organisation)

    def remove(self, organisation: str, amount: int) -> int:
        """
        Remove free credit.

        :param organisation: name of the organisation.
        :param amount: largest number of tokens to remove.
        :returns: tokens removed.
        """
        account = self._account(organisation)
        removed = max(0, min(amount, account.free))
        account.free -= removed
        return removed

    def add_unflushed(self, spent_by_organisation: Mapping[str, int]) -> None:
        """
        Add spent tokens that are not recorded in the ledger yet.

        :param spent_by_organisation: tokens spent.
        """
        for name, spent in spent_by_organisation.items():
            self._account(name).unflushed += spent

    def take_unflushed(self) -> dict[str, int]:
        """
        Remove the spent tokens that are not recorded in the ledger yet.

        :returns: tokens by organisation.
        """
        removed = {
            name: account.unflushed
            for name, account in self._accounts_by_organisation.items()
            if account.unflushed
        }
        self.mark_flushed(removed)
        return removed

    def mark_flushed(self, spent_by_organisation: Mapping[str, int]) -> None:
        """
        Mark spent tokens as recorded in the ledger.

        :param spent_by_organisation: tokens recorded.
        """
        for name, spent in spent_by_organisation.items():
            self._account(name).unflushed -= spent

    def _account(self, organisation: str) -> _Account:
        return self._accounts_by_organisation.setdefault(
            organisation, _Account()
        )

    def _decay(self, account: _Account, now_s: float) -> float:
        elapsed_s = max(0, now_s - account.rate_updated_at)
        return float(0.5 ** (elapsed_s / self._half_life_s))


def add_credit(
    held: HeldCredit, tokens_by_organisation: Mapping[str, int]
) -> None:
    """
    Add credit of several organisations.

    :param held: credit of a router.
    :param tokens_by_organisation: tokens that were drawn or borrowed.
    """
    for organisation, tokens in tokens_by_organisation.items():
        held.add(organisation, tokens)


class CreditContext(NamedTuple):
    """
    State that credit planning is based on.

    :param held: credit held by the router, and its rate of use.
    :param inputs: limits, demand and balances.
    :param policy: limits and targets.
    :param now_s: time on trio's clock, in seconds.
    """

    held: HeldCredit
    inputs: CreditInputs
    policy: CreditPolicy
    now_s: float


def plan_transfer(context: CreditContext, ledger: Ledger) -> Transfer:
    """
    Plan the next transfer between a router and the ledger.

    :param context: state of the router.
    :param ledger: last known state of the ledger.
    :returns: the transfer; empty if none is needed.
    """
    held, inputs, policy, _ = context
    drawn: dict[str, int] = {}
    returned: dict[str, int] = {}
    must_draw = any(inputs.urgent_by_organisation.values())
    for name, prepaid in inputs.prepaid_by_organisation.items():
        drawable = remaining(ledger, name, prepaid)
        free = held.free(name)
        target = target_tokens(context, name)
        shortfall = _shortfall(context, name)
        if shortfall > target * (1 - policy.refill_below_fraction):
            max_draw = int(drawable * policy.max_draw_fraction / inputs.keepers)
            urgent = inputs.urgent_by_organisation.get(name, 0) - free
            drawn[name] = max(
                0, min(drawable, max(urgent, min(shortfall, max_draw)))
            )
            must_draw = must_draw or free < target * policy.draw_below_fraction
        elif free > policy.surplus_factor * target and drawable < prepaid / 4:
            returned[name] = free - target
    if not must_draw:
        drawn = {}
    spent = _unrecorded(context)
    drawn = {key: amount for key, amount in drawn.items() if amount}
    return Transfer(drawn, returned, spent if drawn or returned else {})


def _shortfall(context: CreditContext, organisation: str) -> int:
    inputs = context.inputs
    free = context.held.free(organisation)
    urgent = inputs.urgent_by_organisation.get(organisation, 0) - free
    missing = target_tokens(context, organisation) - free
    if inputs.is_keeper and inputs.may_add_standby:
        missing += standby_missing(context, organisation)
    return max(urgent, missing)


def _unrecorded(context: CreditContext) -> dict[str, int]:
    held, inputs, policy, _ = context
    threshold_fraction = policy.flush_fraction / inputs.keepers
    return {
        name: held.unflushed(name)
        for name, prepaid in inputs.prepaid_by_organisation.items()
        if held.unflushed(name) > prepaid * threshold_fraction
    }


def target_tokens(context: CreditContext, organisation: str) -> int:
    """
    Compute the target for held credit.

    :param context: state of the router.
    :param organisation: name of the organisation.
    :returns: tokens.
    """
    inputs = context.inputs
    rate = context.held.rate(organisation, context.now_s)
    by_rate = rate * _hold_s(context, organisation)
    if not inputs.is_keeper:
        return int(by_rate)
    if _is_balance_low(context, organisation):
        return int(by_rate)
    mean_request_tokens = context.held.mean_request_tokens(organisation)
    burst = (
        context.policy.burst_std_devs * (by_rate * mean_request_tokens) ** 0.5
    )
    min_held = (
        _drawable(context, organisation) * context.policy.min_held_fraction
    )
    return int(max(by_rate + burst, min_held / inputs.keepers))


def _drawable(context: CreditContext, organisation: str) -> int:
    inputs = context.inputs
    prepaid = inputs.prepaid_by_organisation.get(organisation, 0)
    return inputs.drawable_by_organisation.get(organisation, prepaid)


def _is_balance_low(context: CreditContext, organisation: str) -> bool:
    prepaid = context.inputs.prepaid_by_organisation.get(organisation, 0)
    return (
        _drawable(context, organisation)
        < prepaid * context.policy.low_balance_fraction
    )


def surplus_by_organisation(context: CreditContext) -> dict[str, int]:
    """
    Compute the credit that a router holds in excess of its needs.

    A router that could not reach its peers draws more for itself; once they
    are reachable again, the excess can be lent to others.

    :param context: state of the router.
    :returns: tokens by organisation.
    """
    surplus = {}
    for name, free in context.held.free_by_organisation().items():
        target = target_tokens(context, name)
        if free > context.policy.surplus_factor * target:
            surplus[name] = free - target
    return surplus


def _hold_s(context: CreditContext, organisation: str) -> float:
    _, inputs, policy, _ = context
    if not inputs.is_keeper:
        return policy.hold_s
    is_low = _is_balance_low(context, organisation)
    return policy.low_balance_hold_s if is_low else policy.keeper_hold_s


def standby_tokens(context: CreditContext, organisation: str) -> int:
    """
    Compute the target for standby credit.

    :param context: state of the router.
    :param organisation: name of the organisation.
    :returns: tokens.
    """
    hold_s = _hold_s(context, organisation)
    total_s = context.policy.keeper_hold_s + context.policy.standby_s
    target = target_tokens(context, organisation)
    return int(target * (total_s - hold_s) / hold_s)


def standby_missing(context: CreditContext, organisation: str) -> int:
    """
    Compute the shortfall of standby credit.

    :param context: state of the router.
    :param organisation: name of the organisation.
    :returns: tokens, 0 or more.
    """
    shortfall = standby_tokens(context, organisation)
    on_standby = context.inputs.standby_by_organisation.get(organisation, 0)
    return max(0, shortfall - on_standby)


def _do_nothing(organisation: str) -> None:
    """Do nothing."""
