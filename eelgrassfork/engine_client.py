"""
eelgrassfork.engine_client
~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the engines: chat, streams, records, cancellation and orders.
"""

from collections.abc import AsyncGenerator
from typing import Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio

from .engine_types import (
    EngineCall,
    EngineError,
    EngineRecord,
    EngineState,
    refusal_code,
)
from .http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
    Response,
)
from .leases import Lease
from .sse import EventSplitter, EventTooLarge

__all__ = ('EngineAnswer', 'EngineClient')

_Decoded = TypeVar('_Decoded')

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONNECT_S: Final = 1.0
_QUERY_TIMEOUTS: Final = ClientTimeouts(_CONNECT_S, 2, 2)
_ORDER_TIMEOUTS: Final = ClientTimeouts(_CONNECT_S, 60, 10)
_JSON: Final = ('content-type', 'application/json')
_CLOSE_CONNECTION: Final = ('connection', 'close')


class _Records(msgspec.Struct):
    requests: list[EngineRecord]


class _ErrorDetail(msgspec.Struct):
    code: str = ''
    message: str = ''


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class EngineAnswer:
    """
    A validated answer whose head has arrived; :meth:`close` must be called.

    :ivar payer: text form of the payer tag of the request's first call.
    """

    def __init__(self, response: Response, payer: str) -> None:
        self._response = response
        self.payer = payer

    async def read(self) -> bytes:
        """
        Read the complete body of an unstreamed answer.

        :returns: the body.
        :raises EngineError: if the answer is truncated or times out.
        """
        try:
            return await self._response.read()
        except HttpClientError as error:
            raise _engine_error(error) from None

    async def events(self) -> AsyncGenerator[list[bytes], None]:
        """
        Read a stream.

        :returns: generator of lists of events that arrived together,
            unchanged; it ends only after the terminating chunk.
        :raises EngineError: if the stream is truncated, times out or is
            invalid.
        """
        splitter = EventSplitter()
        try:
            async for chunk in self._response.chunks():
                events = splitter.feed(chunk)
                if events:
                    yield events
        except HttpClientError as error:
            raise _engine_error(error) from None
        except EventTooLarge as error:
            raise EngineError('bad_answer', error.message) from None
        if splitter.pending:
            raise EngineError('bad_answer', 'the last event is incomplete')

    async def close(self) -> None:
        """Return the connection to the pool, or close it if incomplete."""
        await self._response.close()


