"""
eelgrassfork.issued_key_use
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Uses idempotency keys that were issued by this router or a peer.
"""

import functools
import random
import secrets
from typing import Any, Final, Protocol

import logbook
import msgspec
import trio

from .claim_records import (
    Claim,
    ClaimAnswer,
    ClaimState,
    ReplayedAnswer,
    object_key,
    resolve_repeat,
)
from .claims import Claims, NewClaim
from .errors import EelgrassError, RequestError
from .issued_key_messages import (
    USE_ISSUED_KEY,
    KeyMessage,
    KeyReport,
    KeyResponse,
    as_payload,
    decode_message,
    decode_response,
    response_from_error,
)
from .issued_key_table import IssuedKey, KeyEvicted, parse_key
from .issued_keys import IssuedKeys, Requester
from .names import vm_of_holder
from .peer_messages import Payload
from .peering import PeerHandler, PeerRefused, PeerUnreachable
from .permits import Permit
from .platform_types import PlatformError

__all__ = ('IssuedKeyUse', 'KeyPeers')

_log = logbook.Logger('keys')

_ASK_BYTES: Final = 12
_MAX_ASKS: Final = 2
_MAX_UNREPORTED: Final = 1024
# If the first report fails, a larger body is written only to the platform.
_MAX_REPORTED_BYTES: Final = 4096
_FIRST_DELAY_S: Final = 0.5
_MAX_DELAY_S: Final = 10.0
_MIN_JITTER: Final = 0.5
_MAX_DOUBLINGS: Final = 8


