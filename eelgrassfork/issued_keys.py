"""
eelgrassfork.issued_keys
~~~~~~~~~~~~~~~~~~~~~~~~

Issues idempotency keys, and alone decides who may use them.

A key that this holder issued can be used without the platform, because only
this process knows whether it was used, and it tells at most one asker "yes"
at a time. What holds when something fails in between:

* *The asking router dies after the yes.* The key stays in use. A repetition
  gets ``request_in_progress`` while that holder may be alive, and
  ``outcome_unknown`` once it is proven dead; nobody else sends.
* *The yes is lost.* The asker may ask again under the same identity of its
  ask and gets the same yes. If it gives up, it reports ``released`` until
  that is noted. An ask that arrives after its release is refused, so a
  delayed message can't take the key away.
* *The issuer pauses.* It answers late or not at all; the asker gives up as
  above. An asker that has its yes goes on without the issuer, and writes the
  outcome to the platform itself if its report isn't noted.
* *The issuer is replaced.* A new holder on the VM knows none of its keys and
  says so. The asker then looks for a claim at the platform; without one the
  answer is ``outcome_unknown``, never a run.
* *The same key with another body* gets ``idempotency_key_reused``.
* *A repetition while the issuer lives* gets the first answer, from memory or
  from the claim at the platform.

A key is forgotten when too many newer ones exist, and then counts as used.
The claim is written to the platform from the yes on, but a run never waits
for it. A holder that dies before the platform has it leaves a run that
nobody bills.
"""

from typing import Any, Final, NamedTuple

import msgspec
import trio

from .claim_records import (
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    ReplayedAnswer,
    object_key,
    resolve_repeat,
)
from .claims import Claims, NewClaim
from .errors import EelgrassError, RequestError
from .issued_key_table import (
    KeyEntry,
    KeyLimits,
    KeyTable,
)
from .permits import Credit, Reservation, reserve_price, settle_price

__all__ = ('Requester', 'IssuedKeys')

_SWEEP_S: Final = 5.0


class Requester(NamedTuple):
    """
    Who wants to use a key.

    :param holder: the asking holder, which will send.
    :param listed_at: a revision of the VM list that listed its VM, or 0.
    :param ask: random identity of this use; asking twice is one use.
    """

    holder: str
    listed_at: int
    ask: str


class _Grant:
    def __init__(self, key: str, entry: KeyEntry, record: ClaimRecord) -> None:
        self.key = key
        self.entry = entry
        self.record = record
        self.reservation: Reservation | None = None
        self.decided = trio.Event()


