"""
eelgrassfork.loan_outbox
~~~~~~~~~~~~~~~~~~~~~~~~

Outbox of loan settlements, which are resent until the lender confirms.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook
import trio

from .credit_policy import backoff_s
from .errors import EelgrassError
from .lending import SETTLE_KIND, LendingSettings, PeerCalls
from .names import PayerTag

__all__ = ('Loan', 'LoanOutbox')

_log = logbook.Logger('lending')

_MAX_RETAINED: Final = 4096
_MAX_LOANS_PER_CALL: Final = 500


class Loan(NamedTuple):
    """
    A reservation on a lender's account.

    :param vm: VM of the lender.
    :param lender: holder of the lender.
    :param reference: identifies the loan; the borrower never reuses it.
    :param payer: tag of the reservation; ``None`` if the lender's response
        was lost.
    :param spent: tokens spent, once the loan is settled.
    """

    vm: str
    lender: str
    reference: str
    payer: PayerTag | None = None
    spent: int = 0


class LoanOutbox:
    """
    Sends settlements to lenders in the background.

    :param peers: connections to the peers.
    :param is_dead: returns whether a holder is proven dead.
    :param settings: delays between attempts.
    """

    def __init__(
        self,
        peers: PeerCalls,
        is_dead: Callable[[str], bool],
        settings: LendingSettings,
    ) -> None:
        self._peers = peers
        self._is_dead = is_dead
        self._settings = settings
        self._unsent_by_reference: dict[str, Loan] = {}
        # Settlements that a dead lender never confirmed; retained for the router
        # that reclaims the lender's credit.
        self._retained_by_payer: dict[PayerTag, int] = {}
        self._sending_vms: set[str] = set()
        self._scope = trio.CancelScope()
        self._has_unsent = trio.Event()
        self._all_confirmed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start to send in the background.

        :param nursery: nursery for the background tasks.
        """
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Wait until all settlements are confirmed, or until cancelled."""
        try:
            while self._unsent_by_reference:
                self._all_confirmed = trio.Event()
                await self._all_confirmed.wait()
        finally:
            self._scope.cancel()

    def add(self, loan: Loan) -> None:
        """
        Queue a settlement.

        :param loan: the loan, with the tokens spent.
        """
        self._unsent_by_reference[loan.reference] = loan
        self._has_unsent.set()

    def unconfirmed_settlements(self, lender: str) -> dict[PayerTag, int]:
        """
        Return the settlements that a lender may not have received.

        :param lender: holder of the lender.
        :returns: spent tokens by payer tag.
        """
        settled = {
            tag: spent
            for tag, spent in self._retained_by_payer.items()
            if tag.holder == lender
        }
        for loan in self._unsent_by_reference.values():
            if loan.payer is not None and loan.lender == lender:
                settled[loan.payer] = loan.spent
        return settled

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: counts of unsent and retained settlements.
        """
        return {
            'unsent_settlements': len(self._unsent_by_reference),
            'kept_settlements': len(self._retained_by_payer),
        }

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._has_unsent.wait()
                    self._has_unsent = trio.Event()
                    self._start_sending(nursery)

    def _start_sending(self, nursery: trio.Nursery) -> None:
        unsent_vms = {loan.vm for loan in self._unsent_by_reference.values()}
        for vm in unsent_vms - self._sending_vms:
            self._sending_vms.add(vm)
            nursery.start_soon(self._send_until_confirmed, vm)

    async def _send_until_confirmed(self, vm: str) -> None:
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
            self._all_confirmed.set()

    def _unsent_to(self, vm: str) -> list[Loan]:
        unsent = [
            loan for loan in self._unsent_by_reference.values() if loan.vm == vm
        ]
        return unsent[:_MAX_LOANS_PER_CALL]

    async def _try_send(self, vm: str, loans: list[Loan]) -> bool:
        entries = [(loan.reference, loan.lender, loan.spent) for loan in loans]
        try:
            response = await self._peers.call(
                vm, SETTLE_KIND, {'loans': entries}
            )
        except EelgrassError as error:
            _log.debug(
                'lending: settlements not delivered to {}: {}', vm, error
            )
            response = {'refused': [loan.reference for loan in loans]}
        refused = set(response['refused'])
        for loan in loans:
            if loan.reference not in refused or self._retain_if_lender_dead(
                loan
            ):
                self._unsent_by_reference.pop(loan.reference)
        return not refused

    def _retain_if_lender_dead(self, loan: Loan) -> bool:
        if not self._is_dead(loan.lender):
            return False
        if loan.payer is not None:
            self._retained_by_payer[loan.payer] = loan.spent
        if len(self._retained_by_payer) > _MAX_RETAINED:
            self._retained_by_payer.pop(next(iter(self._retained_by_payer)))
        return True
