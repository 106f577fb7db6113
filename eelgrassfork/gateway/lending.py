"""
eelgrassfork.gateway.lending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What routers ask and tell one another about credit.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('CreditAnswer', 'CreditRequest', 'LedgerView', 'Loan')


class CreditRequest(NamedTuple):
    """
    A request for credit.

    :param borrower: name of the VM that asks.
    :param failure_domain: of that VM.
    :param urgent_by_organisation: tokens that waiting requests need.
    :param extra_by_organisation: tokens to hold for the next requests.
    :param spent_by_organisation: use since the borrower last told of it.
    :param deposit_by_organisation: tokens that the borrower does not need.
    """

    borrower: str
    failure_domain: str
    urgent_by_organisation: dict[str, int]
    extra_by_organisation: dict[str, int] = {}
    spent_by_organisation: dict[str, int] = {}
    deposit_by_organisation: dict[str, int] = {}


class LedgerView(NamedTuple):
    """
    What a keeper knows of the ledger, in tokens.

    :param age_s: time since the keeper read it.
    """

    granted_by_organisation: dict[str, int]
    spent_by_organisation: dict[str, int]
    age_s: float


class CreditAnswer(NamedTuple):
    """
    Credit that a peer hands over.

    :param ledger: ``None`` if the peer does not draw credit for others.
    """

    lent_by_organisation: dict[str, int]
    ledger: LedgerView | None = None


class Loan(NamedTuple):
    """
    All that peers have lent.

    :param ledger: of the keeper that answered, ``None`` if none did.
    """

    lent_by_organisation: Mapping[str, int]
    ledger: LedgerView | None = None
