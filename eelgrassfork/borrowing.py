"""
eelgrassfork.borrowing
~~~~~~~~~~~~~~~~~~~~~~

Borrower side of loans: reservations on the accounts of peers.
"""

from collections.abc import Callable
from typing import Any, Final

import trio

from .credit import Reservation
from .lending import RESERVE_KIND, LendingSettings, PeerCalls
from .loan_outbox import Loan, LoanOutbox
from .membership import PeerRecord
from .names import PayerTag, parse_payer
from .peer_messages import Payload
from .peering import PeerRefused, PeerUnreachable
from .spend_records import RecordsMissing

__all__ = ('LOANS_KIND', 'LoanClient')

LOANS_KIND: Final = 'loans_of'


class LoanClient:
    """
    Borrows credit from peers, and reports the spend until it is confirmed.

    :param holder: name of this holder.
    :param peers: connections to the peers.
    :param lenders_of: returns the peers to try for a budget, in order.
    :param is_home_elsewhere: returns whether another router is the home
        router of a budget, and is thus tried before the platform.
    :param is_dead: returns whether a holder is proven dead.
    :param settings: limits.
    """

    def __init__(
        self,
        holder: str,
        peers: PeerCalls,
        lenders_of: Callable[[str], list[PeerRecord]],
        is_home_elsewhere: Callable[[str], bool],
        is_dead: Callable[[str], bool],
        settings: LendingSettings,
    ) -> None:
        self._holder = holder
        self._peers = peers
        self._lenders_of = lenders_of
        self._is_home_elsewhere = is_home_elsewhere
        self._is_dead = is_dead
        self._settings = settings
        self._reference_count = 0
        self._open_by_payer: dict[PayerTag, Loan] = {}
        self._blocked_lenders: set[str] = set()
        self._outbox = LoanOutbox(peers, is_dead, settings)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Send settlements in the background, and serve calls of reclaimers.

        :param nursery: nursery for the background tasks.
        """
        self._peers.register(LOANS_KIND, self._serve_loans)
        await self._outbox.start(nursery)

    async def close(self) -> None:
        """Wait until all settlements are confirmed, or until cancelled."""
        await self._outbox.close()

    def is_preferred(self, budget: str) -> bool:
        """
        Return whether to ask peers before drawing from the platform.

        :param budget: name of the budget.
        :returns: whether another router is the budget's home router.
        """
        return self._is_home_elsewhere(budget)

    async def borrow(self, budget: str, amount: int) -> Reservation | None:
        """
        Reserve with the first peer that has the credit.

        :param budget: name of the budget.
        :param amount: tokens.
        :returns: the reservation, to be settled once, or ``None``.
        """
        with trio.move_on_after(self._settings.borrow_wait_s):
            peers = self._lenders_of(budget)
            for peer in peers[: self._settings.max_peers]:
                reservation = await self._request_loan(peer, budget, amount)
                if reservation is not None:
                    return reservation
        return None

    def settle(self, reservation: Reservation, spent: int) -> None:
        """
        Report the spend to the lender; idempotent.

        :param reservation: from :meth:`borrow`.
        :param spent: tokens.
        """
        loan = self._open_by_payer.pop(reservation.payer, None)
        if loan is not None:
            self._outbox.add(loan._replace(spent=spent))

    def report_loans(self, lender: str) -> Payload:
        """
        Report the loans of a dead lender, and stop borrowing from it.

        :param lender: holder of the dead lender.
        :returns: ``open``: payer tags of open loans; ``settled``: tokens by
            payer tag.
        """
        self._blocked_lenders.add(lender)
        settled = self._outbox.unconfirmed_settlements(lender)
        open_payers = [
            str(tag) for tag in self._open_by_payer if tag.holder == lender
        ]
        return {
            'open': open_payers,
            'settled': {str(tag): spent for tag, spent in settled.items()},
        }

    async def survey(self, lender: str, vms: list[str]) -> dict[PayerTag, int]:
        """
        Collect from all routers the loans of a dead lender.

        Without this, a router could spend a reservation after the lender's
        credit was reclaimed.

        :param lender: holder of the dead lender.
        :param vms: VMs of all other routers that may still run.
        :returns: spent tokens by payer tag that the lender may not have
            reported.
        :raises RecordsMissing: if a router is unreachable or has an open
            loan of the lender.
        """
        settled = _settled_tokens(lender, self.report_loans(lender))
        for vm in vms:
            try:
                report = await self._peers.call(
                    vm, LOANS_KIND, {'lender': lender}
                )
            except (PeerRefused, PeerUnreachable) as error:
                raise RecordsMissing(
                    f'cannot read the loans of {vm}: {error}'
                ) from None
            settled.update(_settled_tokens(lender, report))
        return settled

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: payer tags of open loans, and counts of settlements.
        """
        return {
            'open_loans': [str(payer) for payer in self._open_by_payer],
            **self._outbox.dump(),
        }

    async def _request_loan(
        self, peer: PeerRecord, budget: str, amount: int
    ) -> Reservation | None:
        self._reference_count += 1
        reference = f'{self._holder}/{self._reference_count}'
        unconfirmed = Loan(peer.vm, peer.holder, reference)
        payload = {'reference': reference, 'budget': budget, 'amount': amount}
        try:
            response = await self._peers.call(peer.vm, RESERVE_KIND, payload)
        except PeerRefused:
            return None
        except PeerUnreachable as error:
            if error.sent:
                self._outbox.add(unconfirmed)
            return None
        except trio.Cancelled:
            self._outbox.add(unconfirmed)
            raise
        return self._record_loan(
            unconfirmed, parse_payer(response['payer']), amount
        )

    def _record_loan(
        self, loan: Loan, payer: PayerTag, amount: int
    ) -> Reservation | None:
        if payer.holder in self._blocked_lenders or self._is_dead(payer.holder):
            return None
        self._open_by_payer[payer] = loan._replace(
            lender=payer.holder, payer=payer
        )
        return Reservation(payer, amount, loan.vm)

    async def _serve_loans(self, sender: str, payload: Payload) -> Payload:
        await trio.lowlevel.checkpoint()
        return self.report_loans(str(payload['lender']))


def _settled_tokens(lender: str, report: Payload) -> dict[PayerTag, int]:
    if report['open']:
        raise RecordsMissing(f'{lender} has an open loan: {report["open"][0]}')
    return {
        parse_payer(payer): int(spent)
        for payer, spent in report['settled'].items()
    }
