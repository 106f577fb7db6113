"""
eelgrassfork.borrowing
~~~~~~~~~~~~~~~~~~~~~~

Borrower's side of reservations on the accounts of peers.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook
import trio

from .credit import Reservation
from .credit_policy import backoff_s
from .errors import EelgrassError
from .lending import RESERVE_KIND, SETTLE_KIND, LendingSettings, PeerCalls
from .membership import PeerRecord
from .names import PayerTag, parse_payer
from .peer_messages import Payload
from .peering import PeerRefused, PeerUnreachable
from .spend_records import RecordsMissing

__all__ = ('LOANS_KIND', 'LoanClient')

_log = logbook.Logger('lending')

LOANS_KIND: Final = 'loans_of'
_MOST_KEPT: Final = 4096
_MOST_PER_CALL: Final = 500


class _Loan(NamedTuple):
    """``payer`` is ``None`` if the lender's answer was lost."""

    vm: str
    lender: str
    reference: str
    payer: PayerTag | None = None
    spent: int = 0


class LoanClient:
    """
    Reserves with peers, and tells them what was spent until they know.

    :param holder: this holder.
    :param peers: the exchange with peers.
    :param lenders_of: peers to ask for a budget, in order.
    :param is_home_elsewhere: whether another router draws for a budget, so
        that it is asked before the platform.
    :param is_dead: proof of a holder's death.
    :param settings: bounds.
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
        self._count = 0
        self._open_by_payer: dict[PayerTag, _Loan] = {}
        self._unsent_by_reference: dict[str, _Loan] = {}
        # Settlements that a dead lender never took; its reclaimer asks.
        self._kept_by_payer: dict[PayerTag, int] = {}
        self._surveyed: set[str] = set()
        self._sending_vms: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._scope = trio.CancelScope()
        self._all_sent = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Send settlements in the background, and answer reclaimers.

        :param nursery: where this runs.
        """
        self._peers.register(LOANS_KIND, self._serve_loans)
        await nursery.start(self._run)

    async def close(self) -> None:
        """Wait until lenders know all settlements, or the caller cancels."""
        try:
            while self._unsent_by_reference:
                self._all_sent = trio.Event()
                await self._all_sent.wait()
        finally:
            self._scope.cancel()

    def is_first(self, budget: str) -> bool:
        """
        Tell whether peers are asked before the platform.

        :param budget: name of the budget.
        :returns: whether another router draws for it.
        """
        return self._is_home_elsewhere(budget)

    async def borrow(self, budget: str, amount: int) -> Reservation | None:
        """
        Reserve with the first peer that can.

        :param budget: name of the budget.
        :param amount: tokens.
        :returns: the reservation, to be settled once, or ``None``.
        """
        with trio.move_on_after(self._settings.borrow_wait_s):
            peers = self._lenders_of(budget)
            for peer in peers[: self._settings.most_peers]:
                lent = await self._ask(peer, budget, amount)
                if lent is not None:
                    return lent
        return None

    def settle(self, reservation: Reservation, spent: int) -> None:
        """
        Tell the lender what was spent; repeating has no effect.

        :param reservation: from :meth:`borrow`.
        :param spent: tokens.
        """
        loan = self._open_by_payer.pop(reservation.payer, None)
        if loan is not None:
            self._send(loan._replace(spent=spent))

    def loans_of(self, lender: str) -> Payload:
        """
        Report what was borrowed from a dead lender, and borrow no more.

        :param lender: the dead holder.
        :returns: ``open`` payer tags, and tokens by payer tag ``settled``.
        """
        self._surveyed.add(lender)
        settled = {
            str(payer): spent
            for payer, spent in self._kept_by_payer.items()
            if payer.holder == lender
        }
        for loan in self._unsent_by_reference.values():
            if loan.payer is not None and loan.lender == lender:
                settled[str(loan.payer)] = loan.spent
        still_open = [
            str(tag) for tag in self._open_by_payer if tag.holder == lender
        ]
        return {'open': still_open, 'settled': settled}

    async def survey(self, lender: str, vms: list[str]) -> dict[PayerTag, int]:
        """
        Ask all routers what they have borrowed from a dead lender.

        Without this, a router could spend a reservation after the lender's
        credit was taken back.

        :param lender: the dead holder.
        :param vms: VMs of all other routers that may still run.
        :returns: tokens by payer tag that the lender may not have reported.
        :raises RecordsMissing: if a router can't be asked or has an open
            reservation.
        """
        settled = _settled(lender, self.loans_of(lender))
        for vm in vms:
            try:
                report = await self._peers.call(
                    vm, LOANS_KIND, {'lender': lender}
                )
            except (PeerRefused, PeerUnreachable) as error:
                raise RecordsMissing(f'{vm} gave no loans: {error}') from None
            settled.update(_settled(lender, report))
        return settled

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: open loans by payer tag, settlements to be sent.
        """
        return {
            'open_loans': [str(payer) for payer in self._open_by_payer],
            'unsent_settlements': len(self._unsent_by_reference),
            'kept_settlements': len(self._kept_by_payer),
        }

    async def _run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()

    async def _ask(
        self, peer: PeerRecord, budget: str, amount: int
    ) -> Reservation | None:
        self._count += 1
        reference = f'{self._holder}/{self._count}'
        unknown = _Loan(peer.vm, peer.holder, reference)
        payload = {'reference': reference, 'budget': budget, 'amount': amount}
        try:
            answer = await self._peers.call(peer.vm, RESERVE_KIND, payload)
        except PeerRefused:
            return None
        except PeerUnreachable as error:
            if error.sent:
                self._send(unknown)
            return None
        except trio.Cancelled:
            self._send(unknown)
            raise
        return self._take(unknown, parse_payer(answer['payer']), amount)

    def _take(
        self, loan: _Loan, payer: PayerTag, amount: int
    ) -> Reservation | None:
        if payer.holder in self._surveyed or self._is_dead(payer.holder):
            return None
        self._open_by_payer[payer] = loan._replace(
            lender=payer.holder, payer=payer
        )
        return Reservation(payer, amount, loan.vm)

    def _send(self, loan: _Loan) -> None:
        if self._nursery is None:
            raise RuntimeError('borrowing is not started')
        self._unsent_by_reference[loan.reference] = loan
        if loan.vm not in self._sending_vms:
            self._sending_vms.add(loan.vm)
            self._nursery.start_soon(self._send_until_known, loan.vm)

    async def _send_until_known(self, vm: str) -> None:
        attempt = 0
        while self._unsent_to(vm):
            if await self._try_send(vm, self._unsent_to(vm)):
                attempt = 0
                continue
            attempt += 1
            jitter = random.random()  # noqa: S311  Spreads out retries.
            await trio.sleep(
                backoff_s(
                    attempt,
                    self._settings.retry_s,
                    self._settings.max_retry_s,
                    jitter,
                ),
            )
        self._sending_vms.discard(vm)
        if not self._unsent_by_reference:
            self._all_sent.set()

    def _unsent_to(self, vm: str) -> list[_Loan]:
        unsent = [
            loan for loan in self._unsent_by_reference.values() if loan.vm == vm
        ]
        return unsent[:_MOST_PER_CALL]

    async def _try_send(self, vm: str, loans: list[_Loan]) -> bool:
        rows = [
            (
                loan.reference,
                loan.payer.holder if loan.payer else '',
                loan.spent,
            )
            for loan in loans
        ]
        try:
            answer = await self._peers.call(vm, SETTLE_KIND, {'loans': rows})
        except EelgrassError as error:
            _log.debug('lending: {} is not told: {}', vm, error)
            answer = {'refused': [loan.reference for loan in loans]}
        refused = set(answer['refused'])
        for loan in loans:
            if loan.reference not in refused or self._keep_if_dead(loan):
                self._unsent_by_reference.pop(loan.reference)
        return not refused

    def _keep_if_dead(self, loan: _Loan) -> bool:
        if not self._is_dead(loan.lender):
            return False
        if loan.payer is not None:
            self._kept_by_payer[loan.payer] = loan.spent
        if len(self._kept_by_payer) > _MOST_KEPT:
            self._kept_by_payer.pop(next(iter(self._kept_by_payer)))
        return True

    async def _serve_loans(self, sender: str, payload: Payload) -> Payload:
        await trio.lowlevel.checkpoint()
        return self.loans_of(str(payload['lender']))


def _settled(lender: str, report: Payload) -> dict[PayerTag, int]:
    if report['open']:
        raise RecordsMissing(f'{lender} has lent {report["open"][0]}')
    return {
        parse_payer(payer): int(spent)
        for payer, spent in report['settled'].items()
    }
