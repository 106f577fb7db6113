"""
eelgrassfork.claims
~~~~~~~~~~~~~~~~~~~

Creates and updates claims of non-idempotent requests on the platform.
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
    decode_claim,
    encode_claim,
    object_key,
    resolve_repeat,
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
# Each attempt may last for the full platform timeout.
_MAX_ATTEMPTS: Final = 3


class ClaimsIdentity(NamedTuple):
    """
    The holder that makes claims, and its check for dead holders.

    :param holder: identity of this holder.
    :param listed_at: returns a revision of the VM list that contains this
        holder's VM, or 0.
    :param is_dead: takes a holder and such a revision; returns true only if
        the holder is proven dead.
    """

    holder: str
    listed_at: Callable[[], int]
    is_dead: IsDead


class NewClaim(NamedTuple):
    """
    A request to be claimed.

    :param budget: ``<fleet>/<organisation>/<budget>``.
    :param key: the idempotency key.
    :param body_hash: hash of method, target and body.
    :param request_id: request identity that the backend server receives.
    :param price: tokens.
    :param payer: payer tag under which the price will be reserved; empty if
        it is not known or the price is 0.
    :param first_attempt: whether this is the caller's first attempt.
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
    Create the record of a claim in the state ``claimed``.

    :param wanted: the request to claim.
    :param identity: the claiming holder.
    :returns: the record, with a new nonce.
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
    Claims, their outcomes, and the responses to repeated keys.

    The holder of a claim never changes: no other holder takes it over, so a
    holder that resumes after a pause is still the only sender. A claim is
    ``released`` only by its holder, and only if nothing was sent.

    :param store: client of the platform.
    :param identity: this holder, and its check for dead holders.
    """

    def __init__(self, store: ClaimStore, identity: ClaimsIdentity) -> None:
        self._store = store
        self.identity = identity
        self.writer = ClaimWriter(store)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start writing pending outcomes in the background.

        :param nursery: nursery for the background task.
        """
        await self.writer.start(nursery)

    async def close(self) -> None:
        """Stop after a final attempt to write every pending outcome."""
        await self.writer.close()

    async def claim(self, wanted: NewClaim) -> Claim:
        """
        Claim a request, so that only this holder may send it.

        If this raises, this holder does not send the request for this call;
        a claim that may nevertheless have been created is released in the
        background.

        :param wanted: the request to claim.
        :returns: the claim.
        :raises ReplayedAnswer: if the request ran and its answer was stored.
        :raises RequestError: for any other repeated key, or
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
        Record a different payer before the request is sent.

        If this holder dies, a peer that lent the credit finds the claim by
        its payer tag.

        :param claim: the claim.
        :param payer: payer tag of the reservation.
        :returns: the updated claim.
        :raises RequestError: ``claim_unreachable``; the caller must release
            the claim.
        """
        record = msgspec.structs.replace(claim.record, payer=payer)
        try:
            version = await self._store.put(
                claim.key, encode_claim(record), claim.version
            )
        except PlatformError as error:
            raise _claim_unreachable(error, 'not_run') from None
        return Claim(claim.key, record, version)

    async def record(
        self,
        claim: Claim,
        state: ClaimState,
        answer: ClaimAnswer | None = None,
    ) -> None:
        """
        Write the outcome of a claim, with retries in the background.

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
        :returns: the pending record if there is one, otherwise the stored
            record, or ``None``.
        :raises PlatformError: if the platform cannot be read.
        """
        pending = self.writer.find(key)
        if pending is not None:
            await trio.lowlevel.checkpoint()
            return pending
        stored = await self._store.get(key)
        return decode_claim(stored.body) if stored else None

    async def list_by_payer(self, payer_prefix: str) -> list[ClaimRecord]:
        """
        List the claims charged to a holder's accounts, for reclaiming.

        The price of a claim counts as spent unless its payer's number is
        settled in the ledger. Released claims cost nothing and are omitted.

        :param payer_prefix: ``<holder>/``, or a complete payer tag.
        :returns: the records, without their answers.
        :raises PlatformError: if the platform cannot be read.
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

        :returns: state of the writer, see :meth:`ClaimWriter.dump`.
        """
        return self.writer.dump()

    async def _create(self, claim: Claim, wanted: NewClaim) -> Claim:
        refused_outcome: Outcome = (
            'not_run' if wanted.first_attempt else 'unknown'
        )
        attempt = _Attempt(claim)
        for _ in range(_MAX_ATTEMPTS):
            try:
                await self._try_create(attempt)
            except PlatformError as error:
                self._release_unconfirmed(attempt)
                raise _claim_unreachable(error, refused_outcome) from None
            if attempt.is_created:
                return attempt.claim
            self._check_found(attempt.found, wanted)
        self._release_unconfirmed(attempt)
        raise RequestError(
            'claim_unreachable',
            'the platform did not confirm the claim of the request',
            refused_outcome,
            attempt='not_run',
        )

    async def _try_create(self, attempt: '_Attempt') -> None:
        claim = attempt.claim
        body = encode_claim(claim.record)
        try:
            version = await self._store.put(claim.key, body, claim.version)
        except AnswerLost:
            # Retried with the same expected version, which conflicts if
            # the unconfirmed write took effect.
            attempt.unconfirmed = claim
        except Conflict:
            attempt.update_from_stored(await self._store.get(claim.key))
        else:
            attempt.confirm(version)

    def _check_found(self, found: ClaimRecord | None, wanted: NewClaim) -> None:
        if found is None:
            return
        if found.state != 'released' or found.body_hash != wanted.body_hash:
            raise resolve_repeat(found, wanted.body_hash, self.identity.is_dead)

    def _release_unconfirmed(self, attempt: '_Attempt') -> None:
        if attempt.unconfirmed is None:
            return
        # An unconfirmed write may still take effect. Writing a released
        # record with the same expected version prevents that or replaces it.
        record = msgspec.structs.replace(
            attempt.unconfirmed.record, state='released'
        )
        self.writer.add(attempt.unconfirmed._replace(record=record))


class _Attempt:
    """Progress of the creation of a claim, across several writes."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.is_created = False
        self.found: ClaimRecord | None = None
        self.unconfirmed: Claim | None = None

    def confirm(self, version: int) -> None:
        self.claim = self.claim._replace(version=version)
        self.is_created = True

    def update_from_stored(self, stored: StoredObject | None) -> None:
        if stored is None:
            self.claim = self.claim._replace(version=None)
            return
        # The version has changed, so no unconfirmed write can take effect.
        self.unconfirmed = None
        self.claim = self.claim._replace(version=stored.version)
        self.found = decode_claim(stored.body)
        self.is_created = self.found.nonce == self.claim.record.nonce


def _claim_unreachable(error: PlatformError, outcome: Outcome) -> RequestError:
    return RequestError(
        'claim_unreachable',
        f'the platform cannot record the claim: {error.code}',
        outcome,
        attempt='not_run',
    )
