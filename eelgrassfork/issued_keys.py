"""
eelgrassfork.issued_keys
~~~~~~~~~~~~~~~~~~~~~~~~

Issues idempotency keys and grants their use.

The issuer of a key is the only process that knows whether the key was used,
and it grants the key to at most one requester at a time. The key can
therefore be used without the platform. Behaviour under failures:

* *The requester dies after the grant.* The key stays in use. A repeated
  request gets ``request_in_progress`` while that holder may be alive, and
  ``outcome_unknown`` once it is proven dead; no other router sends it.
* *The grant is lost in transit.* The requester may ask again with the same
  ``ask`` identity and gets the same grant. If it gives up, it reports
  ``released`` until the report is acknowledged. An ask that arrives after
  its release is refused, so a delayed message cannot block the key.
* *The issuer pauses.* It answers late or not at all, and the requester gives
  up as above. A requester that has its grant continues without the issuer,
  and writes the outcome to the platform if its report is not acknowledged.
* *The issuer is replaced.* A new holder on the VM knows none of its keys and
  answers ``gone``. The requester then looks up the claim on the platform;
  without one the request is not run and gets ``outcome_unknown``.
* *The same key with another body* gets ``idempotency_key_reused``.
* *A repeated request while the issuer is alive* gets the first answer, from
  memory or from the claim on the platform.

The oldest keys are evicted when there are too many, and then count as used.
The claim is written to the platform from the grant on, in the background; the
run does not wait for it. If the holder dies before the claim is written, the
run is not billed.
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
    A router that requests the use of a key.

    :param holder: the requesting holder, which will send the request.
    :param listed_at: a revision of the VM list that contains its VM, or 0.
    :param ask: random identity of this use; a repeated ask is the same use.
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

    :param claims: claims on the platform, and this holder's identity.
    :param credit: accounts of this holder, which are charged for its keys.
    :param limits: memory limits.
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
        """Number of granted uses without an outcome."""
        return len(self._grants_by_ask)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start looking for dead requesters in the background.

        :param nursery: nursery for the background task.
        """
        nursery.start_soon(self._sweep)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop looking for dead requesters."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    def issue(self, organisation: str) -> str:
        """
        Issue a key, without contacting the platform or peers.

        :param organisation: ``<fleet>/<organisation>`` that may use it.
        :returns: ``efk1.<holder>.<number>``.
        """
        return self._table.issue(organisation)

    async def use(
        self, requester: Requester, number: int, order: NewClaim
    ) -> ClaimRecord:
        """
        Grant a key to one requester and reserve the price of its request.

        After this returns, only that requester may send, until it reports.

        :param requester: the router that will send the request.
        :param number: number of the key.
        :param order: the request; its ``key`` is the complete key.
        :returns: the claim, which names the payer if there is a price.
        :raises KeyEvicted: if the key is no longer in memory.
        :raises ReplayedAnswer: if the request ran and its answer is stored.
        :raises RequestError: if the request may not be sent.
        """
        entry = self._table.find(number, _organisation(order))
        record = entry.record
        grant = self._grants_by_ask.get(requester.ask)
        if grant is not None:
            await grant.decided.wait()
        elif record is None or _is_reusable(record, order):
            # There must be no checkpoint between this test and the moment at
            # which the use is stored.
            grant = self._begin_use(entry, requester, order)
            await self._reserve(requester.ask, grant, order.budget)
        else:
            raise await self._repeat_error(record, order)
        if self._grants_by_ask.get(requester.ask) is not grant:
            raise _use_abandoned()
        return grant.record

    async def report(
        self,
        requester: Requester,
        number: int,
        state: ClaimState,
        answer: ClaimAnswer | None = None,
    ) -> None:
        """
        Record the outcome of a use; repeated reports have no effect.

        :param requester: the router that sent the request or gave up.
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

        :returns: counts of keys, and the holders that are using keys.
        """
        requesters = {
            each.record.holder for each in self._grants_by_ask.values()
        }
        return {
            **self._table.dump(),
            'in_use': self.in_use,
            'askers': sorted(requesters),
        }

    async def _repeat_error(
        self, record: ClaimRecord, order: NewClaim
    ) -> RequestError | ReplayedAnswer:
        record = await self._with_answer(record, order)
        return resolve_repeat(
            record, order.body_hash, self._claims.identity.is_dead
        )

    def _check_capacity(self) -> None:
        # Each use queues a record. During a platform outage the records
        # accumulate, and none may be lost.
        if self._claims.writer.is_full:
            raise RequestError(
                'claim_unreachable',
                'too many outcomes are waiting to be written to the platform',
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

    def _begin_use(
        self, entry: KeyEntry, requester: Requester, order: NewClaim
    ) -> _Grant:
        if requester.ask in entry.rejected_asks:
            raise _use_abandoned()
        self._check_capacity()
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

    async def _reserve(self, ask: str, grant: _Grant, budget: str) -> None:
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
                self._finish_dead()

    def _finish_dead(self) -> None:
        for ask, grant in list(self._grants_by_ask.items()):
            if self._is_requester_dead(grant):
                self._grants_by_ask.pop(ask)
                self._finish(ask, grant, 'unknown', None)

    def _is_requester_dead(self, grant: _Grant) -> bool:
        identity = self._claims.identity
        record = grant.record
        return grant.decided.is_set() and identity.is_dead(
            record.holder, record.listed_at
        )


def _is_reusable(record: ClaimRecord, order: NewClaim) -> bool:
    return record.state == 'released' and record.body_hash == order.body_hash


def _organisation(order: NewClaim) -> str:
    return order.budget.rpartition('/')[0]


def _use_abandoned() -> RequestError:
    return RequestError(
        'request_in_progress',
        'the use of the key was abandoned',
        'unknown',
        attempt='not_run',
    )