class EngineClient:
    """
    Client of the engine API.

    :param http: HTTP client with its connection pool.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def open(self, call: EngineCall) -> EngineAnswer:
        """
        Send a chat request and wait for the head of its answer.

        A connection without an answer in time is closed and the request is
        sent again on a new one, where it attaches to the same generation.

        :param call: request to send.
        :returns: the answer, to be closed by the caller.
        :raises EngineError: if there is no valid answer to this request.
        """
        sent = False
        for wait_s in call.head_timeouts_s:
            try:
                return await self._send_chat(
                    call, wait_s, resume_from=0, fresh=sent
                )
            except ReceiveTimeout:
                sent = True
                # The other idle connections may be silent as well.
                await self._http.close_idle(call.address)
            except HttpClientError as error:
                raise _engine_error(error, sent) from None
        message = f'timed out waiting for an answer of {call.address}'
        raise EngineError('engine_silent', message)

    async def resume(self, call: EngineCall, next_event: int) -> EngineAnswer:
        """
        Resume an interrupted stream on a new connection.

        :param call: the interrupted call.
        :param next_event: sequence number of the first event to receive.
        :returns: the answer, to be closed by the caller.
        :raises EngineError: if there is no valid answer to this request.
        """
        try:
            return await self._send_chat(
                call, call.silence_s, resume_from=next_event, fresh=True
            )
        except HttpClientError as error:
            raise _engine_error(error, sent=True) from None

    async def cancel(
        self, address: str, request_id: str
    ) -> EngineRecord | None:
        """
        Cancel a request; has no effect on one that has ended.

        :param address: address of the engine.
        :param request_id: identity of the request.
        :returns: its record, or ``None`` if the engine has none.
        :raises EngineError: if the call fails.
        """
        target = f'/v1/requests/{quote(request_id, safe="")}'
        status, body = await self._query(address, 'DELETE', target)
        if status == _NOT_FOUND:
            return None
        return _decode_answer(status, body, EngineRecord)

    async def records(
        self, address: str, payer_prefix: str
    ) -> list[EngineRecord]:
        """
        List the records of an engine by payer.

        :param address: address of the engine.
        :param payer_prefix: prefix of the payer tags, empty for all.
        :returns: the records.
        :raises EngineError: if the call fails.
        """
        query = urlencode({'payer': payer_prefix})
        status, body = await self._query(
            address, 'GET', f'/v1/requests?{query}'
        )
        return _decode_answer(status, body, _Records).requests

    async def find(self, address: str, request_id: str) -> EngineRecord | None:
        """
        Find the record of a request of any payer.

        :param address: address of the engine.
        :param request_id: identity of the request.
        :returns: the record, or ``None`` if the engine has none.
        :raises EngineError: if the call fails.
        """
        # The API lists records by payer only, and the payer may be any
        # holder.
        for record in await self.records(address, ''):
            if record.request_id == request_id:
                return record
        return None

    async def order(
        self, address: str, order: str, name: str, lease: Lease
    ) -> None:
        """
        Send an order to an engine under a lease.

        An engine that ignores fencing numbers also accepts an order whose
        lease expires in transit; the next holder of the lease corrects it.

        :param address: address of the engine.
        :param order: kind of the order.
        :param name: model, version, adapter or role that it applies to.
        :param lease: the held lease.
        :raises EngineError: if the order was refused or may not have taken
            effect; ``order_fenced`` if the lease has expired or the engine
            has seen a higher fencing number.
        """
        if trio.current_time() >= lease.valid_until:
            message = f'lease {lease.name} expired before the order was sent'
            raise EngineError('order_fenced', message)
        fields = {
            'order': order,
            'name': name,
            'fencing_number': lease.fencing_number,
        }
        status, body = await self._query_unpooled(
            ClientRequest(
                address, 'POST', '/v1/orders', body=msgspec.json.encode(fields)
            ),
            _ORDER_TIMEOUTS,
        )
        if status != _OK:
            raise _order_refusal(status, body)

    async def state(self, address: str) -> EngineState:
        """
        Fetch the state of an engine.

        :param address: address of the engine.
        :returns: models, version and role.
        :raises EngineError: if the call fails.
        """
        status, body = await self._query_unpooled(
            ClientRequest(address, 'GET', '/v1/state'), _QUERY_TIMEOUTS
        )
        return _decode_answer(status, body, EngineState)

    async def _send_chat(
        self, call: EngineCall, wait_s: float, resume_from: int, fresh: bool
    ) -> EngineAnswer:
        headers = [
            _JSON,
            ('x-request-id', call.request_id),
            ('x-payer', call.payer),
            ('x-priority', str(call.priority)),
            ('x-max-tokens', str(call.max_tokens)),
            ('x-prefix-hash', call.prefix),
        ]
        if resume_from:
            headers.append(('x-resume-from', str(resume_from)))
        response = await self._http.request(
            ClientRequest(
                call.address,
                'POST',
                '/v1/chat/completions',
                tuple(headers),
                call.body,
                fresh,
            ),
            ClientTimeouts(_CONNECT_S, wait_s, call.silence_s),
        )
        try:
            return await _check_answer(response, call)
        except BaseException:
            await response.close()
            raise

    async def _query(
        self, address: str, method: str, target: str
    ) -> tuple[int, bytes]:
        request = ClientRequest(address, method, target, (_JSON,))
        return await self._fetch(request, _QUERY_TIMEOUTS)

    async def _query_unpooled(
        self, request: ClientRequest, bounds: ClientTimeouts
    ) -> tuple[int, bytes]:
        # These calls go to each engine of a service, minutes apart. Pooling
        # their connections would keep thousands of idle ones.
        return await self._fetch(
            request._replace(headers=(_JSON, _CLOSE_CONNECTION), fresh=True),
            bounds,
        )

    async def _fetch(
        self, request: ClientRequest, bounds: ClientTimeouts
    ) -> tuple[int, bytes]:
        try:
            response, answer = await self._http.fetch(request, bounds)
        except HttpClientError as error:
            raise _engine_error(error) from None
        return response.status, answer


async def _check_answer(response: Response, call: EngineCall) -> EngineAnswer:
    headers = response.headers_by_name
    identity = headers.get('x-request-id', '')
    if response.status != _OK:
        body = await response.read()
        # A refusal with another identity belongs to another request, whose
        # details its message may contain.
        is_own = identity == call.request_id
        raise _refusal(response.status, body if is_own else b'')
    if identity != call.request_id:
        raise EngineError(
            'wrong_identity',
            f'{call.address} answered with X-Request-Id {identity!r} '
            f'to request {call.request_id!r}',
        )
    return EngineAnswer(response, headers.get('x-payer', call.payer))


def _refusal(status: int, body: bytes) -> EngineError:
    detail = _error_detail(status, body)
    return EngineError(refusal_code(status, detail.code), detail.message)


def _order_refusal(status: int, body: bytes) -> EngineError:
    detail = _error_detail(status, body)
    code = refusal_code(status, detail.code)
    if detail.code == 'stale_fencing_number':
        code = 'order_fenced'
    elif code == 'engine_cancelled':
        code = 'engine_rejected'
    return EngineError(code, detail.message)


def _error_detail(status: int, body: bytes) -> _ErrorDetail:
    try:
        detail = msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.DecodeError:
        detail = _ErrorDetail()
    message = detail.message or f'the engine answered with status {status}'
    return _ErrorDetail(detail.code, message)


def _engine_error(error: HttpClientError, sent: bool = False) -> EngineError:
    code = 'engine_lost'
    if isinstance(error, ConnectFailed):
        code = 'engine_unreachable'
    elif isinstance(error, ReceiveTimeout):
        code = 'engine_silent'
    return EngineError(code, error.message, sent or error.sent)


def _decode_answer(status: int, body: bytes, kind: type[_Decoded]) -> _Decoded:
    if status != _OK:
        raise _refusal(status, body)
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise EngineError('bad_answer', str(error)) from None
