"""
tests.fault_callers
~~~~~~~~~~~~~~~~~~~

Callers of the routers, with the results of their attempts.
"""

import json
from typing import NamedTuple

import trio

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from eelgrassfork.sse import EventSplitter, event_data
from tests.fault_probes import MARK
from tests.fault_world import PRICE, World

__all__ = (
    'ISSUED_KINDS',
    'KEYED',
    'KINDS',
    'Callers',
    'Request',
    'AttemptResult',
)

KINDS = ('chat', 'stream', 'keyed', 'look_up', 'order')
# Orders under an idempotency key that a router issued: the router that gets the
# order first, or another one.
ISSUED_KINDS = ('issued_here', 'issued_there')
WORDS = 8
MAX_TOKENS = 12
# The routers add this to the bytes of each message in their cost bound.
MESSAGE_TOKENS = 8
# Longer than the longest time that a router may take to answer.
ANSWER_TIMEOUT_S = 40
KEYED = ('keyed', 'order', *ISSUED_KINDS)
CREDIT_CODES = frozenset(
    ('budget_exhausted', 'credit_held_elsewhere', 'credit_unreachable')
)


class Request(NamedTuple):
    """
    Request, which may be attempted several times.

    :param kind: one of :data:`KINDS`.
    :param name: unique word of the request.
    :param organisation: unqualified name of the payer.
    """

    kind: str
    name: str
    organisation: str = 'others'
    key: str = ''

    @property
    def is_chat(self) -> bool:
        """Whether it is a chat completion, which an engine answers."""
        return self.kind in {'chat', 'stream', 'keyed'}

    @property
    def is_order(self) -> bool:
        """Whether it must be executed at most once."""
        return self.kind == 'order' or self.kind in ISSUED_KINDS

    @property
    def bound(self) -> int:
        """Upper bound of its cost, in tokens."""
        if not self.is_chat:
            return PRICE
        text = f'does {self.name} fit'
        return len(text) + MESSAGE_TOKENS + MAX_TOKENS

    @property
    def body(self) -> bytes:
        """Body of the request."""
        if self.kind == 'look_up':
            return b''
        if self.is_order:
            return self.name.encode()
        content = f'does {self.name} fit'
        chat = {
            'model': 'matcher',
            'messages': [{'role': 'user', 'content': content}],
            'stream': self.kind != 'chat',
            'max_tokens': MAX_TOKENS,
            'metadata': {'words': str(WORDS)},
        }
        return json.dumps(chat).encode()

    @property
    def target(self) -> str:
        """Path and query at the router."""
        if self.is_chat:
            return '/v1/chat/completions'
        return f'/services/shopdesk/{self.kind}?name={self.name}'


class AttemptResult(NamedTuple):
    """
    Result of one attempt, as the caller saw it.

    :param status: HTTP status; 0 without an answer.
    :param is_complete: whether the answer was complete and no error.
    :param text: text of a chat answer; otherwise the full body.
    :param effects_then: executions or generations of the request so far.
    :param false_refusal: whether it was refused for lack of credit although
        the budget would have covered it.
    """

    request: Request
    vm: str
    attempt: int
    started_at: float
    ended_at: float
    status: int
    request_id: str = ''
    code: str = ''
    outcome: str = ''
    retry_after_s: float | None = None
    is_complete: bool = False
    text: str = ''
    replayed: bool = False
    effects_then: int = 0
    false_refusal: bool = False


class Callers:
    """
    Sends requests and records the results.

    :param world: world of the routers.
    :param effects: function for the number of executions or generations of a
        request.
    :param remaining_tokens: function for the tokens that an organisation has
        left by the records.
    :ivar results: results of all finished attempts, in order.
    """

    def __init__(self, world: World, effects, remaining_tokens) -> None:
        self._world = world
        self._effects = effects
        self._remaining_tokens = remaining_tokens
        self._numbers: dict[Request, int] = {}
        self._open_scopes: list[trio.CancelScope] = []
        self.results: list[AttemptResult] = []

    async def send(self, vm: str, request: Request) -> AttemptResult:
        """
        Send a request once, on a new connection.

        :param vm: the router.
        :param request: request to send.
        :returns: result of the attempt; status 0 without an answer.
        """
        attempt = self._numbers.get(request, -1) + 1
        self._numbers[request] = attempt
        result = AttemptResult(request, vm, attempt, trio.current_time(), 0, 0)
        with trio.CancelScope() as scope:
            if request.organisation == 'subject':
                self._open_scopes.append(scope)
            result = await self._exchange(result)
        result = result._replace(
            ended_at=trio.current_time(),
            effects_then=self._effects(request),
            false_refusal=result.code in CREDIT_CODES
            and self._remaining_tokens(request.organisation) >= request.bound,
        )
        self.results.append(result)
        return result

    async def issued_key(self, vm: str) -> str:
        """
        Request an idempotency key for the subject from a router.

        :param vm: the router.
        :returns: the key.
        """
        headers = (('authorization', 'Bearer subject'),)
        address = self._world.callers_address(vm)
        request = ClientRequest(
            address, 'POST', '/v1/idempotency-keys', headers
        )
        http = HttpClient(transport=self._world.network.transport('caller'))
        _, body = await http.fetch(request)
        await http.close()
        return json.loads(body)['key']

    def disconnect_subject(self) -> None:
        """Close the connections of the subject's callers."""
        for scope in self._open_scopes:
            scope.cancel()

    async def _exchange(self, result: AttemptResult) -> AttemptResult:
        http = HttpClient(
            ClientTimeouts(
                ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S
            ),
            transport=self._world.network.transport('caller'),
        )
        sent = ClientRequest(
            self._world.callers_address(result.vm),
            'GET' if result.request.kind == 'look_up' else 'POST',
            result.request.target,
            tuple(_headers(result)),
            result.request.body,
        )
        try:
            response, body = await http.fetch(sent)
        except HttpClientError:
            return result
        finally:
            await http.close()
        headers = response.headers_by_name
        result = result._replace(
            status=response.status,
            request_id=headers.get('x-request-id', ''),
            replayed='idempotent-replayed' in headers,
        )
        if 'text/event-stream' in headers.get('content-type', ''):
            return _read_stream(result, body)
        return _read_whole(result, headers, body)


def _headers(result: AttemptResult):
    request = result.request
    yield 'authorization', f'Bearer {request.organisation}'
    yield 'x-stainless-retry-count', str(result.attempt)
    if request.organisation == 'subject':
        yield MARK, request.name
    if request.key:
        yield 'idempotency-key', request.key


def _read_stream(result: AttemptResult, body: bytes) -> AttemptResult:
    # An interrupted stream fails in the exchange and is not parsed here.
    texts = [event_data(event) for event in EventSplitter().feed(body)]
    chunks = [json.loads(text) for text in texts if text != b'[DONE]']
    words = [
        choice['delta'].get('content', '')
        for chunk in chunks
        for choice in chunk.get('choices', ())
    ]
    done = bool(texts) and texts[-1] == b'[DONE]'
    return result._replace(is_complete=done, text=''.join(words))


def _read_whole(result: AttemptResult, headers, body: bytes) -> AttemptResult:
    if result.status != 200:
        error = json.loads(body)['error']
        retry_after = headers.get('retry-after')
        return result._replace(
            code=error['code'],
            outcome=error['outcome'],
            request_id=error['request_id'],
            retry_after_s=float(retry_after) if retry_after else None,
        )
    if not result.request.is_chat:
        return result._replace(is_complete=True, text=body.decode())
    (choice,) = json.loads(body)['choices']
    return result._replace(is_complete=True, text=choice['message']['content'])
