"""
demo.calls
~~~~~~~~~~

Sends callers' requests for the demo and process tests.
"""

import json
from typing import Any, NamedTuple

from eelgrassfork.http_client import HttpClientError

from .fleet import Fleet

__all__ = ('Answer', 'Caller', 'chat_body')


class Answer(NamedTuple):
    """
    Response to a caller.

    :param code: error code, or empty.
    :param tokens: total tokens in the usage of the response.
    :param complete: whether the response was complete.
    """

    status: int
    code: str
    outcome: str
    request_id: str
    tokens: int
    text: str
    complete: bool
    retry_after_s: float | None


class Caller(NamedTuple):
    """Caller that uses an organisation's key at one router."""

    fleet: Fleet
    failure_domain: str
    organisation: str
    budget: str = 'main'

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Request headers with the key of the example organisation."""
        fleet, _, name = self.organisation.partition('/')
        key = f'example-{fleet}-{name}-{self.budget}'
        return (
            ('authorization', f'Bearer {key}'),
            ('content-type', 'application/json'),
        )

    async def chat(
        self, model: str, text: str, *, stream: bool = False, words: int = 20
    ) -> Answer:
        """
        Send a chat request.

        :param model: service name, as in the request.
        :param text: content of the user message.
        :param stream: whether to stream the response.
        :param words: maximum number of completion tokens.
        :returns: the response.
        """
        body = chat_body(model, text, stream, words)
        return await self.send('POST', '/v1/chat/completions', body)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        idempotency_key: str = '',
    ) -> Answer:
        """
        Send a request to the router of the failure domain.

        :param method: HTTP method.
        :param path: path at the router.
        :param body: request body.
        :param idempotency_key: idempotency key, or empty for none.
        :returns: the response.
        """
        headers = self.headers
        if idempotency_key:
            headers = (*headers, ('idempotency-key', idempotency_key))
        router = self.fleet.routers_by_domain[self.failure_domain]
        try:
            status, found, answer = await self.fleet.fetch(
                router.callers, method, path, body, headers
            )
        except HttpClientError as error:
            return Answer(0, error.code, 'unknown', '', 0, '', False, None)
        if found.get('content-type', '').startswith('text/event-stream'):
            return _streamed(status, found, answer)
        return _plain(status, found, json.loads(answer))


def chat_body(model: str, text: str, stream: bool, words: int) -> bytes:
    """
    Encode the body of a chat request.

    :param model: service name, as in the request.
    :param text: content of the user message.
    :param stream: whether to stream the response.
    :param words: maximum number of completion tokens.
    :returns: JSON.
    """
    body: dict[str, Any] = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': words,
        'stream': stream,
    }
    if stream:
        body['stream_options'] = {'include_usage': True}
    return json.dumps(body).encode()


def _plain(status: int, headers: dict[str, str], body: Any) -> Answer:
    error = body.get('error', {})
    choices = body.get('choices') or [{}]
    text = choices[0].get('message', {}).get('content', '')
    return Answer(
        status,
        error.get('code', ''),
        error.get('outcome', 'ran'),
        error.get('request_id') or headers.get('x-request-id', ''),
        body.get('usage', {}).get('total_tokens', 0),
        text,
        complete=not error,
        retry_after_s=error.get('retry_after_s'),
    )


def _streamed(status: int, headers: dict[str, str], body: bytes) -> Answer:
    lines = body.decode().split('\n')
    events = [line[6:] for line in lines if line.startswith('data: ')]
    complete = bool(events) and events[-1] == '[DONE]'
    parsed = [json.loads(event) for event in events if event != '[DONE]']
    text = ''
    tokens = 0
    for event in parsed:
        tokens = (event.get('usage') or {}).get('total_tokens', tokens)
        for choice in event.get('choices', ()):
            text += choice['delta'].get('content') or ''
    outcome = 'ran' if complete else 'unknown'
    return Answer(
        status,
        '',
        outcome,
        headers.get('x-request-id', ''),
        tokens,
        text,
        complete,
        None,
    )
