"""
eelgrassfork.lending
~~~~~~~~~~~~~~~~~~~~

Lender's side of reservations that peers make on this holder's accounts.
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

# A cancelled reservation whose call arrives later than so many others is
# lent to nobody, and is resolved after the borrower's death.
_MAX_FINISHED_REFERENCES: Final = 8192


class LendingRefused(EelgrassError):
    """A peer's call can't be done; it had no effect."""


class LendingSettings(NamedTuple):
    """
    Bounds on lending.

    :param borrow_wait_s: longest time to find a lender, in seconds.
    :param max_peers: peers asked for one reservation.
    :param retry_s: first wait before a settlement is sent again; it doubles
        up to ``max_retry_s``.
    :param max_retry_s: longest wait before it is sent again.
    :param resolve_interval_s: time between two looks for dead borrowers.
    """

    borrow_wait_s: float = 1
    max_peers: int = 8
    retry_s: float = 0.25
    max_retry_s: float = 8
    resolve_interval_s: float = 5


class PeerCalls(Protocol):
    """The methods of ``Peering`` that lending needs."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Let peers make a call."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""


class LocalAccounts(Protocol):
    """The methods of ``CreditAccounts`` that a lender needs."""

    async def reserve_for_peer(
        self, budget: str, amount: int, *, may_draw: bool
    ) -> Reservation:
        """Reserve without asking peers."""

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Settle once."""


class _Loan(NamedTuple):
    borrower: str
    reservation: Reservation


class LoanServer:
    """
    Reserves for peers, and settles with them or for them.

    A loan is named by the borrower's reference, which it never uses twice.

    :param holder: this holder.
    :param accounts: its accounts.
    :param is_home: whether this router draws for others, by budget.
    :param is_dead: proof of a holder's death.
    :param resolve: reads what a dead borrower spent on a reservation; raises
        :class:`~eelgrassfork.errors.EelgrassError` while that is not known.
    :param settings: bounds.
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
        Serve peers, and resolve loans to dead ones in the background.

        :param nursery: where this runs.
        :param peers: the exchange with peers.
        """
        peers.register(RESERVE_KIND, self._serve_reserve)
        peers.register(SETTLE_KIND, self._serve_settle)
        nursery.start_soon(self._resolve_periodically)

    async def close(self) -> None:
        """Stop resolving; peers are served as long as they can call."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: open loans in tokens by reference.
        """
        return {
            'amounts_lent_by_reference': {
                reference: loan.reservation.amount
                for reference, loan in self._loans_by_reference.items()
            },
        }

    async def resolve_dead(self) -> None:
        """Settle the loans of dead borrowers whose spend is known."""
        for reference, loan in list(self._loans_by_reference.items()):
            if self._is_dead(loan.borrower):
                await self._resolve_loan(reference, loan)

    async def _serve_reserve(self, sender: str, payload: Payload) -> Payload:
        reference = str(payload['reference'])
        _check_reference(sender, reference)
        if reference in self._finished_references or self._is_dead(sender):
            raise LendingRefused('loan_finished', f'{reference} is settled')
        budget, amount = str(payload['budget']), int(payload['amount'])
        reservation = await self._accounts.reserve_for_peer(
            budget, amount, may_draw=self._is_home(budget)
        )
        if reference in self._finished_references:
            self._accounts.settle(reservation, 0)
            raise LendingRefused('loan_finished', f'{reference} is settled')
        self._loans_by_reference[reference] = _Loan(sender, reservation)
        _log.debug('lending: {} tokens of {} to {}', amount, budget, sender)
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
            _log.warning('lending: {} stays open: {}', reference, error)
            return
        _log.info('lending: {} spent {} on {}', loan.borrower, spent, reference)
        self._finish_loan(reference, spent)


def _check_reference(sender: str, reference: str) -> None:
    if not reference.startswith(f'{sender}/'):
        raise LendingRefused('bad_reference', f'{reference} is not {sender}')