class IssuedKeys:
    """
    The issuer's side of the keys of this holder.

    :param claims: claims at the platform, and this holder's identity.
    :param credit: accounts of this holder, which pays for its keys.
    :param limits: bounds on memory.
    """

    def __init__(
        self, claims: Claims, credit: Credit, limits: KeyLimits | None = None
    ) -> None:
        self._claims = claims
        self._credit = credit
        self._table = KeyTable(claims.identity.holder, limits or KeyLimits())
        self._grants_by_ask: dict[str, _Grant] = {}
        self._scope = trio.CancelScope()

    @property
    def in_use(self) -> int:
        """Number of keys whose outcome is not known yet."""
        return len(self._grants_by_ask)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Find dead askers in the background.

        :param nursery: where this runs.
        """
        nursery.start_soon(self._sweep)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop looking for dead askers."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def issue(self, organisation: str) -> str:
        """
        Make a key; needs neither the platform nor peers.

        :param organisation: ``<fleet>/<organisation>`` that may use it.
        :returns: ``efk1.<holder>.<number>``.
        """
        return self._table.issue(organisation)

    async def use(
        self, requester: Requester, number: int, order: NewClaim
    ) -> ClaimRecord:
        """
        Allow one asker to send a request, and reserve its price.

        When this returns, the asker alone may send, until it reports.

        :param requester: who will send.
        :param number: number of the key.
        :param order: the request; its key is the whole key.
        :returns: the claim, which names the payer if there is a price.
        :raises KeyForgotten: if this holder can't tell any more.
        :raises ReplayedAnswer: if the request ran and its answer is kept.
        :raises RequestError: any other answer to the request.
        """
        entry = self._table.find(number, _organisation(order))
        record = entry.record
        grant = self._grants_by_ask.get(requester.ask)
        if grant is not None:
            await grant.decided.wait()
        elif record is None or _is_free(record, order):
            # No checkpoint between this test and the note of the use.
            grant = self._begin(entry, requester, order)
            await self._pay(requester.ask, grant, order.budget)
        else:
            raise await self._repeated(record, order)
        if self._grants_by_ask.get(requester.ask) is not grant:
            raise _given_up()
        return grant.record

    async def report(
        self,
        requester: Requester,
        number: int,
        state: ClaimState,
        answer: ClaimAnswer | None = None,
    ) -> None:
        """
        Note the outcome of a use; noting it again changes nothing.

        :param requester: who sent, or gave up.
        :param number: number of the key.
        :param state: ``ran``, ``unknown``, or ``released`` if nothing was
            sent.
        :param answer: the first answer of a request that ran.
        """
        grant = self._grants_by_ask.get(requester.ask)
        if grant is None:
            if state == 'released':
                self._table.reject_ask(number, requester.ask)
            await trio.lowlevel.checkpoint()
            return
        await grant.decided.wait()
        if self._grants_by_ask.pop(requester.ask, None) is grant:
            self._finish(requester.ask, grant, state, answer)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: numbers of keys, and the holders that use some.
        """
        askers = {each.record.holder for each in self._grants_by_ask.values()}
        return {
            **self._table.dump(),
            'in_use': self.in_use,
            'askers': sorted(askers),
        }

    async def _repeated(
        self, record: ClaimRecord, order: NewClaim
    ) -> RequestError | ReplayedAnswer:
        record = await self._with_answer(record, order)
        return resolve_repeat(
            record, order.body_hash, self._claims.identity.is_dead
        )

    def _check_room(self) -> None:
        # Each use leaves a record to be written; without the platform they
        # add up, and none may be lost.
        if self._claims.writer.is_full:
            raise RequestError(
                'claim_unreachable',
                'too many outcomes wait for the platform',
            )

    async def _with_answer(
        self, record: ClaimRecord, order: NewClaim
    ) -> ClaimRecord:
        answer = record.answer
        if answer is None or answer.body is not None:
            return record
        try:
            found = await self._claims.find(object_key(order.budget, order.key))
        except EelgrassError:
            return record
        return found if found and found.state == 'ran' else record

    def _begin(
        self, entry: KeyEntry, requester: Requester, order: NewClaim
    ) -> _Grant:
        if requester.ask in entry.rejected_asks:
            raise _given_up()
        self._check_room()
        last = entry.record
        record = ClaimRecord(
            body_hash=order.body_hash,
            holder=requester.holder,
            listed_at=requester.listed_at,
            nonce=entry.nonce,
            request_id=order.request_id,
            price=order.price,
            attempt=last.attempt + 1 if last else 0,
        )
        self._table.set_claim(entry, record)
        grant = _Grant(object_key(order.budget, order.key), entry, record)
        self._grants_by_ask[requester.ask] = grant
        return grant

    async def _pay(self, ask: str, grant: _Grant, budget: str) -> None:
        record = grant.record
        try:
            grant.reservation = await reserve_price(
                self._credit, budget, record.price
            )
        except BaseException:
            self._grants_by_ask.pop(ask, None)
            released = msgspec.structs.replace(record, state='released')
            self._table.set_claim(grant.entry, released)
            grant.entry.rejected_asks.append(ask)
            raise
        finally:
            grant.decided.set()
        payer = str(grant.reservation.payer) if grant.reservation else ''
        grant.record = msgspec.structs.replace(record, payer=payer)
        self._table.set_claim(grant.entry, grant.record)
        self._claims.writer.add(Claim(grant.key, grant.record, None))

    def _finish(
        self,
        ask: str,
        grant: _Grant,
        state: ClaimState,
        answer: ClaimAnswer | None,
    ) -> None:
        record = msgspec.structs.replace(
            grant.record, state=state, answer=answer
        )
        self._table.set_claim(grant.entry, record)
        if state == 'released':
            grant.entry.rejected_asks.append(ask)
        settle_price(self._credit, grant.reservation, state, record.price)
        self._claims.writer.add(Claim(grant.key, record, None))

    async def _sweep(self) -> None:
        with self._scope:
            while True:
                await trio.sleep(_SWEEP_S)
                self._finish_lost()

    def _finish_lost(self) -> None:
        for ask, grant in list(self._grants_by_ask.items()):
            if self._is_lost(grant):
                self._grants_by_ask.pop(ask)
                self._finish(ask, grant, 'unknown', None)

    def _is_lost(self, grant: _Grant) -> bool:
        identity = self._claims.identity
        record = grant.record
        return grant.decided.is_set() and identity.is_dead(
            record.holder, record.listed_at
        )


def _is_free(record: ClaimRecord, order: NewClaim) -> bool:
    return record.state == 'released' and record.body_hash == order.body_hash


def _organisation(order: NewClaim) -> str:
    return order.budget.rpartition('/')[0]


def _given_up() -> RequestError:
    return RequestError(
        'request_in_progress',
        'the use of the key was given up',
        'unknown',
        attempt='not_run',
    )
