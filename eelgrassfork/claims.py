"""
eelgrassfork.claims
~~~~~~~~~~~~~~~~~~~

Claims of non-idempotent requests at the platform.
"""

import secrets
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import msgspec
import trio

from .claim_records import (
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimState,
    IsDead,
    resolve_repeat,
    decode_claim,
    encode_claim,
    object_key,
)
from .claim_writer import ClaimStore, ClaimWriter
from .errors import Outcome, RequestError
from .platform_types import (
    AnswerLost,
    Conflict,
    PlatformError,
    StoredObject,
)

__all__ = ('Claims', 'ClaimsIdentity', 'NewClaim', 'new_record')

_NONCE_BYTES: Final = 12
# Each try may take the whole timeout of the platform.
_MAX_TRIES: Final = 3


class ClaimsIdentity(NamedTuple):
    """
    Who claims, and who else is known to be dead.

    :param holder: this holder.
    :param listed_at: query for a revision of the VM list that listed this
        holder's VM, or 0.
    :param is_dead: takes a holder and such a revision; true only with proof.
    """

    holder: str
    listed_at: Callable[[], int]
    is_dead: IsDead


class NewClaim(NamedTuple):
    """
    What is to be claimed.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param key: the idempotency key.
    :param body_hash: hash of method, target and body.
    :param request_id: identity that the backend server will see.
    :param price: tokens.
    :param payer: payer tag that the price will be reserved under; empty if
        it is not known or the price is 0.
    :param first_attempt: whether no earlier attempt of the caller exists.
    """

    budget: str
    key: str
    body_hash: str
    request_id: str
    price: int
    payer: str = ''
    first_attempt: bool = False


def new_record(wanted: NewClaim, identity: ClaimsIdentity) -> ClaimRecord:
    """
    Make the record of a claim in the state ``claimed``.

    :param wanted: what is to be claimed.
    :param identity: who claims.
    :returns: the record, with a nonce of its own.
    """
    return ClaimRecord(
        body_hash=wanted.body_hash,
        holder=identity.holder,
        listed_at=identity.listed_at(),
        nonce=secrets.token_urlsafe(_NONCE_BYTES),
        request_id=wanted.request_id,
        price=wanted.price,
        payer=wanted.payer,
    )


