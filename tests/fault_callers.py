"""
tests.fault_callers
~~~~~~~~~~~~~~~~~~~

Callers of routers, and all that they were told.
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
# Orders under a key that a router issued: the one that they are sent to
# first, or another one.
ISSUED_KINDS = ('issued_here', 'issued_there')
WORDS = 8
MAX_TOKENS = 12
# Added to the bytes of each message by the routers' bound.
MESSAGE_TOKENS = 8
# Longer than any router may take for an answer.
ANSWER_TIMEOUT_S = 40
KEYED = ('keyed', 'order', *ISSUED_KINDS)
CREDIT_CODES = frozenset(
    ('budget_exhausted', 'credit_held_elsewhere', 'credit_unreachable')
)


class Request(NamedTuple):
    """
    One request, which may be attempted several times.

    :param kind: one of :data:`KINDS`.
    :param name: a word that no other request has.
    :param organisation: unqualified name of who pays.
    """

    kind: str
    name: str
    organisation: str = 'others'
    key: str = ''

    @property
    def is_chat(self) -> bool:
        """Whether an engine answers it."""
        return self.kind in {'chat', 'stream', 'keyed'}

    @property
    def is_order(self) -> bool:
        """Whether it may run once at most."""
        return self.kind == 'order' or self.kind in ISSUED_KINDS

    @property
    def bound(self) -> int:
        """The most that it may cost, in tokens."""
        if not self.is_chat:
            return PRICE
        text = f'does {self.name} fit'
        return len(text) + MESSAGE_TOKENS + MAX_TOKENS

    @property
    def body(self) -> bytes:
        """What is sent."""
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
    What a caller was told about one attempt.

    :param status: 0 if there was no answer.
    :param is_complete: whether the answer was whole and no error.
    :param text: the answer's text, or its whole body if it is no chat.
    :param effects_then: executions or generations of the request by then.
    :param false_refusal: refused for want of credit, though the whole budget
        had what it needed.
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
    Sends requests and keeps what was told.

    :param world: where the routers are.
    :param effects: query for the executions or generations of a request.
    :param remaining_tokens: query for what a budget has left by the records.
    :ivar results: all attempts that ended, in order.
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
        Attempt a request once, on a connection of its own.

        :param vm: the router.
        :param request: what to send.
        :returns: what the caller was told; status 0 if nothing.
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
        Let a router issue an idempotency key to the subject.

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
        """Let the subject's callers close their connections."""
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
    # A cut stream breaks the exchange, so that it doesn't get here.
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
