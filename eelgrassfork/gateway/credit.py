"""
eelgrassfork.gateway.credit
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Credit that one router holds, and how much of it; no input or output.
"""

from collections.abc import Mapping
from heapq import nlargest
from typing import Final, NamedTuple

from .ledger import Ledger, Transfer, remaining

__all__ = (
    'CreditPolicy',
    'CreditView',
    'HeldCredit',
    'Situation',
    'plan_transfer',
    'standby_missing',
    'standby_tokens',
    'surplus_tokens',
    'target_tokens',
)


class CreditPolicy(NamedTuple):
    """
    How much credit a router holds.

    One router a failure domain, the keeper, draws credit from the ledger for
    itself and the others.

    :param hold_s: a router holds the use of so many seconds.
    :param keeper_hold_s: the same for a keeper, whose use includes what it
        lends; it lasts until standby credit may be used.
    :param scarce_hold_s: the same once little is left to draw: a power cut
        loses what is held, but not what is on standby.
    :param scarce_part: part of an organisation's limit that is little.
    :param standby_s: use of so many seconds that a keeper puts on standby
        for outages of the store.
    :param ample_part: part of what is left to draw that all keepers hold
        together at least; while much is left, what a power cut loses is
        missed by nobody.
    :param burst: a keeper holds so many standard deviations of its use on
        top, as requests of small organisations come in lumps.
    :param most_part: most of the credit left that all routers draw together
        in advance.
    :param rate_half_life_s: age at which use counts half for its rate.
    :param low_part: credit is drawn once some organisation's is below this
        part of its target.
    :param refill_part: then all below this part are filled up with it, so
        that one write serves many.
    :param surplus: a multiple of the target above which credit is returned.
    :param flush_part: part of an organisation's credit, over all routers,
        that may be used before it is recorded as spent.
    """

    hold_s: float = 1
    keeper_hold_s: float = 4.5
    scarce_hold_s: float = 2.5
    scarce_part: float = 0.1
    standby_s: float = 8
    ample_part: float = 0.06
    burst: float = 1
    most_part: float = 0.5
    rate_half_life_s: float = 6
    low_part: float = 0.85
    refill_part: float = 0.95
    surplus: float = 3
    flush_part: float = 0.03


class Situation(NamedTuple):
    """
    What a plan depends on beside the credit held.

    :param prepaid_by_organisation: limits in tokens.
    :param urgent_by_organisation: tokens that waiting requests need.
    :param standby_by_organisation: credit on standby, in tokens.
    :param keepers: number of routers that draw.
    :param is_keeper: whether this router is one of them.
    :param may_stand_by: whether credit can be put on standby.
    :param left_by_organisation: credit that may still be drawn, in tokens.
    """

    prepaid_by_organisation: Mapping[str, int]
    urgent_by_organisation: Mapping[str, int]
    standby_by_organisation: Mapping[str, int]
    keepers: int
    is_keeper: bool
    may_stand_by: bool = True
    left_by_organisation: Mapping[str, int] = {}


_LN_2: Final = 0.693
# One request is not taken for a high rate.
_LEAST_SEEN_S: Final = 1.0
_SIZE_WEIGHT: Final = 0.1
# A heartbeat has to fit into one datagram.
_MOST_SHOWN: Final = 100


class _Account:
    def __init__(self) -> None:
        self.free = 0
        self.reserved = 0
        self.unflushed = 0
        self.rate: float = 0
        self.rated_at: float = 0
        self.first_at: float | None = None
        self.request_tokens: float = 0


