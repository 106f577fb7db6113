"""
eelgrassfork.gateway.admission.credit_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests that wait for the credit of their organisation; performs no I/O.

Answers bursts of one organisation at one router, where credit arrives in
portions: from running requests that used less than they reserved, and from
other routers.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from operator import attrgetter

__all__ = ('CreditClaim', 'CreditQueue')


class CreditClaim:
    """
    Claim of one waiting request on the credit of its organisation.

    A claim holds no credit until it is granted.

    :param organisation: name of the organisation.
    :param tokens: largest number of tokens that the request may use.
    :param priority: 0 is the most urgent.
    :ivar granted: whether the tokens are reserved for the request.
    :ivar refused: whether no credit can be expected in time.
    :ivar on_decision: called once the claim is granted or refused.
    """

    def __init__(self, organisation: str, tokens: int, priority: int) -> None:
        self.organisation = organisation
        self.tokens = tokens
        self.priority = priority
        self.number = 0
        self.granted = False
        self.refused = False
        self.on_decision: Callable[[], None] = _do_nothing

    @property
    def is_decided(self) -> bool:
        """Whether the request need not wait any more."""
        return self.granted or self.refused

    @property
    def order(self) -> tuple[int, int]:
        """Position among the claims on the same credit."""
        return self.priority, self.number


class CreditQueue:
    """
    Claims of waiting requests, the most urgent first.

    While further credit is expected, a claim that is first is not overtaken by
    smaller ones of its organisation, so that large requests are not starved.

    :param reserve: reserves tokens of an organisation; returns whether enough
        credit was free.
    """

    def __init__(self, reserve: Callable[[str, int], bool]) -> None:
        self._reserve = reserve
        self._numbers = count()
        self._claims_by_organisation: dict[str, list[CreditClaim]] = {}

    def add(self, claim: CreditClaim) -> None:
        """
        Add a claim.

        :param claim: claim of a request that begins to wait.
        """
        claim.number = next(self._numbers)
        claims = self._claims_by_organisation.setdefault(claim.organisation, [])
        claims.append(claim)
        claims.sort(key=attrgetter('order'))

    def discard(self, claim: CreditClaim) -> None:
        """
        Remove a claim that need not wait any more.

        :param claim: the claim; may have been removed before.
        """
        claims = self._claims_by_organisation.get(claim.organisation, [])
        if claim in claims:
            claims.remove(claim)
        if not claims:
            self._claims_by_organisation.pop(claim.organisation, None)

    def has_claims(self, organisation: str) -> bool:
        """
        Check whether requests of an organisation wait.

        :param organisation: name of the organisation.
        :returns: whether a request that arrives now comes after others.
        """
        return organisation in self._claims_by_organisation

    def tokens_by_organisation(self) -> dict[str, int]:
        """
        Sum the claims.

        :returns: tokens that waiting requests need, by organisation.
        """
        needed: Counter[str] = Counter()
        for organisation, claims in self._claims_by_organisation.items():
            needed[organisation] = sum(claim.tokens for claim in claims)
        return dict(needed)

    def grant(self, organisation: str) -> None:
        """
        Grant the claims that the free credit suffices for, in their order.

        :param organisation: name of the organisation.
        """
        for claim in self._claims(organisation):
            if not self._reserve(organisation, claim.tokens):
                return
            claim.granted = True
            self._decide(claim)

    def grant_all(self) -> None:
        """Grant the claims of all organisations, each in their order."""
        for organisation in list(self._claims_by_organisation):
            self.grant(organisation)

    def grant_any(self, organisation: str) -> None:
        """
        Grant all claims that fit into the free credit, also out of order.

        Nothing is gained by leaving credit unused for a claim that no further
        credit is expected for.

        :param organisation: name of the organisation.
        """
        for claim in self._claims(organisation):
            if self._reserve(organisation, claim.tokens):
                claim.granted = True
                self._decide(claim)

    def refuse(self, organisations: Iterable[str]) -> None:
        """
        Refuse all claims on the credit of some organisations.

        :param organisations: names of the organisations.
        """
        for organisation in organisations:
            for claim in self._claims(organisation):
                claim.refused = True
                self._decide(claim)

    def _claims(self, organisation: str) -> list[CreditClaim]:
        return list(self._claims_by_organisation.get(organisation, ()))

    def _decide(self, claim: CreditClaim) -> None:
        self.discard(claim)
        claim.on_decision()


def _do_nothing() -> None:
    """Do nothing."""
