"""
eelgrassfork.lending
~~~~~~~~~~~~~~~~~~~~

Lender side of loans: peers reserve on the accounts of this holder.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, Protocol

import logbook
import trio

from .credit import Reservation
from .errors import EelgrassError
from .names import PayerTag
from .peer_messages import Payload

__all__ = (
    'LendingRefused',
    'LendingSettings',
    'LoanServer',
    'LocalAccounts',
    'PeerCalls',
    'RESERVE_KIND',
    'SETTLE_KIND',
)

_log = logbook.Logger('lending')

RESERVE_KIND: Final = 'reserve'
SETTLE_KIND: Final = 'settle'

# References of finished loans that are remembered, so that a reserve call
# that arrives after its own cancellation is refused. If it arrives after this
# many other loans have finished, its credit stays reserved without a user
# until the borrower is dead and the loan is resolved.
_MAX_FINISHED_REFERENCES: Final = 8192


class LendingRefused(EelgrassError):
    """Raised when a call of a peer is refused; the call had no effect."""


class LendingSettings(NamedTuple):
    """
    Limits of lending; times in seconds.

    :param borrow_wait_s: time-out for finding a lender.
    :param max_peers: maximum number of peers tried for one reservation.
    :param retry_s: initial delay before a settlement is sent again; doubles
        up to ``max_retry_s``.
    :param max_retry_s: maximum delay before a settlement is sent again.
    :param resolve_interval_s: interval between checks for dead borrowers.
    """

    borrow_wait_s: float = 1
    max_peers: int = 8
    retry_s: float = 0.25
    max_retry_s: float = 8
    resolve_interval_s: float = 5


class PeerCalls(Protocol):
    """Interface of ``Peering`` as used by lending."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Register the handler of one kind of call."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""


class LocalAccounts(Protocol):
    """Interface of ``CreditAccounts`` as used by a lender."""

    async def reserve_for_peer(
        self, budget: str, amount: int, *, may_draw: bool
    ) -> Reservation:
        """Reserve from the own account, without borrowing."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Settle a reservation; idempotent."""


class _Loan(NamedTuple):
    borrower: str
    reservation: Reservation


class LoanServer:
    """
    Reserves credit for peers, and settles the loans.

    A loan is settled by its borrower, or by this lender if the borrower is
    dead. It is identified by the borrower's reference, which is never reused.

    :param holder: name of this holder.
    :param accounts: accounts of this holder.
    :param is_home: returns whether this router is the home router of a
        budget, which draws for its peers.
    :param is_dead: returns whether a holder is proven dead.
    :param resolve: returns the tokens that a dead borrower spent on a
        reservation; raises :class:`~eelgrassfork.errors.EelgrassError` while
        the spend is unknown.
    :param settings: limits.
    """

    def __init__(
        self,
        holder: str,
        accounts: LocalAccounts,
        is_home: Callable[[str], bool],
        is_dead: Callable[[str], bool],
        resolve: Callable[[PayerTag], Awaitable[int]],
        settings: LendingSettings,
    ) -> None:
        self._holder = holder
        self._accounts = accounts
        self._is_home = is_home
        self._is_dead = is_dead
        self._resolve = resolve
        self._settings = settings
        self._loans_by_reference: dict[str, _Loan] = {}
        self._finished_references: OrderedDict[str, None] = OrderedDict()
        self._scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery, peers: PeerCalls) -> None:
        """
        Serve peers, and resolve loans to dead borrowers in the background.

        :param nursery: nursery for the background tasks.
        :param peers: connections to the peers.
        """
        peers.register(RESERVE_KIND, self._serve_reserve)
        peers.register(SETTLE_KIND, self._serve_settle)
        nursery.start_soon(self._resolve_periodically)

    async def close(self) -> None:
        """Stop resolving loans; calls of peers are still served."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: tokens of the open loans, by reference.
        """
        return {
            'amounts_lent_by_reference': {
                reference: loan.reservation.amount
                for reference, loan in self._loans_by_reference.items()
            },
        }

    async def resolve_dead(self) -> None:
        """Settle the loans of dead borrowers as far as the spend is known."""
        for reference, loan in list(self._loans_by_reference.items()):
            if self._is_dead(loan.borrower):
                await self._resolve_loan(reference, loan)

    async def _serve_reserve(self, sender: str, payload: Payload) -> Payload:
        reference = str(payload['reference'])
        _check_reference(sender, reference)
        if reference in self._finished_references or self._is_dead(sender):
            raise LendingRefused(
                'loan_finished',
                f'loan {reference} is settled, or its borrower is dead',
            )
        budget, amount = str(payload['budget']), int(payload['amount'])
        reservation = await self._accounts.reserve_for_peer(
            budget, amount, may_draw=self._is_home(budget)
        )
        if reference in self._finished_references:
            self._accounts.settle(reservation, 0)
            raise LendingRefused(
                'loan_finished', f'loan {reference} is already settled'
            )
        self._loans_by_reference[reference] = _Loan(sender, reservation)
        _log.debug(
            'lending: lent {} tokens of {} to {}', amount, budget, sender
        )
        return {'payer': str(reservation.payer)}

    async def _serve_settle(self, sender: str, payload: Payload) -> Payload:
        refused: list[str] = []
        for reference, lender, spent in payload['loans']:
            _check_reference(sender, reference)
            self._finish_loan(reference, spent)
            if lender != self._holder:
                refused.append(reference)
        await trio.lowlevel.checkpoint()
        return {'refused': refused}

    def _finish_loan(self, reference: str, spent: int) -> None:
        self._finished_references[reference] = None
        if len(self._finished_references) > _MAX_FINISHED_REFERENCES:
            self._finished_references.popitem(last=False)
        loan = self._loans_by_reference.pop(reference, None)
        if loan is not None:
            self._accounts.settle(loan.reservation, spent)

    async def _resolve_periodically(self) -> None:
        with self._scope:
            while True:
                await trio.sleep(self._settings.resolve_interval_s)
                await self.resolve_dead()

    async def _resolve_loan(self, reference: str, loan: _Loan) -> None:
        try:
            spent = await self._resolve(loan.reservation.payer)
        except EelgrassError as error:
            _log.warning(
                'lending: loan {} stays open, spend unknown: {}',
                reference,
                error,
            )
            return
        _log.info(
            'lending: dead borrower {} spent {} tokens on loan {}',
            loan.borrower,
            spent,
            reference,
        )
        self._finish_loan(reference, spent)


def _check_reference(sender: str, reference: str) -> None:
    if not reference.startswith(f'{sender}/'):
        raise LendingRefused(
            'bad_reference',
            f'reference {reference} does not belong to {sender}',
        )