class Claims:
    """
    Claims, their outcomes, and the answers to repeated keys.

    A claim names one holder for all time: nobody takes it over, so a holder
    that was paused and wakes is still the only sender. A claim is
    ``released`` only by its holder, and only if nothing was sent.

    :param store: the platform.
    :param identity: this holder, and proof of other holders' death.
    """

    def __init__(self, store: ClaimStore, identity: ClaimsIdentity) -> None:
        self._store = store
        self.identity = identity
        self.writer = ClaimWriter(store)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Write pending outcomes in the background.

        :param nursery: where this runs.
        """
        await self.writer.start(nursery)

    async def close(self) -> None:
        """Stop, after a last try of every pending outcome."""
        await self.writer.close()

    async def claim(self, wanted: NewClaim) -> Claim:
        """
        Become the only holder that may send a request.

        When this raises, this holder never sends the request for this call;
        a claim that may have been made all the same is released in the
        background.

        :param wanted: what is to be claimed.
        :returns: the claim.
        :raises ReplayedAnswer: if the request ran and its answer was kept.
        :raises RequestError: any other answer to a repeated key, or
            ``claim_unreachable``.
        """
        key = object_key(wanted.budget, wanted.key)
        pending = self.writer.find(key)
        if pending is not None and pending.state != 'released':
            await trio.lowlevel.checkpoint()
            raise resolve_repeat(
                pending, wanted.body_hash, self.identity.is_dead
            )
        record = new_record(wanted, self.identity)
        return await self._create(Claim(key, record, None), wanted)

    async def update_payer(self, claim: Claim, payer: str) -> Claim:
        """
        Write down another payer before the request is sent.

        If this holder dies, a peer that lent the credit finds the claim by
        its payer tag.

        :param claim: the claim.
        :param payer: payer tag of the reservation.
        :returns: the claim as it is now.
        :raises RequestError: ``claim_unreachable``; the claim is to be
            released.
        """
        record = msgspec.structs.replace(claim.record, payer=payer)
        try:
            version = await self._store.put(
                claim.key, encode_claim(record), claim.version
            )
        except PlatformError as error:
            raise _unreachable(error, 'not_run') from None
        return Claim(claim.key, record, version)

    async def record(
        self,
        claim: Claim,
        state: ClaimState,
        answer: ClaimAnswer | None = None,
    ) -> None:
        """
        Write the outcome of a claim; retried in the background.

        :param claim: the claim.
        :param state: ``ran``, ``unknown``, or ``released`` if nothing was
            sent.
        :param answer: the first answer of a request that ran.
        """
        record = msgspec.structs.replace(
            claim.record, state=state, answer=answer
        )
        await self.writer.write(claim._replace(record=record))

    async def find(self, key: str) -> ClaimRecord | None:
        """
        Read the claim of a key.

        :param key: object key of the claim.
        :returns: the record that is known best, or ``None``.
        :raises PlatformError: if the platform can't be read.
        """
        pending = self.writer.find(key)
        if pending is not None:
            await trio.lowlevel.checkpoint()
            return pending
        stored = await self._store.get(key)
        return decode_claim(stored.body) if stored else None

    async def list_by_payer(self, payer_prefix: str) -> list[ClaimRecord]:
        """
        List the claims that draw on a holder's accounts, for reclaiming.

        The price of a claim is spent unless its payer's number is settled in
        the ledger. Released claims cost nothing and are left out.

        :param payer_prefix: ``<holder>/``, or a whole payer tag.
        :returns: the records, without their answers.
        :raises PlatformError: if the platform can't be read.
        """
        _, _, budget = payer_prefix.partition('/')
        organisation = '/'.join(budget.split('/')[:2])
        prefix = f'claims/{organisation}/' if organisation else 'claims/'
        stored = await self._store.list_objects(prefix)
        records = (decode_claim(each.body) for each in stored)
        return [
            msgspec.structs.replace(record, answer=None)
            for record in records
            if record.state != 'released'
            and record.payer.startswith(payer_prefix)
        ]

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: what is not written yet.
        """
        return self.writer.dump()

    async def _create(self, claim: Claim, wanted: NewClaim) -> Claim:
        first: Outcome = 'not_run' if wanted.first_attempt else 'unknown'
        attempt = _Attempt(claim)
        for _ in range(_MAX_TRIES):
            try:
                await self._try_create(attempt)
            except PlatformError as error:
                self._give_up(attempt)
                raise _unreachable(error, first) from None
            if attempt.made:
                return attempt.claim
            self._check_found(attempt.found, wanted)
        self._give_up(attempt)
        raise RequestError(
            'claim_unreachable',
            'the platform did not confirm the claim of the request',
            first,
            attempt='not_run',
        )

    async def _try_create(self, attempt: '_Attempt') -> None:
        claim = attempt.claim
        body = encode_claim(claim.record)
        try:
            version = await self._store.put(claim.key, body, claim.version)
        except AnswerLost:
            # Tried again on the same condition, which fails if the lost
            # write took effect.
            attempt.doubtful = claim
        except Conflict:
            attempt.learn(await self._store.get(claim.key))
        else:
            attempt.confirm(version)

    def _check_found(self, found: ClaimRecord | None, wanted: NewClaim) -> None:
        if found is None:
            return
        if found.state != 'released' or found.body_hash != wanted.body_hash:
            raise resolve_repeat(found, wanted.body_hash, self.identity.is_dead)

    def _give_up(self, attempt: '_Attempt') -> None:
        if attempt.doubtful is None:
            return
        # A write whose answer was lost may still take effect. A released
        # record on the same condition keeps it from doing so, or replaces it.
        record = msgspec.structs.replace(
            attempt.doubtful.record, state='released'
        )
        self.writer.add(attempt.doubtful._replace(record=record))


class _Attempt:
    """What is known while a claim is being made."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.made = False
        self.found: ClaimRecord | None = None
        self.doubtful: Claim | None = None

    def confirm(self, version: int) -> None:
        self.claim = self.claim._replace(version=version)
        self.made = True

    def learn(self, stored: StoredObject | None) -> None:
        if stored is None:
            self.claim = self.claim._replace(version=None)
            return
        # The object has moved on, so no lost write can take effect any more.
        self.doubtful = None
        self.claim = self.claim._replace(version=stored.version)
        self.found = decode_claim(stored.body)
        self.made = self.found.nonce == self.claim.record.nonce


def _unreachable(error: PlatformError, outcome: Outcome) -> RequestError:
    return RequestError(
        'claim_unreachable',
        f'the platform cannot record the claim: {error.code}',
        outcome,
        attempt='not_run',
    )