class KeyPeers(Protocol):
    """The operations of the peer exchange that keys use."""

    def register(self, kind: str, handler: PeerHandler) -> None:
        """Register the handler of one kind of call."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""


class IssuedKeyUse:
    """
    Requests grants from the issuers of keys, and reports outcomes to them.

    :param keys: the keys of this holder.
    :param claims: claims on the platform, and this holder's identity.
    :param peers: the peer exchange.
    """

    def __init__(
        self, keys: IssuedKeys, claims: Claims, peers: KeyPeers
    ) -> None:
        self._keys = keys
        self._claims = claims
        self._peers = peers
        self._unreported_by_ask: dict[str, KeyMessage] = {}
        self._report_added = trio.Event()
        self._scope = trio.CancelScope()
        self._jitter = random.Random()  # noqa: S311

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Serve peers, and start to retry reports in the background.

        :param nursery: nursery for the background task.
        """
        self._peers.register(USE_ISSUED_KEY, self.serve)
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop retrying reports."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    async def permit(self, key: IssuedKey, order: NewClaim) -> Permit:
        """
        Get permission to send a request under an issued key.

        :param key: the parsed key of the order.
        :param order: the request.
        :returns: permission to send it once.
        :raises ReplayedAnswer: if the request ran and its answer was stored.
        :raises RequestError: if the request may not be sent.
        """
        own = self._claims.identity
        requester = Requester(
            own.holder, own.listed_at(), secrets.token_urlsafe(_ASK_BYTES)
        )
        if key.holder == own.holder:
            return await self._permit_locally(requester, key.number, order)
        if vm_of_holder(key.holder) == vm_of_holder(own.holder):
            # This holder replaced the issuer on its VM.
            raise await self._resolve_without_issuer(order)
        return await self._permit_by_peer(requester, key, order)

    async def serve(self, sender: str, payload: Payload) -> Payload:
        """
        Handle an ask for, or a report about, a key of this holder.

        :param sender: holder of the peer.
        :param payload: a :class:`KeyMessage`.
        :returns: a :class:`KeyResponse`.
        :raises EelgrassError: ``bad_call`` if the payload is not a valid message.
        """
        try:
            message = decode_message(payload)
        except msgspec.DecodeError as error:
            raise EelgrassError('bad_call', str(error)) from None
        key = parse_key(message.key)
        response = KeyResponse('gone')
        if key is not None and key.holder == self._claims.identity.holder:
            requester = Requester(sender, message.listed_at, message.ask)
            response = await self._handle_message(
                requester, key.number, message
            )
        return as_payload(response)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: state of the keys issued here, and number of reports that
            are not acknowledged.
        """
        return {**self._keys.dump(), 'unreported': len(self._unreported_by_ask)}

    async def _permit_locally(
        self, requester: Requester, number: int, order: NewClaim
    ) -> Permit:
        try:
            await self._keys.use(requester, number, order)
        except KeyEvicted:
            raise await self._resolve_without_issuer(order) from None
        return functools.partial(self._keys.report, requester, number)

    async def _permit_by_peer(
        self, requester: Requester, key: IssuedKey, order: NewClaim
    ) -> Permit:
        message = KeyMessage(
            order.key, requester.ask, requester.listed_at, order
        )
        response = await self._ask(key, message)
        if response.kind == 'granted' and response.claim is not None:
            claim = Claim(
                object_key(order.budget, order.key), response.claim, None
            )
            return functools.partial(self._finish, message, claim)
        if response.kind == 'replay' and response.answer is not None:
            raise ReplayedAnswer(response.answer)
        if response.kind == 'refused':
            raise response.error()
        raise await self._resolve_without_issuer(order)

    async def _ask(self, key: IssuedKey, message: KeyMessage) -> KeyResponse:
        maybe_granted = False
        for _ in range(_MAX_ASKS):
            try:
                return await self._call(key, message)
            except PeerUnreachable as error:
                maybe_granted = maybe_granted or error.sent
            except EelgrassError as error:
                _log.warning('keys: ask for {} failed: {}', key, error)
                maybe_granted = True
                break
        if maybe_granted:
            # A grant may still be in transit; it will not be used.
            self._queue_report(message, KeyReport('released'))
        return KeyResponse('gone')

    async def _call(self, key: IssuedKey, message: KeyMessage) -> KeyResponse:
        payload = await self._peers.call(
            vm_of_holder(key.holder), USE_ISSUED_KEY, as_payload(message)
        )
        try:
            return decode_response(payload)
        except msgspec.DecodeError as error:
            raise PeerRefused('bad_answer', str(error)) from None

    async def _resolve_without_issuer(
        self, order: NewClaim
    ) -> RequestError | ReplayedAnswer:
        try:
            record = await self._claims.find(
                object_key(order.budget, order.key)
            )
        except PlatformError:
            return _refused_unsent(
                'claim_unreachable',
                'neither the issuer of the key nor the platform can be reached',
            )
        if record is None or record.state == 'released':
            return _refused_unsent(
                'outcome_unknown',
                'the router that issued the key cannot be reached',
            )
        return resolve_repeat(
            record, order.body_hash, self._claims.identity.is_dead
        )

    async def _finish(
        self,
        message: KeyMessage,
        claim: Claim,
        state: ClaimState,
        answer: ClaimAnswer | None,
    ) -> None:
        # Queued before the first attempt, so that it is not lost on
        # cancellation.
        self._queue_report(message, KeyReport(state, answer))
        report = _report_of(message, KeyReport(state, answer))
        if await self._try_report(report) == 'noted':
            self._unreported_by_ask.pop(message.ask, None)
            return
        record = msgspec.structs.replace(
            claim.record, state=state, answer=answer
        )
        self._claims.writer.add(claim._replace(record=record))

    def _queue_report(self, message: KeyMessage, report: KeyReport) -> None:
        queued = report
        if _body_size(report) > _MAX_REPORTED_BYTES and report.answer:
            answer = msgspec.structs.replace(report.answer, body=None)
            queued = KeyReport(report.state, answer)
        self._unreported_by_ask[message.ask] = _report_of(message, queued)
        if len(self._unreported_by_ask) > _MAX_UNREPORTED:
            oldest = next(iter(self._unreported_by_ask))
            dropped = self._unreported_by_ask.pop(oldest)
            _log.error(
                'keys: too many pending reports, dropped the one for {}',
                dropped.key,
            )
        self._report_added.set()

    async def _run(self) -> None:
        failures = 0
        with self._scope:
            while True:
                if not self._unreported_by_ask:
                    self._report_added = trio.Event()
                    await self._report_added.wait()
                await trio.sleep(self._delay(failures))
                failures = 0 if await self._report_all() else failures + 1

    def _delay(self, failures: int) -> float:
        factor: float = self._jitter.uniform(_MIN_JITTER, 1)
        uncapped_s: float = _FIRST_DELAY_S * 2 ** min(failures, _MAX_DOUBLINGS)
        return factor * min(uncapped_s, _MAX_DELAY_S)

    async def _report_all(self) -> bool:
        all_noted = True
        for ask, report in list(self._unreported_by_ask.items()):
            if await self._try_report(report):
                self._unreported_by_ask.pop(ask, None)
            else:
                all_noted = False
        return all_noted

    async def _try_report(self, report: KeyMessage) -> str:
        key = parse_key(report.key)
        if key is None or self._claims.identity.is_dead(key.holder, 0):
            return 'gone'
        try:
            response = await self._call(key, report)
        except EelgrassError as error:
            _log.info(
                'keys: report for {} failed, not acknowledged: {}', key, error
            )
            return ''
        return response.kind

    async def _handle_message(
        self, requester: Requester, number: int, message: KeyMessage
    ) -> KeyResponse:
        if message.report is not None:
            await self._keys.report(requester, number, *message.report)
            return KeyResponse('noted')
        if message.order is None:
            raise EelgrassError(
                'bad_call', 'message contains neither an order nor a report'
            )
        try:
            record = await self._keys.use(requester, number, message.order)
        except KeyEvicted:
            return KeyResponse('gone')
        except (RequestError, ReplayedAnswer) as error:
            return response_from_error(error)
        return KeyResponse('granted', claim=record)


def _report_of(message: KeyMessage, report: KeyReport) -> KeyMessage:
    return KeyMessage(message.key, message.ask, message.listed_at, None, report)


def _body_size(report: KeyReport) -> int:
    answer = report.answer
    return 0 if answer is None or answer.body is None else len(answer.body)


def _refused_unsent(code: str, message: str) -> RequestError:
    return RequestError(code, message, 'unknown', attempt='not_run')
