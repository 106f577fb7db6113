"""
eelgrassfork.gateway.lending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages that routers exchange to borrow, lend and deposit credit.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('CreditAnswer', 'CreditRequest', 'LedgerView', 'Loan')


class CreditRequest(NamedTuple):
    """
    Request to borrow or deposit credit.

    :param borrower: name of the requesting VM.
    :param failure_domain: failure domain of that VM.
    :param urgent_by_organisation: tokens that waiting requests need.
    :param extra_by_organisation: tokens to hold for later requests.
    :param spent_by_organisation: tokens spent since the borrower's last
        report.
    :param deposit_by_organisation: tokens that the borrower hands over.
    """

    borrower: str
    failure_domain: str
    urgent_by_organisation: dict[str, int]
    extra_by_organisation: dict[str, int] = {}
    spent_by_organisation: dict[str, int] = {}
    deposit_by_organisation: dict[str, int] = {}


class LedgerView(NamedTuple):
    """
    Extract of a keeper's copy of the ledger, in tokens.

    :param granted_by_organisation: tokens drawn and not returned.
    :param spent_by_organisation: tokens recorded as spent, and the keeper's
        unrecorded ones.
    :param age_s: time since the keeper read the ledger, in seconds.
    """

    granted_by_organisation: dict[str, int]
    spent_by_organisation: dict[str, int]
    age_s: float


class CreditAnswer(NamedTuple):
    """
    Response of a lender.

    :param lent_by_organisation: tokens lent.
    :param ledger: extract of the ledger; ``None`` if the lender is not a
        keeper.
    """

    lent_by_organisation: dict[str, int]
    ledger: LedgerView | None = None


class Loan(NamedTuple):
    """
    Credit lent by all peers that were asked.

    :param lent_by_organisation: tokens lent.
    :param ledger: extract from the first keeper that answered; ``None`` if
        none did.
    """

    lent_by_organisation: Mapping[str, int]
    ledger: LedgerView | None = None