class HeldCredit:
    """
    Credit of this router by organisation, in tokens.

    :param half_life_s: age at which use counts half for its rate.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._accounts_by_organisation: dict[str, _Account] = {}

    def free(self, organisation: str) -> int:
        """
        Read what is neither spent nor reserved.

        :param organisation: whose credit.
        :returns: tokens.
        """
        return self._account(organisation).free

    def free_by_organisation(self) -> dict[str, int]:
        """
        Read all free credit.

        :returns: tokens by organisation.
        """
        return {
            name: account.free
            for name, account in self._accounts_by_organisation.items()
        }

    def most_free(self) -> dict[str, int]:
        """
        Read the largest amounts of free credit.

        :returns: tokens by organisation; as many as fit into a heartbeat.
        """
        free = self.free_by_organisation()
        names = nlargest(_MOST_SHOWN, free, key=free.__getitem__)
        return {name: free[name] for name in names if free[name]}

    def rate(self, organisation: str, now_s: float) -> float:
        """
        Estimate the use of an organisation at this router.

        :param organisation: whose credit.
        :param now_s: time on the clock of trio.
        :returns: tokens a second.
        """
        account = self._account(organisation)
        if account.first_at is None:
            return 0
        # A mean over the past counts the time before the first use as idle.
        seen_s = now_s - account.first_at + _LEAST_SEEN_S
        seen_part = 1 - float(0.5 ** (seen_s / self._half_life_s))
        return account.rate * self._decay(account, now_s) / seen_part

    def request_tokens(self, organisation: str) -> float:
        """
        Estimate the size of an organisation's requests.

        :param organisation: whose requests.
        :returns: tokens; 0 if there were none.
        """
        return self._account(organisation).request_tokens

    def unflushed(self, organisation: str) -> int:
        """
        Read the use that the ledger does not show yet.

        :param organisation: whose credit.
        :returns: tokens.
        """
        return self._account(organisation).unflushed

    def note_demand(self, organisation: str, amount: int, now_s: float) -> None:
        """
        Count a request for the rate of use.

        :param organisation: whose credit.
        :param amount: tokens that it may use.
        :param now_s: time on the clock of trio.
        """
        account = self._account(organisation)
        account.rate *= self._decay(account, now_s)
        account.rate += amount * _LN_2 / self._half_life_s
        account.rated_at = now_s
        if account.first_at is None:
            account.first_at = now_s
            account.request_tokens = amount
        change = amount - account.request_tokens
        account.request_tokens += change * _SIZE_WEIGHT

    def reserve(self, organisation: str, amount: int) -> bool:
        """
        Set credit aside for a request.

        :param organisation: whose credit.
        :param amount: tokens that it may use at most.
        :returns: whether there was enough.
        """
        account = self._account(organisation)
        if account.free < amount:
            return False
        account.free -= amount
        account.reserved += amount
        return True

    def settle(self, organisation: str, reserved: int, spent: int) -> None:
        """
        End a reservation.

        :param organisation: whose credit.
        :param reserved: tokens set aside.
        :param spent: tokens used, at most as many.
        """
        account = self._account(organisation)
        account.reserved -= reserved
        account.free += reserved - spent
        account.unflushed += spent

    def add(self, organisation: str, amount: int) -> None:
        """
        Take over credit that was drawn or lent.

        :param organisation: whose credit.
        :param amount: tokens.
        """
        self._account(organisation).free += amount

    def remove(self, organisation: str, amount: int) -> int:
        """
        Hand over free credit.

        :param organisation: whose credit.
        :param amount: most tokens to hand over.
        :returns: tokens that are no longer held here.
        """
        account = self._account(organisation)
        handed = max(0, min(amount, account.free))
        account.free -= handed
        return handed

    def note_spent(self, spent_by_organisation: Mapping[str, int]) -> None:
        """
        Take over use that the ledger does not show yet.

        :param spent_by_organisation: tokens.
        """
        for name, spent in spent_by_organisation.items():
            self._account(name).unflushed += spent

    def take_unflushed(self) -> dict[str, int]:
        """
        Hand over the use that the ledger does not show yet.

        :returns: tokens by organisation, no longer counted here.
        """
        handed = {
            name: account.unflushed
            for name, account in self._accounts_by_organisation.items()
            if account.unflushed
        }
        self.note_flushed(handed)
        return handed

    def note_flushed(self, spent_by_organisation: Mapping[str, int]) -> None:
        """
        Note use that the ledger shows now.

        :param spent_by_organisation: tokens.
        """
        for name, spent in spent_by_organisation.items():
            self._account(name).unflushed -= spent

    def _account(self, organisation: str) -> _Account:
        return self._accounts_by_organisation.setdefault(
            organisation, _Account()
        )

    def _decay(self, account: _Account, now_s: float) -> float:
        age_s = max(0, now_s - account.rated_at)
        return float(0.5 ** (age_s / self._half_life_s))


class CreditView(NamedTuple):
    """
    What plans about credit depend on.

    :param held: what a router holds, and its use.
    :param situation: limits and needs.
    :param policy: how much to hold.
    :param now_s: time on the clock of trio.
    """

    held: HeldCredit
    situation: Situation
    policy: CreditPolicy
    now_s: float


def plan_transfer(view: CreditView, ledger: Ledger) -> Transfer:
    """
    Decide what a router draws, returns and records.

    :param view: what it depends on.
    :param ledger: as last known.
    :returns: the transfer; empty if there is nothing to do.
    """
    held, situation, policy, _ = view
    drawn: dict[str, int] = {}
    returned: dict[str, int] = {}
    is_low = any(situation.urgent_by_organisation.values())
    for name, prepaid in situation.prepaid_by_organisation.items():
        left = remaining(ledger, name, prepaid)
        free = held.free(name)
        target = target_tokens(view, name)
        wanted = _wanted(view, name)
        if wanted > target * (1 - policy.refill_part):
            most = int(left * policy.most_part / situation.keepers)
            urgent = situation.urgent_by_organisation.get(name, 0) - free
            drawn[name] = max(0, min(left, max(urgent, min(wanted, most))))
            is_low = is_low or free < target * policy.low_part
        elif free > policy.surplus * target and left < prepaid / 4:
            returned[name] = free - target
    if not is_low:
        drawn = {}
    spent = _unrecorded(view)
    drawn = {key: amount for key, amount in drawn.items() if amount}
    return Transfer(drawn, returned, spent if drawn or returned else {})


def _wanted(view: CreditView, organisation: str) -> int:
    situation = view.situation
    free = view.held.free(organisation)
    urgent = situation.urgent_by_organisation.get(organisation, 0) - free
    missing = target_tokens(view, organisation) - free
    if situation.is_keeper and situation.may_stand_by:
        missing += standby_missing(view, organisation)
    return max(urgent, missing)


def _unrecorded(view: CreditView) -> dict[str, int]:
    held, situation, policy, _ = view
    part = policy.flush_part / situation.keepers
    return {
        name: held.unflushed(name)
        for name, prepaid in situation.prepaid_by_organisation.items()
        if held.unflushed(name) > prepaid * part
    }


def target_tokens(view: CreditView, organisation: str) -> int:
    """
    Compute the credit to hold for use.

    :param view: what it depends on.
    :param organisation: whose credit.
    :returns: tokens.
    """
    situation = view.situation
    rate = view.held.rate(organisation, view.now_s)
    by_rate = rate * _hold_s(view, organisation)
    if not situation.is_keeper:
        return int(by_rate)
    if _is_scarce(view, organisation):
        return int(by_rate)
    request_tokens = view.held.request_tokens(organisation)
    burst = view.policy.burst * (by_rate * request_tokens) ** 0.5
    ample = _left(view, organisation) * view.policy.ample_part
    return int(max(by_rate + burst, ample / situation.keepers))


def _left(view: CreditView, organisation: str) -> int:
    situation = view.situation
    prepaid = situation.prepaid_by_organisation.get(organisation, 0)
    return situation.left_by_organisation.get(organisation, prepaid)


def _is_scarce(view: CreditView, organisation: str) -> bool:
    prepaid = view.situation.prepaid_by_organisation.get(organisation, 0)
    return _left(view, organisation) < prepaid * view.policy.scarce_part


def surplus_tokens(view: CreditView) -> dict[str, int]:
    """
    Compute the credit that a router does not need.

    What was drawn while peers were out of reach is of use to others later.

    :param view: what it depends on.
    :returns: tokens by organisation.
    """
    surplus = {}
    for name, free in view.held.free_by_organisation().items():
        target = target_tokens(view, name)
        if free > view.policy.surplus * target:
            surplus[name] = free - target
    return surplus


def _hold_s(view: CreditView, organisation: str) -> float:
    _, situation, policy, _ = view
    if not situation.is_keeper:
        return policy.hold_s
    is_scarce = _is_scarce(view, organisation)
    return policy.scarce_hold_s if is_scarce else policy.keeper_hold_s


def standby_tokens(view: CreditView, organisation: str) -> int:
    """
    Compute the credit to have on standby.

    :param view: what it depends on.
    :param organisation: whose credit.
    :returns: tokens.
    """
    hold_s = _hold_s(view, organisation)
    whole_s = view.policy.keeper_hold_s + view.policy.standby_s
    target = target_tokens(view, organisation)
    return int(target * (whole_s - hold_s) / hold_s)


def standby_missing(view: CreditView, organisation: str) -> int:
    """
    Compute the credit that lacks on standby.

    :param view: what it depends on.
    :param organisation: whose credit.
    :returns: tokens, 0 or more.
    """
    wanted = standby_tokens(view, organisation)
    on_standby = view.situation.standby_by_organisation.get(organisation, 0)
    return max(0, wanted - on_standby)
